#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control_cluster.h"

namespace hemlockward::control {
namespace {

constexpr int kSteps = 30000;
constexpr int kMostSeeds = 500;

// A VM is never in two pools nor rebooted twice in a wave, in any interleaving.
RC_GTEST_PROP(Moves, OnePoolAndOneRebootUnderAnyInterleaving, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  Cluster cluster({});
  cluster.Run(seed, kSteps);
  if (!cluster.violation.empty()) RC_FAIL(cluster.violation);
}

// Sums over fixed seeds; each seed runs a new cluster.
struct Totals {
  int violations = 0;
  int moved = 0;
  int rebooted = 0;
  int takeovers = 0;
  std::string first;
};

Totals RunSeeds(MissingGuards missing, std::uint64_t seeds) {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Cluster cluster(missing);
    cluster.Run(seed, kSteps);
    totals.violations += cluster.violation.empty() ? 0 : 1;
    if (totals.first.empty()) totals.first = cluster.violation;
    totals.moved += cluster.moved;
    totals.rebooted += cluster.rebooted;
    totals.takeovers += cluster.takeovers;
  }
  return totals;
}

// The first seed that violates the property, and the violation.
std::pair<int, std::string> FirstViolation(MissingGuards missing, int seeds) {
  for (int seed = 1; seed <= seeds; ++seed) {
    Cluster cluster(missing);
    cluster.Run(static_cast<std::uint64_t>(seed), kSteps);
    if (!cluster.violation.empty()) return {seed, cluster.violation};
  }
  return {0, ""};
}

// Guards against runs that test nothing: VMs must move and reboot, and shards
// must change holders.
TEST(Moves, RunsReachMovesRebootsAndTakeovers) {
  const Totals totals = RunSeeds({}, 30);
  EXPECT_EQ(totals.violations, 0) << totals.first;
  EXPECT_GT(totals.moved, 10);
  EXPECT_GT(totals.rebooted, 10);
  EXPECT_GT(totals.takeovers, 200);
  std::printf("moved %d rebooted %d takeovers %d\n", totals.moved,
              totals.rebooted, totals.takeovers);
}

// Row versions and the fence are each sufficient; without both the property
// fails.
TEST(Moves, FailsWithoutTheFence) {
  EXPECT_EQ(RunSeeds({.fence = true}, 40).violations, 0);
  const Totals fenced = RunSeeds({.row_versions = true}, 40);
  EXPECT_EQ(fenced.violations, 0) << fenced.first;
  const auto [seed, violation] =
      FirstViolation({.fence = true, .row_versions = true}, kMostSeeds);
  EXPECT_NE(violation, "");
  std::printf("without both, seed %d: %s\n", seed, violation.c_str());
}

}  // namespace
}  // namespace hemlockward::control
