#include "control/wave.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "control/pool_headroom.h"

namespace hemlockward::control {

using base::Millis;
using base::VmState;
using base::WallMillis;

namespace {

constexpr int kMinutesOfDay = 24 * 60;

// True when `a` was started before `b`; ids break ties.
bool StartedBefore(const base::WaveRow& a, const base::WaveRow& b) {
  if (a.started != b.started) return a.started < b.started;
  return a.wave < b.wave;
}

bool IsActive(const base::WaveRow& wave) {
  return !wave.stopped && !wave.finished;
}

int MinuteOfDay(WallMillis wall) {
  return static_cast<int>(wall.count / base::Minutes(1).count % kMinutesOfDay);
}

// The VMs of one pool that a wave still has to take, in their order.
struct PoolQueue {
  const PoolHealth* pool;
  PoolHeadroom headroom;
  std::vector<const base::VmRow*> vms{};
  std::size_t next = 0;
};

// One wave's step over the pools that it includes.
class WaveStepPlanner {
 public:
  WaveStepPlanner(const base::FleetView& view, const base::WaveRow& wave,
                  const Demand& demand, const Accounts& accounts,
                  const WaveSettings& settings, WallMillis now)
      : view_(view),
        wave_(wave),
        demand_(demand),
        accounts_(accounts),
        settings_(settings),
        now_(now) {
    step_.wave = wave.wave;
  }

  /// Counts the VMs of one pool by progress and collects those to take out.
  void Add(const PoolHealth& pool, bool may_take_out);
  WaveStep Finish();

 private:
  void Classify(const VmStatus& vm, std::vector<const VmStatus*>& todo);
  void ClassifyTaken(const VmStatus& vm);
  bool ShouldStop();
  int ComputeAllowance();
  PoolQueue MakeQueue(const PoolHealth& pool,
                      const std::vector<const VmStatus*>& todo);
  bool TakeOutNext(PoolQueue& queue);
  void TakeOutRoundRobin(int allowance);

  const base::FleetView& view_;
  const base::WaveRow& wave_;
  const Demand& demand_;
  const Accounts& accounts_;
  const WaveSettings& settings_;
  WallMillis now_;
  int proven_count_ = 0;  // VMs back for at least canary_soak.
  std::vector<std::pair<const PoolHealth*, std::vector<const VmStatus*>>> todo_;
  WaveStep step_;
};

void WaveStepPlanner::ClassifyTaken(const VmStatus& vm) {
  WaveProgress& progress = step_.progress;
  const Millis age = now_ - vm.row->changed;
  if (vm.row->state == VmState::kMember) {
    const bool fell = vm.health == VmHealth::kFailed &&
                      vm.since - vm.row->changed < settings_.failure_watch;
    // The failure of a whole rack or zone is not attributed to the
    // maintenance.
    if (fell && !vm.location_failed) {
      ++progress.failed;
      return;
    }
    ++progress.done;
    if (vm.health == VmHealth::kUp && age >= settings_.canary_soak)
      ++proven_count_;
    return;
  }
  const bool overdue =
      vm.row->state != VmState::kLeaving && age > settings_.return_limit;
  ++(overdue ? progress.failed : progress.taken_out);
}

void WaveStepPlanner::Classify(const VmStatus& vm,
                               std::vector<const VmStatus*>& todo) {
  WaveProgress& progress = step_.progress;
  if (vm.row->state == VmState::kLost) return;
  ++progress.total;
  if (vm.row->wave == wave_.wave) return ClassifyTaken(vm);
  if (!WaveNeedsVm(view_, wave_, *vm.row)) {
    ++progress.done;
    return;
  }
  const bool broken = vm.health == VmHealth::kFailed &&
                      now_ - vm.since > settings_.return_limit;
  if (broken) {
    ++progress.skipped;
    return;
  }
  ++progress.todo;
  if (vm.health == VmHealth::kUp) todo.push_back(&vm);
}

void WaveStepPlanner::Add(const PoolHealth& pool, bool may_take_out) {
  std::vector<const VmStatus*> todo;
  for (const VmStatus& it : pool.vms) Classify(it, todo);
  if (may_take_out && !todo.empty()) todo_.emplace_back(&pool, std::move(todo));
}

// Stops the wave when its maintenance causes failures, before they spread.
bool WaveStepPlanner::ShouldStop() {
  const WaveProgress& progress = step_.progress;
  const int ended = progress.done + progress.failed;
  if (progress.failed == 0) return false;
  if (progress.done == 0) {
    step_.reason = "the canary did not come back well";
    return true;
  }
  const bool many =
      progress.failed >= settings_.min_failures_to_stop &&
      progress.failed * 100 > settings_.stop_failure_percent * ended;
  if (!many) return false;
  step_.reason = std::to_string(progress.failed) + " of " +
                 std::to_string(ended) + " VMs did not come back well";
  return true;
}

// How many more VMs the wave as a whole may take out now.
int WaveStepPlanner::ComputeAllowance() {
  const WaveProgress& progress = step_.progress;
  if (proven_count_ == 0) {
    const bool untouched =
        progress.taken_out == 0 && progress.done == 0 && progress.failed == 0;
    step_.reason = untouched ? "canary first" : "waiting for the canary";
    return untouched ? 1 : 0;
  }
  int width = settings_.width_per_proven_vm * proven_count_;
  if (progress.failed > 0) {
    // The number of VMs out of service at once falls to one as the failure
    // rate approaches stop_failure_percent.
    const int ended = progress.done + progress.failed;
    const int tenths =
        std::max(0, 10 - progress.failed * 1000 /
                             (settings_.stop_failure_percent * ended));
    const int narrowed = std::max(1, width * tenths / 10);
    if (narrowed < width) {
      step_.action = WaveAction::kNarrow;
      step_.reason = "narrowed to " + std::to_string(narrowed) +
                     " at once: " + std::to_string(progress.failed) + " of " +
                     std::to_string(ended) + " VMs did not come back well";
    }
    width = narrowed;
  }
  return std::max(0, width - progress.taken_out);
}

// VMs of the fullest racks go first: that lowers the loss when a rack fails,
// so that more VMs may be taken out.
PoolQueue WaveStepPlanner::MakeQueue(const PoolHealth& pool,
                                     const std::vector<const VmStatus*>& todo) {
  PoolQueue queue{&pool,
                  PoolHeadroom(pool, demand_, accounts_, settings_, now_)};
  for (const VmStatus* it : todo) queue.vms.push_back(it->row);
  const auto up_in_rack = [&](const base::VmRow* row) {
    return queue.headroom.UpInRack(queue.headroom.RackIndexOf(*row));
  };
  std::stable_sort(queue.vms.begin(), queue.vms.end(),
                   [&](const base::VmRow* a, const base::VmRow* b) {
                     return up_in_rack(a) > up_in_rack(b);
                   });
  return queue;
}

// Takes out the next VM that the pool allows; false when there is none.
bool WaveStepPlanner::TakeOutNext(PoolQueue& queue) {
  while (queue.next < queue.vms.size()) {
    const base::VmRow& row = *queue.vms[queue.next++];
    if (!queue.headroom.CanTakeOut(row)) continue;
    queue.headroom.TakeOut(row);
    Decision decision;
    decision.vm = row.vm;
    decision.action = Action::kTakeOut;
    decision.wave = wave_.wave;
    decision.reason = "wave " + wave_.wave.value + ": pool " +
                      queue.pool->pool.value + " stays above its floor of " +
                      std::to_string(queue.pool->need.floor) +
                      " even if its worst rack fails";
    step_.take_out.push_back(std::move(decision));
    return true;
  }
  return false;
}

// Round robin over the pools, most VMs left first, so that no pool is
// starved while the wave as a whole may take out only a few VMs.
void WaveStepPlanner::TakeOutRoundRobin(int allowance) {
  std::stable_sort(todo_.begin(), todo_.end(),
                   [](const auto& a, const auto& b) {
                     return a.second.size() > b.second.size();
                   });
  std::vector<PoolQueue> queues;
  for (const auto& [pool, todo] : todo_)
    queues.push_back(MakeQueue(*pool, todo));
  bool progress = true;
  while (progress) {
    progress = false;
    for (PoolQueue& it : queues) {
      if (allowance <= 0) return;
      if (!TakeOutNext(it)) continue;
      --allowance;
      progress = true;
    }
  }
  if (!step_.reason.empty() || queues.empty()) return;
  const PoolQueue& longest = queues.front();
  if (longest.headroom.limit().empty()) return;
  step_.reason =
      "pool " + longest.pool->pool.value + ": " + longest.headroom.limit();
}

WaveStep WaveStepPlanner::Finish() {
  const WaveProgress& progress = step_.progress;
  if (ShouldStop()) {
    step_.action = WaveAction::kStop;
    return std::move(step_);
  }
  if (progress.todo == 0 && progress.taken_out == 0) {
    step_.action = WaveAction::kFinish;
    step_.reason = std::to_string(progress.done) + " VMs done, " +
                   std::to_string(progress.failed) + " failed, " +
                   std::to_string(progress.skipped) + " down by themselves";
    return std::move(step_);
  }
  const int allowance = ComputeAllowance();
  if (allowance > 0) TakeOutRoundRobin(allowance);
  return std::move(step_);
}

std::vector<const base::WaveRow*> ActiveWaves(const base::FleetView& view) {
  std::vector<const base::WaveRow*> waves;
  for (const auto& [id, wave] : view.waves) {
    if (IsActive(wave)) waves.push_back(&wave);
  }
  std::sort(waves.begin(), waves.end(),
            [](const base::WaveRow* a, const base::WaveRow* b) {
              return StartedBefore(*a, *b);
            });
  return waves;
}

}  // namespace

bool WaveIncludes(const base::WaveRow& wave, const base::PoolId& pool) {
  if (wave.pools.empty()) return true;
  return std::find(wave.pools.begin(), wave.pools.end(), pool) !=
         wave.pools.end();
}

const base::WaveRow* ActiveWave(const base::FleetView& view,
                                const base::PoolId& pool) {
  const base::WaveRow* oldest = nullptr;
  for (const auto& [id, wave] : view.waves) {
    if (!IsActive(wave) || !WaveIncludes(wave, pool)) continue;
    if (oldest == nullptr || StartedBefore(wave, *oldest)) oldest = &wave;
  }
  return oldest;
}

bool WaveNeedsVm(const base::FleetView& view, const base::WaveRow& wave,
                 const base::VmRow& row) {
  if (row.wave.empty()) return true;
  if (row.wave == wave.wave) return false;
  const auto last = view.waves.find(row.wave);
  return last == view.waves.end() || StartedBefore(last->second, wave);
}

std::vector<WaveStep> NextWaveSteps(
    const base::FleetView& view, const Verdicts& verdicts, const Demand& demand,
    const Accounts& accounts, const WaveSettings& settings, WallMillis now) {
  const std::vector<const base::WaveRow*> waves = ActiveWaves(view);
  std::vector<WaveStep> steps;
  if (waves.empty()) return steps;
  const std::vector<PoolHealth> pools =
      EvaluateFleet(view, verdicts, settings.health, now);
  for (const base::WaveRow* wave : waves) {
    WaveStepPlanner planner(view, *wave, demand, accounts, settings, now);
    for (const PoolHealth& pool : pools) {
      if (!WaveIncludes(*wave, pool.pool)) continue;
      // Waves over one pool take turns, oldest first.
      planner.Add(pool, ActiveWave(view, pool.pool) == wave);
    }
    steps.push_back(planner.Finish());
  }
  return steps;
}

const base::ServiceDocument* FindDocumentOutsideHours(
    const PoolHealth& pool, Millis maintenance_duration, WallMillis now) {
  for (const base::ServiceDocument* it : pool.need.documents) {
    const WallMillis back = now + maintenance_duration + it->graceful_stop;
    const bool inside = IsInMaintenanceHours(*it, MinuteOfDay(now)) &&
                        IsInMaintenanceHours(*it, MinuteOfDay(back));
    if (!inside) return it;
  }
  return nullptr;
}

bool IsInMaintenanceHours(const base::ServiceDocument& document, int minute) {
  const int from = document.maintenance_from_minute;
  const int to = document.maintenance_to_minute;
  if (from <= to) return from <= minute && minute < to;
  return minute >= from || minute < to;
}

}  // namespace hemlockward::control
