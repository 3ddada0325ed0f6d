// Processing of workers' answers and reports: the scheduler's record of runs.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "jobs/scheduler.h"

namespace hemlockward::jobs {

using base::LogLevel;
using base::LogLine;

namespace {

// Pause before the next start on a worker that had no room, unless a run ends
// there.
constexpr Millis kNoRoomPause{100};
// Pause after a worker refused a start.
constexpr Millis kRefusedPause{500};
// A run without progress for this long has stalled: the longest task of the
// sites gains one percent every 42 ms, or every 340 ms on a worker slowed
// eightfold.
constexpr Millis kStallTimeout{1500};
// Startup limit of long-running tasks, well above their usual startup time.
constexpr Millis kStartupTimeout{5000};
// Number of consecutive failed runs of different jobs that eject a worker, and
// the time until it is used again.
constexpr int kFailuresToEject = 3;
constexpr Millis kEjectionTime{4000};
constexpr Millis kStopRetryInterval{200};
// A job with more failed runs is given up: its progress must fit into one
// transaction of 1 MB, in which each run takes 40 bytes at most.
constexpr int kMaxFailedRuns = 15'000;
constexpr int kFullPace = 100;
constexpr int kFullPercent = 100;
// A reading of a worker's clock up to this age is extrapolated at the local
// rate; the error is at most the drift over this time. For older readings the
// slowest rate is assumed for the time beyond it, so that no lease is longer
// than `LongestLease`.
constexpr Millis kTrustedReadingAge = base::Seconds(10);
// Readings of clocks and their estimates are rounded to milliseconds.
constexpr std::int64_t kClockRoundingMs = 3;

// A lasting task may fail on any number of workers.
void Avoid(Task& task, const std::string& worker) {
  constexpr std::size_t kMaxAvoided = 16;
  task.avoid.push_back(worker);
  if (task.avoid.size() > kMaxAvoided) task.avoid.erase(task.avoid.begin());
}

// A worker has confirmed that a task of the job started.
void MarkStarted(Job& job) {
  if (job.state == JobState::kPending) job.state = JobState::kRunning;
}

std::string_view ToText(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLapsed:
      return "lapsed";
    case EndKind::kGangMemberEnded:
      return "broken";
    case EndKind::kGangIncomplete:
      return "alone";
  }
  return "failed";
}

}  // namespace

Millis LongestLease(const SchedulerSettings& settings, Millis unread) {
  const Millis trusted = std::min(unread, kTrustedReadingAge);
  const double length =
      static_cast<double>(settings.lease.count) +
      settings.clock_drift * static_cast<double>(trusted.count);
  return kLeaseMargin +
         Millis{static_cast<std::int64_t>(length / (1 - settings.clock_drift))};
}

Millis LongestLease(const SchedulerSettings& settings) {
  return LongestLease(settings, kTrustedReadingAge);
}

Millis LongestGrant(const SchedulerSettings& settings) {
  const auto length = static_cast<double>(settings.longest_lease.count);
  return kLeaseMargin +
         Millis{static_cast<std::int64_t>(length / (1 - settings.clock_drift))};
}

std::int64_t Scheduler::LeaseEnd(const Worker& worker, Millis now) const {
  if (worker.clock_ms == 0) return 0;
  const Millis unread = now - worker.clock_at;
  const Millis old = std::max(Millis{0}, unread - kTrustedReadingAge);
  const double behind = settings_.clock_drift * static_cast<double>(old.count);
  return worker.clock_ms + unread.count - static_cast<std::int64_t>(behind) +
         settings_.lease.count;
}

void Scheduler::RecordLease(Worker& worker, Millis now) {
  const Millis length = LongestLease(settings_, now - worker.clock_at);
  worker.lease_expires_by = std::max(worker.lease_expires_by, now + length);
}

void Scheduler::AddRun(Worker& worker, Job& job, const TaskId& id, int number,
                       RunPhase phase, Millis now) {
  Run run;
  run.job = &job;
  run.task = id;
  run.number = number;
  run.phase = phase;
  const StepSpec& step = job.spec.steps[id.step];
  run.need = step.need;
  if (step.fills) run.need.cpu_milli = 0;
  run.sent = run.settled_from = run.progress_at = now;
  worker.used += run.need;
  if (step.max_per_worker > 0) ++worker.per_step[id.StepName()];
  if (step.tail_target.count > 0) ++worker.serving_runs;
  Task& task = TaskOf(job, id);
  SetSuspicion(worker, run, task.crashes.suspicion());
  worker.runs[id] = run;
  ++run_count_;
  ++job.active_runs;
  ++task.active_runs;
  task.started = true;
  task.possibly_running = false;
  task.last_run = std::max(task.last_run, number);
}

void Scheduler::EndRun(Worker& worker, std::map<TaskId, Run>::iterator it,
                       Millis now) {
  Run& run = it->second;
  SetSuspicion(worker, run, Suspicion::kNone);
  worker.used -= run.need;
  const StepSpec& step = run.job->spec.steps[run.task.step];
  if (step.max_per_worker > 0) {
    const auto count = worker.per_step.find(run.task.StepName());
    if (--count->second <= 0) worker.per_step.erase(count);
  }
  if (step.tail_target.count > 0) --worker.serving_runs;
  --run_count_;
  --run.job->active_runs;
  Task& task = TaskOf(*run.job, run.task);
  --task.active_runs;
  task.idle_since = now;
  worker.runs.erase(it);
  worker.refused_until = std::min(worker.refused_until, now);
  if (worker.runs.empty()) worker.idle_since = now;
}

bool IsAlone(const Worker& worker, const Job& job) {
  return std::all_of(
      worker.runs.begin(), worker.runs.end(), [&job](const auto& it) {
        const Run& other = it.second;
        return other.job == &job ||
               (other.job->long_running && other.percent >= kFullPercent);
      });
}

void Scheduler::SetSuspicion(Worker& worker, Run& run, Suspicion suspicion) {
  const auto count = [&worker, &run](int by) {
    if (run.suspicion != Suspicion::kNone) worker.suspect_runs += by;
    if (run.suspicion == Suspicion::kRunAlone) worker.lone_runs += by;
  };
  count(-1);
  run.suspicion = suspicion;
  count(+1);
}

void Scheduler::OnStart(const StartOrder& order, StartAnswer answer,
                        Millis now) {
  Worker* worker = FindWorker(order.worker);
  if (!worker) return;
  const auto it = worker->runs.find(order.task);
  if (it == worker->runs.end() || it->second.number != order.run ||
      it->second.phase != RunPhase::kSent) {
    return;
  }
  Run& run = it->second;
  if (answer == StartAnswer::kStarted) {
    run.phase = RunPhase::kRunning;
    run.started = true;
    run.settled_from = run.progress_at = now;
    MarkStarted(*run.job);
    return;
  }
  if (answer == StartAnswer::kUnknown) {
    run.phase = RunPhase::kUnsettled;
    worker->stops_wanted = worker->unresponsive = true;
    // It may be carried out by a worker that has restarted under its id.
    ExpectLongestLease(*worker, now);
    return;
  }
  Job& job = *run.job;
  EndRun(*worker, it, now);
  if (job.spec.steps[order.task.step].gang) StopGang(job, order.task);
  switch (answer) {
    case StartAnswer::kNoConnection:
      ReserveConnections(*worker, now);
      [[fallthrough]];
    case StartAnswer::kNoCapacity:
      worker->refused_until = now + kNoRoomPause;
      break;
    case StartAnswer::kNoTicket:
      tickets_.erase(order.task.StepName());
      break;
    case StartAnswer::kStale:
      break;
    default:
      worker->refused_until = now + kRefusedPause;
      worker->unresponsive = true;
  }
}

bool Scheduler::OnClock(std::string_view id, std::int64_t clock_ms, Millis sent,
                        Millis now) {
  Worker* worker = FindWorker(id);
  if (!worker || clock_ms == 0 || worker->clock_ms == 0) return false;
  // The least that the clock can have shown when the order was sent.
  const auto since = static_cast<double>((sent - worker->clock_at).count);
  const double rate = since > 0 ? 1 - settings_.clock_drift : 1;
  const std::int64_t least = worker->clock_ms +
                             static_cast<std::int64_t>(since * rate) -
                             kClockRoundingMs;
  if (clock_ms >= least) return false;
  LogLine(LogLevel::kInfo, "worker_clock_went_back")
      .With("worker", id)
      .With("clock_ms", clock_ms)
      .With("expected_ms", least);
  worker->unresponsive = true;
  ExpectFormerCalls(*worker, now);
  return true;
}

bool Scheduler::OnStop(const StopOrder& order, bool answered, Millis now) {
  Worker* worker = FindWorker(order.worker);
  if (!worker) return false;
  const auto it = worker->runs.find(order.task);
  if (it == worker->runs.end() || it->second.number != order.run) return false;
  Run& run = it->second;
  run.stop_in_flight = false;
  if (!answered) {
    run.stop_retry_at = now + kStopRetryInterval;
    worker->stops_wanted = true;
    return false;
  }
  // The worker now refuses a delayed start, and reports the end of the run if
  // it had started.
  const bool settles = run.phase == RunPhase::kUnsettled;
  run.stop_wanted = false;
  run.phase = RunPhase::kRunning;
  run.settled_from = now;
  return settles;
}

void Scheduler::OnReport(std::string_view id, const WorkerReport& report,
                         Millis sent, Millis now) {
  Worker* worker = FindWorker(id);
  // Answers on different connections may arrive out of order.
  if (!worker || worker->ended || sent < worker->report_sent) return;
  worker->report_sent = sent;
  if (report.started_at_ms > 0 && worker->started_at_ms > 0 &&
      report.started_at_ms != worker->started_at_ms) {
    if (report.started_at_ms < worker->started_at_ms) return;
    BeginIncarnation(*worker, report.started_at_ms, now);
  }
  // A request that waited for an end is answered with a later state than one
  // that was sent after it and answered at once.
  const bool same_clock = report.started_at_ms > 0 && worker->started_at_ms > 0;
  if (same_clock && report.clock_ms < worker->report_clock_ms) return;
  const bool is_newest =
      !same_clock || report.clock_ms > worker->report_clock_ms;
  worker->report_clock_ms = report.clock_ms;
  RecordReturn(*worker, report, sent, now);
  if (report.started_at_ms > 0) {
    worker->started_at_ms = report.started_at_ms;
    if (worker->left.started_at_ms != report.started_at_ms) {
      worker->left = {report.started_at_ms, leaders_lost_};
    }
  }
  worker->clock_ms = report.clock_ms;
  worker->clock_at = now;
  worker->last_report_at = now;
  worker->unresponsive = false;
  RecordContact(*worker, false, now);
  worker->adopted = true;
  worker->more_ended = report.more_ended;
  if (!report.more_ended) worker->earlier_runs_known = true;
  for (const EndedRun& it : report.ended) OnEnd(*worker, it, now);
  std::set<TaskId> active;
  worker->unknown_runs = 0;
  for (const ActiveRun& it : report.active) {
    active.insert(it.task);
    OnActive(*worker, it, sent, now);
  }
  for (auto it = worker->runs.begin(); it != worker->runs.end();) {
    const auto next = std::next(it);
    const Run& run = it->second;
    const bool settled = run.phase == RunPhase::kRunning &&
                         run.settled_from < sent && is_newest &&
                         !report.more_ended;
    if (settled && !active.contains(it->first)) {
      const Run ended = run;
      TaskOf(*ended.job, ended.task).run_missed_at = now;
      EndRun(*worker, it, now);
      if (ended.worker_crashed) {
        RecordLoss(worker->entry.id, ended, WorkerLoss::kCrashed,
                   ended.was_alone, now);
      }
    }
    it = next;
  }
}

void Scheduler::OnActive(Worker& worker, const ActiveRun& active, Millis sent,
                         Millis now) {
  const auto found = jobs_.find(active.task.job);
  Job* job = found == jobs_.end() ? nullptr : found->second.get();
  auto it = worker.runs.find(active.task);
  if (it == worker.runs.end()) {
    const bool known = job && HasTask(*job, active.task);
    if (!known) {
      // The job ended before this term. The lease of the run is renewed with
      // that of the worker's other runs, so it does not end by itself.
      ++worker.unknown_runs;
      unknown_run_stops_.push_back({worker.entry.id, active.task, active.run});
      LogLine(LogLevel::kWarning, "unknown_run")
          .With("worker", worker.entry.id)
          .With("task", active.task.ToText());
      return;
    }
    AddRun(worker, *job, active.task, active.run, RunPhase::kRunning, now);
    if (AddService(*job, worker.entry.service) && !HasEnded(job->state)) {
      unsaved_jobs_.insert(job);
    }
    it = worker.runs.find(active.task);
    const Task& task = TaskOf(*job, active.task);
    if (HasEnded(job->state) || task.done || task.active_runs > 1) {
      it->second.stop_wanted = worker.stops_wanted = true;
    }
  }
  Run& run = it->second;
  MarkStarted(*run.job);
  if (active.run < run.number) return;
  if (active.run > run.number) run.number = active.run;
  if (run.phase == RunPhase::kSent || run.phase == RunPhase::kUnsettled) {
    run.phase = RunPhase::kRunning;
    run.settled_from = sent;
    run.stopping = run.stop_wanted || run.stop_in_flight;
  }
  run.started = true;
  run.worker_crashed = false;
  Task& task = TaskOf(*run.job, run.task);
  task.last_run = std::max(task.last_run, active.run);
  if (task.crashes.Resume(active.run, worker.entry.id)) {
    task.crashes.changed_at = ++run.job->crash_changes;
    if (!HasEnded(run.job->state)) unsaved_jobs_.insert(run.job);
  }
  if (!active.checkpoint.empty()) task.checkpoint = active.checkpoint;
  if (active.percent != run.percent) run.progress_at = now;
  run.percent = active.percent;
  run.load = active.load;
  const bool at_work = run.job->long_running && run.percent >= kFullPercent;
  if (at_work && !task.crashes.empty()) {
    for (const LostRun& it : std::vector<LostRun>(task.crashes.lost_runs)) {
      RecordSurvival(*run.job, task, it.run);
    }
    SetSuspicion(worker, run, Suspicion::kNone);
  }
  CheckProgress(worker, run, now);
}

void Scheduler::OnEnd(Worker& worker, const EndedRun& end, Millis now) {
  if (end.number <= worker.reported_end_number) return;
  worker.reported_end_number = end.number;
  const auto it = worker.runs.find(end.task);
  const bool ours = it != worker.runs.end() && it->second.number == end.run;
  if (ours) EndRun(worker, it, now);
  const auto found = jobs_.find(end.task.job);
  if (found == jobs_.end() || !HasTask(*found->second, end.task)) return;
  Job& job = *found->second;
  Task& task = TaskOf(job, end.task);
  task.last_run = std::max(task.last_run, end.run);
  task.started = true;
  MarkStarted(job);
  RecordSurvival(job, task, end.run);
  if (!end.checkpoint.empty()) task.checkpoint = end.checkpoint;
  LogLine(LogLevel::kInfo, "run_ended")
      .With("task", end.task.ToText())
      .With("run", end.run)
      .With("worker", worker.entry.id)
      .With("how", ToText(end.kind));
  const StepSpec& step = job.spec.steps[end.task.step];
  if (end.kind == EndKind::kDone) {
    worker.failures = 0;
    if (!step.long_running) MarkDone(job, end.task, now);
    return;
  }
  if (end.kind != EndKind::kFailed) return;
  auto& failed = task.failed_runs;
  if (std::find(failed.begin(), failed.end(), end.run) != failed.end()) return;
  CountFailure(worker, job, now);
  Avoid(task, worker.entry.id);
  if (step.long_running || HasEnded(job.state)) return;
  failed.push_back(end.run);
  if (!task.done) ++job.failed_runs;
  unsaved_jobs_.insert(&job);
  const int attempts = QueueOf(job).attempts;
  const bool too_many = job.failed_runs > kMaxFailedRuns;
  if (!task.done && (too_many || static_cast<int>(failed.size()) >= attempts)) {
    LogLine(LogLevel::kInfo, "job_failed")
        .With("job", job.id)
        .With("task", end.task.ToText())
        .With("attempts", attempts);
    FailJob(job, now);
  }
}

void Scheduler::MarkDone(Job& job, const TaskId& id, Millis now) {
  Occurrence& occurrence = job.occurrences.at(id.occurrence);
  Step& step = occurrence.steps[id.step];
  const StepSpec& spec = job.spec.steps[id.step];
  const int before = step.done;
  const auto mark = [&job, &step](Task& task) {
    if (std::exchange(task.done, true)) return;
    job.failed_runs -= static_cast<int>(task.failed_runs.size());
    ++step.done;
  };
  if (spec.gang) {
    for (Task& it : step.tasks) mark(it);
  } else {
    mark(step.tasks[id.index]);
  }
  if (step.done == before) return;
  UpdateRemaining(job);
  if (!HasEnded(job.state)) unsaved_jobs_.insert(&job);
  if (step.tasks[id.index].active_runs > 0) StopAll(job);
  if (step.done < spec.task_count) return;
  ++occurrence.steps_done;
  if (!occurrence.IsDone()) return;
  if (++job.occurrences_done < OccurrenceCount(job.spec)) return;
  if (HasEnded(job.state)) return;
  job.state = JobState::kCompleted;
  job.over_since = now;
  active_jobs_.erase(&job);
  LogLine(LogLevel::kInfo, "job_completed")
      .With("job", job.id)
      .With("queue", job.queue)
      .With("after_ms", (now - job.accepted).count)
      .With("objective_ms", (job.objective - job.accepted).count);
}

void Scheduler::CountFailure(Worker& worker, const Job& job, Millis now) {
  if (worker.last_failed_job == job.id) return;
  worker.last_failed_job = job.id;
  if (++worker.failures < kFailuresToEject) return;
  worker.failures = kFailuresToEject - 1;
  worker.ejected_until = now + kEjectionTime;
  LogLine(LogLevel::kWarning, "worker_ejected")
      .With("worker", worker.entry.id)
      .With("failures", kFailuresToEject)
      .With("for_ms", kEjectionTime.count);
}

// Stops a stalled run, so that its task is started on another worker.
void Scheduler::CheckProgress(Worker& worker, Run& run, Millis now) {
  const StepSpec& step = run.job->spec.steps[run.task.step];
  if (run.stop_wanted || run.stopping || run.pace < kFullPace) return;
  if (step.long_running && run.percent >= 100) return;
  const Millis limit = step.long_running ? kStartupTimeout : kStallTimeout;
  if (now - run.progress_at < limit) return;
  run.stop_wanted = worker.stops_wanted = true;
  run.progress_at = now;
  Avoid(TaskOf(*run.job, run.task), worker.entry.id);
  CountFailure(worker, *run.job, now);
  LogLine(LogLevel::kInfo, "run_stands_still")
      .With("task", run.task.ToText())
      .With("worker", worker.entry.id)
      .With("percent", run.percent)
      .With("for_ms", limit.count);
}

}  // namespace hemlockward::jobs
