#include "control/fleet_state.h"

#include <algorithm>
#include <utility>

namespace hemlockward::control {

base::PoolId RunnerSettings::FirstPool(const base::VmId& vm) const {
  for (const auto& [prefix, pool] : initial_pools) {
    if (vm.value.starts_with(prefix)) return pool;
  }
  return spare_pool;
}

void FleetState::OnVerdicts(const std::vector<platform::Verdict>& verdicts,
                            base::WallMillis now) {
  const std::lock_guard lock(mutex_);
  for (const platform::Verdict& it : verdicts) {
    RecordVerdict(verdicts_, it.vm, it.up,
                  base::WallMillis{now.count - it.age.count});
  }
}

void FleetState::OnVmList(std::vector<platform::ListedVm> vms) {
  std::map<base::VmId, platform::ListedVm> listed;
  for (platform::ListedVm& it : vms) {
    const base::VmId id = it.vm;
    listed.insert_or_assign(id, std::move(it));
  }
  const std::lock_guard lock(mutex_);
  listed_ = std::move(listed);
}

void FleetState::OnDemand(const base::FleetView& view,
                          const std::map<base::ServiceId, int>& requests,
                          base::WallMillis now) {
  std::map<base::PoolId, double> vms;
  for (const auto& [team, document] : view.documents) {
    const auto it = requests.find(document.service);
    if (it == requests.end()) continue;
    vms[document.pool] +=
        static_cast<double>(it->second) / document.slots_per_vm;
  }
  const std::lock_guard lock(mutex_);
  for (const auto& [pool, n] : vms) ObserveDemand(demand_, pool, n, now);
}

void FleetState::ObserveBudgets(const base::FleetView& view,
                                const HealthSettings& settings,
                                base::WallMillis now) {
  const std::lock_guard lock(mutex_);
  const auto pools = EvaluateFleet(view, verdicts_, settings, now);
  ObserveAll(accounts_, pools, now);
}

void FleetState::MergeAccount(const base::ServiceId& service,
                              BudgetAccount stored) {
  const std::lock_guard lock(mutex_);
  BudgetAccount& held = accounts_[service];
  for (BelowFloorInterval& it : held.below) {
    it.from = std::max(it.from, stored.observed);
    if (it.from < it.to) stored.below.push_back(it);
  }
  if (held.observed > stored.observed) {
    stored.observed = held.observed;
    stored.is_below_floor = held.is_below_floor;
    stored.cause = held.cause;
  }
  held = std::move(stored);
}

Verdicts FleetState::verdicts() const {
  const std::lock_guard lock(mutex_);
  return verdicts_;
}

Demand FleetState::demand() const {
  const std::lock_guard lock(mutex_);
  return demand_;
}

Accounts FleetState::accounts() const {
  const std::lock_guard lock(mutex_);
  return accounts_;
}

std::optional<platform::ListedState> FleetState::Listed(
    const base::VmId& vm) const {
  const std::lock_guard lock(mutex_);
  const auto it = listed_.find(vm);
  if (it == listed_.end()) return std::nullopt;
  return it->second.state;
}

std::vector<platform::ListedVm> FleetState::AllListed() const {
  std::vector<platform::ListedVm> all;
  const std::lock_guard lock(mutex_);
  for (const auto& [id, it] : listed_) all.push_back(it);
  return all;
}

void FleetState::RecordWaitReason(const base::VmId& vm,
                                  std::string_view reason) {
  const std::lock_guard lock(mutex_);
  wait_reasons_[vm] = std::string(reason);
}

std::string FleetState::WaitReason(const base::VmId& vm) const {
  const std::lock_guard lock(mutex_);
  const auto it = wait_reasons_.find(vm);
  return it == wait_reasons_.end() ? std::string() : it->second;
}

void FleetState::RecordWaveStep(const WaveStep& step) {
  const std::lock_guard lock(mutex_);
  wave_steps_[step.wave] = step;
}

std::optional<WaveStep> FleetState::LastWaveStep(
    const base::WaveId& wave) const {
  const std::lock_guard lock(mutex_);
  const auto it = wave_steps_.find(wave);
  if (it == wave_steps_.end()) return std::nullopt;
  return it->second;
}

void FleetState::SetAwaitedRevisions(std::string_view waiter,
                                     std::vector<base::Revision> revisions) {
  const std::lock_guard lock(mutex_);
  awaited_revisions_.insert_or_assign(std::string(waiter),
                                      std::move(revisions));
}

std::vector<base::Revision> FleetState::AwaitedRevisions() const {
  std::vector<base::Revision> all;
  const std::lock_guard lock(mutex_);
  for (const auto& [waiter, it] : awaited_revisions_) {
    all.insert(all.end(), it.begin(), it.end());
  }
  return all;
}

}  // namespace hemlockward::control
