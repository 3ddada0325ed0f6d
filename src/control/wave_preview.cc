#include <algorithm>
#include <array>
#include <utility>

#include "control/pool_headroom.h"
#include "control/wave.h"

namespace hemlockward::control {

using base::Millis;
using base::WallMillis;

namespace {

constexpr int kMinutesOfDay = 24 * 60;

// Time of day at which a pool's VMs may be taken out of service.
struct MaintenanceWindow {
  int wait = 0;  ///< Minutes until maintenance is next allowed.
  int open = 0;  ///< Minutes of each day that allow maintenance.
};

MaintenanceWindow FindMaintenanceWindow(const PoolHealth& pool,
                                        Millis maintenance_duration,
                                        WallMillis now) {
  MaintenanceWindow window;
  for (int minute = 0; minute < kMinutesOfDay; ++minute) {
    const WallMillis at = now + base::Minutes(minute);
    if (FindDocumentOutsideHours(pool, maintenance_duration, at) != nullptr)
      continue;
    if (window.open == 0) window.wait = minute;
    ++window.open;
  }
  return window;
}

// Elapsed time for `busy` minutes of work within the daily `window` only.
Millis DurationWithinHours(int busy, const MaintenanceWindow& window) {
  const int days = (busy - 1) / window.open;
  const int last = busy - days * window.open;
  return base::Minutes(window.wait + days * kMinutesOfDay + last);
}

// Median hourly demand: a wave lasts many hours, not just the next one.
Demand MedianDemand(const Demand& demand) {
  Demand median = demand;
  for (auto& [pool, it] : median) {
    std::array<double, 24> sorted = it.peak_by_hour;
    std::nth_element(sorted.begin(), sorted.begin() + 12, sorted.end());
    it.peak_by_hour.fill(sorted[12]);
    it.now = std::min(it.now, sorted[12]);
  }
  return median;
}

struct PoolPreview {
  int todo = 0;
  int width = 0;
  std::string limit;
};

// How many VMs may be out of service at once if all VMs are up and the time is
// within the maintenance hours.
PoolPreview PreviewPool(const base::FleetView& view, const PoolHealth& pool,
                        const Demand& demand, const Accounts& accounts,
                        const base::WaveRow& wave, const WaveSettings& settings,
                        WallMillis now) {
  PoolHealth open = pool;
  open.need.documents.clear();
  PoolHeadroom headroom(open, demand, accounts, settings, now);
  PoolPreview preview;
  for (const VmStatus& it : pool.vms) {
    if (it.health != VmHealth::kUp) continue;
    if (!WaveNeedsVm(view, wave, *it.row)) continue;
    ++preview.todo;
    if (!headroom.CanTakeOut(*it.row)) continue;
    headroom.TakeOut(*it.row);
    ++preview.width;
  }
  preview.limit = headroom.limit();
  return preview;
}

// VMs that the spare pool can lend, by the rule that the reserve plan uses.
int LendableSpareVms(const std::vector<PoolHealth>& pools, const Demand& demand,
                     const ReserveSettings& settings, WallMillis now) {
  const PoolHealth* spare = FindPool(pools, settings.spare_pool);
  if (spare == nullptr) return 0;
  const int target = TargetSize(*spare, demand, settings.horizon, now);
  return std::max(0, spare->up - target);
}

// Adds one pool to the preview; `spare` is what may still be lent.
void AddPool(WavePreview& preview, const PoolHealth& pool, PoolPreview part,
             const WaveSettings& settings, const ReserveSettings& reserve,
             int& spare, WallMillis now) {
  preview.vms += part.todo;
  if (part.todo == 0) return;
  const int wanted = DesiredWaveWidth(pool, part.todo, reserve);
  const int lent = std::clamp(wanted - part.width, 0, spare);
  spare -= lent;
  preview.moves += 2 * lent;
  part.width += lent;
  part.todo += lent;
  const MaintenanceWindow window =
      FindMaintenanceWindow(pool, settings.maintenance_duration, now);
  if (window.open == 0 || part.width == 0) {
    preview.possible = false;
    preview.limiting_pool = pool.pool;
    preview.limiting_reason = window.open == 0
                                  ? "maintenance hours too short for one VM"
                                  : part.limit;
    return;
  }
  const int rounds = (part.todo + part.width - 1) / part.width;
  const Millis work =
      settings.maintenance_duration * (rounds + 1) + settings.canary_soak;
  const int busy = static_cast<int>(work.count / base::Minutes(1).count);
  const Millis duration = DurationWithinHours(busy, window);
  if (duration <= preview.duration) return;
  preview.duration = duration;
  if (!preview.possible) return;
  preview.limiting_pool = pool.pool;
  preview.limiting_reason =
      part.limit.empty() ? "the size of the pool" : part.limit;
}

}  // namespace

WavePreview PreviewWave(const base::FleetView& view, const Verdicts& verdicts,
                        const Demand& demand, const Accounts& accounts,
                        const base::WaveRow& wave, const WaveSettings& settings,
                        const ReserveSettings& reserve, WallMillis now) {
  const std::vector<PoolHealth> pools =
      EvaluateFleet(view, verdicts, settings.health, now);
  const Demand median = MedianDemand(demand);
  WavePreview preview;
  preview.reserve = PlanReserve(pools, demand, reserve, now).hold;
  int spare = LendableSpareVms(pools, median, reserve, now);
  for (const PoolHealth& pool : pools) {
    if (!WaveIncludes(wave, pool.pool)) continue;
    PoolPreview part =
        PreviewPool(view, pool, median, accounts, wave, settings, now);
    AddPool(preview, pool, std::move(part), settings, reserve, spare, now);
  }
  preview.reserve += preview.moves / 2;
  return preview;
}

}  // namespace hemlockward::control
