#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/fleet.h"

/// Availability as reported by the monitoring group, and how much of each
/// service's budget is left.
///
/// Times are wall-clock times of the calling process: accounts last longer than
/// any process. No lease depends on them.
namespace hemlockward::control {

/// The newest verdict on one VM.
struct VmVerdict {
  bool up = false;
  base::WallMillis observed_at{};  ///< Receipt of the verdict minus its age.
  base::WallMillis changed_at{};   ///< First observation of the present `up`.
};

using Verdicts = std::map<base::VmId, VmVerdict>;

/// Records a verdict. Verdicts that are older than the recorded one are
/// ignored, so they may arrive late or twice.
void RecordVerdict(Verdicts& verdicts, const base::VmId& vm, bool up,
                   base::WallMillis observed_at);

struct HealthSettings {
  base::Millis verdict_lifetime =
      base::Minutes(2);        ///< Older ones are ignored.
  base::Millis max_skew{500};  ///< Between clocks of two processes.
};

enum class VmHealth : std::uint8_t {
  kUp,         ///< Receives work, and the monitor reports it up.
  kTakenOut,   ///< Receives no work because of a move or maintenance.
  kFailed,     ///< The monitor reports it down, or the VM is lost.
  kNoVerdict,  ///< No recent verdict; counts as down.
};

/// Returns the health of one VM; `verdict` is null when there is none.
VmHealth EvaluateVm(const base::VmRow& row, const VmVerdict* verdict,
                    const HealthSettings& settings, base::WallMillis now);

/// True when a VM in kReturning is up according to a verdict made after its
/// reboot and may serve again.
bool CanReturnToService(const base::VmRow& row, const VmVerdict* verdict,
                        const HealthSettings& settings, base::WallMillis now);

/// Combined requirements of all services on one pool.
struct PoolNeed {
  int services = 0;
  int floor = 0;  ///< VMs that must be up: the sum of the services' floors.
  int min_size = 0;
  int max_size = 0;
  bool movable = true;
  std::vector<const base::ServiceDocument*> documents;
  base::Millis graceful_stop{};
  int spread_racks = 1;
  int spread_zones = 1;
  base::Weights weights;
};

/// VMs that must be up for one service to be inside its budget.
int FloorOf(const base::ServiceDocument& document);

struct VmStatus {
  const base::VmRow* row = nullptr;  ///< Points into the view.
  VmHealth health = VmHealth::kNoVerdict;
  base::WallMillis since{};  ///< Start of the present health, if known.
  /// Its rack or zone counts as failed, judging by all VMs there: two or
  /// more that no wave maintained within the last hour are down, none is up.
  bool location_failed = false;
};

/// Snapshot of one pool. VMs that are leaving by a move count for the pool
/// that they leave; `arriving` counts those moving in.
struct PoolHealth {
  base::PoolId pool;
  PoolNeed need;
  std::vector<VmStatus> vms;  ///< Ordered by VM id.
  int up = 0;
  int taken_out = 0;
  int failed = 0;
  int no_verdict = 0;
  int arriving = 0;
  int taken_out_in_failed_locations =
      0;  ///< VMs of `taken_out` that are in a failed rack or zone.
};

/// All pools, ordered by pool id. Linear in the number of VMs. The result
/// points into `view` and must not outlive it.
std::vector<PoolHealth> EvaluateFleet(const base::FleetView& view,
                                      const Verdicts& verdicts,
                                      const HealthSettings& settings,
                                      base::WallMillis now);

/// Null when no VM and no document names the pool.
const PoolHealth* FindPool(const std::vector<PoolHealth>& pools,
                           const base::PoolId& pool);

/// What took a pool below its floor.
enum class BelowFloorCause : std::uint8_t {
  kTakenOut,   ///< Not below without the VMs taken out.
  kFailure,    ///< Failures alone are sufficient.
  kNoVerdict,  ///< VMs without a verdict made the difference.
};

struct BelowFloorInterval {
  base::WallMillis from{};
  base::WallMillis to{};
  BelowFloorCause cause = BelowFloorCause::kTakenOut;
};

/// Time below the floor of one service; kept for its longest window.
struct BudgetAccount {
  std::deque<BelowFloorInterval> below;  ///< Ordered by time, disjoint.
  base::WallMillis observed{};           ///< Last observation; 0: none yet.
  bool is_below_floor = false;           ///< At the last observation.
  BelowFloorCause cause = BelowFloorCause::kTakenOut;
};

using Accounts = std::map<base::ServiceId, BudgetAccount>;

/// Adds the time since the last observation in the state observed then, and
/// records the pool's present state. Intervals older than `window` are dropped.
void Observe(BudgetAccount& account, const PoolHealth& pool,
             base::Millis window, base::WallMillis now);
/// Observes every service of `pools`.
void ObserveAll(Accounts& accounts, const std::vector<PoolHealth>& pools,
                base::WallMillis now);

/// Time below the floor within the window that ends now.
base::Millis TimeBelowFloor(const BudgetAccount& account, base::Millis window,
                            base::WallMillis now);
/// The part of TimeBelowFloor that has the given cause.
base::Millis TimeBelowFloor(const BudgetAccount& account, base::Millis window,
                            base::WallMillis now, BelowFloorCause cause);
/// What is left of the budget; never negative.
base::Millis BudgetLeft(const BudgetAccount& account,
                        const base::AvailabilityBudget& budget,
                        base::WallMillis now);

/// JSON text, for the row that carries the account over a takeover.
std::string Encode(const BudgetAccount& account);
tl::expected<BudgetAccount, base::CodecError> DecodeBudgetAccount(
    std::string_view text);

std::string_view ToText(VmHealth value);
std::string_view ToText(BelowFloorCause value);

}  // namespace hemlockward::control
