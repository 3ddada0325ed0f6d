// A leader's share of the connections that workers accept.

#include <gtest/gtest.h>

#include <string>

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs {
namespace {

using testing::OneStep;
using testing::SchedulerTest;
using testing::Step;

constexpr int kAccepted = 64;

class ConnectionsTest : public SchedulerTest {
 protected:
  Worker& Find(const std::string& id) { return *scheduler_.FindWorker(id); }

  int MostOpen(const std::string& id) {
    return scheduler_.EntryForCalls(Find(id)).max_connections;
  }

  /// A leader that knows the worker from its row takes over.
  void TakeOver(const std::string& id, int leaders_lost) {
    const Worker worker = Find(id);
    const std::string row = EncodeWorkerRow(worker);
    scheduler_.BeginTerm(1, now_, leaders_lost);
    scheduler_.LoadWorker(id, row, now_);
    scheduler_.UpsertWorker(worker.entry, now_);
  }
};

// 28 lost leaders left two connections each at the workers, which then had none
// left (review/10: LOST).
TEST_F(ConnectionsTest, ThoseOfFortyLostLeadersFitIntoWhatAWorkerAccepts) {
  constexpr int kLeaders = 40;
  AddWorker("w");
  const Worker worker = Find("w");
  const std::string row = EncodeWorkerRow(worker);
  int open = 0;
  for (int lost = 0; lost < kLeaders; ++lost) {
    scheduler_.BeginTerm(1, now_, lost);
    scheduler_.LoadWorker("w", row, now_);
    scheduler_.UpsertWorker(worker.entry, now_);
    EXPECT_GE(MostOpen("w"), 1);
    open += MostOpen("w");
  }
  EXPECT_LE(open, kAccepted);
}

// The same leader lost all its connections to a worker again and again.
TEST_F(ConnectionsTest, ThoseThatWentSilentInSeriesFitIntoWhatAWorkerAccepts) {
  constexpr int kTimes = 40;
  AddWorker("w");
  for (int i = 0; i < kTimes; ++i) *Find("w").left.half_open += MostOpen("w");
  EXPECT_LE(*Find("w").left.half_open, kAccepted);
}

TEST_F(ConnectionsTest, LeaderOpensFewerToWorkersThatLostLeadersUsed) {
  AddWorker("w");
  EXPECT_EQ(MostOpen("w"), MaxConnections(0));
  TakeOver("w", 2);
  AddWorker("new");
  EXPECT_EQ(MostOpen("w"), MaxConnections(MostLeftOpen(2)));
  EXPECT_LT(MostOpen("w"), MostOpen("new"));
  // Connections end with their incarnation.
  WorkerReport report;
  report.started_at_ms = 2;
  scheduler_.OnReport("w", report, now_, now_);
  EXPECT_EQ(MostOpen("w"), MaxConnections(0));
}

TEST_F(ConnectionsTest, TheOnlyOneIsClosedAfterEachCall) {
  AddWorker("w");
  for (const int lost : {0, 2, 3, 28}) {
    TakeOver("w", lost);
    const WorkerEntry entry = scheduler_.EntryForCalls(Find("w"));
    EXPECT_EQ(entry.brief_connections, lost >= 3) << lost;
    EXPECT_EQ(entry.max_connections == 1, lost >= 3) << lost;
  }
}

TEST_F(ConnectionsTest, HalfOpenOnesAreStoredForTheNextLeader) {
  AddWorker("w");
  ASSERT_FALSE(scheduler_.HasChanges());
  *Find("w").left.half_open = 20;
  EXPECT_TRUE(scheduler_.HasChanges());
  scheduler_.OnCommitFailed(scheduler_.TakeBatch());
  EXPECT_TRUE(scheduler_.HasChanges());
  const Batch batch = Commit();
  ASSERT_EQ(batch.rows.size(), 1U);
  EXPECT_FALSE(scheduler_.HasChanges());
  const WorkerEntry entry = Find("w").entry;
  scheduler_.BeginTerm(1, now_, 0);
  scheduler_.LoadWorker("w", batch.rows[0].value, now_);
  scheduler_.UpsertWorker(entry, now_);
  Report("w", {});
  EXPECT_EQ(MostOpen("w"), MaxConnections(20));
  // Those of this leader come on top.
  *Find("w").left.half_open = 10;
  EXPECT_EQ(MostOpen("w"), MaxConnections(30));
}

// Its registration lapsed while it was out of the platform's reach.
TEST_F(ConnectionsTest, AreKnownOfAWorkerThatIsListedAgain) {
  AddWorker("w");
  *Find("w").left.half_open = 20;
  const WorkerEntry entry = Find("w").entry;
  scheduler_.RemoveWorker("w");
  Plan(base::Seconds(7));
  ASSERT_EQ(scheduler_.FindWorker("w"), nullptr);
  scheduler_.UpsertWorker(entry, now_);
  EXPECT_EQ(MostOpen("w"), MaxConnections(20));
  Report("w", {});
  EXPECT_EQ(MostOpen("w"), MaxConnections(20));
}

// Connections that are left open at it take up all that it accepts.
class RefusingWorkerTest : public ConnectionsTest {
 protected:
  RefusingWorkerTest() {
    AddWorker("w");
    RecordContact(Find("w"), true, now_);
  }

  void Beat() {
    WorkerEntry entry = Find("w").entry;
    ++entry.version;
    scheduler_.UpsertWorker(entry, now_);
  }

  bool IsReplaced() { return NeedsNewIncarnation(Find("w"), now_); }
};

TEST_F(RefusingWorkerTest, ReplacedOnceItCanRunNothing) {
  const Millis since = now_;
  while (now_ - since < base::Seconds(4)) {
    now_ += Millis{500};
    Beat();
    RecordContact(Find("w"), true, now_);
    EXPECT_FALSE(IsReplaced());
  }
  now_ += base::Seconds(4);
  EXPECT_TRUE(IsReplaced());
  // It may run tasks.
  Find("w").lease_expires_by = now_ + Millis{1};
  EXPECT_FALSE(IsReplaced());
}

TEST_F(RefusingWorkerTest, KeptIfItAnswersAgain) {
  now_ += base::Seconds(5);
  Beat();
  now_ += base::Seconds(5);
  ASSERT_TRUE(IsReplaced());
  Report("w", {});
  EXPECT_FALSE(IsReplaced());
}

TEST_F(RefusingWorkerTest, KeptIfACallTimesOut) {
  now_ += base::Seconds(5);
  Beat();
  now_ += base::Seconds(5);
  RecordContact(Find("w"), false, now_);
  EXPECT_FALSE(IsReplaced());
}

// A process that is gone refuses connections as well.
TEST_F(RefusingWorkerTest, KeptWithoutAHeartbeat) {
  now_ += base::Seconds(20);
  EXPECT_FALSE(IsReplaced());
}

}  // namespace
}  // namespace hemlockward::jobs
