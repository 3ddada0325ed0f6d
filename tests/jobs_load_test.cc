// Simulates heavy loads without faults and compares the results with those of
// simpler policies. Guards against regressions of job order and VM moves.

#include <gtest/gtest.h>

#include "base/log.h"
#include "bench/job_world.h"

namespace hemlockward::bench {
namespace {

// About the most that the fleet can serve during a burst of one queue.
constexpr double kHeavy = 0.7;

JobOutcome Play(LoadShape shape, Policy policy, double utilisation) {
  base::ConfigureLog(base::LogLevel::kError, base::LogFormat::kKeyValue, "",
                     "test");
  JobLoad load;
  load.shape = shape;
  load.utilisation = utilisation;
  load.seconds = 40;
  return PlayJobs(load, policy);
}

TEST(JobLoadTest, MovingVmsWithDemandServesMoreJobsThanAFixedFleet) {
  const auto fixed = Play(LoadShape::kTurns, Policy::kLeastSlack, 0.5);
  const auto reactive = Play(LoadShape::kTurns, Policy::kReactive, 0.5);
  const auto ours = Play(LoadShape::kTurns, Policy::kForecast, 0.5);
  EXPECT_GT(reactive.share(), fixed.share() * 3 / 2);
  EXPECT_GT(ours.share(), reactive.share());
  // Less VM time than a fleet that never moves VMs.
  EXPECT_LT(ours.pool_vm_s, fixed.pool_vm_s);
}

TEST(JobLoadTest, SmallestFirstMeetsMoreObjectivesUnderOverload) {
  const auto slack = Play(LoadShape::kTurns, Policy::kReactive, kHeavy);
  const auto ours = Play(LoadShape::kTurns, Policy::kForecast, kHeavy);
  EXPECT_GT(ours.in_time, slack.in_time * 11 / 10);
  EXPECT_GT(ours.share(), slack.share());
  EXPECT_GT(ours.worst_queue, slack.worst_queue);
  // The largest jobs do no worse.
  EXPECT_GE(ours.largest, slack.largest);
}

TEST(JobLoadTest, OneBusyQueueGetsTheFleet) {
  const auto fixed = Play(LoadShape::kOneQueue, Policy::kLeastSlack, 0.5);
  const auto ours = Play(LoadShape::kOneQueue, Policy::kForecast, 0.5);
  EXPECT_GT(ours.share(), fixed.share());
  EXPECT_LT(ours.pool_vm_s, fixed.pool_vm_s);
}

TEST(JobLoadTest, NoLoadViolatesAnInvariant) {
  for (int i = 0; i < kLoadShapes; ++i) {
    const auto shape = static_cast<LoadShape>(i);
    const auto out = Play(shape, Policy::kForecast, kHeavy);
    EXPECT_TRUE(out.broken.empty()) << ToText(shape) << ": " << out.broken[0];
    EXPECT_GT(out.jobs, 0) << ToText(shape);
    // The simulation ends 12 s after the last job; nearly all jobs are
    // complete.
    EXPECT_LT(out.unfinished, out.jobs / 100) << ToText(shape);
  }
}

}  // namespace
}  // namespace hemlockward::bench
