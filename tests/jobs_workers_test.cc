// What the scheduler knows of workers and their runs: reports, leases,
// incarnations and takeovers.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs {
namespace {

using testing::kWall;
using testing::OneStep;
using testing::SchedulerTest;
using testing::Step;

TEST_F(SchedulerTest, RunsOnAnUnresponsiveWorkerEndWithItsLease) {
  AddWorker("w1");
  const JobSpec spec = OneStep(Step(1, 1000));
  Submit("a", spec);
  Started(Plan());
  scheduler_.FindWorker("w1")->unresponsive = true;
  AddWorker("w2");
  EXPECT_TRUE(Plan({3900}).starts.empty());
  EXPECT_TRUE(Plan({700}).starts.empty());
  EXPECT_EQ(PlanStarts().starts.size(), 1U);
}

// A request that waits for the end of a run is answered with a later state than
// one that was sent after it (soak, seed 3: TWICE).
TEST_F(SchedulerTest, RunMissingInAnEarlierReportHasNotEnded) {
  AddWorker("w1");
  AddWorker("w2");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  const StartOrder& start = orders.starts[0];
  WorkerReport waited;
  waited.started_at_ms = 1;
  waited.clock_ms = now_.count + 510;
  waited.active = {{start.task, start.run, "", 0, 0}};
  WorkerReport prompt;
  prompt.started_at_ms = 1;
  for (const std::int64_t before : {5, 0}) {
    prompt.clock_ms = waited.clock_ms - before;
    scheduler_.OnReport(start.worker, waited, now_ + Millis{1},
                        now_ + Millis{10});
    scheduler_.OnReport(start.worker, prompt, now_ + Millis{3},
                        now_ + Millis{12});
    EXPECT_TRUE(Plan().starts.empty()) << before;
  }
}

TEST_F(SchedulerTest, RunActiveInAnEarlierReportHasEnded) {
  AddWorker("w1");
  Submit("a", OneStep(Step(2, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 2U);
  Started(orders);
  const StartOrder& start = orders.starts[0];
  WorkerReport waited;
  waited.started_at_ms = 1;
  waited.clock_ms = now_.count + 510;
  waited.active = {{orders.starts[1].task, orders.starts[1].run, "", 0, 0}};
  waited.ended = {{1, start.task, start.run, EndKind::kDone, ""}};
  WorkerReport prompt = waited;
  prompt.clock_ms -= 5;
  prompt.ended.clear();
  prompt.active.push_back({start.task, start.run, "", 0, 0});
  scheduler_.OnReport("w1", waited, now_ + Millis{1}, now_ + Millis{10});
  scheduler_.OnReport("w1", prompt, now_ + Millis{3}, now_ + Millis{12});
  EXPECT_EQ(scheduler_.FindWorker("w1")->runs.size(), 1U);
  EXPECT_TRUE(Plan().stops.empty());
}

TEST_F(SchedulerTest, NewIncarnationHasNoRunsOfThePreviousOne) {
  AddWorker("w1");
  const JobSpec spec = OneStep(Step(1, 1000));
  Submit("a", spec);
  Started(Plan());
  WorkerReport report;
  report.clock_ms = 1;
  report.started_at_ms = 2;
  now_ += Millis{10};
  scheduler_.OnReport("w1", report, now_, now_);
  EXPECT_EQ(PlanStarts().starts.size(), 1U);
}

// The registration of a restarted worker was read while a start was on its way:
// the run was given up and started again, though it was at work in the new
// incarnation (soak, seed 1 beside load: TWICE).
TEST_F(SchedulerTest, RunSentToANewIncarnationIsNotGivenUp) {
  AddWorker("w1");
  AddWorker("w2");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  const StartOrder& start = orders.starts[0];
  WorkerEntry entry = scheduler_.workers().at(start.worker).entry;
  entry.started_at_ms = 2;
  now_ += Millis{5};
  scheduler_.UpsertWorker(entry, now_);
  EXPECT_TRUE(Plan().starts.empty());
  scheduler_.OnStart(start, StartAnswer::kStarted, now_);
  EXPECT_TRUE(Plan().starts.empty());
  WorkerReport report;
  report.clock_ms = 20;
  report.started_at_ms = 2;
  report.active = {{start.task, start.run, "", 10, 0}};
  now_ += Millis{10};
  scheduler_.OnReport(start.worker, report, now_, now_);
  EXPECT_TRUE(Plan().starts.empty());
  EXPECT_EQ(scheduler_.workers().at(start.worker).runs.size(), 1U);
  EXPECT_TRUE(Plan().stops.empty());
}

TEST_F(SchedulerTest, RunOfThePreviousIncarnationEndsWithTheNextReport) {
  AddWorker("w1");
  AddWorker("w2");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  Started(orders);
  const std::string& id = orders.starts[0].worker;
  WorkerEntry entry = scheduler_.workers().at(id).entry;
  entry.started_at_ms = 2;
  now_ += Millis{5};
  scheduler_.UpsertWorker(entry, now_);
  EXPECT_TRUE(Plan().starts.empty());
  WorkerReport report;
  report.clock_ms = 20;
  report.started_at_ms = 2;
  now_ += Millis{10};
  scheduler_.OnReport(id, report, now_, now_);
  EXPECT_EQ(PlanStarts().starts.size(), 1U);
}

TEST_F(SchedulerTest, RowCommittedAfterItsWorkerEndedIsRemoved) {
  WorkerEntry entry;
  entry.id = "w";
  entry.service = "pool";
  scheduler_.UpsertWorker(entry, now_);
  Report("w", {});
  const Batch batch = scheduler_.TakeBatch();
  ASSERT_EQ(batch.workers.size(), 1U);
  scheduler_.EndWorker("w", WorkerLoss::kPlanned, now_);
  scheduler_.OnCommitted(batch);
  const Batch next = scheduler_.TakeBatch();
  ASSERT_EQ(next.rows.size(), 1U);
  EXPECT_TRUE(next.rows[0].remove);
  EXPECT_EQ(next.rows[0].key, "w");
}

TEST_F(SchedulerTest, RowOfARestartedWorkerThatEndedIsRemovedOnce) {
  AddWorker("w");
  WorkerReport report;
  report.clock_ms = 1;
  report.started_at_ms = 2;
  now_ += Millis{10};
  scheduler_.OnReport("w", report, now_, now_);
  const Batch batch = scheduler_.TakeBatch();
  ASSERT_EQ(batch.workers.size(), 1U);
  scheduler_.EndWorker("w", WorkerLoss::kPlanned, now_);
  scheduler_.OnCommitted(batch);
  EXPECT_EQ(scheduler_.TakeBatch().rows.size(), 1U);
}

// It registers before the registration of the ended incarnation is removed.
TEST_F(SchedulerTest, WorkerThatRestartsUnderItsIdAfterItEndedIsUsed) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  WorkerEntry entry = scheduler_.FindWorker("w")->entry;
  scheduler_.FindWorker("w")->reserved = true;
  scheduler_.EndWorker("w", WorkerLoss::kPlanned, now_);
  // The registration of the ended incarnation may be written once more.
  scheduler_.UpsertWorker(entry, now_);
  EXPECT_TRUE(scheduler_.FindWorker("w")->ended);
  entry.started_at_ms = 2;
  scheduler_.UpsertWorker(entry, now_);
  WorkerReport report;
  report.clock_ms = 20;
  report.started_at_ms = 2;
  now_ += Millis{10};
  scheduler_.OnReport("w", report, now_, now_);
  Commit();
  EXPECT_EQ(Plan().starts.size(), 1U);
}

// A new leader that knows a worker of the previous term only from its row.
class TakeoverTest : public SchedulerTest {
 protected:
  TakeoverTest() {
    AddWorker("w1");
    scheduler_.workers().at("w1").entry.vm = "m1";
    const Worker worker = scheduler_.workers().at("w1");
    Submit("a", OneStep(Step(1, 1000)));
    const std::string row = EncodeJobRow(*scheduler_.FindJob("a"));
    scheduler_.BeginTerm(1, now_ + Millis{6000});
    scheduler_.LoadJob(
        "a", row, [](std::string_view) { return OneStep(Step(1, 1000)); }, now_,
        kWall);
    scheduler_.LoadWorker("w1", EncodeWorkerRow(worker), now_);
    AddWorker("w2");
    listed_.name = "m1";
    listed_.pool = "pool";
    now_ += Millis{100};
  }

  bool StartsAfter(const Vm& vm, Millis sent) {
    scheduler_.OnVmsListed(std::vector{vm}, sent, now_);
    return !Plan().starts.empty();
  }

  Vm listed_;
};

TEST_F(TakeoverTest, WorkerReplacedOnItsVmDoesNotDelayStarts) {
  EXPECT_TRUE(Plan().starts.empty());
  listed_.worker = "w3";
  EXPECT_TRUE(StartsAfter(listed_, now_));
}

TEST_F(TakeoverTest, WorkerOnAMovingVmDoesNotDelayStarts) {
  listed_.state = VmState::kMoving;
  EXPECT_TRUE(StartsAfter(listed_, now_));
}

TEST_F(TakeoverTest, WorkerOnAPoweredOffVmDoesNotDelayStarts) {
  config_.services["off"] = {"off", true, true};
  scheduler_.SetConfiguration(config_);
  listed_.pool = "off";
  EXPECT_TRUE(StartsAfter(listed_, now_));
}

TEST_F(TakeoverTest, WorkerThatMayStillRunDelaysStarts) {
  listed_.worker = "w1";
  EXPECT_FALSE(StartsAfter(listed_, now_));
  // Down, or up without a worker in a powered-on pool: the worker may be
  // unreachable but alive.
  listed_.worker.clear();
  EXPECT_FALSE(StartsAfter(listed_, now_));
  listed_.state = VmState::kDown;
  EXPECT_FALSE(StartsAfter(listed_, now_));
  // The state of another VM is irrelevant.
  Vm other = listed_;
  other.name = "m2";
  other.worker = "w3";
  EXPECT_FALSE(StartsAfter(other, now_));
}

// The row of a worker outlives the worker's registration, which ends when the
// worker leaves. It may still answer.
TEST_F(TakeoverTest, WorkerThatHasLeftIsNotUsedAgain) {
  Report("w1", {});
  Submit("b", OneStep(Step(16, 1000)));
  const Orders orders = Plan();
  EXPECT_FALSE(orders.starts.empty());
  for (const StartOrder& it : orders.starts) EXPECT_EQ(it.worker, "w2");
}

TEST_F(TakeoverTest, ListingRequestedBeforeTheWorkerWasKnownIsIgnored) {
  listed_.worker = "w3";
  EXPECT_FALSE(StartsAfter(listed_, scheduler_.workers().at("w1").known_since));
}

TEST_F(TakeoverTest, RunsOfAnEndedJobAreStopped) {
  // The job was cancelled under the previous leader: its job row is gone.
  scheduler_.BeginTerm(2, now_ + Millis{6000});
  scheduler_.LoadProgress("a", R"({"state":"cancelled","queue":"queue"})",
                          now_);
  AddWorker("w3");
  Submit("b", OneStep(Step(1, 1000)));
  const Orders first = Plan();
  ASSERT_EQ(first.starts.size(), 1U);
  Started(first);
  now_ += Millis{10};
  // Renewing the lease of the other run also renews the lease of this one.
  const TaskId task{"a", 0, 0, 0};
  const StartOrder& other = first.starts[0];
  Report("w3", {{other.task, other.run, "", 5, 0}, {task, 7, "", 5, 0}});
  const Orders orders = Plan();
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].task, task);
  EXPECT_EQ(orders.stops[0].run, 7);
  EXPECT_EQ(orders.stops[0].worker, "w3");
  // The stop is sent once per report.
  EXPECT_TRUE(Plan().stops.empty());
}

// The need of a run whose job had ended before this term is unknown.
TEST_F(TakeoverTest, NothingStartsBesideARunOfAnEndedJob) {
  scheduler_.BeginTerm(2, now_ + Millis{6000});
  scheduler_.LoadProgress("a", R"({"state":"cancelled","queue":"queue"})",
                          now_);
  AddWorker("w3");
  Submit("b", OneStep(Step(1, 1000)));
  const Orders first = Plan();
  ASSERT_EQ(first.starts.size(), 1U);
  Started(first);
  const StartOrder& other = first.starts[0];
  const TaskId ended{"a", 0, 0, 0};
  now_ += Millis{10};
  Report("w3", {{other.task, other.run, "", 5, 0}, {ended, 7, "", 5, 0}});
  Submit("c", OneStep(Step(1, 1000)));
  EXPECT_TRUE(Plan().starts.empty());
  // Another run ends while this one is being stopped.
  now_ += Millis{10};
  Report("w3", {{ended, 7, "", 5, 0}},
         {{1, other.task, other.run, EndKind::kDone, ""}});
  EXPECT_TRUE(Plan().starts.empty());
  // The stop was lost, and the worker hasn't been heard since.
  EXPECT_TRUE(Plan({700}).starts.empty());
  now_ += Millis{10};
  Report("w3", {});
  EXPECT_EQ(Plan().starts.size(), 1U);
}

TEST_F(SchedulerTest, EndsOfAnEarlierIncarnationAreNotAcknowledgedToTheNext) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  Started(orders);
  now_ += Millis{10};
  const StartOrder& start = orders.starts[0];
  Report("w", {}, {{7, start.task, start.run, EndKind::kFailed, ""}});
  const Batch batch = scheduler_.TakeBatch();
  ASSERT_EQ(batch.ends.size(), 1U);
  // The worker restarts with the same id and restarts its end numbers.
  now_ += Millis{10};
  WorkerReport report;
  report.clock_ms = 1;
  report.started_at_ms = 2;
  scheduler_.OnReport("w", report, now_, now_);
  scheduler_.OnCommitted(batch);
  EXPECT_EQ(scheduler_.workers().at("w").committed_end_number, 0);
}

TEST_F(SchedulerTest, ClockRegressionIndicatesANewIncarnation) {
  AddWorker("w");
  Worker& worker = scheduler_.workers().at("w");
  worker.clock_ms = 60'000;
  // The answer to an older order may arrive later.
  EXPECT_FALSE(
      scheduler_.OnClock("w", 59'500, worker.clock_at - Millis{500}, now_));
  EXPECT_FALSE(worker.unresponsive);
  EXPECT_TRUE(scheduler_.OnClock("w", 300, worker.clock_at, now_));
  EXPECT_TRUE(worker.unresponsive);
  Submit("a", OneStep(Step(1, 1000)));
  EXPECT_TRUE(Plan().starts.empty());
}

TEST_F(SchedulerTest, OlderReportThatArrivesLateIsIgnored) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  const StartOrder& start = orders.starts[0];
  Started(orders);
  const Millis asked_first = now_ + Millis{1};
  now_ += Millis{10};
  Report("w", {}, {{1, start.task, start.run, EndKind::kStopped, ""}});
  WorkerReport late;
  late.clock_ms = 1;
  late.started_at_ms = 1;
  late.active = {{start.task, start.run, "", 50, 0}};
  scheduler_.OnReport("w", late, asked_first, now_);
  EXPECT_EQ(Plan().starts.size(), 1U);
}

TEST_F(SchedulerTest, NoLeaseExceedsTheMaximumLength) {
  AddWorker("w");
  Worker& worker = scheduler_.workers().at("w");
  const SchedulerSettings settings{Millis{4000}};
  // Time since the worker's clock, which is 2% slow, was last read.
  for (const int unread_s : {0, 1, 10, 20, 60, 150}) {
    const Millis now = worker.clock_at + base::Seconds(unread_s);
    const auto clock =
        static_cast<double>(worker.clock_ms) + 0.98 * unread_s * 1000;
    const double lease =
        static_cast<double>(scheduler_.LeaseEnd(worker, now)) - clock;
    EXPECT_LE(lease / 0.98, LongestLease(settings).count) << unread_s;
  }
}

TEST_F(SchedulerTest, WorkerWhoseCapacityShrankTakesNoStart) {
  AddWorker("w");
  Submit("a", OneStep(Step(4, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 4U);
  Started(orders);
  WorkerEntry entry = scheduler_.workers().at("w").entry;
  entry.capacity.cpu_milli = 3000;
  scheduler_.UpsertWorker(entry, now_);
  Submit("b", OneStep(Step(1, 1000)));
  EXPECT_TRUE(Plan().starts.empty());
  entry.capacity.cpu_milli = 8000;
  scheduler_.UpsertWorker(entry, now_);
  EXPECT_EQ(Plan().starts.size(), 1U);
}

// A worker whose smaller capacity can't be read starts what doesn't fit.
TEST_F(SchedulerTest, NothingStartsOnACapacityThatWasReadLongAgo) {
  config_.services["pool"].enforces_capacity = false;
  scheduler_.SetConfiguration(config_);
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  EXPECT_TRUE(Plan().starts.empty());
  scheduler_.OnRegistrationsRead(now_);
  now_ += Millis{2500};
  Report("w", {});
  EXPECT_EQ(Plan({10}).starts.size(), 1U);
  Submit("b", OneStep(Step(1, 1000)));
  EXPECT_TRUE(Plan({500}).starts.empty());
  scheduler_.OnRegistrationsRead(now_);
  EXPECT_EQ(Plan().starts.size(), 1U);
  // The next leader has read none yet.
  scheduler_.BeginTerm(1, now_);
  AddWorker("w");
  Submit("c", OneStep(Step(1, 1000)));
  EXPECT_TRUE(Plan().starts.empty());
  // These workers guard their capacity themselves.
  config_.services["pool"].enforces_capacity = true;
  scheduler_.SetConfiguration(config_);
  EXPECT_EQ(Plan().starts.size(), 1U);
}

// A restarted worker may have less capacity than it had.
TEST_F(SchedulerTest, NothingStartsOnTheCapacityOfAnEarlierIncarnation) {
  config_.services["pool"].enforces_capacity = false;
  scheduler_.SetConfiguration(config_);
  AddWorker("w");
  scheduler_.OnRegistrationsRead(now_);
  Submit("a", OneStep(Step(1, 5000)));
  WorkerReport report;
  report.clock_ms = 10;
  report.started_at_ms = 2;
  scheduler_.OnReport("w", report, now_, now_);
  EXPECT_TRUE(Plan().starts.empty());
  WorkerEntry entry = scheduler_.workers().at("w").entry;
  entry.started_at_ms = 2;
  entry.capacity.cpu_milli = 4000;
  scheduler_.UpsertWorker(entry, now_);
  EXPECT_TRUE(Plan().starts.empty());
  entry.capacity.cpu_milli = 5000;
  scheduler_.UpsertWorker(entry, now_);
  EXPECT_EQ(Plan().starts.size(), 1U);
}

TEST_F(SchedulerTest, RunBeingStoppedCountsUntilItsEndIsListed) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 8000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  Started(orders);
  const StartOrder& start = orders.starts[0];
  scheduler_.Cancel("a", now_);
  Submit("b", OneStep(Step(1, 1000)));
  const Orders stops = Plan();
  ASSERT_EQ(stops.stops.size(), 1U);
  EXPECT_TRUE(stops.starts.empty());
  scheduler_.OnStop(stops.stops[0], true, now_);
  now_ += Millis{10};
  Report("w", {{start.task, start.run, "", 50, 0}});
  EXPECT_TRUE(Plan().starts.empty());
  now_ += Millis{10};
  Report("w", {}, {{1, start.task, start.run, EndKind::kStopped, ""}});
  EXPECT_EQ(Plan().starts.size(), 1U);
}

// What runs on the worker is unknown.
TEST_F(TakeoverTest, NothingStartsBeforeTheFirstReport) {
  scheduler_.BeginTerm(2, now_ + Millis{6000});
  WorkerEntry entry;
  entry.id = "w3";
  entry.service = "pool";
  entry.capacity = {8000, 64'000, 0};
  entry.started_at_ms = 1;
  Worker worker;
  worker.entry = entry;
  scheduler_.LoadWorker("w3", EncodeWorkerRow(worker), now_);
  scheduler_.UpsertWorker(entry, now_);
  Submit("b", OneStep(Step(1, 8000)));
  EXPECT_TRUE(Plan().starts.empty());
  Report("w3", {});
  EXPECT_EQ(Plan().starts.size(), 1U);
}

}  // namespace
}  // namespace hemlockward::jobs
