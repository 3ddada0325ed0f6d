// Job rows were once removed without the final state of their jobs when the
// store refused transactions, so the next leader denied jobs it had accepted.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "jobs/rows.h"
#include "jobs/scheduler.h"
#include "jobs_fixture.h"

namespace hemlockward::jobs::testing {
namespace {

/// The platform's limit for all entries of a transaction, and those of the
/// lease: two conditions, the heartbeat and the lease itself.
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kLeaseEntries = 4;
constexpr int kWorkers = 3;
constexpr int kAttempts = 2;
constexpr Millis kLease{4000};

enum class Kind : std::uint8_t {
  kSubmit,    ///< `n` jobs of two tasks.
  kCancel,    ///< The job with number `n`.
  kWithdraw,  ///< The client of the newest job stops waiting for the store.
  kStartRuns,
  kEndRuns,  ///< At most `n` runs; each tenth fails.
  kRunAll,   ///< Starts runs, then all of them end as done.
  kWriteRow,
  kUnlist,     ///< The listing lacks worker `n`, which goes on.
  kList,       ///< Worker `n` is listed again.
  kEndWorker,  ///< The VM of worker `n` is moved.
  kRestart,    ///< Worker `n` restarts under its id.
  kWait,
  kTakeBatch,
  kCommit,   ///< The batch is applied, and the response arrives.
  kRefuse,   ///< One to four batches are refused.
  kTakeOver  ///< By another leader; with an odd `n`, the batch was applied.
};

struct Action {
  Kind kind = Kind::kCommit;
  int n = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& action) {
  static constexpr std::array kNames{
      "submit",     "cancel", "withdraw", "start runs", "end runs", "run all",
      "write",      "unlist", "list",     "end worker", "restart",  "wait",
      "take batch", "commit", "refuse",   "take over"};
  return out << kNames[static_cast<std::size_t>(action.kind)] << " "
             << action.n;
}

/// One leader after another, the store and the workers. The network is free of
/// faults: workers answer every order and report after every action.
class Deployment {
 public:
  explicit Deployment(SchedulerSettings settings) : settings_(settings) {
    for (int i = 0; i < kWorkers; ++i) {
      EmulatedWorker& it = workers_["worker" + std::to_string(i)];
      it.entry.id = "worker" + std::to_string(i);
      it.entry.address = "10.0.0.1:1";
      it.entry.service = "pool";
      it.entry.capacity = {1'000'000, 1'000'000, 0};
      it.entry.started_at_ms = 1;
    }
    BeginTerm();
  }

  void Do(const Action& action) {
    now_ += Millis{20};
    Execute(action);
    Poll();
    CheckJobs();
  }

 private:
  struct EmulatedWorker {
    WorkerEntry entry;
    bool alive = true;
    bool listed = true;
    std::map<TaskId, int> active;  ///< Run numbers.
    std::vector<EndedRun> ended;
    std::int64_t last_end = 0;
  };
  struct Record {
    bool accepted = false;
    bool denied = false;  ///< Its client was told that it never runs.
    std::optional<JobState> final_state;
    std::optional<Millis> over_since;  ///< When a leader first said so.
  };

  [[nodiscard]] WallMillis Wall() const {
    return {1'700'000'000'000 + now_.count};
  }

  EmulatedWorker& WorkerAt(int n) {
    return workers_.at("worker" + std::to_string(n % kWorkers));
  }

  void Execute(const Action& action) {
    switch (action.kind) {
      case Kind::kSubmit:
        for (int i = 0; i < action.n; ++i) Submit();
        break;
      case Kind::kCancel:
        scheduler_->Cancel(JobName(action.n), now_);
        break;
      case Kind::kWithdraw:
        if (scheduler_->Withdraw(JobName(next_job_ - 1))) {
          records_.at(JobName(next_job_ - 1)).denied = true;
        }
        break;
      case Kind::kStartRuns:
        StartRuns();
        break;
      case Kind::kEndRuns:
        EndRuns(action.n, true);
        break;
      case Kind::kRunAll:
        StartRuns();
        EndRuns(next_job_ * 2, false);
        break;
      case Kind::kWriteRow:
        written_ = scheduler_->WriteRow(
            {kOrderTable, kOrderKey, std::to_string(++last_value_)});
        break;
      case Kind::kUnlist:
        WorkerAt(action.n).listed = false;
        scheduler_->RemoveWorker(WorkerAt(action.n).entry.id);
        break;
      case Kind::kList:
        List(WorkerAt(action.n));
        break;
      case Kind::kEndWorker: {
        EmulatedWorker& worker = WorkerAt(action.n);
        Crash(worker);
        worker.alive = worker.listed = false;
        scheduler_->EndWorker(worker.entry.id, WorkerLoss::kPlanned, now_);
        scheduler_->RemoveWorker(worker.entry.id);
        break;
      }
      case Kind::kRestart:
        Crash(WorkerAt(action.n));
        List(WorkerAt(action.n));
        break;
      case Kind::kWait:
        now_ += Millis{1000};
        break;
      case Kind::kTakeBatch:
        TakeBatch();
        break;
      case Kind::kCommit:
        TakeBatch();
        Apply();
        scheduler_->OnCommitted(*in_flight_);
        in_flight_ = std::nullopt;
        break;
      case Kind::kRefuse:
        for (int i = 0; i <= action.n % 4; ++i) Refuse();
        break;
      case Kind::kTakeOver:
        if (in_flight_ && action.n % 2 == 1) Apply();
        BeginTerm();
        break;
    }
  }

  static std::string JobName(int n) { return "job" + std::to_string(n); }

  void Submit() {
    const std::string id = JobName(next_job_++);
    records_[id] = {};
    scheduler_->Submit(config_.queues[0], id, OneStep(Step(2, 100)), id, now_,
                       Wall());
  }

  void StartRuns() {
    scheduler_->OnRenewed(now_);
    for (const StartOrder& it : scheduler_->Plan(now_, Wall(), true).starts) {
      RC_ASSERT(store_[kJobTable].contains(it.task.job));
      RC_ASSERT(store_[kWorkerTable].contains(it.worker));
      RC_ASSERT(!done_.contains(it.task));
      EmulatedWorker& worker = workers_.at(it.worker);
      if (worker.alive) worker.active[it.task] = it.run;
      scheduler_->OnStart(
          it, worker.alive ? StartAnswer::kStarted : StartAnswer::kRefused,
          now_);
    }
  }

  void EndRuns(int n, bool may_fail) {
    for (auto& [id, worker] : workers_) {
      while (!worker.active.empty() && n-- > 0) {
        const auto it = worker.active.begin();
        const bool fails = may_fail && n % 10 == 9;
        worker.ended.push_back({++worker.last_end, it->first, it->second,
                                fails ? EndKind::kFailed : EndKind::kDone, ""});
        worker.active.erase(it);
      }
    }
  }

  void Crash(EmulatedWorker& worker) {
    worker.active.clear();
    worker.ended.clear();
    worker.last_end = 0;
    ++worker.entry.started_at_ms;
  }

  void List(EmulatedWorker& worker) {
    worker.alive = worker.listed = true;
    scheduler_->UpsertWorker(worker.entry, now_);
  }

  // Requests a report from every worker, which acknowledges committed ends.
  void Poll() {
    for (auto& [id, worker] : workers_) {
      Worker* known = scheduler_->FindWorker(id);
      if (!known || known->ended || !worker.alive) continue;
      scheduler_->RecordLease(*known, now_);
      const std::int64_t seen =
          known->started_at_ms == worker.entry.started_at_ms
              ? known->committed_end_number
              : 0;
      std::erase_if(worker.ended, [this, seen](const EndedRun& it) {
        if (it.number > seen) return false;
        if (it.kind == EndKind::kDone) done_.insert(it.task);
        if (it.kind == EndKind::kFailed) ++failures_[it.task];
        return true;
      });
      WorkerReport report;
      report.clock_ms = now_.count;
      report.started_at_ms = worker.entry.started_at_ms;
      report.ended = worker.ended;
      const int percent = static_cast<int>(now_.count / 20 % 100);
      for (const auto& [task, run] : worker.active) {
        report.active.push_back({task, run, "", percent, 0});
      }
      scheduler_->OnReport(id, report, now_, now_);
    }
  }

  void TakeBatch() {
    if (in_flight_) return;
    in_flight_ = scheduler_->TakeBatch();
    RC_ASSERT(in_flight_->rows.size() + kLeaseEntries <= kMaxEntries);
    // Its entries have no order: two for one row have no defined result.
    std::set<std::pair<std::string, std::string>> keys;
    for (const RowWrite& it : in_flight_->rows) {
      if (!keys.emplace(it.table, it.key).second) {
        RC_FAIL("two entries for " + it.table + "/" + it.key);
      }
    }
  }

  void Apply() {
    for (const RowWrite& it : in_flight_->rows) {
      if (it.remove) {
        store_[it.table].erase(it.key);
      } else {
        store_[it.table][it.key] = it.value;
      }
    }
    for (const CommittedJob& it : in_flight_->jobs) {
      Record& record = records_.at(it.id);
      RC_ASSERT(!record.denied);
      record.accepted = true;
      if (HasEnded(it.state)) record.final_state = it.state;
    }
  }

  void Refuse() {
    TakeBatch();
    scheduler_->OnCommitFailed(*in_flight_);
    scheduler_->WithdrawUnstored();
    in_flight_ = std::nullopt;
    DenyForgottenJobs();
  }

  void DenyForgottenJobs() {
    for (auto& [id, record] : records_) {
      if (!record.accepted && !scheduler_->FindJob(id)) record.denied = true;
    }
  }

  void BeginTerm() {
    in_flight_ = std::nullopt;
    written_ = 0;
    scheduler_ = std::make_unique<Scheduler>(settings_);
    scheduler_->BeginTerm(term_++, now_ + kLease * 2);
    scheduler_->SetConfiguration(config_);
    for (const auto& [id, row] : store_[kJobTable]) {
      const auto decode = [](std::string_view) -> std::optional<JobSpec> {
        return OneStep(Step(2, 100));
      };
      RC_ASSERT(scheduler_->LoadJob(id, row, decode, now_, Wall()));
    }
    for (const auto& [id, row] : store_[kProgressTable]) {
      RC_ASSERT(scheduler_->LoadProgress(id, row, now_));
    }
    for (const auto& [id, row] : store_[kWorkerTable]) {
      scheduler_->LoadWorker(id, row, now_);
    }
    for (const auto& [id, worker] : workers_) {
      if (worker.listed) scheduler_->UpsertWorker(worker.entry, now_);
    }
    // No transaction of the earlier leader takes effect any more.
    DenyForgottenJobs();
  }

  void CheckJobs() {
    for (auto& [id, record] : records_) {
      const Job* job = scheduler_->FindJob(id);
      if (record.denied && job) RC_FAIL(id + " was denied and is known");
      const bool stored = job && job->stored;
      if (job && HasEnded(job->state) && !record.over_since) {
        record.over_since = now_;
      }
      const bool may_be_forgotten =
          record.final_state && record.over_since &&
          now_ - *record.over_since > settings_.retention;
      if (record.accepted && !stored && !may_be_forgotten) {
        RC_FAIL(id + " was accepted and isn't known");
      }
      if (!stored) continue;
      record.accepted = true;
      if (record.final_state) RC_ASSERT(job->state == *record.final_state);
      if (HasEnded(job->committed_state)) {
        record.final_state = job->committed_state;
      }
    }
    for (const TaskId& it : done_) CheckDone(it);
    for (const auto& [task, n] : failures_) CheckFailures(task, n);
    if (written_ > 0 && scheduler_->rows_committed() >= written_) {
      RC_ASSERT(store_[kOrderTable][kOrderKey] == std::to_string(last_value_));
    }
  }

  // An acknowledged end is never listed again.
  void CheckDone(const TaskId& task) const {
    const Job* job = scheduler_->FindJob(task.job);
    if (!job || HasEnded(job->state)) return;
    RC_ASSERT(job->occurrences.at(0).steps[0].tasks[task.index].done);
  }

  void CheckFailures(const TaskId& id, int n) const {
    const Job* job = scheduler_->FindJob(id.job);
    if (!job || HasEnded(job->state)) return;
    const Task& task = job->occurrences.at(0).steps[0].tasks[id.index];
    RC_ASSERT(task.done || static_cast<int>(task.failed_runs.size()) >= n);
  }

  SchedulerSettings settings_;
  Configuration config_ = OneQueue(kAttempts, Millis{500});
  Millis now_{1000};
  std::uint64_t term_ = 0;
  std::unique_ptr<Scheduler> scheduler_;
  std::map<std::string, std::map<std::string, std::string>> store_;
  std::map<std::string, EmulatedWorker> workers_;
  std::optional<Batch> in_flight_;
  std::map<std::string, Record> records_;
  std::set<TaskId> done_;           ///< With an acknowledged end.
  std::map<TaskId, int> failures_;  ///< Acknowledged ones.
  std::uint64_t written_ = 0;       ///< Sequence number of the newest row.
  int last_value_ = 0;              ///< Value of that row.
  int next_job_ = 0;
};

// It left and came back while the store refused transactions.
TEST(DurabilityTest, WorkerThatCameBackIsNotRemovedByTheSameTransaction) {
  Scheduler scheduler{SchedulerSettings{kLease}};
  scheduler.BeginTerm(0, {0});
  WorkerEntry entry;
  entry.id = "worker";
  entry.service = "pool";
  WorkerReport report;
  const auto join = [&](Millis now) {
    entry.started_at_ms = report.started_at_ms = report.clock_ms = now.count;
    scheduler.UpsertWorker(entry, now);
    scheduler.OnReport("worker", report, now, now);
  };
  join(Millis{1000});
  scheduler.OnCommitted(scheduler.TakeBatch());
  scheduler.EndWorker("worker", WorkerLoss::kPlanned, Millis{2000});
  scheduler.RemoveWorker("worker");
  scheduler.OnCommitFailed(scheduler.TakeBatch());
  scheduler.OnRenewed(Millis{3000});
  scheduler.Plan(Millis{3000}, {}, false);
  ASSERT_EQ(scheduler.FindWorker("worker"), nullptr);
  join(Millis{4000});
  const Batch batch = scheduler.TakeBatch();
  ASSERT_EQ(batch.rows.size(), 1U);
  EXPECT_FALSE(batch.rows[0].remove);
  EXPECT_EQ(batch.workers, std::vector<std::string>{"worker"});
}

// Forgotten while that is in flight, its row would stay if it is refused.
TEST(DurabilityTest, JobIsKeptUntilItsFinalStateIsCommitted) {
  const SchedulerSettings settings{kLease};
  Scheduler scheduler{settings};
  scheduler.BeginTerm(0, {0});
  const Configuration config = OneQueue(kAttempts, Millis{500});
  scheduler.Submit(config.queues[0], "job", OneStep(Step(2, 100)), "source",
                   Millis{1000}, {});
  scheduler.OnCommitted(scheduler.TakeBatch());
  scheduler.Cancel("job", Millis{2000});
  const Batch sent = scheduler.TakeBatch();
  scheduler.Plan(Millis{3000} + settings.retention, {}, false);
  scheduler.OnCommitFailed(sent);
  ASSERT_NE(scheduler.FindJob("job"), nullptr);
  const Batch again = scheduler.TakeBatch();
  ASSERT_EQ(again.rows.size(), 2U);
  EXPECT_EQ(again.rows[0].table, kJobTable);
  EXPECT_TRUE(again.rows[0].remove);
  EXPECT_EQ(again.rows[1].table, kProgressTable);
  EXPECT_FALSE(again.rows[1].remove);
}

rc::Gen<std::vector<Action>> Actions() {
  const auto kind = rc::gen::weightedElement<Kind>({{6, Kind::kSubmit},
                                                    {3, Kind::kCancel},
                                                    {1, Kind::kWithdraw},
                                                    {4, Kind::kStartRuns},
                                                    {4, Kind::kEndRuns},
                                                    {4, Kind::kRunAll},
                                                    {2, Kind::kWriteRow},
                                                    {1, Kind::kUnlist},
                                                    {2, Kind::kList},
                                                    {1, Kind::kEndWorker},
                                                    {1, Kind::kRestart},
                                                    {2, Kind::kWait},
                                                    {3, Kind::kTakeBatch},
                                                    {10, Kind::kCommit},
                                                    {4, Kind::kRefuse},
                                                    {3, Kind::kTakeOver}});
  constexpr int kSize = 120;  // Of every case, also of the first ones.
  return rc::gen::resize(
      kSize, rc::gen::container<std::vector<Action>>(
                 rc::gen::construct<Action>(kind, rc::gen::inRange(0, 100))));
}

RC_GTEST_PROP(DurabilityTest, EveryLaterLeaderKnowsWhatAnEarlierOneAccepted,
              ()) {
  base::ConfigureLog(base::LogLevel::kError, base::LogFormat::kKeyValue, "",
                     "test");
  Deployment deployment{{kLease}};
  for (const Action& it : *Actions()) deployment.Do(it);
}

RC_GTEST_PROP(DurabilityTest, EndedJobIsForgottenOnlyAfterItsFinalStateIsStored,
              ()) {
  base::ConfigureLog(base::LogLevel::kError, base::LogFormat::kKeyValue, "",
                     "test");
  SchedulerSettings settings{kLease};
  settings.retention = Millis{500};
  Deployment deployment{settings};
  for (const Action& it : *Actions()) deployment.Do(it);
}

}  // namespace
}  // namespace hemlockward::jobs::testing
