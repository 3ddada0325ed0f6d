// Starts of tasks that may crash their workers.

#include <algorithm>
#include <utility>

#include "jobs/scheduler.h"

namespace hemlockward::jobs {

namespace {

// A task that must run alone waits this long for a worker without any runs.
// Then a worker is kept free for it, and it shares one with long-running tasks,
// which a crash would interrupt.
constexpr Millis kEmptyWorkerWait = base::Seconds(2);
// A long-running task waits no longer than this: it serves others. The worker
// kept free for it has got no other runs meanwhile.
constexpr Millis kLastingTaskWait = base::Seconds(4);
// Each plan in which the task still waits extends it.
constexpr Millis kKeptFreeFor{500};

}  // namespace

bool HasWaitedForAnEmptyWorker(const Task& task, Millis now) {
  return now - task.idle_since > kEmptyWorkerWait;
}

bool MayRunBesideOthers(const StepSpec& step, const Task& task, Millis now) {
  return step.long_running && now - task.idle_since > kLastingTaskWait;
}

void Scheduler::KeepFree(const Job& job, const TaskId& id, int tasks,
                         Pool& pool, Millis now) const {
  const StepSpec& step = job.spec.steps[id.step];
  const Task& task = TaskOf(job, id);
  if (task.crashes.suspicion() != Suspicion::kRunAlone) return;
  if (!HasWaitedForAnEmptyWorker(task, now)) return;
  Resources need = step.need;
  if (step.fills) need.cpu_milli = 0;
  const std::string name = id.StepName();
  std::vector<Worker*> order = pool.workers;
  const auto rank = [now](const Worker& it) {
    return std::pair(now >= it.kept_free_until, it.runs.size());
  };
  std::stable_sort(order.begin(), order.end(),
                   [&rank](const Worker* a, const Worker* b) {
                     return rank(*a) < rank(*b);
                   });
  for (Worker* it : order) {
    if (tasks == 0) break;
    if (it->lone_runs > 0) continue;
    Worker vacated;
    vacated.entry = it->entry;
    for (const auto& [other, run] : it->runs) {
      if (run.job->long_running) vacated.used += run.need;
    }
    const int before = tasks;
    while (tasks > 0 && CanHost(job, step, name, task, vacated, false, now)) {
      vacated.used += need;
      ++vacated.per_step[name];
      --tasks;
    }
    if (tasks == before) continue;
    it->kept_free_until = now + kKeptFreeFor;
    it->kept_free_for = job.id;
  }
}

bool Scheduler::AnnounceRun(Job& job, Task& task, int number,
                            const std::string& worker) {
  CrashHistory& crashes = task.crashes;
  if (crashes.empty()) {
    // An earlier run, on a worker that was silent.
    if (std::exchange(crashes.announced_run, 0) != 0)
      unsaved_jobs_.insert(&job);
    return true;
  }
  if (crashes.announced_worker != worker) {
    crashes.announced_worker = worker;
    unsaved_jobs_.insert(&job);
  }
  if (crashes.announced_run == number) return true;
  crashes.announced_run = number;
  crashes.changed_at = ++job.crash_changes;
  unsaved_jobs_.insert(&job);
  return false;
}

void Scheduler::AnnounceRuns(const Worker& worker) {
  if (worker.entry.draining || worker.reserved) return;
  for (const auto& [id, run] : worker.runs) {
    Job& job = *run.job;
    Task& task = TaskOf(job, id);
    CrashHistory& crashes = task.crashes;
    if (HasEnded(job.state) || task.done) continue;
    if (crashes.announced_run >= run.number) continue;
    crashes.announced_run = run.number;
    crashes.announced_worker = worker.entry.id;
    unsaved_jobs_.insert(&job);
  }
}

}  // namespace hemlockward::jobs
