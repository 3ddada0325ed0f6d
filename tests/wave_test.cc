#include "control/wave.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "bench/fleet_builder.h"

namespace hemlockward::control {
namespace {

using base::Millis;
using base::VmState;
using base::WallMillis;

constexpr WallMillis kNow{1'699'920'000'000};  // Midnight UTC.
const base::WaveId kWave("w1");

base::FleetView FleetWithWave(const std::vector<bench::PoolPlan>& plans) {
  base::FleetView view = bench::MakeFleet(plans, 3);
  view.waves[kWave].wave = kWave;
  return view;
}

std::vector<bench::PoolPlan> TwoPools() {
  return {{.name = "a", .vms = 12}, {.name = "b", .vms = 12}};
}

WaveStep OneStep(const base::FleetView& view, const Verdicts& verdicts,
                 WallMillis now = kNow, const Demand& demand = {},
                 const Accounts& accounts = {}) {
  const auto steps = NextWaveSteps(view, verdicts, demand, accounts, {}, now);
  EXPECT_EQ(steps.size(), 1U);
  return steps.at(0);
}

// Marks the first `n` VMs of every pool as maintained by the wave.
void MarkDone(base::FleetView& view, int n) {
  for (auto& [vm, row] : view.vms) {
    if (n-- <= 0) return;
    row.wave = kWave;
  }
}

TEST(Wave, CanaryIsTakenOutAloneAndAwaited) {
  base::FleetView view = FleetWithWave(TwoPools());
  const Verdicts verdicts = bench::AllUp(view, kNow);
  const WaveStep first = OneStep(view, verdicts);
  ASSERT_EQ(first.take_out.size(), 1U);
  base::VmRow& canary = view.vms[first.take_out[0].vm];
  canary.wave = kWave;
  canary.state = VmState::kReturning;
  canary.purpose = base::VmPurpose::kMaintain;
  canary.changed = kNow;
  EXPECT_TRUE(OneStep(view, verdicts).take_out.empty());
  canary.state = VmState::kMember;
  EXPECT_TRUE(OneStep(view, verdicts).take_out.empty()) << "not proven yet";
  canary.changed = {kNow.count - base::Minutes(5).count};
  EXPECT_GT(OneStep(view, verdicts).take_out.size(), 1U);
}

TEST(Wave, CanaryFailureStopsTheWave) {
  base::FleetView view = FleetWithWave(TwoPools());
  const Verdicts verdicts = bench::AllUp(view, kNow);
  base::VmRow& canary = view.vms.begin()->second;
  canary.wave = kWave;
  canary.state = VmState::kReturning;
  canary.changed = {kNow.count - base::Minutes(20).count};
  const WaveStep step = OneStep(view, verdicts);
  EXPECT_EQ(step.action, WaveAction::kStop);
  EXPECT_TRUE(step.take_out.empty());
}

TEST(Wave, FailuresNarrowAndThenStopTheWave) {
  struct Row {
    int done, failed;
    WaveAction expected;
  };
  const Row rows[] = {{12, 0, WaveAction::kContinue},
                      {12, 1, WaveAction::kNarrow},
                      {12, 2, WaveAction::kStop}};
  for (const Row& it : rows) {
    base::FleetView view = FleetWithWave(TwoPools());
    MarkDone(view, it.done + it.failed);
    Verdicts verdicts = bench::AllUp(view, kNow);
    auto vm = view.vms.begin();
    for (int i = 0; i < it.failed; ++i, ++vm) {
      vm->second.state = VmState::kReturning;
      vm->second.changed = {kNow.count - base::Minutes(20).count};
    }
    const WaveStep step = OneStep(view, verdicts);
    EXPECT_EQ(step.action, it.expected) << it.failed << step.reason;
    EXPECT_EQ(step.progress.failed, it.failed);
    EXPECT_FALSE(step.action != WaveAction::kContinue && step.reason.empty());
    EXPECT_TRUE(step.action != WaveAction::kStop || step.take_out.empty());
  }
}

TEST(Wave, RespectsStopHoursDemandAndBudget) {
  const auto take_outs = [](const base::FleetView& view, WallMillis now,
                            const Demand& demand, const Accounts& accounts) {
    const Verdicts verdicts = bench::AllUp(view, now);
    return OneStep(view, verdicts, now, demand, accounts).take_out.size();
  };
  std::vector<bench::PoolPlan> plans = {{.name = "a", .vms = 12}};
  plans[0].healthy_share = 0.5;  // It has three racks of four VMs.
  plans[0].from_minute = 60;
  plans[0].to_minute = 120;
  base::FleetView view = FleetWithWave(plans);
  MarkDone(view, 1);
  EXPECT_EQ(take_outs(view, kNow, {}, {}), 0U) << "before its hours";
  const WallMillis open = kNow + base::Minutes(70);
  EXPECT_GT(take_outs(view, open, {}, {}), 1U);
  EXPECT_EQ(take_outs(view, kNow + base::Minutes(118), {}, {}), 0U)
      << "it would not be back in time";

  Demand demand;
  ObserveDemand(demand, base::PoolId("a"), 11, open);
  EXPECT_EQ(take_outs(view, open, demand, {}), 1U);

  Accounts accounts;
  BudgetAccount& account = accounts[base::ServiceId("a-0")];
  account.below.push_back({kNow, kNow + base::Minutes(30), {}});
  EXPECT_LT(take_outs(view, open, {}, accounts), take_outs(view, open, {}, {}))
      << "a used up budget needs a wider margin";

  view.waves[kWave].stopped = true;
  EXPECT_TRUE(
      NextWaveSteps(view, bench::AllUp(view, open), {}, {}, {}, open).empty());
}

TEST(Wave, PoolWithoutDocumentsIsMaintained) {
  base::FleetView view = FleetWithWave({{.name = "a", .vms = 2}});
  view.documents.clear();
  const Verdicts verdicts = bench::AllUp(view, kNow);
  EXPECT_EQ(OneStep(view, verdicts).take_out.size(), 1U);
  MarkDone(view, 1);
  EXPECT_EQ(OneStep(view, verdicts).take_out.size(), 1U);
}

TEST(Wave, WithoutVerdictsNothingIsTakenOut) {
  base::FleetView view = FleetWithWave(TwoPools());
  MarkDone(view, 2);
  const Verdicts old =
      bench::AllUp(view, {kNow.count - base::Minutes(10).count});
  EXPECT_TRUE(OneStep(view, old).take_out.empty());
}

TEST(Wave, VmIsTakenOutOnceDespiteOverlappingWavesAndMoves) {
  base::FleetView view = FleetWithWave(TwoPools());
  const base::WaveId later("w2");
  view.waves[later].wave = later;
  view.waves[later].started = {1};
  base::VmRow row;
  EXPECT_TRUE(WaveNeedsVm(view, view.waves[kWave], row));
  row.wave = kWave;
  EXPECT_FALSE(WaveNeedsVm(view, view.waves[kWave], row));
  EXPECT_TRUE(WaveNeedsVm(view, view.waves[later], row));
  row.wave = later;
  EXPECT_FALSE(WaveNeedsVm(view, view.waves[kWave], row));
}

int WorstRack(const std::map<base::RackId, int>& by_rack) {
  int most = 0;
  for (const auto& [rack, n] : by_rack) most = std::max(most, n);
  return most;
}

// Rule 9: the VMs that are out at once leave every floor intact even
// if the worst single rack fails now; nothing down or out is taken again.
RC_GTEST_PROP(Wave, FloorHoldsEvenIfTheWorstRackFails, ()) {
  std::vector<bench::PoolPlan> plans;
  const int pools = *rc::gen::inRange<int>(1, 4);
  for (int i = 0; i < pools; ++i) {
    bench::PoolPlan plan;
    plan.name = std::string(1, static_cast<char>('a' + i));
    plan.min_size = *rc::gen::inRange<int>(1, 30);
    plan.vms = plan.min_size + *rc::gen::inRange<int>(0, 8);
    plan.max_size = plan.vms + 2;
    plan.healthy_share = *rc::gen::inRange<int>(0, 101) / 100.0;
    plans.push_back(plan);
  }
  base::FleetView view = FleetWithWave(plans);
  Verdicts verdicts;
  for (auto& [vm, row] : view.vms) {
    row.rack = base::RackId(std::to_string(*rc::gen::inRange<int>(0, 8)));
    const int kind = *rc::gen::inRange<int>(0, 10);
    RecordVerdict(verdicts, vm, kind != 0, kNow);
    if (kind == 1) row.state = VmState::kReturning;
    if (kind <= 3 && kind != 0) row.wave = kWave;
  }
  const auto before = EvaluateFleet(view, verdicts, {}, kNow);
  const WaveStep step = OneStep(view, verdicts);
  std::set<base::VmId> taken;
  for (const Decision& it : step.take_out) {
    RC_ASSERT(taken.insert(it.vm).second);
    RC_ASSERT(it.action == Action::kTakeOut);
    RC_ASSERT(view.vms[it.vm].state == VmState::kMember);
    RC_ASSERT(view.vms[it.vm].wave != kWave);
    RC_ASSERT(verdicts[it.vm].up);
  }
  for (const PoolHealth& pool : before) {
    std::map<base::RackId, int> by_rack;
    int up = 0;
    bool touched = false;
    for (const VmStatus& it : pool.vms) {
      touched = touched || taken.contains(it.row->vm);
      const bool stays =
          it.health == VmHealth::kUp && !taken.contains(it.row->vm);
      if (!stays) continue;
      ++up;
      ++by_rack[it.row->rack];
    }
    RC_ASSERT(!touched || up - WorstRack(by_rack) >= pool.need.floor);
  }
}

TEST(Wave, PreviewNamesTheTightestPool) {
  std::vector<bench::PoolPlan> plans = TwoPools();
  plans[0].healthy_share = 0.5;
  base::FleetView view = bench::MakeFleet(plans, 3);
  const Verdicts verdicts = bench::AllUp(view, kNow);
  base::WaveRow wave;
  wave.wave = kWave;
  const WavePreview open =
      PreviewWave(view, verdicts, {}, {}, wave, {}, {}, kNow);
  EXPECT_EQ(open.vms, 24);
  EXPECT_EQ(open.limiting_pool.value, "b");
  EXPECT_TRUE(open.possible);
  plans[0].to_minute = 5;
  view = bench::MakeFleet(plans, 3);
  const WavePreview shut =
      PreviewWave(view, verdicts, {}, {}, wave, {}, {}, kNow);
  EXPECT_FALSE(shut.possible);
  EXPECT_EQ(shut.limiting_pool.value, "a");
}

}  // namespace
}  // namespace hemlockward::control
