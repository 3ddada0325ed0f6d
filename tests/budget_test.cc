#include "control/budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "bench/fleet_builder.h"

namespace hemlockward::control {
namespace {

using base::Millis;
using base::VmState;
using base::WallMillis;

constexpr WallMillis kNow{1'700'000'000'000};

WallMillis Ago(Millis age) { return {kNow.count - age.count}; }

TEST(Budget, JudgesAsTheMonitorDoes) {
  struct Row {
    VmState state;
    bool has_verdict;
    bool up;
    Millis age;
    VmHealth expected;
  };
  const Row rows[] = {
      {VmState::kMember, true, true, {0}, VmHealth::kUp},
      {VmState::kMember, true, false, {0}, VmHealth::kFailed},
      {VmState::kMember, true, true, base::Minutes(3), VmHealth::kNoVerdict},
      {VmState::kMember, false, true, {0}, VmHealth::kNoVerdict},
      // Down from when work is kept from it, whatever the monitor says.
      {VmState::kLeaving, true, true, {0}, VmHealth::kOutByUs},
      {VmState::kReturning, true, true, {0}, VmHealth::kOutByUs},
      {VmState::kLost, true, true, {0}, VmHealth::kFailed},
  };
  for (const Row& it : rows) {
    base::VmRow row;
    row.state = it.state;
    const VmVerdict verdict{it.up, Ago(it.age), Ago(it.age)};
    EXPECT_EQ(JudgeVm(row, it.has_verdict ? &verdict : nullptr, {}, kNow),
              it.expected)
        << ToText(it.state) << " " << it.age.count;
  }
}

TEST(Budget, ServesAgainOnlyByAVerdictJudgedAfterTheReboot) {
  base::VmRow row;
  row.state = VmState::kReturning;
  row.changed = Ago(base::Seconds(60));
  const VmVerdict before{true, Ago(base::Seconds(61)), {}};
  const VmVerdict within_skew{true, Ago({59'600}), {}};
  const VmVerdict after{true, Ago(base::Seconds(30)), {}};
  const VmVerdict down{false, Ago(base::Seconds(30)), {}};
  EXPECT_FALSE(MayServeAgain(row, nullptr, {}, kNow));
  EXPECT_FALSE(MayServeAgain(row, &before, {}, kNow));
  EXPECT_FALSE(MayServeAgain(row, &within_skew, {}, kNow));
  EXPECT_FALSE(MayServeAgain(row, &down, {}, kNow));
  EXPECT_TRUE(MayServeAgain(row, &after, {}, kNow));
}

TEST(Budget, LateVerdictsAreIgnored) {
  Verdicts verdicts;
  const base::VmId vm("a");
  RecordVerdict(verdicts, vm, false, {100});
  RecordVerdict(verdicts, vm, true, {50});
  EXPECT_FALSE(verdicts[vm].up);
  RecordVerdict(verdicts, vm, false, {200});
  EXPECT_EQ(verdicts[vm].since.count, 100);
}

TEST(Budget, SaysWhoTookAPoolBelow) {
  struct Row {
    int up, out, failed, silent, out_in_failed;
    BelowCause expected;
  };
  const Row rows[] = {
      {7, 3, 0, 0, 0, BelowCause::kUs},
      {7, 1, 2, 0, 0, BelowCause::kUs},
      {6, 1, 3, 0, 0, BelowCause::kFailure},
      {7, 1, 2, 0, 1, BelowCause::kFailure},
      {0, 0, 0, 10, 0, BelowCause::kMonitor},
  };
  for (const Row& it : rows) {
    PoolHealth pool;
    pool.need.floor = 8;
    pool.up = it.up;
    pool.out_by_us = it.out;
    pool.failed = it.failed;
    pool.no_verdict = it.silent;
    pool.out_in_failed_places = it.out_in_failed;
    BudgetAccount account;
    Observe(account, pool, base::Hours(1), kNow);
    EXPECT_TRUE(account.is_below);
    EXPECT_EQ(account.cause, it.expected) << it.up << " up";
  }
}

// Whatever is observed, time below is the sum over its causes, lies within the
// window, and survives a takeover.
RC_GTEST_PROP(Budget, AccountAddsUpAndSurvivesTakeover, ()) {
  const auto ups =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange<int>(0, 12));
  const Millis window = base::Minutes(30);
  BudgetAccount account;
  WallMillis now = kNow;
  std::int64_t expected = 0;
  bool below = false;
  std::vector<std::pair<WallMillis, bool>> steps;
  for (const int up : ups) {
    PoolHealth pool;
    pool.need.floor = 8;
    pool.up = up;
    pool.out_by_us = up % 3;
    Observe(account, pool, window, now);
    steps.emplace_back(now, up < 8);
    const auto copy = DecodeBudgetAccount(Encode(account));
    RC_ASSERT(copy.has_value());
    account = *copy;
    now = now + base::Minutes(1);
  }
  for (std::size_t i = 0; i < steps.size(); ++i) {
    below = steps[i].second;
    if (below && now - steps[i].first <= window) expected += 60'000;
  }
  const Millis all = TimeBelow(account, window, now);
  Millis sum{0};
  for (const auto cause :
       {BelowCause::kUs, BelowCause::kFailure, BelowCause::kMonitor}) {
    sum += TimeBelow(account, window, now, cause);
  }
  RC_ASSERT(all == sum);
  RC_ASSERT(all.count == expected);
  base::AvailabilityBudget budget;
  budget.below_allowed = base::Minutes(5);
  budget.window = window;
  RC_ASSERT(BudgetLeft(account, budget, now) >= Millis{0});
}

RC_GTEST_PROP(Budget, AnyTextDecodesOrFails, (std::string text)) {
  (void)DecodeBudgetAccount(text);
}

TEST(Budget, ARackThatFailedIsNoFaultOfTheWave) {
  base::FleetView view = bench::MakeFleet({{.name = "p", .vms = 8}}, 2);
  Verdicts verdicts = bench::AllUp(view, Ago(base::Seconds(60)));
  std::vector<base::VmId> in_rack;
  for (auto& [vm, row] : view.vms) {
    if (row.rack.value == "r0") in_rack.push_back(vm);
  }
  view.vms[in_rack[0]].state = VmState::kRebooting;
  for (const auto& vm : in_rack) RecordVerdict(verdicts, vm, false, kNow);
  const auto pools = JudgeFleet(view, verdicts, {}, kNow);
  EXPECT_EQ(pools[0].out_by_us, 1);
  EXPECT_EQ(pools[0].out_in_failed_places, 1);
  EXPECT_EQ(pools[0].failed, static_cast<int>(in_rack.size()) - 1);
}

}  // namespace
}  // namespace hemlockward::control
