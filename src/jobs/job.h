#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/crash_history.h"
#include "jobs/model.h"

/// State of a job and its tasks, as the leader holds it.
namespace hemlockward::jobs {

enum class JobState : std::uint8_t {
  kPending,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled
};

std::string_view ToText(JobState state);
inline bool HasEnded(JobState state) { return state >= JobState::kCompleted; }

struct Task {
  bool done = false;
  bool started = false;
  /// A run started by an earlier leader may be in progress on a worker that has
  /// not reported to this leader yet.
  bool possibly_running = false;
  int active_runs = 0;  ///< Number of runs that are or may be in progress.
  int last_run = 0;
  std::vector<int> failed_runs;
  CrashHistory crashes;
  /// Workers on which the task failed or stalled.
  std::vector<std::string> avoid;
  std::string checkpoint;
  Millis idle_since{0};
  /// When its last run was found to be gone without a report of its end; -1: it
  /// wasn't. Another leader may have seen it end as done before, so the task
  /// starts again only after a renewal of the lease that was sent later.
  Millis run_missed_at{-1};
};

struct Step {
  std::vector<Task> tasks;
  int done = 0;
};

/// One execution of a job's steps.
struct Occurrence {
  std::vector<Step> steps;
  int steps_done = 0;

  [[nodiscard]] bool IsDone() const {
    return steps_done == static_cast<int>(steps.size());
  }
};

struct Job {
  std::string id;
  std::string queue;     ///< Name of the queue that accepted the job.
  Queue accepted_queue;  ///< Its configuration at acceptance, without route.
  JobSpec spec;
  std::string source;  ///< Request body of the client, for the store.
  WallMillis accepted_wall{};
  Millis accepted{0};
  Millis objective{0};        ///< Local time by which the job should complete.
  Millis chain{0};            ///< Critical path: longest chain of estimates.
  Millis remaining_chain{0};  ///< The same of the steps that are not done.
  double remaining_work = 0;  ///< Of the tasks that are not done, in core-ms.
  JobState state = JobState::kPending;
  /// Last committed state; visible to clients.
  JobState committed_state = JobState::kPending;
  bool stored = false;
  bool sent = false;  ///< A transaction that contains the job was sent.
  /// Number of changes to the crash histories of its tasks, and how many of
  /// them are in the store.
  int crash_changes = 0;
  int committed_crash_changes = 0;
  /// Failed runs of the tasks that aren't done: these are stored.
  int failed_runs = 0;
  /// Services whose workers may run its tasks: that of its queue at acceptance,
  /// then those that the queue's route led to when tasks were to start.
  std::vector<std::string> services;
  /// Number of these in the store. Tasks start on no other, so that another
  /// leader knows where runs may be in progress.
  std::size_t committed_services = 0;
  /// Stored by an earlier version, which doesn't name them.
  bool services_unknown = false;
  /// Rows in the store that hold the job and its progress.
  std::size_t job_rows = 0;
  std::size_t progress_rows = 0;
  bool earlier_term = false;
  bool long_running = false;
  Millis over_since{0};
  int active_runs = 0;
  /// The open ones by number. A job may repeat for years: an occurrence is
  /// opened when it is due, and closed when it is done.
  std::map<int, Occurrence> occurrences;
  /// All earlier ones were opened; they are done unless they are open.
  int next_occurrence = 0;
  /// The same in the store. Tasks of an occurrence start only once the store
  /// tells that it was opened, so that another leader knows it.
  int committed_next_occurrence = 0;
  int occurrences_done = 0;
  std::size_t held_bytes = 0;  ///< Approximate memory that it takes.
};

/// How often the steps of a job run.
inline int OccurrenceCount(const JobSpec& spec) {
  return std::max(1, spec.occurrences);
}
/// Tasks of one occurrence.
int TaskCount(const JobSpec& spec);
Occurrence NewOccurrence(const JobSpec& spec, Millis now);
/// Whether the occurrence is due at `wall`.
bool IsDue(const JobSpec& spec, int occurrence, WallMillis wall);
/// Adds an open occurrence to a job that is read from the store. Returns false
/// if the job has too many tasks open.
bool LoadOccurrence(Job& job, int number, Millis now);
/// Most tasks of one occurrence: the progress of a job must fit into one
/// transaction.
inline constexpr int kMaxTasks = 10'000;
/// Approximate memory of a job.
std::size_t HeldBytes(const Job& job);

/// Adds a service whose workers may run the tasks. Returns false if it is
/// known.
bool AddService(Job& job, std::string_view service);
/// Whether a worker of the service may run tasks of the job.
bool MayRunOn(const Job& job, std::string_view service);

/// Whether the task belongs to an open occurrence of the job.
bool HasTask(const Job& job, const TaskId& id);
/// The task, which must exist.
inline Task& TaskOf(Job& job, const TaskId& id) {
  return job.occurrences.at(id.occurrence).steps[id.step].tasks[id.index];
}
inline const Task& TaskOf(const Job& job, const TaskId& id) {
  return job.occurrences.at(id.occurrence).steps[id.step].tasks[id.index];
}
/// Recomputes the remaining chain and work of the job from its tasks.
void UpdateRemaining(Job& job);
/// Sets the time by which the job should complete, from its chain.
void SetObjective(Job& job, const Queue& queue);
/// Returns the work of `tasks` tasks of the step in core-ms, by the client's
/// estimate.
double StepWork(const StepSpec& step, int tasks);
/// Returns true when all tasks of the steps in `after` are done.
bool AreStepsBeforeDone(const JobSpec& spec, const Occurrence& occurrence,
                        std::size_t step);

}  // namespace hemlockward::jobs
