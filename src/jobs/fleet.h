#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/model.h"
#include "jobs/scheduler.h"
#include "jobs/sharing.h"

/// Assigns VMs to pools and takes them down for upkeep. Like the scheduler it
/// does no I/O. Queues may have bursts in turn that exceed the capacity of a
/// single pool: VMs are moved to the backlog, and VMs that are not needed are
/// powered off.
namespace hemlockward::jobs {

struct FleetSettings {
  double move_s = 1.5;
  double upkeep_s = 2;
  double orders_per_s = 64;  ///< Limit of the platform for all nodes together.
  /// Minimum time between orders of two successive leaders for one VM.
  Millis min_order_interval{3000};
};

struct VmOrder {
  std::string vm;
  std::string worker;  ///< Worker on the VM when the order was made; empty when
                       ///< the VM is off.
  std::string pool;    ///< Destination pool; empty for upkeep.
  int wave = 0;
};

enum class VmAnswer : std::uint8_t {
  kDone,
  kBusy,     ///< Not up, leaving, or not part of that wave; nothing was done.
  kUnknown,  ///< No answer; the order may have been executed or may be later.
};

std::string_view ToText(VmAnswer answer);

/// VMs that a pool has and needs.
struct PoolState {
  int have = 0;    ///< Up and not being drained.
  int coming = 0;  ///< On the way to the pool.
  int need = 0;
  int share = 0;  ///< Part of the need that the fleet can meet.
};

class Fleet {
 public:
  explicit Fleet(FleetSettings settings) : settings_(settings) {}

  /// VMs that the previous leader may have ordered recently receive no order
  /// before `orders_from`.
  void BeginTerm(Millis orders_from, Millis now);
  void LoadWave(std::string_view key, std::string_view value);
  /// Loads the row of the previous leader's recent orders. `store_offset` is
  /// the store's clock minus the local clock.
  void LoadRecent(std::string_view value, Millis store_offset);
  /// Returns the row that must be committed before the newest orders are sent.
  [[nodiscard]] RowWrite RecentOrders(Millis now, Millis store_offset) const;
  /// Processes a complete listing that was requested at `sent`.
  void OnVms(const std::vector<Vm>& vms, Millis sent);
  std::vector<VmOrder> Plan(const std::map<int, WaveOrder>& waves,
                            Scheduler& scheduler, Millis now);
  void OnAnswer(const VmOrder& order, VmAnswer answer, Scheduler& scheduler,
                Millis now);
  /// Returns true once every VM of the wave that still exists has begun its
  /// upkeep.
  [[nodiscard]] bool IsComplete(const WaveOrder& wave) const;
  /// Returns true when a new listing should be requested.
  [[nodiscard]] bool IsListingDue(Millis now) const;
  void RecordListing(Millis now) { listed_at_ = now; }
  /// State of each pool in the newest plan.
  [[nodiscard]] const std::map<std::string, PoolState>& pool_states() const {
    return pool_states_;
  }

 private:
  struct State {
    Vm vm;
    bool ordered = false;  ///< An order is in flight or its outcome is unknown.
    VmOrder order;
    Millis ordered_at{-1};
    bool in_flight = false;
    int upkeep_of = 0;  ///< Wave for which the VM is down; 0: none.
    Millis off_since{0};
    int missing_listings = 0;  ///< Successive listings without the VM.
    /// Pool to which the VM moves once its tasks have ended; empty: none.
    std::string released_to;
  };
  struct Pool {
    std::string name;
    std::int64_t vm_cpu = 0;
    std::int64_t vm_memory = 0;
    PoolState state;
    PoolNeed vms_needed;
    int need_soon = 0;
    std::vector<std::string> idle;  ///< VMs, longest idle first.
    /// VMs at work on tasks that end by themselves, least busy first.
    std::vector<std::string> releasable;
  };

  void PlanWaves(const std::map<int, WaveOrder>& waves, Scheduler& scheduler,
                 std::vector<VmOrder>& orders, Millis now);
  /// Moves VMs whose workers can't be used any more but by a new incarnation.
  void PlanReplacements(Scheduler& scheduler, std::vector<VmOrder>& orders,
                        Millis now);
  void PlanMoves(Scheduler& scheduler, std::vector<VmOrder>& orders,
                 Millis now);
  std::vector<Pool> ComputePools(Scheduler& scheduler, Millis now);
  void ComputeNeed(Pool& pool, const PoolDemand& demand) const;
  /// Moves VMs whose release is complete. A release that isn't needed any more
  /// is revoked.
  void FinishReleases(std::span<const Pool> pools, Scheduler& scheduler,
                      std::vector<VmOrder>& orders, Millis now);
  /// Releases VMs of pools above their share for `pool`, which lacks `missing`.
  void Release(std::span<Pool> pools, const Pool& pool, int missing,
               Scheduler& scheduler);
  void IssueOrder(State& state, VmOrder order, std::vector<VmOrder>& orders,
                  Millis now);
  void LogShortage(const Pool& pool, const PoolDemand& demand, Millis now);
  [[nodiscard]] bool HasBegun(int wave, const std::string& vm) const;
  /// Returns true while an order of the previous leader for the VM may be
  /// recent.
  [[nodiscard]] bool IsBlocked(const std::string& vm, Millis now) const;
  [[nodiscard]] bool IsFree(const State& state, Millis now) const;

  FleetSettings settings_;
  Millis orders_from_{0};
  Millis term_began_{0};
  Millis listed_at_{-1'000'000};
  int listings_ = 0;  ///< Complete listings in this term.
  std::map<std::string, State> vms_;
  std::map<int, std::set<std::string>> begun_;
  /// VMs ordered by the previous leader, as stored, and the local time from
  /// which they may be ordered again.
  std::map<std::string, Millis, std::less<>> recent_;
  /// The row is unreadable: every VM may have been ordered.
  bool recent_unknown_ = false;
  std::map<std::string, PoolState> pool_states_;
  std::map<std::string, Millis> pool_logged_;
  double tokens_ = 0;
  Millis tokens_at_{0};
};

}  // namespace hemlockward::jobs
