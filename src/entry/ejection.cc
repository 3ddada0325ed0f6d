#include "entry/ejection.h"

#include <algorithm>
#include <limits>

namespace hemlockward::entry {
namespace {

using base::Millis;

/// Weights of the newest result in the moving averages of a worker's and of a
/// pool's failure rate.
constexpr double kWorkerWeight = 0.2;
constexpr double kPoolWeight = 0.02;
/// Delay before a trial that ended without a result is repeated.
constexpr Millis kTrialRetryDelay{200};
constexpr Millis kNever{std::numeric_limits<std::int64_t>::max()};

}  // namespace

std::string_view ToText(HealthState value) {
  switch (value) {
    case HealthState::kHealthy:
      return "healthy";
    case HealthState::kEjected:
      return "ejected";
    case HealthState::kTrial:
      return "trial";
  }
  return "unknown";
}

PoolHealth::PoolHealth(EjectionPolicy policy)
    : policy_(policy), next_trial_(kNever) {}

void PoolHealth::Add(SlotIndex worker) {
  const auto it =
      std::lower_bound(workers_.begin(), workers_.end(), worker,
                       [](const Worker& a, SlotIndex id) { return a.id < id; });
  if (it != workers_.end() && it->id == worker) return;
  Worker added;
  added.id = worker;
  workers_.insert(it, added);
}

void PoolHealth::Remove(SlotIndex worker) {
  const Worker* found = Find(worker);
  if (found == nullptr) return;
  if (found->state != HealthState::kHealthy) --ejected_;
  workers_.erase(workers_.begin() + (found - workers_.data()));
  FindNextTrial();
}

HealthChange PoolHealth::OnResult(SlotIndex id, bool ok, Millis now) {
  Worker* worker = Find(id);
  if (worker == nullptr) return HealthChange::kNone;
  const double failed = ok ? 0.0 : 1.0;
  pool_failure_rate_ += kPoolWeight * (failed - pool_failure_rate_);
  worker->failure_rate += kWorkerWeight * (failed - worker->failure_rate);
  ++worker->results;
  if (worker->state == HealthState::kTrial) {
    if (!ok) {
      Eject(*worker, now);
      return HealthChange::kNone;
    }
    *worker = Worker{};
    worker->id = id;
    --ejected_;
    FindNextTrial();
    return HealthChange::kReadmitted;
  }
  const bool judged = worker->state == HealthState::kHealthy && !ok &&
                      worker->results >= policy_.min_results;
  const double others = policy_.pool_rate_multiple * pool_failure_rate_;
  if (!judged || worker->failure_rate < policy_.failure_rate ||
      worker->failure_rate < others || ejected_ >= max_ejected()) {
    return HealthChange::kNone;
  }
  ++ejected_;
  Eject(*worker, now);
  return HealthChange::kEjected;
}

void PoolHealth::EndTrial(SlotIndex id, Millis now) {
  Worker* worker = Find(id);
  if (worker == nullptr || worker->state != HealthState::kTrial) return;
  worker->state = HealthState::kEjected;
  worker->ejected_until = now + kTrialRetryDelay;
  next_trial_ = std::min(next_trial_, worker->ejected_until);
}

SlotIndex PoolHealth::StartTrial(Millis now) {
  if (now < next_trial_) return kNoSlot;
  for (Worker& worker : workers_) {
    if (worker.state != HealthState::kEjected || worker.ejected_until > now) {
      continue;
    }
    worker.state = HealthState::kTrial;
    FindNextTrial();
    return worker.id;
  }
  FindNextTrial();
  return kNoSlot;
}

HealthState PoolHealth::State(SlotIndex worker) const {
  const Worker* found = Find(worker);
  return found == nullptr ? HealthState::kHealthy : found->state;
}

int PoolHealth::max_ejected() const {
  const auto n = static_cast<int>(workers_.size());
  const int share = static_cast<int>(policy_.max_ejected_fraction * n);
  return std::max(share, n >= 2 ? 1 : 0);
}

const PoolHealth::Worker* PoolHealth::Find(SlotIndex worker) const {
  const auto it =
      std::lower_bound(workers_.begin(), workers_.end(), worker,
                       [](const Worker& a, SlotIndex id) { return a.id < id; });
  return it != workers_.end() && it->id == worker ? &*it : nullptr;
}

PoolHealth::Worker* PoolHealth::Find(SlotIndex worker) {
  return const_cast<Worker*>(std::as_const(*this).Find(worker));
}

// Each consecutive ejection doubles the time until the next trial.
void PoolHealth::Eject(Worker& worker, Millis now) {
  worker.state = HealthState::kEjected;
  worker.ejection_time =
      worker.ejection_time.count == 0
          ? policy_.initial_ejection_time
          : std::min(worker.ejection_time * 2, policy_.max_ejection_time);
  worker.ejected_until = now + worker.ejection_time;
  next_trial_ = std::min(next_trial_, worker.ejected_until);
}

void PoolHealth::FindNextTrial() {
  next_trial_ = kNever;
  for (const Worker& worker : workers_) {
    if (worker.state != HealthState::kEjected) continue;
    next_trial_ = std::min(next_trial_, worker.ejected_until);
  }
}

}  // namespace hemlockward::entry
