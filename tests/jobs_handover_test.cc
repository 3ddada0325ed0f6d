// A leader that is cut off from the store gives orders for some seconds after
// another one has taken over. It once started a task again that its successor
// had seen end as done on a worker out of its own reach.

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs::testing {
namespace {

constexpr Millis kLeaseIsOver{4500};

class HandoverTest : public SchedulerTest {
 protected:
  HandoverTest() {
    AddWorker("w1");
    scheduler_.workers().at("w1").entry.vm = "m1";
    AddWorker("w2");
    scheduler_.workers().at("w1").entry.draining = true;
    scheduler_.workers().at("w2").entry.draining = true;
  }

  // Starts the task of a job on w1.
  void StartOnW1() {
    scheduler_.workers().at("w1").entry.draining = false;
    Submit("a", OneStep(Step(1, 1000)));
    const Orders orders = Plan();
    ASSERT_EQ(orders.starts.size(), 1U);
    ASSERT_EQ(orders.starts[0].worker, "w1");
    Started(orders);
    scheduler_.workers().at("w2").entry.draining = false;
  }

  Orders PlanWithoutRenewal() {
    now_ += Millis{10};
    Orders orders = scheduler_.Plan(now_, kWall + Millis{now_.count}, true);
    // Rows are not what it waits for.
    Commit();
    return orders;
  }

  // The task starts on w2, but only once the lease was renewed.
  void ExpectStartAfterRenewal() {
    for (int i = 0; i < 3; ++i) {
      const Orders orders = PlanWithoutRenewal();
      EXPECT_TRUE(orders.starts.empty());
      EXPECT_TRUE(orders.needs_renewal);
    }
    const Orders orders = PlanStarts();
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].worker, "w2");
    EXPECT_FALSE(PlanWithoutRenewal().needs_renewal);
  }
};

TEST_F(HandoverTest, RunOfAWorkerOutOfReachIsNotReplacedWithoutARenewal) {
  StartOnW1();
  now_ += kLeaseIsOver;
  ExpectStartAfterRenewal();
}

// Such losses aren't stored before the task starts again.
TEST_F(HandoverTest, RunOfADrainingWorkerIsNotReplacedWithoutARenewal) {
  StartOnW1();
  scheduler_.workers().at("w1").entry.draining = true;
  now_ += kLeaseIsOver;
  ExpectStartAfterRenewal();
}

TEST_F(HandoverTest, RunOnAVmThatWasMovedIsNotReplacedWithoutARenewal) {
  StartOnW1();
  scheduler_.workers().at("w1").unresponsive = true;
  Vm vm;
  vm.name = "m1";
  vm.pool = "other";
  vm.state = VmState::kMoving;
  now_ += Millis{10};
  scheduler_.OnVmsListed(std::vector{vm}, now_, now_);
  ExpectStartAfterRenewal();
}

TEST_F(HandoverTest, RunThatAReportLacksIsNotReplacedWithoutARenewal) {
  StartOnW1();
  now_ += Millis{10};
  Report("w1", {});
  scheduler_.workers().at("w1").entry.draining = true;
  ExpectStartAfterRenewal();
}

// The next leader's view of the workers of the last one.
TEST_F(HandoverTest, NextLeaderStartsNothingOnALeaseThatAThirdMayHaveExtended) {
  StartOnW1();
  const std::string job = EncodeJobRow(*scheduler_.FindJob("a"));
  const std::string worker = EncodeWorkerRow(*scheduler_.FindWorker("w1"));
  scheduler_.BeginTerm(1, now_ + Millis{4000});
  scheduler_.OnRenewed(now_);
  scheduler_.LoadJob(
      "a", job, [](std::string_view) { return OneStep(Step(1, 1000)); }, now_,
      kWall);
  scheduler_.LoadWorker("w1", worker, now_);
  AddWorker("w2");
  now_ += kLeaseIsOver;
  AddWorker("w2");
  ExpectStartAfterRenewal();
}

}  // namespace
}  // namespace hemlockward::jobs::testing
