#include "control/reserve.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace hemlockward::control {

using base::Millis;
using base::WallMillis;

namespace {

// Share of an hour's learned peak that remains after a day without that peak.
constexpr double kDailyDecay = 0.9;
// Share of all VMs that fails on an average day.
constexpr double kDailyFailureShare = 0.008;
constexpr std::int64_t kHourMillis = base::Hours(1).count;
constexpr std::int64_t kDayMillis = base::Hours(24).count;
constexpr int kHoursOfDay = 24;

int HourOf(WallMillis wall) {
  return static_cast<int>((wall.count % kDayMillis) / kHourMillis);
}

int CeilToInt(double value) {
  return static_cast<int>(std::ceil(value - 1e-9));
}

}  // namespace

void ObserveDemand(Demand& demand, const base::PoolId& pool, double vms,
                   WallMillis now) {
  PoolDemand& record = demand[pool];
  const bool same_hour =
      record.observed.count / kHourMillis == now.count / kHourMillis;
  double& peak = record.peak_by_hour[HourOf(now)];
  if (!same_hour) peak *= kDailyDecay;
  peak = std::max(peak, vms);
  record.now = vms;
  record.observed = now;
}

double ExpectedDemand(const Demand& demand, const base::PoolId& pool,
                      WallMillis now, Millis horizon) {
  const auto it = demand.find(pool);
  if (it == demand.end()) return 0;
  const std::int64_t first = now.count / kHourMillis;
  const std::int64_t last = (now.count + horizon.count) / kHourMillis;
  const std::int64_t end = std::min(last, first + kHoursOfDay - 1);
  double most = it->second.now;
  for (std::int64_t hour = first; hour <= end; ++hour) {
    most = std::max(most, it->second.peak_by_hour[hour % kHoursOfDay]);
  }
  return most;
}

int TargetSize(const PoolHealth& pool, const Demand& demand, Millis horizon,
               WallMillis now) {
  const double expected = ExpectedDemand(demand, pool.pool, now, horizon);
  const int wanted = std::max(pool.need.min_size, CeilToInt(expected));
  return std::min(wanted, std::max(pool.need.min_size, pool.need.max_size));
}

int DesiredWaveWidth(const PoolHealth& pool, int left,
                     const ReserveSettings& settings) {
  const base::Weights& weights = pool.need.weights;
  if (weights.rollout <= weights.moves) return std::min(left, 1);
  const int size = static_cast<int>(pool.vms.size());
  const int rounds = settings.wave_rounds;
  return std::min(left, (size + rounds - 1) / rounds);
}

namespace {

// VMs that the pools lose when a rack fails, by rack.
using VmsByRack = std::unordered_map<std::string, int>;

// Counts the VMs that are up in each rack; returns the most in one rack.
int CountRacks(const PoolHealth& pool, VmsByRack& by_rack) {
  int most = 0;
  by_rack.clear();
  for (const VmStatus& it : pool.vms) {
    if (it.health != VmHealth::kUp) continue;
    most = std::max(most, ++by_rack[it.row->rack.value]);
  }
  return most;
}

// For each hour within the horizon, adds up by how many VMs the peak demand of
// each pool exceeds its VMs that are up; returns the largest sum. Pools that
// peak at different hours share this reserve.
int SharedPeakDemand(const std::vector<PoolHealth>& pools, const Demand& demand,
                     Millis horizon, WallMillis now) {
  double most = 0;
  const std::int64_t last = (now.count + horizon.count) / kHourMillis;
  for (std::int64_t hour = now.count / kHourMillis; hour <= last; ++hour) {
    double sum = 0;
    for (std::size_t i = 0; i < pools.size(); ++i) {
      const auto it = demand.find(pools[i].pool);
      if (it == demand.end()) continue;
      const double peak = std::min<double>(
          it->second.peak_by_hour[hour % kHoursOfDay], pools[i].need.max_size);
      sum += std::max(0.0, peak - pools[i].up);
    }
    most = std::max(most, sum);
  }
  return CeilToInt(most);
}

}  // namespace

ReservePlan PlanReserve(const std::vector<PoolHealth>& pools,
                        const Demand& demand, const ReserveSettings& settings,
                        WallMillis now) {
  ReservePlan plan;
  VmsByRack by_rack;
  VmsByRack lack_by_rack;
  std::string worst_rack = "none";
  int vms = 0;
  for (const PoolHealth& pool : pools) {
    PoolReserve reserve;
    reserve.pool = pool.pool;
    reserve.target = TargetSize(pool, demand, settings.horizon, now);
    reserve.worst_rack = CountRacks(pool, by_rack);
    reserve.shortfall =
        std::max(0, pool.need.floor + reserve.worst_rack - pool.up);
    plan.pools.push_back(reserve);
    if (pool.need.services == 0) continue;
    const int slack = pool.up - pool.need.floor - reserve.worst_rack;
    vms += static_cast<int>(pool.vms.size());
    for (const auto& [rack, lost] : by_rack) {
      if (lost > slack) lack_by_rack[rack] += lost - std::max(0, slack);
    }
  }
  for (const auto& [rack, lack] : lack_by_rack) {
    const bool worse =
        lack > plan.for_rack || (lack == plan.for_rack && rack < worst_rack);
    if (!worse) continue;
    plan.for_rack = lack;
    worst_rack = rack;
  }
  plan.for_demand = SharedPeakDemand(pools, demand, settings.horizon, now);
  plan.for_failures = CeilToInt(kDailyFailureShare * vms);
  plan.hold = plan.for_rack + plan.for_failures + plan.for_demand;
  plan.reason = "rack " + worst_rack + " lost takes " +
                std::to_string(plan.for_rack) + " VMs too many; a day's " +
                std::to_string(plan.for_failures) + " failures; peaks take " +
                std::to_string(plan.for_demand);
  return plan;
}

}  // namespace hemlockward::control
