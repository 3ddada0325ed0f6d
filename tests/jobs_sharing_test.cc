// One queue's burst once claimed every VM: other pools, without a VM, kept
// their jobs waiting for the rest of the day.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

#include "jobs/sharing.h"

namespace hemlockward::jobs {
namespace {

TEST(SharingTest, EveryNeedIsMetWhileTheFleetSuffices) {
  const std::vector<PoolNeed> pools{{1, 10, 20}, {2, 3, 3}, {0, 0, 5}};
  EXPECT_EQ(ShareVms(pools, 28), (std::vector<int>{20, 3, 5}));
}

TEST(SharingTest, BurstBeyondTheFleetLeavesOthersTheirWorkAtHand) {
  const std::vector<PoolNeed> pools{{1, 480, 500}, {3, 6, 6}, {2, 9, 40}};
  const std::vector<int> shares = ShareVms(pools, 102);
  EXPECT_EQ(shares[1], 6);
  EXPECT_EQ(shares[2], 9);
  EXPECT_EQ(shares[0], 87);
}

TEST(SharingTest, ForecastsShareOnlyWhatWorkAtHandLeaves) {
  const std::vector<PoolNeed> pools{{1, 60, 60}, {1, 1, 400}};
  EXPECT_EQ(ShareVms(pools, 80), (std::vector<int>{60, 20}));
}

RC_GTEST_PROP(SharingTest, SharesFitTheFleetAndStarveNoPool, ()) {
  std::vector<PoolNeed> pools(*rc::gen::inRange<std::size_t>(1, 6));
  for (PoolNeed& it : pools) {
    it.least = *rc::gen::inRange(0, 5);
    it.now = it.least + *rc::gen::inRange(0, 300);
    it.soon = it.now + *rc::gen::inRange(0, 300);
  }
  const int total = *rc::gen::inRange(0, 400);
  const std::vector<int> shares = ShareVms(pools, total);
  int sum = 0;
  int least = 0;
  int soon = 0;
  for (std::size_t i = 0; i < pools.size(); ++i) {
    RC_ASSERT(shares[i] <= pools[i].soon);
    sum += shares[i];
    least += pools[i].least;
    soon += pools[i].soon;
  }
  // Nothing is left over while a need is unmet.
  RC_ASSERT(sum == std::min(total, soon));
  for (std::size_t i = 0; least <= total && i < pools.size(); ++i) {
    RC_ASSERT(shares[i] >= pools[i].least);
  }
}

}  // namespace
}  // namespace hemlockward::jobs
