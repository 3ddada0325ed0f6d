#include "jobs/scheduler.h"

#include <algorithm>

#include "base/log.h"
#include "jobs/rows.h"

namespace hemlockward::jobs {

using base::LogLevel;
using base::LogLine;

namespace {

// Run numbers reserved for one term; no term starts a task this often.
constexpr int kRunsPerTerm = 1000;
// A long-running task that waits longer requests one more VM.
constexpr Millis kStuckAfter{500};
constexpr Millis kExpiryInterval = base::Seconds(1);
// How long a lost worker's successor may take to show that it crashed.
constexpr Millis kExplanationWait = base::Seconds(30);

// Tasks of all occurrences that a job may have open, unless a single one has
// more.
constexpr std::size_t kMaxOpenTasks = 4096;
// An occurrence is opened this long before it is due: by then the store tells
// other leaders, and VMs are there for it.
constexpr Millis kOpenAhead = base::Seconds(2);
// VMs are requested this long before they are needed: a move takes 1.5 s.
constexpr Millis kForecastLeadTime{1600};

}  // namespace

void Scheduler::BeginTerm(std::uint64_t term, Millis earlier_leases_expire_at,
                          int leaders_lost) {
  term_ = term;
  leaders_lost_ = leaders_lost;
  earlier_leases_expire_at_ = earlier_leases_expire_at;
  renewed_ = {-1};
  registrations_as_of_.reset();
  active_jobs_.clear();
  unknown_run_stops_.clear();
  unsaved_jobs_.clear();
  rows_.clear();
  job_rows_ = progress_rows_ = {};
  workers_.clear();
  former_workers_.clear();
  unexplained_losses_.clear();
  tickets_.clear();
  advice_requested_.reset();
  jobs_.clear();
  arrivals_.clear();
  run_count_ = held_bytes_ = 0;
}

void Scheduler::SetConfiguration(const Configuration& config) {
  config_ = config;
  for (const Queue& it : config.queues) queues_[it.name] = it;
}

const Queue& Scheduler::QueueOf(const Job& job) const {
  const auto it = queues_.find(job.queue);
  return it == queues_.end() ? job.accepted_queue : it->second;
}

int Scheduler::NextRun(const Task& task) const {
  const int first = static_cast<int>(term_) * kRunsPerTerm + 1;
  return std::max(first, task.last_run + 1);
}

Job& Scheduler::AddJob(std::string id, std::string queue, JobSpec spec,
                       Millis now) {
  auto job = std::make_unique<Job>();
  job->id = std::move(id);
  job->queue = std::move(queue);
  job->spec = std::move(spec);
  job->accepted = now;
  for (const StepSpec& it : job->spec.steps) {
    job->long_running = job->long_running || it.long_running;
  }
  job->occurrences[0] = NewOccurrence(job->spec, now);
  UpdateRemaining(*job);
  job->chain = job->remaining_chain;
  if (job->spec.occurrences == 0) {
    job->next_occurrence = job->committed_next_occurrence = 1;
  } else {
    job->occurrences.clear();
    UpdateRemaining(*job);
  }
  Job& added = *job;
  if (!demand_since_ && !added.long_running) demand_since_ = now;
  jobs_[added.id] = std::move(job);
  active_jobs_.insert(&added);
  return added;
}

Submission Scheduler::Submit(const Queue& queue, std::string id, JobSpec spec,
                             std::string source, Millis now, WallMillis wall) {
  if (jobs_.contains(id)) return Submission::kKnown;
  if (held_bytes_ > settings_.max_held_bytes) return Submission::kRefused;
  Job& job = AddJob(std::move(id), queue.name, std::move(spec), now);
  job.accepted_queue = queue;
  AddService(job, queue.service);
  job.source = std::move(source);
  job.accepted_wall = wall;
  SetObjective(job, queue);
  UpdateHeldBytes(job);
  unsaved_jobs_.insert(&job);
  double work = 0;
  for (const StepSpec& it : job.spec.steps) {
    if (it.long_running) continue;
    work += StepWork(it, it.task_count);
  }
  if (job.spec.occurrences == 0) arrivals_[queue.name].Add(work, now);
  return Submission::kQueued;
}

const Job* Scheduler::FindJob(std::string_view id) const {
  const auto it = jobs_.find(std::string(id));
  return it == jobs_.end() ? nullptr : it->second.get();
}

void Scheduler::WithdrawUnstored() {
  std::erase_if(jobs_, [this](const auto& it) {
    Job* job = it.second.get();
    if (job->stored || HasEnded(job->state)) return false;
    LogLine(LogLevel::kInfo, "job_withdrawn")
        .With("job", job->id)
        .With("queue", job->queue);
    active_jobs_.erase(job);
    unsaved_jobs_.erase(job);
    held_bytes_ -= job->held_bytes;
    return true;
  });
}

bool Scheduler::Withdraw(std::string_view id) {
  const auto it = jobs_.find(std::string(id));
  if (it == jobs_.end()) return false;
  Job* job = it->second.get();
  if (job->stored || job->sent || HasEnded(job->state)) return false;
  active_jobs_.erase(job);
  unsaved_jobs_.erase(job);
  held_bytes_ -= job->held_bytes;
  jobs_.erase(it);
  return true;
}

bool Scheduler::Cancel(std::string_view id, Millis now) {
  const auto it = jobs_.find(std::string(id));
  if (it == jobs_.end()) return false;
  Job& job = *it->second;
  if (HasEnded(job.state)) return true;
  job.state = JobState::kCancelled;
  job.over_since = now;
  active_jobs_.erase(&job);
  unsaved_jobs_.insert(&job);
  StopAll(job);
  return true;
}

void Scheduler::FailJob(Job& job, Millis now) {
  job.state = JobState::kFailed;
  job.over_since = now;
  active_jobs_.erase(&job);
  unsaved_jobs_.insert(&job);
  StopAll(job);
}

void Scheduler::StopAll(Job& job) {
  if (job.active_runs == 0) return;
  for (auto& [id, worker] : workers_) {
    for (auto& [task, run] : worker.runs) {
      if (run.job != &job) continue;
      run.stop_wanted = true;
      worker.stops_wanted = true;
    }
  }
}

void Scheduler::StopGang(const Job& job, const TaskId& member) {
  for (auto& [id, worker] : workers_) {
    for (auto& [task, run] : worker.runs) {
      if (run.job != &job || task.occurrence != member.occurrence ||
          task.step != member.step || run.stopping) {
        continue;
      }
      run.stop_wanted = worker.stops_wanted = true;
    }
  }
}

std::size_t Scheduler::Pending(std::string_view queue) const {
  std::size_t n = 0;
  for (const Job* it : active_jobs_) {
    if (it->queue == queue && it->stored && it->state == JobState::kPending) {
      ++n;
    }
  }
  return n;
}

void Scheduler::UpdateOccurrences(Job& job, Millis now, WallMillis wall) {
  const auto is_closed = [](const auto& it) {
    const Occurrence& occurrence = it.second;
    return occurrence.IsDone() &&
           std::all_of(
               occurrence.steps.begin(), occurrence.steps.end(),
               [](const Step& step) {
                 return std::all_of(
                     step.tasks.begin(), step.tasks.end(),
                     [](const Task& it) { return it.active_runs == 0; });
               });
  };
  const std::size_t closed = std::erase_if(job.occurrences, is_closed);
  const auto tasks = static_cast<std::size_t>(TaskCount(job.spec));
  const int first = job.next_occurrence;
  while (job.next_occurrence < OccurrenceCount(job.spec) &&
         IsDue(job.spec, job.next_occurrence, wall + kOpenAhead)) {
    const std::size_t open = job.occurrences.size();
    const bool full = (open + 1) * tasks > kMaxOpenTasks ||
                      held_bytes_ > settings_.max_held_bytes;
    if (open > 0 && full) break;
    job.occurrences[job.next_occurrence++] = NewOccurrence(job.spec, now);
    UpdateHeldBytes(job);
  }
  const bool opened = job.next_occurrence > first;
  if (opened) unsaved_jobs_.insert(&job);
  if (!opened && closed == 0) return;
  UpdateRemaining(job);
  UpdateHeldBytes(job);
}

void Scheduler::UpdateHeldBytes(Job& job) {
  held_bytes_ -= job.held_bytes;
  job.held_bytes = HeldBytes(job);
  held_bytes_ += job.held_bytes;
}

// An ended job is kept for its state only.
void Scheduler::Release(Job& job) {
  if (job.occurrences.empty()) return;
  job.occurrences.clear();
  job.source = {};
  job.spec = {};
  UpdateHeldBytes(job);
}

// Removes jobs that ended more than the retention time ago, tickets of steps
// that are done, and workers that are gone.
void Scheduler::Expire(Millis now) {
  if (now - last_expiry_ < kExpiryInterval) return;
  last_expiry_ = now;
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    Job& job = *it->second;
    const bool over = HasEnded(job.committed_state) && job.active_runs == 0 &&
                      !unsaved_jobs_.contains(&job);
    if (over) Release(job);
    if (!over || now - job.over_since <= settings_.retention) {
      ++it;
      continue;
    }
    rows_.push_back({kProgressTable, job.id, "", true});
    held_bytes_ -= job.held_bytes;
    it = jobs_.erase(it);
  }
  std::erase_if(tickets_, [this](const auto& it) {
    const auto id = TaskId::Parse(it.first + ".0");
    const auto job = id ? jobs_.find(id->job) : jobs_.end();
    return job == jobs_.end() || !HasTask(*job->second, *id);
  });
  for (auto it = workers_.begin(); it != workers_.end();) {
    Worker& worker = it->second;
    // Its VM may show later that it crashed.
    const bool unexplained = unexplained_losses_.contains(it->first) &&
                             now - worker.lease_expires_by < kExplanationWait;
    const Millis gone_at =
        worker.ended ? worker.ended_at : worker.lease_expires_by;
    const bool gone = !worker.listed && worker.runs.empty() && !unexplained &&
                      renewed_ > gone_at;
    if (!gone) {
      ++it;
      continue;
    }
    if (worker.stored) rows_.push_back({kWorkerTable, it->first, "", true});
    unexplained_losses_.erase(it->first);
    it = Forget(it, now);
  }
  std::erase_if(former_workers_,
                [now](const auto& it) { return now >= it.second.forget_at; });
}

std::map<std::string, PoolDemand, std::less<>> Scheduler::Demand(
    Millis now) const {
  std::map<std::string, PoolDemand, std::less<>> demands;
  for (const auto& [name, rate] : arrivals_) {
    if (!settings_.forecast) break;
    const auto queue = queues_.find(name);
    if (queue == queues_.end()) continue;
    demands[queue->second.service].arriving_cpu +=
        static_cast<std::int64_t>(rate.Cores(now, kForecastLeadTime) * 1000);
  }
  for (const Job* job : active_jobs_) {
    PoolDemand& demand = demands[QueueOf(*job).service];
    for (const auto& [number, occurrence] : job->occurrences) {
      std::int64_t later = 0;
      for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const StepSpec& spec = job->spec.steps[i];
        const Step& step = occurrence.steps[i];
        const std::int64_t left = spec.task_count - step.done;
        const std::int64_t cpu = spec.fills ? 0 : spec.need.cpu_milli;
        if (!AreStepsBeforeDone(job->spec, occurrence, i)) {
          later = std::max(later, left * cpu);
          continue;
        }
        std::int64_t active_runs = 0;
        for (const Task& task : step.tasks) {
          active_runs += task.active_runs > 0 ? 1 : 0;
          const bool needs_vm = spec.long_running || task.crashes.suspicion() ==
                                                         Suspicion::kRunAlone;
          demand.stuck = demand.stuck ||
                         (needs_vm && !task.done && task.active_runs == 0 &&
                          now - task.idle_since > kStuckAfter);
        }
        demand.running_cpu += active_runs * cpu;
        demand.ready_cpu += std::max<std::int64_t>(0, left - active_runs) * cpu;
        demand.memory_mb += left * spec.need.memory_mb;
        if (spec.long_running) {
          demand.lasting_cpu += left * cpu;
          demand.lasting_memory_mb += left * spec.need.memory_mb;
        }
        if (spec.max_per_worker > 0) {
          const std::int64_t spread =
              (left + spec.max_per_worker - 1) / spec.max_per_worker;
          demand.spread = std::max(demand.spread, static_cast<int>(spread));
        }
      }
      demand.later_cpu += later;
    }
  }
  return demands;
}

bool Scheduler::IsIdle(const Worker& worker) const {
  return worker.runs.empty() && !worker.more_ended &&
         worker.reported_end_number == worker.confirmed_end_number;
}

}  // namespace hemlockward::jobs
