// Unit tests of single scheduler decisions: placement, gangs, evacuation,
// failures and commits.

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs {
namespace {

using testing::kWall;
using testing::OneStep;
using testing::SchedulerTest;
using testing::Step;

TEST_F(SchedulerTest, UnstoredJobIsNotStarted) {
  AddWorker("w");
  const JobSpec spec = OneStep(Step(1, 1000));
  scheduler_.Submit(config_.queues[0], "a", spec, "source", now_, kWall);
  EXPECT_TRUE(Plan().starts.empty());
  Commit();
  EXPECT_EQ(Plan().starts.size(), 1U);
}

TEST_F(SchedulerTest, FillsOneWorkerBeforeTheNext) {
  AddWorker("w1");
  AddWorker("w2");
  const JobSpec spec = OneStep(Step(4, 2000));
  Submit("a", spec);
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 4U);
  for (const StartOrder& it : orders.starts) {
    EXPECT_EQ(it.worker, orders.starts[0].worker);
  }
}

TEST_F(SchedulerTest, ReportRequestedBeforeTheStartDoesNotEndTheRun) {
  AddWorker("w");
  const JobSpec spec = OneStep(Step(1, 1000));
  Submit("a", spec);
  const Millis asked = now_;
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  Started(orders);
  WorkerReport report;
  report.clock_ms = 1;
  report.started_at_ms = 1;
  scheduler_.OnReport("w", report, asked, now_);
  EXPECT_TRUE(Plan().starts.empty());
}

TEST_F(SchedulerTest,
       ReportRequestedInTheMillisecondOfTheAnswerDoesNotEndTheRun) {
  AddWorker("w");
  const JobSpec spec = OneStep(Step(1, 1000));
  Submit("a", spec);
  Started(Plan());
  Report("w", {});
  EXPECT_TRUE(Plan().starts.empty());
}

TEST_F(SchedulerTest, GangStartsCompletelyOrNotAtAll) {
  AddWorker("w", 4000);
  JobSpec spec;
  StepSpec step = Step(3, 2000);
  step.gang = true;
  spec.steps.push_back(step);
  Submit("a", spec);
  EXPECT_TRUE(Plan().starts.empty());
  AddWorker("w2", 4000);
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 3U);
  for (const StartOrder& it : orders.starts)
    EXPECT_EQ(it.run, orders.starts[0].run);
}

// The other members would wait for the refused one and end `alone`.
TEST_F(SchedulerTest, GangWithARefusedMemberIsStopped) {
  AddWorker("w1", 4000);
  AddWorker("w2", 4000);
  StepSpec step = Step(3, 2000);
  step.gang = true;
  Submit("a", OneStep(step));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 3U);
  // The capacity of this worker has shrunk, and isn't read yet.
  scheduler_.OnStart(orders.starts[0], StartAnswer::kStarted, now_);
  scheduler_.OnStart(orders.starts[2], StartAnswer::kNoCapacity, now_);
  Orders next = Plan();
  EXPECT_TRUE(next.starts.empty());
  ASSERT_EQ(next.stops.size(), 1U);
  EXPECT_EQ(next.stops[0].task, orders.starts[0].task);
  // Its start is answered first.
  scheduler_.OnStart(orders.starts[1], StartAnswer::kStarted, now_);
  next = Plan();
  ASSERT_EQ(next.stops.size(), 1U);
  EXPECT_EQ(next.stops[0].task, orders.starts[1].task);
  EXPECT_TRUE(Plan().stops.empty());
  now_ += Millis{200};
  Report(orders.starts[0].worker, {},
         {{1, orders.starts[0].task, 1, EndKind::kStopped, ""},
          {2, orders.starts[1].task, 1, EndKind::kStopped, ""}});
  const Orders again = Plan();
  ASSERT_EQ(again.starts.size(), 3U);
  EXPECT_GT(again.starts[0].run, orders.starts[0].run);
}

TEST_F(SchedulerTest, HonoursLabelsRacksAndLimitsPerWorker) {
  AddWorker("plain", 8000, {"a", "rack1"});
  AddWorker("near", 8000, {"a", "rack2"});
  AddWorker("special", 8000, {"b", "rack1"});
  JobSpec spec;
  StepSpec step = Step(1, 1000);
  step.required_label = "b";
  spec.steps.push_back(step);
  step = Step(1, 1000);
  step.data_rack = "rack2";
  spec.steps.push_back(step);
  step = Step(4, 1000);
  step.max_per_worker = 1;
  spec.steps.push_back(step);
  Submit("a", spec);
  const Orders orders = Plan();
  std::map<std::string, int> third;
  for (const StartOrder& it : orders.starts) {
    if (it.task.step == 0) {
      EXPECT_EQ(it.worker, "special");
    }
    if (it.task.step == 1) {
      EXPECT_EQ(it.worker, "near");
    }
    if (it.task.step == 2) ++third[it.worker];
  }
  EXPECT_EQ(third.size(), 3U);
  for (const auto& [worker, n] : third) EXPECT_EQ(n, 1);
}

TEST_F(SchedulerTest, OccurrencesStartWhenDue) {
  AddWorker("w");
  JobSpec spec = OneStep(Step(1, 1000));
  spec.occurrences = 2;
  spec.first_due = kWall + Millis{3000};
  spec.interval = {1000};
  Submit("a", spec);
  EXPECT_TRUE(Plan().starts.empty());
  EXPECT_TRUE(Plan({1500}).starts.empty());
  // The store has to know of an occurrence before it starts.
  Commit();
  Orders orders = Plan({500});
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].task.occurrence, 0);
  Commit();
  EXPECT_TRUE(Plan({500}).starts.empty());
  orders = Plan({500});
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].task.occurrence, 1);
}

TEST_F(SchedulerTest, LastingTaskIsRestartedHoweverItEnds) {
  AddWorker("w");
  JobSpec spec;
  StepSpec step = Step(1, 1000);
  step.long_running = true;
  spec.steps.push_back(step);
  Submit("a", spec);
  Orders orders = Plan();
  for (int i = 1; i <= 4; ++i) {
    ASSERT_EQ(orders.starts.size(), 1U);
    Started(orders);
    now_ += Millis{10};
    Report("w", {},
           {{i, orders.starts[0].task, orders.starts[0].run, EndKind::kFailed,
             ""}});
    now_ += Millis{5000};
    Report("w", {});
    orders = Plan();
  }
  EXPECT_FALSE(HasEnded(scheduler_.FindJob("a")->state));
}

TEST_F(SchedulerTest, EvacuationKeepsEnoughTasksOfAStepRunning) {
  AddWorker("w1");
  AddWorker("w2");
  JobSpec spec;
  StepSpec step = Step(4, 1000);
  step.long_running = true;
  step.max_per_worker = 2;
  step.may_miss = 1;
  spec.steps.push_back(step);
  Submit("a", spec);
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 4U);
  Started(orders);
  now_ += Millis{10};
  for (const char* id : {"w1", "w2"}) {
    std::vector<ActiveRun> active;
    for (const StartOrder& it : orders.starts) {
      if (it.worker == id) active.push_back({it.task, it.run, "", 100, 0});
    }
    Report(id, active);
  }
  Worker* worker = scheduler_.FindWorker("w1");
  worker->reserved = true;
  scheduler_.Evacuate(*worker);
  const Orders stops = Plan();
  ASSERT_EQ(stops.stops.size(), 1U);
  // An acknowledged stop counts as not running until the end of the run is
  // reported.
  scheduler_.OnStop(stops.stops[0], true, now_);
  scheduler_.Evacuate(*worker);
  EXPECT_TRUE(Plan().stops.empty());
}

TEST_F(SchedulerTest, SmallestJobThatCanMeetItsObjectiveIsStartedFirst) {
  AddWorker("w", 4000);
  JobSpec large;
  large.steps.push_back(Step(8, 4000));
  JobSpec small;
  small.steps.push_back(Step(1, 4000));
  Submit("large", large);
  Submit("small", small);
  Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].task.job, "small");
}

TEST_F(SchedulerTest, LimitedPlansStartEveryTaskInTheEnd) {
  AddWorker("w", 64'000);
  for (int i = 0; i < 5; ++i) {
    Submit("job" + std::to_string(i), OneStep(Step(4, 1000)));
  }
  std::size_t started = 0;
  for (int i = 0; i < 7; ++i) {
    now_ += Millis{10};
    const Orders orders = scheduler_.Plan(now_, kWall, std::size_t{3});
    EXPECT_LE(orders.starts.size(), 3U);
    started += orders.starts.size();
    Started(orders);
  }
  EXPECT_EQ(started, 20U);
}

TEST_F(SchedulerTest, EqualJobsAreOrderedById) {
  AddWorker("w", 4000);
  for (const char* it : {"c", "a", "d", "b"}) {
    Submit(it, OneStep(Step(1, 1000)));
  }
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 4U);
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_EQ(orders.starts[i].task.job, std::string(1, "abcd"[i]));
  }
}

TEST_F(SchedulerTest, LateJobsAreStartedAfterJobsThatCanMeetTheirObjective) {
  AddWorker("w", 4000);
  JobSpec small;
  small.steps.push_back(Step(1, 4000));
  JobSpec large;
  large.steps.push_back(Step(2, 4000));
  Submit("late", small);
  now_ += Millis{2000};  // The objective is 2.5 s after acceptance.
  Submit("large", large);
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].task.job, "large");
}

TEST_F(SchedulerTest, LastingTasksShareVms) {
  AddWorker("w1", 8000, {"left"});
  AddWorker("w2", 8000, {"right"});
  const auto start = [this](const char* id, StepSpec step) {
    JobSpec spec;
    spec.steps.push_back(std::move(step));
    Submit(id, spec);
    const Orders orders = Plan();
    return orders.starts.empty() ? std::string() : orders.starts[0].worker;
  };
  StepSpec long_running = Step(1, 1000);
  long_running.long_running = true;
  long_running.required_label = "left";
  EXPECT_EQ(start("first", long_running), "w1");
  StepSpec filler = Step(1, 6000);
  filler.required_label = "right";
  EXPECT_EQ(start("filler", filler), "w2");
  // w2 is the fullest worker with enough room.
  long_running.required_label.clear();
  EXPECT_EQ(start("second", long_running), "w1");
}

TEST_F(SchedulerTest, NothingStartsOnADrainingWorker) {
  AddWorker("w", 4000);
  WorkerEntry entry = scheduler_.FindWorker("w")->entry;
  entry.draining = true;
  scheduler_.UpsertWorker(entry, now_);
  const JobSpec spec = OneStep(Step(1, 1000));
  Submit("job", spec);
  EXPECT_TRUE(Plan().starts.empty());
  entry.draining = false;
  scheduler_.UpsertWorker(entry, now_);
  EXPECT_EQ(Plan().starts.size(), 1U);
}

TEST_F(SchedulerTest, JobFailsOnceATaskHasUsedItsAttempts) {
  AddWorker("w1");
  AddWorker("w2");
  const JobSpec spec = OneStep(Step(1, 1000));
  Submit("a", spec);
  for (int i = 0; i < 2; ++i) {
    const Orders orders = Plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    Started(orders);
    now_ += Millis{10};
    const StartOrder& order = orders.starts[0];
    Report(order.worker, {},
           {{1, order.task, order.run, EndKind::kFailed, ""}});
  }
  EXPECT_TRUE(Plan().starts.empty());
  EXPECT_EQ(scheduler_.FindJob("a")->state, JobState::kFailed);
  EXPECT_EQ(scheduler_.FindJob("a")->committed_state, JobState::kPending);
  Commit();
  EXPECT_EQ(scheduler_.FindJob("a")->committed_state, JobState::kFailed);
}

TEST_F(SchedulerTest,
       FillingTasksAreSlowedWhenAServingTaskExceedsItsTailTarget) {
  AddWorker("w1");
  JobSpec spec;
  StepSpec step = Step(1, 1000);
  step.long_running = true;
  step.tail_target = {100};
  spec.steps.push_back(step);
  step = Step(1, 4000);
  step.fills = true;
  step.long_running = true;
  spec.steps.push_back(step);
  Submit("a", spec);
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 2U);
  Started(orders);
  now_ += Millis{600};
  std::vector<ActiveRun> active;
  for (const StartOrder& it : orders.starts) {
    active.push_back({it.task, it.run, "", 100, it.task.step == 0 ? 150 : 0});
  }
  Report("w1", active);
  const Orders paced = Plan();
  ASSERT_EQ(paced.paces.size(), 1U);
  EXPECT_EQ(paced.paces[0].task.step, 1);
  EXPECT_LE(paced.paces[0].percent, 50);
}

TEST_F(SchedulerTest, BatchesStayWithinTheRowLimitOfATransaction) {
  constexpr std::size_t kPlatformLimit = 100;
  constexpr std::size_t kLeaseRows = 4;
  WorkerEntry entry;
  entry.service = "pool";
  entry.address = "10.0.0.1:80";
  entry.capacity = {8000, 64'000, 0};
  WorkerReport report;
  report.clock_ms = 1;
  const JobSpec spec = OneStep(Step(1, 1000));
  for (int i = 0; i < 300; ++i) {
    entry.id = "w" + std::to_string(i);
    scheduler_.UpsertWorker(entry, now_);
    scheduler_.OnReport(entry.id, report, now_, now_);
    scheduler_.WriteRow({kWaveTable, entry.id, "[]"});
    scheduler_.Submit(config_.queues[0], "job" + std::to_string(i), spec,
                      "source", now_, kWall);
  }
  int batches = 0;
  while (scheduler_.HasChanges()) {
    const Batch batch = Commit();
    ASSERT_LE(batch.rows.size() + kLeaseRows, kPlatformLimit);
    ASSERT_LT(++batches, 100);
  }
  EXPECT_TRUE(scheduler_.FindJob("job299")->stored);
  EXPECT_TRUE(scheduler_.FindWorker("w299")->stored);
}

TEST_F(SchedulerTest, NewJobsAreWrittenBeforeProgress) {
  for (int i = 0; i < 85; ++i) {
    AddWorker("w" + std::to_string(i), 4000);
    JobSpec spec;
    spec.steps.push_back(Step(2, 4000));
    Submit("old" + std::to_string(i), spec);
  }
  std::map<std::string, std::vector<EndedRun>> ends;
  for (const StartOrder& it : Plan().starts) {
    ends[it.worker].push_back({1, it.task, it.run, EndKind::kDone, ""});
  }
  for (const auto& [worker, list] : ends) Report(worker, {}, list);
  const JobSpec spec = OneStep(Step(1, 4000));
  for (int i = 0; i < 20; ++i) {
    scheduler_.Submit(config_.queues[0], "new" + std::to_string(i), spec,
                      "source", now_, kWall);
  }
  const Batch batch = scheduler_.TakeBatch();
  const auto fresh =
      std::count_if(batch.rows.begin(), batch.rows.end(),
                    [](const RowWrite& it) { return it.key[0] == 'n'; });
  EXPECT_EQ(fresh, 20);
  // Ends are not acknowledged while rows remain unwritten.
  EXPECT_TRUE(batch.ends.empty());
}

// After an outage of the store, a batch full of row removals was committed
// without the final states of those jobs, and the next leader knew none of
// them.
TEST_F(SchedulerTest, JobRowIsRemovedOnlyTogetherWithItsFinalStateAfterOutage) {
  constexpr int kJobs = 200;
  for (int i = 0; i < 4; ++i) AddWorker("w" + std::to_string(i), 64'000);
  for (int i = 0; i < kJobs; ++i) {
    Submit("job" + std::to_string(i), OneStep(Step(1, 1000)));
  }
  const Orders orders = Plan();
  Started(orders);
  ASSERT_EQ(orders.starts.size(), static_cast<std::size_t>(kJobs));
  std::map<std::string, std::int64_t> ends;
  now_ += Millis{100};
  for (const StartOrder& it : orders.starts) {
    Report(it.worker, {},
           {{++ends[it.worker], it.task, it.run, EndKind::kDone, ""}});
  }
  for (int i = 0; i < 5; ++i) scheduler_.OnCommitFailed(scheduler_.TakeBatch());
  std::set<std::string> over;
  while (scheduler_.HasChanges()) {
    const Batch batch = Commit();
    std::map<std::string, std::string> progress;
    for (const RowWrite& it : batch.rows) {
      if (it.table == kProgressTable) progress[it.key] = it.value;
    }
    for (const RowWrite& it : batch.rows) {
      if (it.table != kJobTable || !it.remove) continue;
      EXPECT_NE(progress[it.key].find("completed"), std::string::npos)
          << it.key;
      EXPECT_TRUE(over.insert(it.key).second) << it.key << " removed twice";
    }
  }
  EXPECT_EQ(over.size(), static_cast<std::size_t>(kJobs));
}

TEST_F(SchedulerTest, RowCountsAsCommittedOnlyAfterItsCommit) {
  const std::uint64_t first = scheduler_.WriteRow({"orders", "recent", "a"});
  Batch batch = scheduler_.TakeBatch();
  const std::uint64_t second = scheduler_.WriteRow({"orders", "recent", "b"});
  EXPECT_LT(scheduler_.rows_committed(), first);
  scheduler_.OnCommitFailed(batch);
  batch = scheduler_.TakeBatch();
  // A transaction writes each row only once.
  ASSERT_EQ(batch.rows.size(), 1U);
  EXPECT_EQ(batch.rows[0].value, "b");
  EXPECT_LT(scheduler_.rows_committed(), first);
  scheduler_.OnCommitted(batch);
  EXPECT_EQ(scheduler_.rows_committed(), second);
}

TEST_F(SchedulerTest, RowsRestoreAJob) {
  AddWorker("w1");
  JobSpec spec;
  spec.steps.push_back(Step(2, 1000));
  spec.steps.push_back(Step(1, 1000));
  spec.steps[1].after = {0};
  scheduler_.Submit(config_.queues[0], "a", spec, "source", now_, kWall);
  const Batch first = Commit();
  const Orders orders = Plan();
  Started(orders);
  now_ += Millis{10};
  Report(
      "w1", {{orders.starts[1].task, orders.starts[1].run, "", 5, 0}},
      {{1, orders.starts[0].task, orders.starts[0].run, EndKind::kDone, ""}});
  const Batch second = Commit();
  Scheduler next(SchedulerSettings{Millis{4000}});
  next.BeginTerm(1, now_ + Millis{9000});
  next.SetConfiguration(config_);
  for (const Batch* batch : {&first, &second}) {
    for (const RowWrite& it : batch->rows) {
      if (it.table == std::string(kJobTable)) {
        EXPECT_TRUE(next.LoadJob(
            it.key, it.value,
            [&](std::string_view) { return std::optional(spec); }, now_,
            kWall));
      } else if (it.table == std::string(kProgressTable)) {
        EXPECT_TRUE(next.LoadProgress(it.key, it.value, now_));
      }
    }
  }
  const Job* job = next.FindJob("a");
  ASSERT_NE(job, nullptr);
  EXPECT_EQ(job->occurrences.at(0).steps[0].done, 1);
  EXPECT_EQ(job->queue, "queue");
}

// They were never started, and one failed run would have failed them.
TEST_F(SchedulerTest, JobOfARemovedQueueGoesOnUnderALeaderThatNeverKnewIt) {
  Submit("a", OneStep(Step(1, 1000)));
  const std::string row = EncodeJobRow(*scheduler_.FindJob("a"));
  scheduler_ = Scheduler{SchedulerSettings{Millis{4000}}};
  scheduler_.BeginTerm(1, {0});
  Configuration without = config_;
  without.queues.clear();
  scheduler_.SetConfiguration(without);
  ASSERT_TRUE(scheduler_.LoadJob(
      "a", row, [](std::string_view) { return OneStep(Step(1, 1000)); }, now_,
      kWall));
  AddWorker("w1");
  AddWorker("w2");
  for (const JobState state : {JobState::kRunning, JobState::kFailed}) {
    const Orders orders = Plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    Started(orders);
    now_ += Millis{10};
    const StartOrder& order = orders.starts[0];
    Report(order.worker, {},
           {{1, order.task, order.run, EndKind::kFailed, ""}});
    EXPECT_EQ(scheduler_.FindJob("a")->state, state);
  }
}

// A refused start, or a gang without room, counted as a start.
TEST_F(SchedulerTest, JobIsPendingUntilAStartOfItIsConfirmed) {
  AddWorker("w", 4000);
  StepSpec gang = Step(2, 3000);
  gang.gang = true;
  Submit("gang", OneStep(gang));
  EXPECT_TRUE(Plan().starts.empty());
  EXPECT_EQ(scheduler_.Pending("queue"), 1U);
  Submit("task", OneStep(Step(1, 1000)));
  Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  scheduler_.OnStart(orders.starts[0], StartAnswer::kNoCapacity, now_);
  EXPECT_EQ(scheduler_.Pending("queue"), 2U);
  orders = Plan(Millis{500});
  ASSERT_EQ(orders.starts.size(), 1U);
  scheduler_.OnStart(orders.starts[0], StartAnswer::kUnknown, now_);
  EXPECT_EQ(scheduler_.Pending("queue"), 2U);
  now_ += Millis{10};
  Report("w", {{orders.starts[0].task, orders.starts[0].run, "", 5, 0}});
  EXPECT_EQ(scheduler_.Pending("queue"), 1U);
  EXPECT_EQ(scheduler_.FindJob("task")->state, JobState::kRunning);
}

TEST_F(SchedulerTest, JobIsRunningOnceAStartOfItIsConfirmed) {
  AddWorker("w");
  Submit("answered", OneStep(Step(1, 1000)));
  Started(Plan());
  EXPECT_EQ(scheduler_.FindJob("answered")->state, JobState::kRunning);
  Submit("ended", OneStep(Step(2, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 2U);
  now_ += Millis{10};
  Report(
      "w", {},
      {{1, orders.starts[0].task, orders.starts[0].run, EndKind::kDone, ""}});
  EXPECT_EQ(scheduler_.FindJob("ended")->state, JobState::kRunning);
}

}  // namespace
}  // namespace hemlockward::jobs
