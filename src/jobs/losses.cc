// Runs that were lost with their workers.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "jobs/scheduler.h"

namespace hemlockward::jobs {

using base::LogLevel;
using base::LogLine;

void Scheduler::LoseRuns(Worker& worker, WorkerLoss loss, Millis gone_at,
                         Millis now) {
  std::vector<std::pair<Run, bool>> lost;
  for (const auto& [id, run] : worker.runs) {
    lost.emplace_back(run, IsAlone(worker, *run.job));
    TaskOf(*run.job, id).run_missed_at = gone_at;
  }
  while (!worker.runs.empty()) EndRun(worker, worker.runs.begin(), now);
  if (loss == WorkerLoss::kPlanned || worker.entry.draining) return;
  for (const auto& [run, alone] : lost) {
    RecordLoss(worker.entry.id, run, loss, alone, now);
  }
}

void Scheduler::RecordLoss(const std::string& worker, const Run& run,
                           WorkerLoss loss, bool alone, Millis now) {
  Job& job = *run.job;
  Task& task = TaskOf(job, run.task);
  if (HasEnded(job.state) || task.done) return;
  const bool crashed = loss == WorkerLoss::kCrashed;
  if (!task.crashes.Add({run.number, worker, crashed, run.started})) return;
  task.crashes.changed_at = ++job.crash_changes;
  unsaved_jobs_.insert(&job);
  if (!crashed) {
    unexplained_losses_.emplace(
        worker, UnexplainedLoss{run.task, run.number, alone, now});
  }
  LogLine(LogLevel::kInfo, "run_lost")
      .With("task", run.task.ToText())
      .With("run", run.number)
      .With("losses", task.crashes.lost_runs.size())
      .With("how", crashed ? "crash" : "out_of_reach")
      .With("started", run.started)
      .With("alone", alone);
  GiveUpIfDeadly(job, run.task, alone && crashed, now);
}

void Scheduler::GiveUpIfDeadly(Job& job, const TaskId& id, bool alone,
                               Millis now) {
  // Such a task is restarted however it ends, and serves others meanwhile.
  if (job.spec.steps[id.step].long_running) return;
  const CrashHistory& crashes = TaskOf(job, id).crashes;
  if (!crashes.ShouldGiveUp(alone)) return;
  LogLine(LogLevel::kWarning, "job_failed")
      .With("job", job.id)
      .With("task", id.ToText())
      .With("losses", crashes.lost_runs.size())
      .With("crashed_workers", crashes.crashed_workers());
  FailJob(job, now);
}

void Scheduler::ConfirmCrash(std::string_view worker, Millis now) {
  const auto [first, last] = unexplained_losses_.equal_range(worker);
  for (auto it = first; it != last; ++it) {
    const UnexplainedLoss& loss = it->second;
    const auto found = jobs_.find(loss.task.job);
    if (found == jobs_.end()) continue;
    Job& job = *found->second;
    if (HasEnded(job.state) || !HasTask(job, loss.task)) continue;
    Task& task = TaskOf(job, loss.task);
    if (task.done || !task.crashes.Confirm(loss.run)) continue;
    task.crashes.changed_at = ++job.crash_changes;
    unsaved_jobs_.insert(&job);
    LogLine(LogLevel::kInfo, "loss_was_crash")
        .With("task", loss.task.ToText())
        .With("run", loss.run)
        .With("worker", worker);
    GiveUpIfDeadly(job, loss.task, loss.alone, now);
  }
  unexplained_losses_.erase(first, last);
}

void Scheduler::RecordReturn(const Worker& worker, const WorkerReport& report,
                             Millis sent, Millis now) {
  const bool first_report = worker.started_at_ms == 0;
  const std::int64_t row = worker.row_started_at_ms;
  // It has restarted since an earlier leader used it.
  if (first_report && row > 0 && report.started_at_ms > row &&
      !worker.entry.draining) {
    ConfirmCrash(worker.entry.id, now);
  }
  const bool same_incarnation =
      !first_report || (row > 0 && report.started_at_ms == row);
  const auto runs_on = [&report](const UnexplainedLoss& loss) {
    return std::any_of(report.active.begin(), report.active.end(),
                       [&loss](const ActiveRun& it) {
                         return it.task == loss.task && it.run == loss.run;
                       });
  };
  const auto [first, last] = unexplained_losses_.equal_range(worker.entry.id);
  for (auto it = first; it != last;) {
    const UnexplainedLoss& loss = it->second;
    if (loss.at >= sent) {
      ++it;
      continue;
    }
    const auto found = jobs_.find(loss.task.job);
    if (same_incarnation && !runs_on(loss) && found != jobs_.end() &&
        HasTask(*found->second, loss.task)) {
      Job& job = *found->second;
      RecordSurvival(job, TaskOf(job, loss.task), loss.run);
    }
    it = unexplained_losses_.erase(it);
  }
}

void Scheduler::RecordSurvival(Job& job, Task& task, int run) {
  if (!task.crashes.Remove(run)) return;
  task.crashes.changed_at = ++job.crash_changes;
  if (!HasEnded(job.state)) unsaved_jobs_.insert(&job);
}

void Scheduler::BeginIncarnation(Worker& worker, std::int64_t started_at_ms,
                                 Millis now) {
  LogLine(LogLevel::kInfo, "worker_restarted")
      .With("worker", worker.entry.id)
      .With("runs", worker.runs.size())
      .With("born", started_at_ms);
  const bool planned = worker.entry.draining || worker.reserved;
  if (!planned) ConfirmCrash(worker.entry.id, now);
  worker.started_at_ms = started_at_ms;
  worker.left = {started_at_ms, leaders_lost_};
  worker.refuses_since = {-1};
  // The clock starts anew: until a report tells its time, no lease is granted.
  worker.clock_ms = worker.report_clock_ms = 0;
  worker.reported_end_number = worker.committed_end_number =
      worker.confirmed_end_number = 0;
  for (auto& [id, run] : worker.runs) {
    run.worker_crashed = !planned;
    run.was_alone = IsAlone(worker, *run.job);
  }
  ExpectFormerCalls(worker, now);
}

}  // namespace hemlockward::jobs
