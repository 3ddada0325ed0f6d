// What the scheduler writes to the store, and what a new leader reads there.

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

#include "base/log.h"
#include "jobs/rows.h"
#include "jobs/scheduler.h"

namespace hemlockward::jobs {

using base::LogLevel;
using base::LogLine;

namespace {

// The platform allows 100 rows in a transaction, of which the lease uses up to
// four, and 1 MB as it is sent.
constexpr std::size_t kMaxBatchRows = 90;
constexpr std::size_t kMaxBatchBytes = 900'000;
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
  for (const auto& [k, occurrence] : job.occurrences) {
    const auto& steps = occurrence.steps;
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
  CommittedJob committed{job.id, job.state, job.crash_changes};
  committed.next_occurrence = job.next_occurrence;
  committed.services = job.services.size();
  committed.job_rows = job.job_rows;
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
    worker.row_half_open = HalfOpen(worker.left);
    worker.row_reserved = worker.left.reserved;
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
    job.committed_next_occurrence = committed.next_occurrence;
    job.committed_services = committed.services;
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
      LeftConnections& left = worker->left;
      left.granted = std::min(worker->row_reserved, left.reserved);
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
  AddService(job, job.accepted_queue.service);
  job.services_unknown = !row->services_stored;
  job.committed_services = 1;
  job.source = std::move(row->source);
  job.accepted_wall = row->accepted;
  job.accepted = now - (wall - row->accepted);
  SetObjective(job, QueueOf(job));
  job.stored = true;
  job.earlier_term = true;
  if (job.spec.occurrences == 0) {
    job.occurrences.clear();
    LoadOccurrence(job, 0, now);
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
  if (!DecodeProgressRow(joined.text, job, now)) return false;
  for (const auto& [id, lost] : LostRuns(job)) {
    if (lost.crashed || lost.worker.empty()) continue;
    const Task& task = TaskOf(job, id);
    unexplained_losses_.emplace(
        lost.worker,
        UnexplainedLoss{id, lost.run, task.crashes.RanAlone(lost.run), now});
  }
  job.committed_next_occurrence = job.next_occurrence;
  job.committed_services = job.services.size();
  UpdateRemaining(job);
  UpdateHeldBytes(job);
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
  LeftConnections& left = worker.left;
  const int reserved = std::exchange(left.reserved, 0);
  if (leaders_lost_ > left.reserved_at) left.half_open_before += reserved;
  worker.entry.id = id;
  worker.listed = listed;
  worker.stored = true;
  worker.from_earlier_term = true;
  worker.lease_expires_by = earlier_leases_expire_at_;
  worker.idle_since = worker.known_since = now;
}

}  // namespace hemlockward::jobs
