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

#include "jobs/crash_history.h"
#include "jobs/demand.h"
#include "jobs/job.h"
#include "jobs/model.h"
#include "jobs/text_rows.h"
#include "jobs/worker.h"

/// Decides which task runs on which worker. Every function takes the current
/// time and none does I/O. The reports of the workers are the source of truth
/// for runs; the store holds the jobs, their finished tasks and their failed
/// runs. A task is started only when no run of it can be in progress on any
/// worker.
namespace hemlockward::jobs {

/// Order of jobs that can still meet their objective. All values except
/// `kSmallestFirst` exist only for comparison.
enum class JobOrder : std::uint8_t { kSmallestFirst, kLeastSlack, kFirstCome };

struct SchedulerSettings {
  /// Length of a worker's lease; the platform limits it to `hold_max`.
  Millis lease{4000};
  /// Longest lease that workers accept.
  Millis longest_lease{6000};
  /// Maximum fraction by which a worker's clock is slower than the local clock.
  double clock_drift = 0.02;
  Millis retention{130'000};  ///< How long an ended job is kept.
  /// Longest value of a row of the store.
  std::size_t row_bytes = 65'536;
  /// Memory that jobs and their tasks may take; further jobs are refused.
  std::size_t max_held_bytes = 64'000'000;
  JobOrder order = JobOrder::kSmallestFirst;
  bool forecast = true;  ///< Demand includes the forecast of arriving jobs.
};

/// Allowance for the time between stamping an order and its arrival.
inline constexpr Millis kLeaseMargin{150};
/// Returns the longest time that the lease of an order may last after the order
/// was made, if the worker's clock was last read `unread` before the order.
/// Without `unread`, returns the maximum.
Millis LongestLease(const SchedulerSettings& settings, Millis unread);
Millis LongestLease(const SchedulerSettings& settings);
/// Returns the longest time that any lease may last after its order was made:
/// the worker shortens a deadline that is far ahead of its clock.
Millis LongestGrant(const SchedulerSettings& settings);

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
  /// Tasks wait for a renewal of the leader's lease.
  bool needs_renewal = false;
  /// Steps that need tickets, with the workers to request tickets for.
  std::vector<std::pair<std::string, std::vector<std::string>>> advice;
};

struct RowWrite {
  std::string table;
  std::string key;
  std::string value;
  bool remove = false;
  /// Sequence number of rows from the fleet; 0: other rows.
  std::uint64_t number = 0;
};

/// Marks all ends of one worker incarnation up to `number`.
struct EndMark {
  std::string worker;
  std::int64_t started_at_ms = 0;
  std::int64_t number = 0;
};

/// What the store holds of a job once its rows are committed.
struct CommittedJob {
  std::string id;
  JobState state = JobState::kPending;
  int crash_changes = 0;
  int next_occurrence = 0;
  std::size_t services = 0;
  std::size_t job_rows = 0;
  std::size_t progress_rows = 0;
};

/// Content of one transaction, and the state that holds once it is committed.
struct Batch {
  std::vector<RowWrite> rows;
  std::vector<CommittedJob> jobs;
  std::vector<EndMark> ends;         ///< Ends to acknowledge after the commit.
  std::vector<std::string> workers;  ///< Workers whose rows are written.
};

enum class Submission : std::uint8_t {
  kQueued,
  kKnown,
  kRefused  ///< The jobs held take too much memory.
};

class Scheduler {
 public:
  explicit Scheduler(SchedulerSettings settings) : settings_(settings) {}

  /// Clears all state. Run numbers assigned from now on exceed those of any
  /// earlier term. `earlier_leases_expire_at` is the time by which leases
  /// granted by the previous leader have expired on unreachable workers.
  /// `leaders_lost`: earlier leaders that didn't release the lease.
  void BeginTerm(std::uint64_t term, Millis earlier_leases_expire_at,
                 int leaders_lost = 0);
  void SetConfiguration(const Configuration& config);
  /// The leader's lease was renewed by a call that was sent at `sent`: no other
  /// leader had acted before.
  void OnRenewed(Millis sent) { renewed_ = std::max(renewed_, sent); }

  /// Restores a job from its row, or from the last of its rows. Returns false
  /// when they are malformed.
  bool LoadJob(
      std::string_view key, std::string_view value,
      const std::function<std::optional<JobSpec>(std::string_view)>& decode,
      Millis now, WallMillis wall);
  bool LoadProgress(std::string_view key, std::string_view value, Millis now);
  void LoadWorker(std::string_view id, std::string_view value, Millis now);

  /// Returns true if the worker has restarted under its id: a report should be
  /// requested at once.
  bool UpsertWorker(const WorkerEntry& entry, Millis now);
  void RemoveWorker(std::string_view id);
  /// All registrations as of the time `at` have been applied.
  void OnRegistrationsRead(Millis at) { registrations_as_of_ = at; }
  /// Empty until this leader has read all registrations.
  [[nodiscard]] std::optional<Millis> registrations_as_of() const {
    return registrations_as_of_;
  }
  /// Ends a worker whose VM runs another one or none: nothing runs on it.
  void EndWorker(std::string_view id, WorkerLoss loss, Millis now);
  /// Processes a complete listing that was requested at `sent`. Ends
  /// unresponsive workers whose VM has a different worker or none, and takes
  /// back ended ones that are listed.
  void OnVmsListed(std::span<const Vm> vms, Millis sent, Millis now);

  Submission Submit(const Queue& queue, std::string id, JobSpec spec,
                    std::string source, Millis now, WallMillis wall);
  [[nodiscard]] const Job* FindJob(std::string_view id) const;
  /// Returns false when no such job exists.
  bool Cancel(std::string_view id, Millis now);
  /// Discards all jobs that were never stored. No transaction that contains
  /// such a job may be in flight.
  void WithdrawUnstored();
  /// Discards a job if no transaction contains it. Returns false otherwise.
  bool Withdraw(std::string_view id);
  [[nodiscard]] std::size_t Pending(std::string_view queue) const;

  /// Returns the orders to send now, with at most about `max_starts` starts: a
  /// gang is not divided. Stops and pace changes are always returned.
  Orders Plan(Millis now, WallMillis wall, std::size_t max_starts);
  /// As many starts as there is room for, or none.
  Orders Plan(Millis now, WallMillis wall, bool may_start) {
    return Plan(now, wall, may_start ? SIZE_MAX : std::size_t{0});
  }
  void OnStart(const StartOrder& order, StartAnswer answer, Millis now);
  /// Processes the worker's clock from the answer to an order sent at `sent`.
  /// Returns true if another incarnation has answered: a report should be
  /// requested, as it receives no orders before.
  bool OnClock(std::string_view worker, std::int64_t clock_ms, Millis sent,
               Millis now);
  /// A call that may grant a lease has ended; it was sent when the worker had
  /// restarted `restarts` times. Returns true if it has restarted since: its
  /// present incarnation may have taken the call at any time until now.
  bool OnLeaseCallEnded(std::string_view worker, int restarts, Millis now);
  /// Returns the fencing token for an order to the worker. `term`: the version
  /// of the lease; `newest`: that of the newest commit under it.
  std::uint64_t FenceFor(Worker& worker, std::uint64_t term,
                         std::uint64_t newest, Millis now);
  /// Returns true when a report should be requested soon because the run may
  /// never have started.
  bool OnStop(const StopOrder& order, bool answered, Millis now);
  /// The call for advice, sent at `sent`, has ended. `valid`: how long the
  /// tickets are valid; 0: the call failed.
  void OnAdvice(std::string_view step, std::span<const std::string> asked,
                std::span<const std::pair<std::string, std::string>> tickets,
                Millis valid, Millis sent, Millis now);
  /// `sent` is the time at which the report was requested.
  void OnReport(std::string_view worker, const WorkerReport& report,
                Millis sent, Millis now);
  /// Records that an order with a lease was sent to the worker.
  void RecordLease(Worker& worker, Millis now);
  /// Returns the end of a lease granted now, on the worker's clock; 0 if the
  /// clock is unknown.
  [[nodiscard]] std::int64_t LeaseEnd(const Worker& worker, Millis now) const;

  /// Queues a row of the fleet for the next batch, replaces a queued row with
  /// the same key, and returns the row's sequence number.
  std::uint64_t WriteRow(RowWrite row);
  /// Rows of the fleet up to this number are in the store.
  [[nodiscard]] std::uint64_t rows_committed() const { return rows_committed_; }
  /// Time at which the first job without long-running tasks was submitted;
  /// empty before.
  [[nodiscard]] std::optional<Millis> demand_since() const {
    return demand_since_;
  }
  [[nodiscard]] bool HasChanges() const;
  Batch TakeBatch();
  void OnCommitted(const Batch& batch);
  /// Queues the rows of the batch again.
  void OnCommitFailed(const Batch& batch);

  [[nodiscard]] Worker* FindWorker(std::string_view id);
  /// The worker's entry with the connections that this leader may open.
  [[nodiscard]] WorkerEntry EntryForCalls(const Worker& worker) const;
  /// Calls to the worker wait for connections: reserves more of them.
  void ReserveConnections(Worker& worker, Millis now) const;
  [[nodiscard]] std::map<std::string, Worker, std::less<>>& workers() {
    return workers_;
  }
  [[nodiscard]] const Configuration& configuration() const { return config_; }
  /// Returns the outstanding work of each pool that has any.
  [[nodiscard]] std::map<std::string, PoolDemand, std::less<>> Demand(
      Millis now) const;
  /// Returns true when the worker has no runs and all its reported ends are
  /// acknowledged.
  [[nodiscard]] bool IsIdle(const Worker& worker) const;
  /// Stops runs of long-running tasks on a worker that is being drained, as
  /// far as `may_miss` allows.
  void Evacuate(Worker& worker);
  [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
  [[nodiscard]] std::size_t run_count() const { return run_count_; }
  /// Steps with tickets, or with requests for them.
  [[nodiscard]] std::size_t ticket_step_count() const {
    return tickets_.size();
  }

 private:
  struct Ticket {
    std::string text;
    Millis valid_until{0};
    bool refused = false;  ///< The worker may not run the step.
  };
  /// A run on a worker that was lost without a known cause.
  struct UnexplainedLoss {
    TaskId task;
    int run = 0;
    bool alone = false;
    Millis at{0};
  };
  /// A worker that was removed, but may come back under its id.
  struct FormerWorker {
    std::uint64_t fence = 0;
    int restarts = 0;
    LeftConnections left;
    Millis forget_at{0};
  };
  /// Jobs of one pool and its usable workers, in one plan.
  struct Pool {
    std::vector<Job*> jobs;
    std::vector<Worker*> workers;
    std::vector<Worker*> ejected;
    /// Jobs that some workers are kept free for.
    std::set<std::string, std::less<>> kept_free_for;
    /// Needs for which no worker had room. Room only shrinks within a plan.
    std::vector<Resources> unplaceable;
  };

  bool LoadJobText(
      JoinedText joined,
      const std::function<std::optional<JobSpec>(std::string_view)>& decode,
      Millis now, WallMillis wall);
  bool LoadProgressText(const JoinedText& joined, Millis now);
  /// Appends the rows that store the job. Returns what holds once they are
  /// committed.
  CommittedJob EncodeJob(const Job& job, std::vector<RowWrite>& rows) const;
  Job& AddJob(std::string id, std::string queue, JobSpec spec, Millis now);
  /// The newest known configuration of the job's queue, or that at acceptance
  /// if the queue was removed before this process started.
  [[nodiscard]] const Queue& QueueOf(const Job& job) const;
  void AddRun(Worker& worker, Job& job, const TaskId& task, int number,
              RunPhase phase, Millis now);
  /// Removes a run that is certainly no longer in progress.
  void EndRun(Worker& worker, std::map<TaskId, Run>::iterator it, Millis now);
  /// Ends all runs of a worker that runs them no longer since `gone_at`.
  void LoseRuns(Worker& worker, WorkerLoss loss, Millis gone_at, Millis now);
  /// Whether the leader has renewed its lease since `time`. If not, a renewal
  /// is requested with the orders.
  bool IsRenewedSince(Millis time, Millis now);
  /// Adds a lost run to the crash history of its task, which may be given up.
  void RecordLoss(const std::string& worker, const Run& run, WorkerLoss loss,
                  bool alone, Millis now);
  /// The worker, which was out of reach, has crashed.
  void ConfirmCrash(std::string_view worker, Millis now);
  /// The worker, which was out of reach, answers a report requested at `sent`.
  void RecordReturn(const Worker& worker, const WorkerReport& report,
                    Millis sent, Millis now);
  void GiveUpIfDeadly(Job& job, const TaskId& task, bool alone, Millis now);
  /// The task has run without harm to its worker.
  void RecordSurvival(Job& job, Task& task, int run);
  void SetSuspicion(Worker& worker, Run& run, Suspicion suspicion);
  /// The worker has restarted under its id, at the Unix time `started_at_ms`.
  /// Runs sent since then may be at work there: the next reports tell.
  void BeginIncarnation(Worker& worker, std::int64_t started_at_ms, Millis now);
  void OnEnd(Worker& worker, const EndedRun& end, Millis now);
  void OnActive(Worker& worker, const ActiveRun& active, Millis sent,
                Millis now);
  void MarkDone(Job& job, const TaskId& task, Millis now);
  /// Closes occurrences that are done and opens those that are soon due.
  void UpdateOccurrences(Job& job, Millis now, WallMillis wall);
  void UpdateHeldBytes(Job& job);
  void Release(Job& job);
  void FailJob(Job& job, Millis now);
  void CountFailure(Worker& worker, const Job& job, Millis now);
  void StopAll(Job& job);
  /// Stops the other members of a gang of which `member` doesn't start: they
  /// would wait for it.
  void StopGang(const Job& job, const TaskId& member);
  void CheckProgress(Worker& worker, Run& run, Millis now);
  void AdjustPaces(Worker& worker, Orders& orders, Millis now);
  void PlanStops(Orders& orders, Millis now);
  void PlanStarts(Orders& orders, Millis now, WallMillis wall);
  void PlanPool(Pool& pool, Orders& orders, Millis now, WallMillis wall);
  bool PlanJob(Job& job, const Queue& queue, Pool& pool, Orders& orders,
               Millis now, WallMillis wall);
  bool PlanGang(Job& job, const Queue& queue, int occurrence, int step,
                Pool& pool, Orders& orders, Millis now);
  bool StartTask(Job& job, const Queue& queue, const TaskId& id, int number,
                 Pool& pool, Orders& orders, Millis now);
  bool MayStart(const Job& job, const Task& task, Millis now);
  [[nodiscard]] bool IsStepReady(const Job& job, int occurrence, int step,
                                 WallMillis wall) const;
  /// Records that the run of a suspect is about to start on the worker. Returns
  /// false if that has to be stored before.
  bool AnnounceRun(Job& job, Task& task, int number, const std::string& worker);
  /// The worker is silent: the next leader has to know what it may have crashed
  /// under. Its successor may register only after this leader is lost.
  void AnnounceRuns(const Worker& worker);
  void AddStart(Job& job, const Queue& queue, const TaskId& id, int number,
                Worker& worker, Pool& pool, Orders& orders, Millis now);
  Worker* ChooseWorker(const Job& job, const Queue& queue, const TaskId& id,
                       Pool& pool, Orders& orders, Millis now);
  [[nodiscard]] bool CanHost(const Job& job, const StepSpec& step,
                             const std::string& step_name, const Task& task,
                             const Worker& worker, bool avoid,
                             Millis now) const;
  /// Keeps workers free for `tasks` tasks like `id` if they must run alone and
  /// have waited long.
  void KeepFree(const Job& job, const TaskId& id, int tasks, Pool& pool,
                Millis now) const;
  /// Removes the worker. Returns the next one.
  std::map<std::string, Worker, std::less<>>::iterator Forget(
      std::map<std::string, Worker, std::less<>>::iterator it, Millis now);
  /// The worker runs as another incarnation than before: prepares it for calls
  /// that were sent to the former one.
  void ExpectFormerCalls(Worker& worker, Millis now);
  /// A call that grants the worker the longest lease may be carried out now.
  void ExpectLongestLease(Worker& worker, Millis now) const;
  /// Ends silent workers whose VM has registered the later worker `entry`.
  void EndPredecessors(const WorkerEntry& entry, Millis now);
  /// `by`: the worker that runs on its VM now; may be empty. `ordered`: its VM
  /// was ordered away.
  void EndReplacedWorker(Worker& worker, std::string_view by, bool ordered,
                         Millis now);
  /// The most connections that are left open at the worker.
  [[nodiscard]] int MostLeftOpenAt(const Worker& worker) const;
  /// Uses a worker again that was taken for ended: a later listing has it up.
  static void TakeBack(Worker& worker);
  /// Returns true when the VM certainly no longer runs this worker.
  [[nodiscard]] bool HasReplacedWorker(const Vm& vm,
                                       const std::string& worker) const;
  /// Whether the worker's capacity is known well enough to start tasks there.
  [[nodiscard]] bool IsCapacityKnown(const Worker& worker, Millis now) const;
  /// Whether an earlier leader's runs of the job may be in progress on a worker
  /// that hasn't told this leader what it runs.
  bool IsAdoptionPending(const Job& job, Millis now);
  /// Whether the store names the service as one whose workers may run the job's
  /// tasks. If not, it will with the next commit.
  bool IsServiceStored(Job& job, const std::string& service);
  /// Returns null if there is no valid ticket. Then advice on the pool's
  /// workers is requested, unless a call for advice is in progress.
  const std::string* TicketFor(const std::string& step_name,
                               const Worker& worker, Orders& orders,
                               std::vector<Worker*>& pool, Millis now);
  [[nodiscard]] int NextRun(const Task& task) const;
  void Expire(Millis now);

  SchedulerSettings settings_;
  Configuration config_;
  /// Newest configuration by queue name.
  std::map<std::string, Queue, std::less<>> queues_;
  std::uint64_t term_ = 0;
  int leaders_lost_ = 0;
  Millis earlier_leases_expire_at_{0};
  Millis renewed_{-1};  ///< Send time of the newest renewal of this term.
  bool needs_renewal_ = false;  ///< In the current plan.
  Millis last_expiry_{0};
  std::optional<Millis> registrations_as_of_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::set<Job*> active_jobs_;  ///< Jobs that have not ended.
  /// Stops for runs of unknown jobs.
  std::vector<StopOrder> unknown_run_stops_;
  std::set<Job*> unsaved_jobs_;  ///< Jobs whose rows must be written.
  RowJoiner job_rows_;           ///< While the state is loaded.
  RowJoiner progress_rows_;
  std::vector<RowWrite> rows_;  ///< Other rows that must be written.
  std::uint64_t rows_written_ = 0;
  std::uint64_t rows_committed_ = 0;
  std::map<std::string, Worker, std::less<>> workers_;
  std::map<std::string, FormerWorker, std::less<>> former_workers_;
  /// By worker id.
  std::multimap<std::string, UnexplainedLoss, std::less<>> unexplained_losses_;
  /// By step name, then worker id.
  std::map<std::string, std::map<std::string, Ticket, std::less<>>, std::less<>>
      tickets_;
  /// When the call for advice that is in progress was requested. The service
  /// handles one call at a time, so the other steps wait with the leader, which
  /// asks for the most urgent one next.
  std::optional<Millis> advice_requested_;
  /// By queue name.
  std::map<std::string, ArrivalRate, std::less<>> arrivals_;
  std::optional<Millis> demand_since_;
  std::size_t run_count_ = 0;
  std::size_t held_bytes_ = 0;  ///< By all jobs.
  std::size_t max_starts_ = 0;  ///< Of the current plan.
  /// Number of plans; the pool that is planned first changes with each.
  std::size_t plans_ = 0;
};

}  // namespace hemlockward::jobs
