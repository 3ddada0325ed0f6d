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

TEST(Budget, HealthFollowsTheMonitor) {
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
      // Counts as down once it receives no work, whatever the monitor reports.
      {VmState::kLeaving, true, true, {0}, VmHealth::kTakenOut},
      {VmState::kReturning, true, true, {0}, VmHealth::kTakenOut},
      {VmState::kLost, true, true, {0}, VmHealth::kFailed},
  };
  for (const Row& it : rows) {
    base::VmRow row;
    row.state = it.state;
    const VmVerdict verdict{it.up, Ago(it.age), Ago(it.age)};
    EXPECT_EQ(EvaluateVm(row, it.has_verdict ? &verdict : nullptr, {}, kNow),
              it.expected)
        << ToText(it.state) << " " << it.age.count;
  }
}

TEST(Budget, ReturnsToServiceOnlyAfterAVerdictNewerThanTheReboot) {
  base::VmRow row;
  row.state = VmState::kReturning;
  row.changed = Ago(base::Seconds(60));
  const VmVerdict before{true, Ago(base::Seconds(61)), {}};
  const VmVerdict within_skew{true, Ago({59'600}), {}};
  const VmVerdict after{true, Ago(base::Seconds(30)), {}};
  const VmVerdict down{false, Ago(base::Seconds(30)), {}};
  EXPECT_FALSE(CanReturnToService(row, nullptr, {}, kNow));
  EXPECT_FALSE(CanReturnToService(row, &before, {}, kNow));
  EXPECT_FALSE(CanReturnToService(row, &within_skew, {}, kNow));
  EXPECT_FALSE(CanReturnToService(row, &down, {}, kNow));
  EXPECT_TRUE(CanReturnToService(row, &after, {}, kNow));
}

TEST(Budget, LateVerdictsAreIgnored) {
  Verdicts verdicts;
  const base::VmId vm("a");
  RecordVerdict(verdicts, vm, false, {100});
  RecordVerdict(verdicts, vm, true, {50});
  EXPECT_FALSE(verdicts[vm].up);
  RecordVerdict(verdicts, vm, false, {200});
  EXPECT_EQ(verdicts[vm].changed_at.count, 100);
}

TEST(Budget, AttributesTimeBelowFloorToItsCause) {
  struct Row {
    int up, out, failed, no_verdict, out_in_failed;
    BelowFloorCause expected;
  };
  const Row rows[] = {
      {7, 3, 0, 0, 0, BelowFloorCause::kTakenOut},
      {7, 1, 2, 0, 0, BelowFloorCause::kTakenOut},
      {6, 1, 3, 0, 0, BelowFloorCause::kFailure},
      {7, 1, 2, 0, 1, BelowFloorCause::kFailure},
      {0, 0, 0, 10, 0, BelowFloorCause::kNoVerdict},
  };
  for (const Row& it : rows) {
    PoolHealth pool;
    pool.need.floor = 8;
    pool.up = it.up;
    pool.taken_out = it.out;
    pool.failed = it.failed;
    pool.no_verdict = it.no_verdict;
    pool.taken_out_in_failed_locations = it.out_in_failed;
    BudgetAccount account;
    Observe(account, pool, base::Hours(1), kNow);
    EXPECT_TRUE(account.is_below_floor);
    EXPECT_EQ(account.cause, it.expected) << it.up << " up";
  }
}

// For any observations, time below is the sum over its causes, lies within the
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
    pool.taken_out = up % 3;
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
  const Millis all = TimeBelowFloor(account, window, now);
  Millis sum{0};
  for (const auto cause :
       {BelowFloorCause::kTakenOut, BelowFloorCause::kFailure,
        BelowFloorCause::kNoVerdict}) {
    sum += TimeBelowFloor(account, window, now, cause);
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

TEST(Budget, RackFailureIsNotAttributedToTheWave) {
  base::FleetView view = bench::MakeFleet({{.name = "p", .vms = 8}}, 2);
  Verdicts verdicts = bench::AllUp(view, Ago(base::Seconds(60)));
  std::vector<base::VmId> in_rack;
  for (auto& [vm, row] : view.vms) {
    if (row.rack.value == "r0") in_rack.push_back(vm);
  }
  view.vms[in_rack[0]].state = VmState::kRebooting;
  for (const auto& vm : in_rack) RecordVerdict(verdicts, vm, false, kNow);
  const auto pools = EvaluateFleet(view, verdicts, {}, kNow);
  EXPECT_EQ(pools[0].taken_out, 1);
  EXPECT_EQ(pools[0].taken_out_in_failed_locations, 1);
  EXPECT_EQ(pools[0].failed, static_cast<int>(in_rack.size()) - 1);
}

}  // namespace
}  // namespace hemlockward::control
