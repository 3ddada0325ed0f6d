// 70 VMs that joined a pool with a backlog at once got 230 starts at once; they
// filled the leader's link, and leases ran out behind them.

#include <gtest/gtest.h>

#include "node/start_window.h"

namespace hemlockward::node {
namespace {

constexpr Millis kPrompt{5};
constexpr Millis kSlow{300};

TEST(StartWindowTest, LimitsStartsInFlight) {
  const StartWindow window;
  const int room = window.Room(0);
  EXPECT_GT(room, 0);
  EXPECT_EQ(window.Room(room), 0);
  EXPECT_EQ(window.Room(room + 100), 0);
}

TEST(StartWindowTest, ShrinksOncePerRoundOfSlowAnswersAndNeverCloses) {
  StartWindow window;
  const int room = window.Room(0);
  Millis now{10'000};
  for (int i = 0; i < 100; ++i) window.OnAnswer(kSlow, now);
  const int reduced = window.Room(0);
  EXPECT_LT(reduced, room);
  EXPECT_GE(reduced, room / 2);
  for (int i = 0; i < 100; ++i) window.OnAnswer(kSlow, now += kSlow);
  EXPECT_GE(window.Room(0), 32);
}

TEST(StartWindowTest, GrowsAgainWithPromptAnswers) {
  StartWindow window;
  Millis now{10'000};
  for (int i = 0; i < 100; ++i) window.OnAnswer(kSlow, now += kSlow);
  const int reduced = window.Room(0);
  for (int i = 0; i < 20 * reduced; ++i) window.OnAnswer(kPrompt, now);
  EXPECT_GT(window.Room(0), 3 * reduced);
}

}  // namespace
}  // namespace hemlockward::node
