#include "control/planner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "bench/fleet_builder.h"
#include "control/vm_steps.h"

namespace hemlockward::control {
namespace {

using base::VmState;
using base::WallMillis;

constexpr WallMillis kNow{1'699'920'000'000};

PlannerSettings Settings() {
  PlannerSettings settings;
  settings.reserve.spare_pool = base::PoolId("spare");
  return settings;
}

std::vector<bench::PoolPlan> WithSpare(int in_a, int in_b, int in_spare) {
  bench::PoolPlan spare{.name = "spare", .vms = in_spare, .min_size = 4};
  spare.max_size = 20;
  spare.healthy_share = 0.5;
  return {{.name = "a", .vms = in_a}, {.name = "b", .vms = in_b}, spare};
}

// Verdicts in which the first `n` VMs of pool a are down.
Verdicts DownFor(const base::FleetView& view, int n, base::Millis since) {
  Verdicts verdicts = bench::AllUp(view, {kNow.count - since.count - 1});
  for (const auto& [vm, row] : view.vms) {
    const bool down = row.pool.value == "a" && n-- > 0;
    RecordVerdict(verdicts, vm, !down, {kNow.count - since.count});
    RecordVerdict(verdicts, vm, !down, kNow);
  }
  return verdicts;
}

TEST(Planner, ReplacesFailedVmsFromTheSparePoolAfterADelay) {
  const base::FleetView view = bench::MakeFleet(WithSpare(10, 10, 10), 3);
  const Verdicts just_now = DownFor(view, 1, base::Minutes(1));
  EXPECT_TRUE(Plan(view, just_now, {}, Settings(), kNow).empty());
  const Verdicts for_long = DownFor(view, 1, base::Minutes(6));
  const auto decisions = Plan(view, for_long, {}, Settings(), kNow);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(view.vms.at(decisions[0].vm).pool.value, "spare");
  EXPECT_EQ(decisions[0].destination.value, "a");
  EXPECT_FALSE(decisions[0].reason.empty());
}

// A fleet whose VMs have just appeared in the list.
base::FleetView JustListed() {
  base::FleetView view = bench::MakeFleet(WithSpare(10, 10, 10), 3);
  for (auto& [vm, row] : view.vms) {
    platform::ListedVm listed;
    listed.vm = vm;
    listed.zone = row.zone;
    listed.rack = row.rack;
    row = NewVmRow(listed, row.pool);
  }
  return view;
}

std::vector<Decision> PlanSoonAfter(const base::FleetView& view) {
  return Plan(view, bench::AllUp(view, {kNow.count + 1000}), {}, Settings(),
              {kNow.count + 2000});
}

TEST(Planner, PoolWithoutDocumentKeepsItsVms) {
  base::FleetView view = JustListed();
  std::erase_if(view.documents,
                [](const auto& it) { return it.second.pool.value != "spare"; });
  EXPECT_TRUE(PlanSoonAfter(view).empty());
}

TEST(Planner, NewlyListedSpareVmMovesAtOnce) {
  base::FleetView view = JustListed();
  for (auto& [team, document] : view.documents) {
    if (document.pool.value == "a") document.min_size = 11;
  }
  const auto decisions = Plan(view, bench::AllUp(view, {kNow.count + 1000}), {},
                              Settings(), {kNow.count + 2000});
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].destination.value, "a");
}

TEST(Planner, ViolatedFloorPrecedesLargerDeficit) {
  std::vector<bench::PoolPlan> plans = WithSpare(10, 5, 5);
  plans[1].healthy_share = 0.5;
  const base::FleetView view = bench::MakeFleet(plans, 3);
  const Verdicts verdicts = DownFor(view, 3, base::Minutes(6));
  const auto decisions = Plan(view, verdicts, {}, Settings(), kNow);
  ASSERT_EQ(decisions.size(), 1U) << "all that the spare pool can give";
  EXPECT_EQ(decisions[0].destination.value, "a");
}

TEST(Planner, MissingVerdictsMoveNothing) {
  const base::FleetView view = bench::MakeFleet(WithSpare(10, 10, 10), 3);
  const Verdicts old =
      bench::AllUp(view, {kNow.count - base::Minutes(10).count});
  EXPECT_TRUE(Plan(view, old, {}, Settings(), kNow).empty());
}

TEST(Planner, WeightsDecideWhetherSurplusIsReturned) {
  for (const bool moves_matter : {false, true}) {
    std::vector<bench::PoolPlan> plans = WithSpare(13, 10, 8);
    plans[0].weights =
        moves_matter ? base::Weights{1, 1, 4} : base::Weights{4, 1, 1};
    const base::FleetView view = bench::MakeFleet(plans, 3);
    const auto decisions =
        Plan(view, bench::AllUp(view, kNow), {}, Settings(), kNow);
    EXPECT_EQ(decisions.size(), moves_matter ? 0U : 3U);
  }
}

TEST(Planner, AdmitsOnlyAfterAnUpVerdict) {
  base::FleetView view = bench::MakeFleet(WithSpare(10, 10, 10), 3);
  base::VmRow& row = view.vms.begin()->second;
  row.state = VmState::kReturning;
  row.purpose = base::VmPurpose::kMaintain;
  row.changed = {kNow.count - 10'000};
  const Verdicts before = bench::AllUp(view, {kNow.count - 20'000});
  EXPECT_TRUE(Plan(view, before, {}, Settings(), kNow).empty());
  const Verdicts after = bench::AllUp(view, kNow);
  const auto decisions = Plan(view, after, {}, Settings(), kNow);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].action, Action::kAdmit);
}

// Applies a decision and completes it at once.
void ApplyDecision(base::FleetView& view, const Decision& decision,
                   WallMillis now) {
  base::VmRow& row = view.vms[decision.vm];
  if (decision.action == Action::kMove) row.pool = decision.destination;
  row.state = VmState::kMember;
  row.changed = now;
}

// In any fleet: no VM gets two decisions, no move ends where it began, donors
// keep floor and rack, immovable pools donate nothing, and without changes
// the plan converges instead of swapping VMs back and forth.
RC_GTEST_PROP(Planner, MovesAreSafeAndConverge, ()) {
  std::vector<bench::PoolPlan> plans =
      WithSpare(*rc::gen::inRange<int>(4, 16), *rc::gen::inRange<int>(4, 16),
                *rc::gen::inRange<int>(1, 20));
  for (bench::PoolPlan& it : plans) {
    it.movable = *rc::gen::inRange<int>(0, 5) != 0;
    it.weights.buffer = *rc::gen::inRange<int>(0, 4);
    it.weights.moves = *rc::gen::inRange<int>(0, 4);
  }
  base::FleetView view = bench::MakeFleet(plans, 3);
  if (*rc::gen::arbitrary<bool>()) {
    view.waves[base::WaveId("w")].wave = base::WaveId("w");
  }
  std::set<base::VmId> down;
  for (const auto& [vm, row] : view.vms) {
    if (*rc::gen::inRange<int>(0, 10) == 0) down.insert(vm);
  }
  WallMillis now = kNow;
  int last = 0;
  for (int step = 0; step < 6; ++step) {
    Verdicts verdicts;
    for (const auto& [vm, row] : view.vms) {
      RecordVerdict(verdicts, vm, !down.contains(vm), kNow);
      RecordVerdict(verdicts, vm, !down.contains(vm), now);
    }
    const auto pools = EvaluateFleet(view, verdicts, {}, now);
    const auto decisions = Plan(view, verdicts, {}, Settings(), now);
    std::set<base::VmId> seen;
    std::map<base::PoolId, int> given;
    for (const Decision& it : decisions) {
      RC_ASSERT(seen.insert(it.vm).second);
      const base::VmRow& row = view.vms[it.vm];
      RC_ASSERT(row.pool != it.destination);
      RC_ASSERT(FindPool(pools, row.pool)->need.movable);
      ++given[row.pool];
    }
    for (const auto& [pool, n] : given) {
      const PoolHealth& health = *FindPool(pools, pool);
      RC_ASSERT(health.up - n >= health.need.floor);
    }
    for (const Decision& it : decisions) ApplyDecision(view, it, now);
    last = static_cast<int>(decisions.size());
    now = now + base::Hours(1);
  }
  RC_ASSERT(last == 0);
}

}  // namespace
}  // namespace hemlockward::control
