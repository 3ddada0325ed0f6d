// Workers that start again under their ids: their clocks start anew, and they
// know nothing of before. Calls that were meant for the former incarnation
// reach the new one.

#include <gtest/gtest.h>

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs {
namespace {

using testing::OneStep;
using testing::SchedulerTest;
using testing::Step;

class RestartTest : public SchedulerTest {
 protected:
  /// The registration of a new incarnation of the worker is read.
  void Register(const std::string& id, std::int64_t started_at_ms) {
    WorkerEntry entry = scheduler_.FindWorker(id)->entry;
    entry.started_at_ms = started_at_ms;
    scheduler_.UpsertWorker(entry, now_);
  }

  /// How long a worker whose clock is 2% slow keeps the longest lease.
  [[nodiscard]] static Millis LongestLeaseTime() {
    const SchedulerSettings settings;
    return {settings.longest_lease.count * 100 / 98};
  }
};

// An idle worker that restarted was given a lease by the clock of its former
// incarnation, 6 s long, of which its leader counted 4.3 s (review/7: TWICE).
TEST_F(RestartTest, LeaseOfAnIdleWorkerIsNotGrantedByItsFormerClock) {
  AddWorker("w");
  now_ += base::Seconds(8);
  ASSERT_GT(scheduler_.LeaseEnd(*scheduler_.FindWorker("w"), now_), 0);
  Register("w", 2);
  EXPECT_EQ(scheduler_.LeaseEnd(*scheduler_.FindWorker("w"), now_), 0);
}

// Calls sent before the restart was known carry a deadline by the former clock.
TEST_F(RestartTest, LeaseOfAnIdleWorkerMayBeTheLongest) {
  AddWorker("w");
  now_ += base::Seconds(8);
  Register("w", 2);
  EXPECT_GE(scheduler_.FindWorker("w")->lease_expires_by,
            now_ + LongestLeaseTime());
}

// Its clock may be 2% slow: a lease of 6 s takes 6.12 s.
TEST_F(RestartTest, LeaseOfABusyWorkerMayBeTheLongest) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  Started(Plan());
  Register("w", 2);
  const Millis margin = kLeaseMargin;
  EXPECT_GE(scheduler_.FindWorker("w")->lease_expires_by,
            now_ + LongestLeaseTime() + margin);
}

// Its answer shows the restart before its registration is read (users' runs:
// TWICE). The clock had last been read 20 s before.
TEST_F(RestartTest, AnswerByAnotherClockIsOfANewIncarnation) {
  AddWorker("w");
  const Worker& worker = *scheduler_.FindWorker("w");
  now_ += base::Seconds(20);
  const std::int64_t own = worker.clock_ms + 19'600;  // It is 2% slow.
  EXPECT_FALSE(scheduler_.OnClock("w", own, now_, now_));
  EXPECT_FALSE(worker.unresponsive);
  EXPECT_TRUE(scheduler_.OnClock("w", own - 100, now_, now_));
  EXPECT_TRUE(worker.unresponsive);
  EXPECT_TRUE(worker.fence_due);
  EXPECT_GE(worker.lease_expires_by, now_ + LongestLeaseTime());
}

// It may have been carried out by a worker that has restarted.
TEST_F(RestartTest, UnansweredStartMayHoldTheLongestLease) {
  AddWorker("w");
  Submit("a", OneStep(Step(1, 1000)));
  const Orders orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  scheduler_.OnStart(orders.starts[0], StartAnswer::kUnknown, now_);
  EXPECT_GE(scheduler_.FindWorker("w")->lease_expires_by,
            now_ + LongestLeaseTime());
}

// A start that was meant for the former incarnation was carried out by the new
// one, while its task was at work elsewhere (system_restarted_worker_late).
TEST_F(RestartTest, OrdersToANewIncarnationCarryAHigherToken) {
  constexpr std::uint64_t kTerm = 7;
  AddWorker("w");
  const auto fence = [this](std::uint64_t newest) {
    return scheduler_.FenceFor(*scheduler_.FindWorker("w"), kTerm, newest,
                               now_);
  };
  EXPECT_EQ(fence(9), kTerm);
  Register("w", 2);
  // Without a commit since then, no higher token is known.
  EXPECT_EQ(fence(kTerm), kTerm);
  EXPECT_EQ(fence(10), 10U);
  EXPECT_EQ(fence(12), 10U);
  Register("w", 3);
  EXPECT_EQ(fence(10), 10U);
  EXPECT_EQ(fence(13), 13U);
}

TEST_F(RestartTest, WorkerThatComesBackAfterItWasForgottenGetsAHigherToken) {
  constexpr std::uint64_t kTerm = 7;
  AddWorker("w");
  const auto fence = [this](std::uint64_t newest) {
    return scheduler_.FenceFor(*scheduler_.FindWorker("w"), kTerm, newest,
                               now_);
  };
  Register("w", 2);
  EXPECT_EQ(fence(10), 10U);
  const WorkerEntry entry = scheduler_.FindWorker("w")->entry;
  scheduler_.RemoveWorker("w");
  Plan(base::Seconds(7));
  ASSERT_EQ(scheduler_.FindWorker("w"), nullptr);
  scheduler_.UpsertWorker(entry, now_);
  EXPECT_EQ(fence(11), 11U);
}

// A hold that was on its way when the restart was learned reached the new
// incarnation later (users' runs: TWICE).
TEST_F(RestartTest, CallToTheFormerIncarnationMayGrantTheLongestLeaseToItsEnd) {
  AddWorker("w");
  const int restarts = scheduler_.FindWorker("w")->restarts;
  EXPECT_FALSE(scheduler_.OnLeaseCallEnded("w", restarts, now_));
  Register("w", 2);
  const Millis known = scheduler_.FindWorker("w")->lease_expires_by;
  now_ += Millis{1500};
  EXPECT_TRUE(scheduler_.OnLeaseCallEnded("w", restarts, now_));
  EXPECT_GT(scheduler_.FindWorker("w")->lease_expires_by, known);
  EXPECT_GE(scheduler_.FindWorker("w")->lease_expires_by,
            now_ + LongestLeaseTime());
  // Calls to the present incarnation carry its own clock.
  const Millis last = scheduler_.FindWorker("w")->lease_expires_by;
  now_ += Millis{1500};
  EXPECT_FALSE(scheduler_.OnLeaseCallEnded(
      "w", scheduler_.FindWorker("w")->restarts, now_));
  EXPECT_EQ(scheduler_.FindWorker("w")->lease_expires_by, last);
}

TEST_F(RestartTest, CallEndsAfterItsWorkerWasForgottenAndCameBack) {
  AddWorker("w");
  const int restarts = scheduler_.FindWorker("w")->restarts;
  const WorkerEntry entry = scheduler_.FindWorker("w")->entry;
  scheduler_.RemoveWorker("w");
  Plan(base::Seconds(7));
  ASSERT_EQ(scheduler_.FindWorker("w"), nullptr);
  EXPECT_FALSE(scheduler_.OnLeaseCallEnded("w", restarts, now_));
  scheduler_.UpsertWorker(entry, now_);
  now_ += Millis{500};
  EXPECT_TRUE(scheduler_.OnLeaseCallEnded("w", restarts, now_));
  EXPECT_GE(scheduler_.FindWorker("w")->lease_expires_by,
            now_ + LongestLeaseTime());
}

}  // namespace
}  // namespace hemlockward::jobs
