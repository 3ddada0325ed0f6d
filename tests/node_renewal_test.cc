// A start on a worker woke the coroutine that waits for the commit of the
// worker's ends, which then asked for a report that only repeated them: 1.7
// reports for each run on a busy fleet.

#include <gtest/gtest.h>

#include "node/renewal.h"

namespace hemlockward::node {
namespace {

using base::Millis;

constexpr Millis kNow{10'000};
constexpr Millis kCommitWaitEnds{10'300};

jobs::Worker BusyWorker() {
  jobs::Worker worker;
  worker.entry.address = "10.0.0.1:80";
  worker.adopted = true;
  worker.runs[{"job", 0, 0, 0}] = {};
  return worker;
}

TEST(RenewalTest, UncommittedEndsAreCommittedBeforeTheNextReport) {
  jobs::Worker worker = BusyWorker();
  worker.reported_end_number = 3;
  worker.committed_end_number = 2;
  EXPECT_EQ(NextRenewalStep(worker, true, kCommitWaitEnds, kNow),
            RenewalStep::kAwaitCommit);
  worker.committed_end_number = 3;
  EXPECT_EQ(NextRenewalStep(worker, true, kCommitWaitEnds, kNow),
            RenewalStep::kRequest);
}

TEST(RenewalTest, StalledCommitDoesNotKeepTheLeaseFromBeingRenewed) {
  jobs::Worker worker = BusyWorker();
  worker.reported_end_number = 3;
  EXPECT_EQ(NextRenewalStep(worker, true, kCommitWaitEnds, kCommitWaitEnds),
            RenewalStep::kRequest);
}

TEST(RenewalTest, NothingIsAskedOfIdleOrEndedWorkers) {
  jobs::Worker worker = BusyWorker();
  worker.runs.clear();
  EXPECT_EQ(NextRenewalStep(worker, true, kCommitWaitEnds, kNow),
            RenewalStep::kRest);
  worker.unresponsive = true;
  EXPECT_EQ(NextRenewalStep(worker, true, kCommitWaitEnds, kNow),
            RenewalStep::kRequest);
  worker.ended = true;
  EXPECT_EQ(NextRenewalStep(worker, true, kCommitWaitEnds, kNow),
            RenewalStep::kRest);
}

// Nothing starts on the worker until a report shows that the run has ended.
TEST(RenewalTest, WorkerWithARunOfAnEndedJobIsAskedAgain) {
  jobs::Worker worker = BusyWorker();
  worker.runs.clear();
  worker.unknown_runs = 1;
  EXPECT_EQ(NextRenewalStep(worker, true, kCommitWaitEnds, kNow),
            RenewalStep::kRequest);
}

TEST(RenewalTest, NothingIsSentWithoutAFreshLease) {
  EXPECT_EQ(NextRenewalStep(BusyWorker(), false, kCommitWaitEnds, kNow),
            RenewalStep::kAwaitPermission);
}

}  // namespace
}  // namespace hemlockward::node
