#include "jobs/scheduler.h"

#include <algorithm>
#include <iterator>

#include "base/log.h"
#include "jobs/rows.h"

namespace hemlockward::jobs {

using base::LogLevel;
using base::LogLine;

namespace {

// Run numbers reserved for one term; no term starts a task this often.
constexpr int kRunsPerTerm = 1000;
// The platform allows 100 rows in a transaction, of which the lease uses up to
// four, and 1 MB as it is sent.
constexpr std::size_t kMaxBatchRows = 90;
constexpr std::size_t kMaxBatchBytes = 900'000;
// A long-running task that waits longer requests one more VM.
constexpr Millis kStuckAfter{500};
constexpr Millis kExpiryInterval = base::Seconds(1);
// How long a lost worker's successor may take to show that it crashed.
constexpr Millis kExplanationWait = base::Seconds(30);

// VMs are requested this long before they are needed: a move takes 1.5 s.
constexpr Millis kForecastLeadTime{1600};

void SetObjective(Job& job, const Queue& queue) {
  const double stretched = queue.stretch * static_cast<double>(job.chain.count);
  job.objective = job.accepted + queue.target +
                  Millis{static_cast<std::int64_t>(stretched)};
}

// Write priority when the store is slow: first jobs whose clients wait for
// acceptance, then ended jobs. A loss of the other rows only causes repeated
// work after a takeover.
int CommitRank(const Job& job) {
  if (!job.stored) return 0;
  return HasEnded(job.state) ? 1 : 2;
}

// Upper bound of what the row adds to a transaction as it is sent: values are
// sent as base64.
std::size_t BytesSent(const RowWrite& row) {
  constexpr std::size_t kNamesOfFields = 100;
  constexpr std::size_t kMaxEscape = 6;
  return row.value.size() / 3 * 4 + 4 + row.table.size() +
         row.key.size() * kMaxEscape + kNamesOfFields;
}

std::size_t BytesSent(std::span<const RowWrite> rows) {
  std::size_t bytes = 0;
  for (const RowWrite& it : rows) bytes += BytesSent(it);
  return bytes;
}

std::vector<std::pair<TaskId, LostRun>> LostRuns(const Job& job) {
  std::vector<std::pair<TaskId, LostRun>> runs;
  for (int k = 0; k < static_cast<int>(job.occurrences.size()); ++k) {
    const auto& steps = job.occurrences[k].steps;
    for (int s = 0; s < static_cast<int>(steps.size()); ++s) {
      const auto& tasks = steps[s].tasks;
      for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
        for (const LostRun& it : tasks[i].crashes.lost_runs) {
          runs.emplace_back(TaskId{job.id, k, s, i}, it);
        }
      }
    }
  }
  return runs;
}

}  // namespace

void UpdateRemaining(Job& job) {
  job.remaining_chain = {0};
  job.remaining_work = 0;
  std::vector<Millis> ends;
  for (const Occurrence& occurrence : job.occurrences) {
    ends.clear();
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const StepSpec& spec = job.spec.steps[i];
      const int left = spec.task_count - occurrence.steps[i].done;
      Millis start{0};
      for (const int it : spec.after) start = std::max(start, ends[it]);
      ends.push_back(left == 0 ? start : start + spec.estimate);
      job.remaining_chain = std::max(job.remaining_chain, ends.back());
      job.remaining_work += StepWork(spec, left);
    }
  }
}

double StepWork(const StepSpec& step, int tasks) {
  return static_cast<double>(tasks * step.need.cpu_milli) / 1000 *
         static_cast<double>(step.estimate.count);
}

bool AreStepsBeforeDone(const JobSpec& spec, const Occurrence& occurrence,
                        std::size_t step) {
  const auto& before = spec.steps[step].after;
  return std::all_of(before.begin(), before.end(), [&](int it) {
    return occurrence.steps[it].done == spec.steps[it].task_count;
  });
}

std::string_view ToText(JobState state) {
  switch (state) {
    case JobState::kPending:
      return "pending";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "running";
}

void Scheduler::BeginTerm(std::uint64_t term, Millis earlier_leases_expire_at) {
  term_ = term;
  earlier_leases_expire_at_ = earlier_leases_expire_at;
  registrations_as_of_.reset();
  active_jobs_.clear();
  unknown_run_stops_.clear();
  unsaved_jobs_.clear();
  rows_.clear();
  job_rows_ = progress_rows_ = {};
  workers_.clear();
  unexplained_losses_.clear();
  tickets_.clear();
  jobs_.clear();
  arrivals_.clear();
  run_count_ = 0;
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
  Occurrence occurrence;
  for (const StepSpec& it : job->spec.steps) {
    Step step;
    step.tasks.resize(static_cast<std::size_t>(it.task_count));
    for (Task& task : step.tasks) task.idle_since = now;
    occurrence.steps.push_back(std::move(step));
    job->long_running = job->long_running || it.long_running;
  }
  const int count = std::max(1, job->spec.occurrences);
  job->occurrences.assign(static_cast<std::size_t>(count), occurrence);
  UpdateRemaining(*job);
  job->chain = job->remaining_chain;
  Job& added = *job;
  if (!demand_since_ && !added.long_running) demand_since_ = now;
  jobs_[added.id] = std::move(job);
  active_jobs_.insert(&added);
  return added;
}

Submission Scheduler::Submit(const Queue& queue, std::string id, JobSpec spec,
                             std::string source, Millis now, WallMillis wall) {
  if (jobs_.contains(id)) return Submission::kKnown;
  Job& job = AddJob(std::move(id), queue.name, std::move(spec), now);
  job.accepted_queue = queue;
  job.source = std::move(source);
  job.accepted_wall = wall;
  SetObjective(job, queue);
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

std::uint64_t Scheduler::WriteRow(RowWrite row) {
  std::erase_if(rows_, [&row](const RowWrite& it) {
    return it.table == row.table && it.key == row.key;
  });
  row.number = ++rows_written_;
  rows_.push_back(std::move(row));
  return rows_written_;
}

CommittedJob Scheduler::EncodeJob(const Job& job,
                                  std::vector<RowWrite>& rows) const {
  CommittedJob committed{job.id, job.state, job.crash_changes, job.job_rows};
  const bool over = HasEnded(job.state);
  const auto write = [&](const char* table, std::string text) {
    auto split = SplitIntoRows(job.id, std::move(text), settings_.row_bytes);
    for (TextRow& it : split) {
      rows.push_back({table, std::move(it.key), std::move(it.value)});
    }
    return split.size();
  };
  if (!job.stored && !over) {
    committed.job_rows = write(kJobTable, EncodeJobRow(job));
  }
  if (over) {
    committed.job_rows = 0;
    for (std::size_t i = 0; i < job.job_rows; ++i) {
      rows.push_back({kJobTable, RowKey(job.id, i), "", true});
    }
  }
  if (!job.stored && !over) return committed;
  std::string progress = EncodeProgressRow(job);
  // Lost runs that the next leader doesn't know of count as if they had not
  // begun; all other progress must be known to it.
  constexpr std::size_t kMaxProgressBytes = kMaxBatchBytes / 4 * 3 - 16'384;
  if (progress.size() > kMaxProgressBytes) {
    progress = EncodeProgressRow(job, false);
  }
  committed.progress_rows = write(kProgressTable, std::move(progress));
  for (std::size_t i = committed.progress_rows; i < job.progress_rows; ++i) {
    rows.push_back({kProgressTable, RowKey(job.id, i), "", true});
  }
  return committed;
}

bool Scheduler::HasChanges() const {
  if (!unsaved_jobs_.empty() || !rows_.empty()) return true;
  return std::any_of(workers_.begin(), workers_.end(), [](const auto& it) {
    const Worker& worker = it.second;
    return worker.reported_end_number > worker.committed_end_number ||
           IsRowDue(worker);
  });
}

Batch Scheduler::TakeBatch() {
  Batch batch;
  std::size_t n = 0;
  for (std::size_t size = 0; n < std::min(rows_.size(), kMaxBatchRows); ++n) {
    size += BytesSent(rows_[n]);
    if (size > kMaxBatchBytes) break;
  }
  const auto last = rows_.begin() + static_cast<std::ptrdiff_t>(n);
  batch.rows.assign(rows_.begin(), last);
  rows_.erase(rows_.begin(), last);
  for (auto& [id, worker] : workers_) {
    if (batch.rows.size() >= kMaxBatchRows) break;
    if (!IsRowDue(worker)) continue;
    // The worker came back before its row was removed. The entries of a
    // transaction have no order.
    const std::string& key = id;
    std::erase_if(batch.rows, [&key](const RowWrite& row) {
      return row.table == kWorkerTable && row.key == key;
    });
    batch.rows.push_back({kWorkerTable, id, EncodeWorkerRow(worker)});
    batch.workers.push_back(id);
    worker.row_started_at_ms = worker.started_at_ms;
  }
  std::size_t bytes = BytesSent(batch.rows);
  std::vector<std::pair<int, Job*>> order;
  order.reserve(unsaved_jobs_.size());
  for (Job* it : unsaved_jobs_) order.emplace_back(CommitRank(*it), it);
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    if (a.first != b.first) return a.first < b.first;
    return a.second->id < b.second->id;
  });
  for (const auto& [rank, it] : order) {
    if (batch.rows.size() >= kMaxBatchRows) break;
    Job& job = *it;
    std::vector<RowWrite> rows;
    const CommittedJob committed = EncodeJob(job, rows);
    const std::size_t size = BytesSent(rows);
    if (batch.rows.size() + rows.size() > kMaxBatchRows ||
        bytes + size > kMaxBatchBytes) {
      // Smaller jobs may still fit beside what else has to be written.
      if (bytes > kMaxBatchBytes / 2) break;
      continue;
    }
    bytes += size;
    unsaved_jobs_.erase(it);
    job.sent = true;
    std::move(rows.begin(), rows.end(), std::back_inserter(batch.rows));
    batch.jobs.push_back(committed);
  }
  // Ends are acknowledged only after all of their changes are written.
  if (!unsaved_jobs_.empty()) return batch;
  for (auto& [id, worker] : workers_) {
    if (worker.reported_end_number > worker.committed_end_number) {
      batch.ends.push_back(
          {id, worker.started_at_ms, worker.reported_end_number});
    }
  }
  return batch;
}

void Scheduler::OnCommitted(const Batch& batch) {
  for (const CommittedJob& committed : batch.jobs) {
    const auto it = jobs_.find(committed.id);
    if (it == jobs_.end()) continue;
    Job& job = *it->second;
    job.stored = true;
    job.committed_state = committed.state;
    job.committed_crash_changes = committed.crash_changes;
    job.job_rows = committed.job_rows;
    job.progress_rows = committed.progress_rows;
  }
  for (const EndMark& it : batch.ends) {
    Worker* worker = FindWorker(it.worker);
    // A new incarnation restarts the numbering of its ends.
    if (!worker || worker->started_at_ms != it.started_at_ms) continue;
    worker->committed_end_number =
        std::max(worker->committed_end_number, it.number);
  }
  for (const std::string& id : batch.workers) {
    Worker* worker = FindWorker(id);
    if (worker && !worker->ended) {
      worker->stored = true;
      continue;
    }
    // The worker ended while its row was being written.
    const bool queued =
        std::any_of(rows_.begin(), rows_.end(), [&id](const RowWrite& row) {
          return row.table == kWorkerTable && row.key == id;
        });
    if (!queued) rows_.push_back({kWorkerTable, id, "", true});
  }
  for (const RowWrite& it : batch.rows) {
    rows_committed_ = std::max(rows_committed_, it.number);
  }
}

void Scheduler::OnCommitFailed(const Batch& batch) {
  for (const std::string& id : batch.workers) {
    if (Worker* worker = FindWorker(id)) worker->row_started_at_ms = 0;
  }
  std::set<std::string_view> jobs;
  for (const CommittedJob& committed : batch.jobs) {
    jobs.insert(committed.id);
    const auto it = jobs_.find(committed.id);
    if (it == jobs_.end()) continue;
    it->second->sent = false;
    unsaved_jobs_.insert(it->second.get());
  }
  // The rows of these jobs are built again. Requeued on their own, the removal
  // of a job's row could be committed without the job's final state.
  const auto is_rebuilt = [&jobs](const RowWrite& row) {
    const bool of_job = row.table == kJobTable || row.table == kProgressTable;
    return (of_job && jobs.contains(TextKey(row.key))) ||
           (row.table == kWorkerTable && !row.remove);
  };
  // Insert before newer rows to keep the sequence numbers in order.
  std::vector<RowWrite> again;
  for (const RowWrite& it : batch.rows) {
    const bool newer =
        std::any_of(rows_.begin(), rows_.end(), [&it](const RowWrite& other) {
          return other.table == it.table && other.key == it.key;
        });
    if (!is_rebuilt(it) && !newer) again.push_back(it);
  }
  rows_.insert(rows_.begin(), again.begin(), again.end());
}

bool Scheduler::LoadJob(
    std::string_view key, std::string_view value,
    const std::function<std::optional<JobSpec>(std::string_view)>& decode,
    Millis now, WallMillis wall) {
  auto joined = job_rows_.Add(key, value);
  return !joined || LoadJobText(*std::move(joined), decode, now, wall);
}

bool Scheduler::LoadJobText(
    JoinedText joined,
    const std::function<std::optional<JobSpec>(std::string_view)>& decode,
    Millis now, WallMillis wall) {
  auto row = DecodeJobRow(joined.text);
  if (!row) return false;
  auto spec = decode(row->source);
  if (!spec) return false;
  Job& job =
      AddJob(std::move(joined.key), row->queue.name, *std::move(spec), now);
  job.job_rows = joined.rows;
  job.accepted_queue = std::move(row->queue);
  job.source = std::move(row->source);
  job.accepted_wall = row->accepted;
  job.accepted = now - (wall - row->accepted);
  SetObjective(job, QueueOf(job));
  job.stored = true;
  job.earlier_term = true;
  for (Occurrence& occurrence : job.occurrences) {
    for (Step& step : occurrence.steps) {
      for (Task& task : step.tasks) task.possibly_running = true;
    }
  }
  return true;
}

bool Scheduler::LoadProgress(std::string_view key, std::string_view value,
                             Millis now) {
  const auto joined = progress_rows_.Add(key, value);
  return !joined || LoadProgressText(*joined, now);
}

bool Scheduler::LoadProgressText(const JoinedText& joined, Millis now) {
  auto it = jobs_.find(joined.key);
  if (it == jobs_.end()) {
    // The job row is removed when the job ends.
    auto job = std::make_unique<Job>();
    job->id = joined.key;
    job->stored = true;
    it = jobs_.emplace(job->id, std::move(job)).first;
  }
  Job& job = *it->second;
  job.progress_rows = joined.rows;
  if (!DecodeProgressRow(joined.text, job)) return false;
  for (const auto& [id, lost] : LostRuns(job)) {
    if (lost.crashed || lost.worker.empty()) continue;
    const Task& task =
        job.occurrences[id.occurrence].steps[id.step].tasks[id.index];
    unexplained_losses_.emplace(
        lost.worker,
        UnexplainedLoss{id, lost.run, task.crashes.RanAlone(lost.run), now});
  }
  UpdateRemaining(job);
  job.committed_state = job.state;
  if (HasEnded(job.state)) {
    active_jobs_.erase(&job);
    job.over_since = now;
  }
  return true;
}

void Scheduler::LoadWorker(std::string_view id, std::string_view value,
                           Millis now) {
  Worker& worker = workers_[std::string(id)];
  const bool listed = !worker.entry.id.empty();
  const bool read = DecodeWorkerRow(value, worker, !listed);
  if (!read) {
    LogLine(LogLevel::kWarning, "worker_row_unreadable").With("worker", id);
  }
  worker.entry.id = id;
  worker.listed = listed;
  worker.stored = true;
  worker.from_earlier_term = true;
  worker.lease_expires_by = earlier_leases_expire_at_;
  worker.idle_since = worker.known_since = now;
}

// Removes jobs that ended more than the retention time ago and workers that are
// gone.
void Scheduler::Expire(Millis now) {
  if (now - last_expiry_ < kExpiryInterval) return;
  last_expiry_ = now;
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    Job& job = *it->second;
    const bool old = HasEnded(job.committed_state) && job.active_runs == 0 &&
                     !unsaved_jobs_.contains(&job) &&
                     now - job.over_since > settings_.retention;
    if (!old) {
      ++it;
      continue;
    }
    rows_.push_back({kProgressTable, job.id, "", true});
    it = jobs_.erase(it);
  }
  for (auto it = workers_.begin(); it != workers_.end();) {
    Worker& worker = it->second;
    // Its VM may show later that it crashed.
    const bool unexplained = unexplained_losses_.contains(it->first) &&
                             now - worker.lease_expires_by < kExplanationWait;
    const bool gone = !worker.listed && worker.runs.empty() && !unexplained &&
                      (worker.ended || now > worker.lease_expires_by);
    if (!gone) {
      ++it;
      continue;
    }
    if (worker.stored) rows_.push_back({kWorkerTable, it->first, "", true});
    unexplained_losses_.erase(it->first);
    it = workers_.erase(it);
  }
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
    for (const Occurrence& occurrence : job->occurrences) {
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
