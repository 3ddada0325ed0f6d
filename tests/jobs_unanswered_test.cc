// Starts that get no answer: whether they are carried out is settled by a
// report or by a stop.

#include <gtest/gtest.h>

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs {
namespace {

using testing::OneStep;
using testing::SchedulerTest;
using testing::Step;

TEST_F(SchedulerTest, UnansweredStartIsSettledByAReportAfterItsStop) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  scheduler_.OnStart(orders.starts[0], StartAnswer::kUnknown, now_);
  now_ += Millis{10};
  Report("w", {});
  const Orders stops = Plan();
  ASSERT_EQ(stops.stops.size(), 1U);
  // A report is requested immediately instead of waiting for a change on the
  // worker.
  EXPECT_TRUE(scheduler_.OnStop(stops.stops[0], true, now_));
  EXPECT_TRUE(Plan().starts.empty());
  now_ += Millis{10};
  Report("w", {});
  EXPECT_EQ(Plan().starts.size(), 1U);
}

// It was stopped all the same, seconds later where orders were lost: a lasting
// task at work ended while others of its step were away (AVAIL).
TEST_F(SchedulerTest, RunOfAnUnansweredStartThatIsAtWorkIsNotStopped) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  const StartOrder& start = orders.starts[0];
  scheduler_.OnStart(start, StartAnswer::kUnknown, now_);
  EXPECT_TRUE(Plan().stops.empty());
  Report("w", {{start.task, start.run, "", 10, 0}});
  EXPECT_TRUE(Plan().stops.empty());
  EXPECT_TRUE(Plan().starts.empty());
  // A cancelled job's run is stopped.
  scheduler_.Cancel("a", now_);
  EXPECT_EQ(Plan().stops.size(), 1U);
}

// The same after a stop that was lost too.
TEST_F(SchedulerTest, RunThatStartsAfterALostStopIsNotStoppedAgain) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  const StartOrder& start = orders.starts[0];
  scheduler_.OnStart(start, StartAnswer::kUnknown, now_);
  Report("w", {});
  const Orders stops = Plan();
  ASSERT_EQ(stops.stops.size(), 1U);
  scheduler_.OnStop(stops.stops[0], false, now_);
  now_ += Millis{500};
  Report("w", {{start.task, start.run, "", 10, 0}});
  EXPECT_TRUE(Plan({500}).stops.empty());
}

TEST_F(SchedulerTest, RunOfAnUnansweredStartIsStoppedIfItsJobHasEnded) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  const StartOrder& start = orders.starts[0];
  scheduler_.OnStart(start, StartAnswer::kUnknown, now_);
  scheduler_.Cancel("a", now_);
  Report("w", {{start.task, start.run, "", 10, 0}});
  EXPECT_EQ(Plan().stops.size(), 1U);
}

}  // namespace
}  // namespace hemlockward::jobs
