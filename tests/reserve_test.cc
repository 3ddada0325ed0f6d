#include "control/reserve.h"

#include <gtest/gtest.h>

#include "bench/fleet_builder.h"

namespace hemlockward::control {
namespace {

using base::WallMillis;

constexpr WallMillis kNow{1'699'920'000'000};  // Midnight UTC.

TEST(Reserve, DemandIsLearnedByHourAndDecays) {
  Demand demand;
  const base::PoolId pool("a");
  ObserveDemand(demand, pool, 12, kNow);
  ObserveDemand(demand, pool, 5, kNow + base::Hours(1));
  const WallMillis next_day = kNow + base::Hours(24);
  ObserveDemand(demand, pool, 3, next_day);
  EXPECT_NEAR(ExpectedDemand(demand, pool, next_day, {0}), 10.8, 0.01);
  EXPECT_EQ(ExpectedDemand(demand, pool, next_day + base::Hours(5), {0}), 3);
  EXPECT_EQ(ExpectedDemand(demand, base::PoolId("b"), kNow, {0}), 0);
}

TEST(Reserve, PoolsWithDifferentPeakHoursShareTheReserve) {
  const base::FleetView view =
      bench::MakeFleet({{.name = "a", .vms = 10}, {.name = "b", .vms = 10}}, 3);
  const auto pools = EvaluateFleet(view, bench::AllUp(view, kNow), {}, kNow);
  for (const int apart : {0, 1}) {
    Demand demand;
    demand[base::PoolId("a")].peak_by_hour[1] = 13;
    demand[base::PoolId("b")].peak_by_hour[1 + apart] = 13;
    const ReservePlan plan = PlanReserve(pools, demand, {}, kNow);
    EXPECT_EQ(plan.for_demand, apart == 0 ? 6 : 3);
    EXPECT_FALSE(plan.reason.empty());
  }
}

TEST(Reserve, GrowsWithTheWorstRack) {
  base::FleetView view = bench::MakeFleet({{.name = "a", .vms = 10}}, 3);
  const Verdicts verdicts = bench::AllUp(view, kNow);
  // Two pools of ten have two VMs per rack; put five into one rack.
  int n = 0;
  for (auto& [vm, row] : view.vms) {
    row.rack = base::RackId(n < 5 ? "r0" : "r" + std::to_string(n));
    ++n;
  }
  const ReservePlan plan =
      PlanReserve(EvaluateFleet(view, verdicts, {}, kNow), {}, {}, kNow);
  EXPECT_EQ(plan.pools[0].worst_rack, 5);
  EXPECT_EQ(plan.pools[0].shortfall, 3);
  EXPECT_EQ(plan.for_rack, 5);
}

}  // namespace
}  // namespace hemlockward::control
