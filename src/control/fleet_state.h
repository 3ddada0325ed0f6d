#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "control/budget.h"
#include "control/planner.h"
#include "control/reserve.h"
#include "control/wave.h"
#include "platform/platform.h"

/// State of one control process apart from the fleet view: the monitor's
/// verdicts, the VM list, demand, budget accounts and recent reasons.
namespace hemlockward::control {

struct RunnerSettings {
  int shards = 4;
  /// Timeout of one call to the VM service; checked against the lease time.
  base::Millis vm_call_timeout = base::Seconds(1);
  base::Millis list_lag = base::Seconds(30);  ///< Maximum lag of the VM list.
  std::size_t max_rows_per_transaction = 50;  ///< Rows in one transaction.
  base::PoolId spare_pool;  ///< A VM that no prefix matches joins it.
  /// Prefix of VM ids and the pool that such VMs join first.
  std::vector<std::pair<std::string, base::PoolId>> initial_pools;
  /// Minimum time between two plans of moves and waves for the whole fleet.
  base::Millis plan_interval{0};
  PlannerSettings planner;
  WaveSettings wave;

  /// The pool that a VM joins when the list shows it for the first time.
  [[nodiscard]] base::PoolId FirstPool(const base::VmId& vm) const;
};

/// Thread-safe.
class FleetState {
 public:
  void OnVerdicts(const std::vector<platform::Verdict>& verdicts,
                  base::WallMillis now);
  void OnVmList(std::vector<platform::ListedVm> vms);
  /// Records demand per service, `waiting` counted in requests, and the state
  /// of every budget.
  void OnDemand(const base::FleetView& view,
                const std::map<base::ServiceId, int>& requests,
                base::WallMillis now);
  void ObserveBudgets(const base::FleetView& view,
                      const HealthSettings& settings, base::WallMillis now);
  /// Takes over an account from the table: what this process observed of the
  /// service after it is added, what it observed before is dropped.
  void MergeAccount(const base::ServiceId& service, BudgetAccount stored);

  [[nodiscard]] Verdicts verdicts() const;
  [[nodiscard]] Demand demand() const;
  [[nodiscard]] Accounts accounts() const;
  [[nodiscard]] std::optional<platform::ListedState> Listed(
      const base::VmId& vm) const;
  [[nodiscard]] std::vector<platform::ListedVm> AllListed() const;

  /// Records why a leaving VM can't take its next step yet.
  void RecordWaitReason(const base::VmId& vm, std::string_view reason);
  [[nodiscard]] std::string WaitReason(const base::VmId& vm) const;
  void RecordWaveStep(const WaveStep& step);
  [[nodiscard]] std::optional<WaveStep> LastWaveStep(
      const base::WaveId& wave) const;

  /// Replaces the revisions that all entries must pass before `waiter` goes on.
  void SetAwaitedRevisions(std::string_view waiter,
                           std::vector<base::Revision> revisions);
  /// The awaited revisions of all waiters.
  [[nodiscard]] std::vector<base::Revision> AwaitedRevisions() const;

 private:
  mutable std::mutex mutex_;  // In the lock order as "queue".
  Verdicts verdicts_;
  Demand demand_;
  Accounts accounts_;
  std::map<base::VmId, platform::ListedVm> listed_;
  std::map<base::VmId, std::string> wait_reasons_;
  std::map<base::WaveId, WaveStep> wave_steps_;
  std::map<std::string, std::vector<base::Revision>, std::less<>>
      awaited_revisions_;
};

}  // namespace hemlockward::control
