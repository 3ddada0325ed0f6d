#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/demand.h"
#include "jobs/model.h"

/// Which task runs where. Pure: every function takes the time, none does I/O.
///
/// The workers' own lists are the record of what runs; the store holds the
/// jobs, their finished tasks and their failed runs. A task is started only
/// when no run of it can be at work anywhere.
namespace hemlockward::jobs {

enum class JobState : std::uint8_t {
  kPending,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled
};

std::string_view ToText(JobState state);
inline bool IsOver(JobState state) { return state >= JobState::kCompleted; }

struct Task {
  bool done = false;
  bool started = false;
  /// It may run, by an earlier leader's order, on a worker not heard since.
  bool possibly_running = false;
  int live = 0;  ///< Runs that are, or may be, at work.
  int last_run = 0;
  std::vector<int> failed_runs;
  std::vector<std::string> avoid;  ///< Workers where it failed or stood still.
  std::string checkpoint;
  Millis idle_since{0};
};

struct Step {
  std::vector<Task> tasks;
  int done = 0;
};

struct Occurrence {
  std::vector<Step> steps;
  int steps_done = 0;
};

struct Job {
  std::string id;
  std::string queue;    ///< Name of the queue it came through.
  std::string service;  ///< The queue's pool when it was accepted.
  JobSpec spec;
  std::string source;  ///< The client's body, for the store.
  WallMillis accepted_wall{};
  Millis accepted{0};
  Millis objective{0};  ///< Local time by which it should be complete.
  Millis chain{0};      ///< Its longest chain of estimates.
  JobState state = JobState::kPending;
  JobState shown = JobState::kPending;  ///< As committed; what clients see.
  bool stored = false;
  bool sent = false;  ///< A transaction that holds it was sent.
  bool earlier_term = false;
  bool lasting = false;
  Millis over_since{0};
  int live = 0;
  std::vector<Occurrence> occurrences;
  int occurrences_done = 0;
};

/// The longest chain of estimates among the job's steps that aren't done.
Millis RemainingChain(const Job& job);
/// Core-ms of so many tasks of the step, by the client's estimate.
double StepWork(const StepSpec& step, int tasks);
/// True when all tasks of the steps in `after` are done.
bool AreStepsBeforeDone(const JobSpec& spec, const Occurrence& occurrence,
                        std::size_t step);

enum class RunPhase : std::uint8_t {
  kSent,       ///< The answer to its start is awaited.
  kUnsettled,  ///< No answer; it may start later, until a stop is answered.
  kRunning,
};

struct Run {
  Job* job = nullptr;
  TaskId task;
  int number = 0;
  RunPhase phase = RunPhase::kSent;
  Resources need;
  Millis sent{0};
  /// A report asked for in a later millisecond lists the run if it exists.
  Millis settled_from{0};
  int percent = 0;
  Millis progress_at{0};
  std::int64_t load = 0;
  Millis over_target_since{-1};
  int pace = 100;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  bool stopping = false;  ///< A stop was ordered: it is not at work for long.
  Millis stop_retry_at{0};
};

struct Worker {
  WorkerEntry entry;
  std::map<TaskId, Run> runs;
  Resources used;
  bool listed = true;    ///< Its entry stands in the store.
  bool ended = false;    ///< Its machine was moved or taken down.
  bool adopted = false;  ///< It has obeyed this term's fence.
  bool stored = false;   ///< Its row is committed: starts may go there.
  bool from_earlier_term = false;
  bool reserved = false;  ///< Being emptied for a move or upkeep.
  bool awaits_upkeep = false;
  Millis known_since{0};      ///< When this leader first heard of it.
  bool silent = false;        ///< An order went unanswered; not heard since.
  bool stops_wanted = false;  ///< Some run has `stop_wanted`.
  Millis refused_until{0};
  std::int64_t born = 0;
  std::int64_t clock_ms = 0;  ///< Its clock at local time `clock_at`.
  Millis clock_at{0};
  Millis lease_by{0};  ///< Local time by which its lease has surely run out.
  Millis heard{0};
  Millis report_sent{-1};      ///< When the newest report was asked for.
  std::int64_t reported = 0;   ///< Highest end number that it listed.
  std::int64_t committed = 0;  ///< Ends up to here are in the store.
  std::int64_t confirmed = 0;  ///< Ends up to here were acknowledged to it.
  int failures = 0;            ///< Failed runs of different jobs in a row.
  std::string last_failed_job;
  Millis ejected_until{0};
  Millis idle_since{0};
  std::map<std::string, int, std::less<>> per_step;  ///< Runs of "JOB.K.STEP".
};

/// Which of the jobs that can still be in time goes first. All but
/// `kSmallestFirst` serve for comparisons.
enum class JobOrder : std::uint8_t { kSmallestFirst, kLeastSlack, kFirstCome };

struct SchedulerSettings {
  /// Length of a worker's lease; the platform allows `hold_max` at most.
  Millis lease{4000};
  /// A worker's clock may be this much slower than ours, as a share.
  double clock_drift = 0.02;
  Millis retention{130'000};  ///< How long a job that is over is remembered.
  JobOrder order = JobOrder::kSmallestFirst;
  bool forecast = true;  ///< Demand includes what is about to arrive.
};

/// How long after an order was given its lease may still run, when the worker's
/// clock was last read `unread` before it; without it, at most.
Millis LongestLease(const SchedulerSettings& settings, Millis unread);
Millis LongestLease(const SchedulerSettings& settings);

struct StartOrder {
  std::string worker;
  TaskId task;
  int run = 0;
  std::int64_t deadline_ms = 0;
  std::string checkpoint;
  std::string ticket;
};

struct StopOrder {
  std::string worker;
  TaskId task;
  int run = 0;
};

struct PaceOrder {
  std::string worker;
  TaskId task;
  int run = 0;
  int percent = 100;
};

struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
  /// Steps of queues that need tickets, with the workers to ask for.
  std::vector<std::pair<std::string, std::vector<std::string>>> advice;
};

struct RowWrite {
  std::string table;
  std::string key;
  std::string value;
  bool remove = false;
  std::uint64_t number = 0;  ///< Of the fleet's rows, in order of writing.
};

/// Ends of one life of a worker, up to a number.
struct EndMark {
  std::string worker;
  std::int64_t born = 0;
  std::int64_t number = 0;
};

/// What one transaction writes, and what is true once it is committed.
struct Batch {
  std::vector<RowWrite> rows;
  std::vector<std::pair<std::string, JobState>> shown;
  std::vector<EndMark> ends;  ///< To be acknowledged once it is committed.
  std::vector<std::string> workers;  ///< Whose rows are written.
};

enum class Submission : std::uint8_t { kQueued, kKnown, kRefused };

class Scheduler {
 public:
  explicit Scheduler(SchedulerSettings settings) : settings_(settings) {}

  /// Forgets everything; from now on run numbers exceed those of any earlier
  /// term. `unheard_by` is when the leases given by the last leader have run
  /// out on workers that can't be reached.
  void BeginTerm(std::uint64_t term, Millis unheard_by);
  void SetConfiguration(const Configuration& config);

  /// Restores a job from its rows. Fails on rows that can't be read.
  bool LoadJob(
      std::string_view key, std::string_view value,
      const std::function<std::optional<JobSpec>(std::string_view)>& decode,
      Millis now, WallMillis wall);
  bool LoadProgress(std::string_view key, std::string_view value, Millis now);
  void LoadWorker(std::string_view id, std::string_view value, Millis now);

  void UpsertWorker(const WorkerEntry& entry, Millis now);
  void RemoveWorker(std::string_view id);
  /// The worker's machine was moved or taken down: nothing runs there.
  void EndWorker(std::string_view id, Millis now);
  /// Ends workers that don't answer and whose machine, by a whole listing asked
  /// for at `sent`, has another worker or none.
  void EndReplacedWorkers(std::span<const Machine> machines, Millis sent,
                          Millis now);

  Submission Submit(const Queue& queue, std::string id, JobSpec spec,
                    std::string source, Millis now, WallMillis wall);
  [[nodiscard]] const Job* FindJob(std::string_view id) const;
  /// False when no such job exists.
  bool Cancel(std::string_view id, Millis now);
  /// Takes back all jobs that were never stored; no transaction that holds one
  /// may be under way.
  void WithdrawUnstored();
  /// Takes back one job that no transaction holds; false otherwise.
  bool Withdraw(std::string_view id);
  [[nodiscard]] std::size_t Pending(std::string_view queue) const;

  /// What to send now. With `may_start` false only stops are given.
  Orders Plan(Millis now, WallMillis wall, bool may_start);
  void OnStart(const StartOrder& order, StartAnswer answer, Millis now);
  /// The worker's clock, as it came with the answer to an order: an earlier one
  /// than known shows another life, which is asked before it gets orders.
  void OnClock(std::string_view worker, std::int64_t clock_ms);
  /// True when a report is wanted soon: the run may never have been there.
  bool OnStop(const StopOrder& order, bool answered, Millis now);
  void OnAdvice(std::string_view step, std::span<const std::string> asked,
                std::span<const std::pair<std::string, std::string>> tickets,
                Millis valid, Millis now);
  /// `sent` is when the report was asked for.
  void OnReport(std::string_view worker, const WorkerReport& report,
                Millis sent, Millis now);
  /// An order with a lease was sent to the worker.
  void NoteLease(Worker& worker, Millis now);
  /// The end of a lease given now, on the worker's clock; 0: clock unknown.
  [[nodiscard]] std::int64_t LeaseEnd(const Worker& worker, Millis now) const;

  /// Adds a row of the fleet's to the next batch, in place of an older one that
  /// waits there, and returns its number.
  std::uint64_t WriteRow(RowWrite row);
  /// The fleet's rows up to this number are in the store.
  [[nodiscard]] std::uint64_t rows_committed() const { return rows_committed_; }
  [[nodiscard]] Millis unheard_by() const { return unheard_by_; }
  /// When the first job that ends was handed in; unset before.
  [[nodiscard]] std::optional<Millis> demand_since() const {
    return demand_since_;
  }
  [[nodiscard]] bool HasChanges() const;
  Batch TakeBatch();
  void OnCommitted(const Batch& batch);
  /// The batch's rows are to be written again.
  void OnCommitFailed(const Batch& batch);

  [[nodiscard]] Worker* FindWorker(std::string_view id);
  [[nodiscard]] std::map<std::string, Worker, std::less<>>& workers() {
    return workers_;
  }
  [[nodiscard]] const Configuration& configuration() const { return config_; }
  /// What each pool with work still has to do.
  [[nodiscard]] std::map<std::string, PoolDemand, std::less<>> Demand(
      Millis now) const;
  /// True when nothing runs on the worker, or ends there of itself soon.
  [[nodiscard]] bool IsIdle(const Worker& worker) const;
  /// Stops what may be stopped on workers that are being emptied.
  void Evacuate(Worker& worker);
  [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
  [[nodiscard]] std::size_t run_count() const { return run_count_; }

 private:
  struct Ticket {
    std::string text;
    Millis valid_until{0};
    bool asked = false;
    bool allowed = false;
  };
  struct Placement;

  Job& AddJob(std::string id, std::string queue, JobSpec spec, Millis now);
  [[nodiscard]] const Queue* QueueOf(const Job& job) const;
  [[nodiscard]] const std::string& PoolOf(const Job& job) const;
  void AddRun(Worker& worker, Job& job, const TaskId& task, int number,
              RunPhase phase, Millis now);
  /// The run is surely no longer at work.
  void EndRun(Worker& worker, std::map<TaskId, Run>::iterator it, Millis now);
  void ReleaseAll(Worker& worker, Millis now);
  void OnEnd(Worker& worker, const EndedRun& end, Millis now);
  void OnActive(Worker& worker, const ActiveRun& active, Millis sent,
                Millis now);
  void MarkDone(Job& job, const TaskId& task, Millis now);
  void FailJob(Job& job, Millis now);
  void CountFailure(Worker& worker, const Job& job, Millis now);
  void StopAll(Job& job);
  void CheckProgress(Worker& worker, Run& run, Millis now);
  void AdjustPaces(Worker& worker, Orders& orders, Millis now);
  void PlanStops(Orders& orders, Millis now);
  void PlanPool(const std::string& service, std::vector<Job*>& jobs,
                Orders& orders, Millis now, WallMillis wall);
  bool PlanJob(Job& job, const Queue& queue, std::vector<Worker*>& pool,
               Orders& orders, Millis now, WallMillis wall);
  bool PlanGang(Job& job, const Queue& queue, int occurrence, int step,
                std::vector<Worker*>& pool, Orders& orders, Millis now);
  bool StartTask(Job& job, const Queue& queue, const TaskId& id, int number,
                 std::vector<Worker*>& pool, Orders& orders, Millis now);
  [[nodiscard]] bool IsStepReady(const Job& job, int occurrence, int step,
                                 WallMillis wall) const;
  Worker* Place(const Job& job, const Queue& queue, const TaskId& id,
                std::vector<Worker*>& pool, Orders& orders, Millis now);
  [[nodiscard]] bool CanHost(const StepSpec& step, const std::string& step_name,
                             const Task& task, const Worker& worker,
                             bool avoid) const;
  /// True when the machine surely no longer has this worker.
  [[nodiscard]] bool HasReplacedWorker(const Machine& machine,
                                       const std::string& worker) const;
  [[nodiscard]] bool IsAdoptionPending(const Job& job, Millis now) const;
  const std::string* TicketFor(const std::string& step_name,
                               const Worker& worker, Orders& orders,
                               std::vector<Worker*>& pool, Millis now);
  [[nodiscard]] int NextRun(const Task& task) const;
  void Expire(Millis now);

  SchedulerSettings settings_;
  Configuration config_;
  std::map<std::string, Queue, std::less<>> queues_;  ///< Newest of each name.
  std::uint64_t term_ = 0;
  Millis unheard_by_{0};
  Millis last_expiry_{0};
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::set<Job*> open_;  ///< Jobs that aren't over.
  std::vector<StopOrder>
      unknown_run_stops_;       ///< Runs of jobs that aren't known.
  std::set<Job*> dirty_;        ///< Jobs whose rows are to be written.
  std::vector<RowWrite> rows_;  ///< To be written beside the jobs'.
  std::uint64_t rows_written_ = 0;
  std::uint64_t rows_committed_ = 0;
  std::map<std::string, Worker, std::less<>> workers_;
  std::map<std::string, std::map<std::string, Ticket, std::less<>>, std::less<>>
      tickets_;  ///< By step, then worker.
  std::map<std::string, ArrivalRate, std::less<>> arrivals_;  ///< By queue.
  std::optional<Millis> demand_since_;
  std::size_t run_count_ = 0;
};

}  // namespace hemlockward::jobs
