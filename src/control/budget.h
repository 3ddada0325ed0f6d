#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/fleet.h"

/// Availability as the monitoring group judges it, and how much of each
/// service's budget is left.
///
/// Times are wall-clock times of the calling process: accounts last longer than
/// any process. They decide no lease.
namespace hemlockward::control {

/// The newest verdict on one VM.
struct VmVerdict {
  bool up = false;
  base::WallMillis observed_at{};  ///< Receipt of the verdict minus its age.
  base::WallMillis changed_at{};   ///< When `up` last changed, as first judged.
};

using Verdicts = std::map<base::VmId, VmVerdict>;

/// Records a verdict. Verdicts that are older than the recorded one are
/// ignored, so they may arrive late or twice.
void RecordVerdict(Verdicts& verdicts, const base::VmId& vm, bool up,
                   base::WallMillis observed_at);

struct HealthSettings {
  base::Millis verdict_lifetime = base::Minutes(2);  ///< Older ones are void.
  base::Millis max_skew{500};  ///< Between clocks of two processes.
};

enum class VmHealth : std::uint8_t {
  kUp,         ///< Gets work, and the monitor calls it up.
  kTakenOut,   ///< Work is kept from it by a move or by maintenance.
  kFailed,     ///< The monitor calls it down, or the VM is lost.
  kNoVerdict,  ///< Counts as down; the monitor has said nothing lately.
};

/// Judges one VM; `verdict` is null when there is none.
VmHealth EvaluateVm(const base::VmRow& row, const VmVerdict* verdict,
                    const HealthSettings& settings, base::WallMillis now);

/// True when a VM in kReturning was called up by a verdict judged after its
/// reboot and may serve again.
bool CanReturnToService(const base::VmRow& row, const VmVerdict* verdict,
                        const HealthSettings& settings, base::WallMillis now);

/// What the documents of all services on one pool ask of it together.
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
  base::WallMillis since{};  ///< Since when it is so, as far as known.
  /// Its rack or zone has failed by the word of the other VMs there: two or
  /// more that no wave touched lately are down and none is up.
  bool location_failed = false;
};

/// One pool at one moment. VMs on their way out by a move count for the pool
/// that they leave; `arriving` counts those on their way in.
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
      0;  ///< Part of taken_out that would be down too.
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
  kTakenOut,   ///< It would not be below without what we had taken out.
  kFailure,    ///< Failures alone suffice.
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

/// Adds the time since the last observation in the state then observed, and
/// notes the pool's present state. Intervals older than `window` are dropped.
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
