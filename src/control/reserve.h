#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/types.h"
#include "control/budget.h"

/// Computes how much spare capacity is needed now from the observed demand.
namespace hemlockward::control {

/// Demand of one pool in VMs (slots in use and waiting over slots of a VM).
struct PoolDemand {
  double now = 0;
  /// Highest demand seen in each hour of the UTC day; decays day by day.
  std::array<double, 24> peak_by_hour{};
  base::WallMillis observed{};
};

using Demand = std::map<base::PoolId, PoolDemand>;

/// Records the demand of one pool at `now`.
void ObserveDemand(Demand& demand, const base::PoolId& pool, double vms,
                   base::WallMillis now);

/// VMs that `pool` is expected to need at most from `now` to `now + horizon`.
double ExpectedDemand(const Demand& demand, const base::PoolId& pool,
                      base::WallMillis now, base::Millis horizon);

struct ReserveSettings {
  base::PoolId spare_pool;  ///< Where spare VMs wait; empty: none.
  base::Millis horizon =
      base::Hours(2);  ///< How far ahead demand is estimated.
  /// Lent VMs widen a wave until it needs at most this many rounds.
  int wave_rounds = 5;
};

/// What one pool needs, in VMs.
struct PoolReserve {
  base::PoolId pool;
  int target = 0;      ///< Size that covers floor and expected demand.
  int worst_rack = 0;  ///< VMs lost when its fullest rack fails.
  int shortfall = 0;   ///< VMs missing to keep the floor when it fails.
};

/// Spare to hold for all pools together.
struct ReservePlan {
  std::vector<PoolReserve> pools;  ///< Ordered by pool id.
  int for_rack = 0;      ///< VMs that let all pools survive a second rack
                         ///< failure after the loss of the worst rack.
  int for_failures = 0;  ///< For the VMs that fail on an average day.
  int for_demand = 0;    ///< For peaks within the horizon, shared.
  int hold = 0;          ///< VMs to hold in reserve altogether.
  std::string reason;    ///< Explains the amount.
};

/// Linear in the number of VMs.
ReservePlan PlanReserve(const std::vector<PoolHealth>& pools,
                        const Demand& demand, const ReserveSettings& settings,
                        base::WallMillis now);

/// How many VMs of the pool a wave should be able to maintain at once while
/// `left` VMs still need maintenance. One by default; if the pool weighs
/// roll-out time higher than moves, enough to finish in `wave_rounds` rounds.
int DesiredWaveWidth(const PoolHealth& pool, int left,
                     const ReserveSettings& settings);

/// Target size of one pool: its least size, or more for expected demand, at
/// most its largest size.
int TargetSize(const PoolHealth& pool, const Demand& demand,
               base::Millis horizon, base::WallMillis now);

}  // namespace hemlockward::control
