#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/model.h"
#include "jobs/scheduler.h"

/// Which machine serves which pool, and when it is taken down for upkeep.
/// Pure, like the scheduler. Made for queues whose demand comes in turns that
/// no pool can carry alone: machines follow the backlog, and machines that
/// nobody needs are switched off.
namespace hemlockward::jobs {

struct FleetSettings {
  double move_s = 1.5;
  double upkeep_s = 2;
  double orders_per_s = 64;  ///< What the platform accepts from all nodes.
  /// Least time between two holders' orders for one machine.
  Millis turn{3000};
};

struct MachineOrder {
  std::string machine;
  std::string worker;  ///< Its worker at the time; empty when it is off.
  std::string pool;    ///< Where it goes; empty for an upkeep.
  int wave = 0;
};

enum class MachineAnswer : std::uint8_t {
  kDone,
  kBusy,     ///< Not up, leaving, or not of that wave: nothing done.
  kUnknown,  ///< It may have been done, or may be done later.
};

std::string_view ToText(MachineAnswer answer);

/// What a pool has and needs, in machines.
struct PoolState {
  int have = 0;    ///< Up, and not being emptied.
  int coming = 0;  ///< Under way to it.
  int need = 0;
};

class Fleet {
 public:
  explicit Fleet(FleetSettings settings) : settings_(settings) {}

  /// Machines for which the last holder may have given orders lately get none
  /// before `orders_from`.
  void BeginTerm(Millis orders_from, Millis now);
  void LoadWave(std::string_view key, std::string_view value);
  /// The row of the last holder's recent orders. `store_offset` is the store's
  /// clock less ours.
  void LoadRecent(std::string_view value, Millis store_offset);
  /// The row that must be in the store before the newest orders are sent.
  [[nodiscard]] RowWrite RecentOrders(Millis now, Millis store_offset) const;
  /// A whole listing, asked for at `sent`.
  void OnMachines(const std::vector<Machine>& machines, Millis sent);
  std::vector<MachineOrder> Plan(const std::map<int, WaveOrder>& waves,
                                 Scheduler& scheduler, Millis now);
  void OnAnswer(const MachineOrder& order, MachineAnswer answer,
                Scheduler& scheduler, Millis now);
  /// True once every machine of the wave that is still there has begun.
  [[nodiscard]] bool IsComplete(const WaveOrder& wave) const;
  /// Whether a listing is worth asking for now.
  [[nodiscard]] bool WantsListing(Millis now) const;
  void NoteListing(Millis now) { listed_at_ = now; }
  /// As of the newest plan, by pool.
  [[nodiscard]] const std::map<std::string, PoolState>& pool_states() const {
    return pool_states_;
  }

 private:
  struct State {
    Machine machine;
    bool ordered = false;  ///< An order is under way or not settled.
    MachineOrder order;
    Millis ordered_at{-1};
    bool in_flight = false;
    int upkeep_of = 0;  ///< The wave for which it is down; 0: none.
    Millis off_since{0};
  };
  struct Pool {
    std::string name;
    std::int64_t machine_cpu = 0;
    std::int64_t machine_memory = 0;
    PoolState state;
    int need_soon = 0;
    std::vector<std::string> idle;  ///< Machines, longest idle first.
  };

  void PlanWaves(const std::map<int, WaveOrder>& waves, Scheduler& scheduler,
                 std::vector<MachineOrder>& orders, Millis now);
  void PlanMoves(Scheduler& scheduler, std::vector<MachineOrder>& orders,
                 Millis now);
  std::vector<Pool> ComputePools(Scheduler& scheduler, Millis now);
  void IssueOrder(State& state, MachineOrder order,
                  std::vector<MachineOrder>& orders, Millis now);
  void RecordPool(const Pool& pool, const PoolDemand& demand, Millis now);
  [[nodiscard]] bool HasBegun(int wave, const std::string& machine) const;
  /// The last holder's order for the machine may be recent.
  [[nodiscard]] bool IsBlocked(const std::string& machine, Millis now) const;
  [[nodiscard]] bool IsFree(const State& state, Millis now) const;

  FleetSettings settings_;
  Millis orders_from_{0};
  Millis term_began_{0};
  Millis listed_at_{-1'000'000};
  std::map<std::string, State> machines_;
  std::map<int, std::set<std::string>> begun_;
  /// Ordered by the last holder, as stored, and when it may be ordered again.
  std::map<std::string, Millis, std::less<>> recent_;
  bool recent_unknown_ = false;  ///< The row couldn't be read: it may be any.
  std::map<std::string, PoolState> pool_states_;
  std::map<std::string, Millis> pool_logged_;
  double tokens_ = 0;
  Millis tokens_at_{0};
};

}  // namespace hemlockward::jobs
