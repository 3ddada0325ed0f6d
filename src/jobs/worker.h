#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "jobs/crash_history.h"
#include "jobs/job.h"
#include "jobs/model.h"

/// What a leader knows of the workers and their runs.
namespace hemlockward::jobs {

enum class RunPhase : std::uint8_t {
  kSent,       ///< The start was sent; its answer is pending.
  kUnsettled,  ///< No answer; the run may start until a stop is acknowledged.
  kRunning,
};

struct Run {
  Job* job = nullptr;
  TaskId task;
  int number = 0;
  RunPhase phase = RunPhase::kSent;
  Resources need;
  bool started = false;  ///< The worker has confirmed it.
  Millis sent{0};
  /// A report requested after this millisecond lists the run if it exists.
  Millis settled_from{0};
  int percent = 0;
  Millis progress_at{0};
  /// Of its task when it began; determines what may run beside it.
  Suspicion suspicion = Suspicion::kNone;
  /// Its worker has restarted though it wasn't about to leave. The run was lost
  /// unless a later report lists it.
  bool worker_crashed = false;
  /// With `worker_crashed`: with its job on the lost worker.
  bool was_alone = false;
  std::int64_t load = 0;
  Millis pace_changed_at{-1};
  int pace = 100;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  bool stopping = false;  ///< A stop was sent; the run will end soon.
  Millis stop_retry_at{0};
};

/// Connections that may be open at one incarnation of a worker and serve none.
struct LeftConnections {
  std::int64_t started_at_ms = 0;  ///< Start of the incarnation; 0: unknown.
  /// Leaders lost before one first used the incarnation.
  int leaders_lost_before = 0;
  /// Closed by earlier leaders, but not by the worker.
  int half_open_before = 0;
  /// The same of this leader. Shared with the connections.
  std::shared_ptr<std::atomic<int>> half_open =
      std::make_shared<std::atomic<int>>(0);
  /// More than its share that this leader may leave open if it is lost.
  int reserved = 0;
  int reserved_at = 0;  ///< Leaders lost before it.
  int granted = 0;      ///< `reserved` once that is stored.
};

struct Worker {
  WorkerEntry entry;
  std::map<TaskId, Run> runs;
  Resources used;
  /// Runs of unknown jobs in its newest report. How much they use is unknown.
  int unknown_runs = 0;
  bool listed = true;    ///< Its registration is in the store.
  bool ended = false;    ///< Its VM was moved or taken down.
  Millis ended_at{0};    ///< When that was learned.
  bool adopted = false;  ///< It has accepted the fencing token of this term.
  /// Its newest report may lack ends: a run that it doesn't list may have ended
  /// in any way.
  bool more_ended = false;
  /// A report of this term has listed all that earlier terms left there.
  bool earlier_runs_known = false;
  /// Its row is committed, so tasks may be started on it.
  bool stored = false;
  bool from_earlier_term = false;
  bool reserved = false;  ///< Being drained for a move or upkeep.
  bool awaits_upkeep = false;
  /// Time at which this leader first learned of the worker.
  Millis known_since{0};
  /// An order timed out and no report has arrived since.
  bool unresponsive = false;
  bool stops_wanted = false;  ///< At least one run has `stop_wanted` set.
  int serving_runs = 0;       ///< Runs of tasks with a tail latency target.
  int suspect_runs = 0;       ///< Runs of tasks that may crash the worker.
  int lone_runs = 0;          ///< Of these, runs that must be alone.
  /// Until then, only tasks of this job and such that must run alone start.
  Millis kept_free_until{0};
  std::string kept_free_for;
  /// Until then, no other task that must run alone is announced here but those
  /// of this job: a crash would count against each of them.
  Millis announced_until{0};
  std::string announced_for;
  Millis refused_until{0};
  /// Fencing token of its orders; 0: that of the term.
  std::uint64_t fence = 0;
  /// It has restarted under its id. Orders to the former incarnation may still
  /// reach it, so its own orders need a higher token.
  bool fence_due = false;
  std::int64_t started_at_ms = 0;
  /// The same of the incarnation in its row; 0: unknown.
  std::int64_t row_started_at_ms = 0;
  /// Times that it was learned to have restarted under its id.
  int restarts = 0;
  LeftConnections left;
  /// Since when it has refused each new connection; -1: it doesn't.
  Millis refuses_since{-1};
  Millis registered_at{0};  ///< When its newest heartbeat was read.
  int row_half_open = 0;    ///< As last written to its row.
  int row_reserved = 0;     ///< The same.
  /// Reading of its clock at local time `clock_at`.
  std::int64_t clock_ms = 0;
  Millis clock_at{0};
  /// Local time after which its lease has certainly expired.
  Millis lease_expires_by{0};
  Millis last_report_at{0};
  Millis report_sent{-1};  ///< Time at which the newest report was requested.
  /// The worker's clock in the newest report of this incarnation.
  std::int64_t report_clock_ms = 0;
  /// Highest end number in its reports.
  std::int64_t reported_end_number = 0;
  /// Highest end number that is in the store.
  std::int64_t committed_end_number = 0;
  /// Highest end number that was acknowledged to the worker.
  std::int64_t confirmed_end_number = 0;
  int failures = 0;  ///< Consecutive failed runs of different jobs.
  std::string last_failed_job;
  Millis ejected_until{0};
  Millis idle_since{0};
  /// Number of runs by step name "JOB.K.STEP", for steps with a limit per
  /// worker.
  std::map<std::string, int, std::less<>> per_step;
};

/// How many connections a leader may open to a worker where earlier ones have
/// left `left_open`. Workers accept 64.
int MaxConnections(int left_open);
/// The most connections that `lost` leaders leave open at a worker.
int MostLeftOpen(int lost);
/// Connections that leaders have closed, but the worker hasn't.
int HalfOpen(const LeftConnections& left);
/// A report was requested from the worker. `refused`: it refused a connection.
void RecordContact(Worker& worker, bool refused, Millis now);
/// Whether the worker is alive but accepts no connections any more: those that
/// are left open there take up all, for as long as it lives.
bool NeedsNewIncarnation(const Worker& worker, Millis now);
/// A long-running task pins its VM to the pool.
bool HostsLongRunningTask(const Worker& worker);
/// Whether no run on the worker except those of `job` may crash it:
/// long-running tasks at work have shown that they don't. Tasks of one job
/// needn't be told apart, as it is the job that is given up.
bool IsAlone(const Worker& worker, const Job& job);
/// Whether a task that must run alone has waited long for a worker without any
/// runs.
bool HasWaitedForAnEmptyWorker(const Task& task, Millis now);
/// Whether a task that should run alone has waited too long for that.
bool MayRunBesideOthers(const StepSpec& step, const Task& task, Millis now);
/// Whether the worker's row is missing, or names another incarnation, too few
/// connections that are left open, or another reservation.
inline bool IsRowDue(const Worker& worker) {
  const bool current = worker.row_started_at_ms == worker.started_at_ms &&
                       worker.row_half_open >= HalfOpen(worker.left) &&
                       worker.row_reserved == worker.left.reserved;
  return worker.adopted && !worker.ended && !(worker.stored && current);
}
/// Whether the store holds the task's crash history; it isn't started before.
inline bool IsHistoryStored(const Job& job, const Task& task) {
  return task.crashes.empty() ||
         task.crashes.changed_at <= job.committed_crash_changes;
}

}  // namespace hemlockward::jobs
