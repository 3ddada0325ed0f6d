// Tickets of queues whose policy allows only some workers. The service that
// grants them handles one call at a time for each caller.

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs {
namespace {

using testing::OneStep;
using testing::SchedulerTest;
using testing::Step;

constexpr Millis kValidity{3000};

class AdviceTest : public SchedulerTest {
 protected:
  AdviceTest() {
    config_.queues[0].needs_tickets = true;
    scheduler_.SetConfiguration(config_);
    AddWorker("w");
  }

  /// A plan that asks for advice, which is expected, and starts nothing.
  std::string StepAsked() {
    const Orders orders = Plan();
    EXPECT_TRUE(orders.starts.empty());
    return orders.advice.size() == 1 ? orders.advice[0].first : "";
  }

  void Grant(const std::string& step, Millis sent) {
    const std::vector<std::string> asked{"w"};
    const std::vector<std::pair<std::string, std::string>> tickets{
        {"w", "ticket"}};
    scheduler_.OnAdvice(step, asked, tickets, kValidity, sent, now_);
  }

  void Fail(const std::string& step) {
    const std::vector<std::string> asked{"w"};
    scheduler_.OnAdvice(step, asked, {}, {0}, now_, now_);
  }
};

// A call behind others waits for its turn: once it took longer than tickets are
// valid, each had expired when it came, and jobs never started (review/9:
// LOST).
TEST_F(AdviceTest, OneStepIsAskedForAtATime) {
  Submit("a", OneStep(Step(1, 1000, 100, Millis{100})));
  Submit("b", OneStep(Step(1, 1000, 100, Millis{500})));
  ASSERT_EQ(StepAsked(), "a.0.0");
  EXPECT_EQ(StepAsked(), "");
  Grant("a.0.0", now_);
  Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].task.job, "a");
  ASSERT_EQ(orders.advice.size(), 1U);
  EXPECT_EQ(orders.advice[0].first, "b.0.0");
}

// A second call that failed counted as a refusal of all workers, for good
// (review/9: LOST).
TEST_F(AdviceTest, FailedCallIsRepeated) {
  Submit("a", OneStep(Step(1, 1000)));
  ASSERT_EQ(StepAsked(), "a.0.0");
  Grant("a.0.0", now_);
  now_ += kValidity;
  ASSERT_EQ(StepAsked(), "a.0.0");
  Fail("a.0.0");
  EXPECT_EQ(StepAsked(), "a.0.0");
}

TEST_F(AdviceTest, WorkerThatGotNoTicketIsNotAskedForAgain) {
  Submit("a", OneStep(Step(1, 1000)));
  ASSERT_EQ(StepAsked(), "a.0.0");
  const std::vector<std::string> asked{"w"};
  scheduler_.OnAdvice("a.0.0", asked, {}, kValidity, now_, now_);
  EXPECT_EQ(StepAsked(), "");
}

// When its validity began isn't known: the worker tells whether it has expired.
TEST_F(AdviceTest, TicketIsUsedHoweverLongItsCallTook) {
  Submit("a", OneStep(Step(1, 1000)));
  ASSERT_EQ(StepAsked(), "a.0.0");
  const Millis sent = now_;
  now_ += kValidity + Millis{500};
  Grant("a.0.0", sent);
  EXPECT_EQ(Plan().starts.size(), 1U);
}

// A call whose coroutine has failed is never answered.
TEST_F(AdviceTest, CallWithoutAnAnswerDoesNotHoldUpOthersForGood) {
  Submit("a", OneStep(Step(1, 1000)));
  ASSERT_EQ(StepAsked(), "a.0.0");
  now_ += base::Seconds(30);
  Report("w", {});
  EXPECT_EQ(StepAsked(), "a.0.0");
}

TEST_F(AdviceTest, CallOfAnEarlierTermDoesNotHoldUpOthers) {
  Submit("a", OneStep(Step(1, 1000)));
  ASSERT_EQ(StepAsked(), "a.0.0");
  scheduler_.BeginTerm(1, now_);
  AddWorker("w");
  Submit("b", OneStep(Step(1, 1000)));
  EXPECT_EQ(StepAsked(), "b.0.0");
}

// Each job once left the tickets of all workers behind in the leader's memory.
TEST_F(SchedulerTest, TicketsOfEndedJobsAreDropped) {
  config_.queues[0].needs_tickets = true;
  scheduler_.SetConfiguration(config_);
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  Submit("b", OneStep(Step(1, 1000)));
  Plan();
  EXPECT_EQ(scheduler_.ticket_step_count(), 2U);
  scheduler_.Cancel("a", now_);
  Commit();
  Plan({2000});
  EXPECT_EQ(scheduler_.ticket_step_count(), 1U);
}

TEST_F(SchedulerTest, TicketsAreRequestedBeforeAStart) {
  config_.queues[0].needs_tickets = true;
  scheduler_.SetConfiguration(config_);
  AddWorker("w1");
  AddWorker("w2");
  const JobSpec spec = OneStep(Step(1, 1000));
  Submit("a", spec);
  Orders orders = Plan();
  EXPECT_TRUE(orders.starts.empty());
  ASSERT_EQ(orders.advice.size(), 1U);
  EXPECT_EQ(orders.advice[0].first, "a.0.0");
  EXPECT_EQ(orders.advice[0].second.size(), 2U);
  const std::vector<std::pair<std::string, std::string>> tickets = {
      {"w2", "ticket"}};
  scheduler_.OnAdvice("a.0.0", orders.advice[0].second, tickets, {3000}, now_,
                      now_);
  orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].worker, "w2");
  EXPECT_EQ(orders.starts[0].ticket, "ticket");
}

}  // namespace
}  // namespace hemlockward::jobs
