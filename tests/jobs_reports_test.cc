// A worker lists a limited number of ends at a time. A run that such a report
// lacks may have ended as done: its task once ran a second time.

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs::testing {
namespace {

class FullReportTest : public SchedulerTest {
 protected:
  void ReportEnds(std::vector<EndedRun> ended, bool more_ended) {
    now_ += Millis{10};
    WorkerReport report;
    report.clock_ms = now_.count + 500;
    report.started_at_ms = 1;
    report.ended = std::move(ended);
    report.more_ended = more_ended;
    scheduler_.OnReport("w", report, now_, now_);
  }

  static EndedRun Done(std::int64_t number, const StartOrder& order) {
    return {number, order.task, order.run, EndKind::kDone, ""};
  }
};

TEST_F(FullReportTest, RunThatItLacksIsNotStartedAgain) {
  AddWorker("w");
  Submit("a", OneStep(Step(2, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 2U);
  Started(orders);
  ReportEnds({Done(1, orders.starts[0])}, true);
  Commit();
  EXPECT_TRUE(Plan().starts.empty());
  EXPECT_FALSE(scheduler_.IsIdle(*scheduler_.FindWorker("w")));
  ReportEnds({Done(2, orders.starts[1])}, false);
  EXPECT_EQ(scheduler_.FindJob("a")->state, JobState::kCompleted);
}

TEST_F(FullReportTest, RunThatACompleteReportLacksIsStartedAgain) {
  AddWorker("w");
  Submit("a", OneStep(Step(2, 1000)));
  const Orders orders = Plan();
  Started(orders);
  ReportEnds({Done(1, orders.starts[0])}, true);
  ReportEnds({}, false);
  EXPECT_EQ(PlanStarts().starts.size(), 1U);
}

// The ends came while no node led.
TEST_F(FullReportTest, NextLeaderWaitsForTheEndsThatItLacks) {
  AddWorker("w");
  Submit("a", OneStep(Step(2, 1000)));
  const Orders orders = Plan();
  const std::string row = EncodeJobRow(*scheduler_.FindJob("a"));
  const std::string worker = EncodeWorkerRow(*scheduler_.FindWorker("w"));
  const WorkerEntry entry = scheduler_.FindWorker("w")->entry;
  scheduler_.BeginTerm(1, now_ + Millis{6000});
  scheduler_.LoadJob(
      "a", row, [](std::string_view) { return OneStep(Step(2, 1000)); }, now_,
      kWall);
  scheduler_.LoadWorker("w", worker, now_);
  scheduler_.UpsertWorker(entry, now_);
  ReportEnds({Done(1, orders.starts[0])}, true);
  Commit();
  EXPECT_TRUE(PlanStarts().starts.empty());
  ReportEnds({Done(2, orders.starts[1])}, false);
  EXPECT_EQ(scheduler_.FindJob("a")->state, JobState::kCompleted);
}

}  // namespace
}  // namespace hemlockward::jobs::testing
