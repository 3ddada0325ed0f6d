#include "control/pool_headroom.h"

#include <algorithm>
#include <cmath>

namespace hemlockward::control {

using base::Millis;
using base::WallMillis;

namespace {

// At most one VM in this many of a pool without documents is out of service.
constexpr int kUnclaimedPoolDivisor = 4;

}  // namespace

PoolHeadroom::PoolHeadroom(const PoolHealth& pool, const Demand& demand,
                           const Accounts& accounts,
                           const WaveSettings& settings, WallMillis now)
    : up_(pool.up),
      floor_(pool.need.floor),
      spread_racks_(pool.need.spread_racks),
      spread_zones_(pool.need.spread_zones) {
  const int size = static_cast<int>(pool.vms.size());
  if (pool.need.services == 0) {
    // No service needs the pool: limit only how many VMs are out of service.
    floor_ = size - std::max(1, size / kUnclaimedPoolDivisor);
    racks_to_survive_ = 0;
    spread_racks_ = 0;
    spread_zones_ = 0;
  }
  const double expected =
      ExpectedDemand(demand, pool.pool, now, settings.maintenance_duration);
  // A pool with more demand than VMs still allows one VM out at a time.
  demand_ = std::min(static_cast<int>(std::ceil(expected)), size - 1);
  CountLocations(pool);
  SetRacksToSurvive(pool, accounts, settings, now);
  within_maintenance_hours_ = IsWithinMaintenanceHours(pool, settings, now);
}

void PoolHeadroom::CountLocations(const PoolHealth& pool) {
  std::unordered_map<std::string_view, int> standing_by_zone;
  int standing = 0;
  int worst_zone = 0;
  for (const VmStatus& it : pool.vms) {
    const bool stands =
        it.health == VmHealth::kUp || it.health == VmHealth::kTakenOut;
    if (stands) {
      ++standing;
      worst_zone = std::max(worst_zone, ++standing_by_zone[it.row->zone.value]);
    }
    const auto [rack, added] = racks_.try_emplace(
        it.row->rack.value, static_cast<int>(up_by_rack_.size()));
    if (added) up_by_rack_.push_back(0);
    if (it.health != VmHealth::kUp) continue;
    ++up_by_rack_[rack->second];
    ++up_by_zone_[it.row->zone.value];
  }
  const auto most = std::max_element(up_by_rack_.begin(), up_by_rack_.end());
  rack_count_by_up_.assign(most == up_by_rack_.end() ? 1 : *most + 1, 0);
  for (const int it : up_by_rack_) ++rack_count_by_up_[it];
  must_survive_zone_ =
      racks_to_survive_ > 0 && standing - worst_zone - 1 >= floor_;
}

// A service whose budget is nearly used up must survive two racks.
void PoolHeadroom::SetRacksToSurvive(const PoolHealth& pool,
                                     const Accounts& accounts,
                                     const WaveSettings& settings,
                                     WallMillis now) {
  for (const base::ServiceDocument* it : pool.need.documents) {
    const auto account = accounts.find(it->service);
    if (account == accounts.end()) continue;
    const Millis left = BudgetLeft(account->second, it->budget, now);
    if (left <
        std::min(settings.maintenance_duration, it->budget.below_allowed)) {
      racks_to_survive_ = 2;
    }
  }
}

bool PoolHeadroom::IsWithinMaintenanceHours(const PoolHealth& pool,
                                            const WaveSettings& settings,
                                            WallMillis now) {
  const base::ServiceDocument* document =
      FindDocumentOutsideHours(pool, settings.maintenance_duration, now);
  if (document == nullptr) return true;
  limit_ = "outside the maintenance hours of team " + document->team.value;
  return false;
}

// VMs up in the fullest rack after one VM of `rack` is taken out.
int PoolHeadroom::WorstRackWithout(int rack) const {
  int most = static_cast<int>(rack_count_by_up_.size()) - 1;
  while (most > 0 && rack_count_by_up_[most] == 0) --most;
  const bool only_one =
      rack_count_by_up_[most] == 1 && up_by_rack_[rack] == most;
  return only_one ? most - 1 : most;
}

int PoolHeadroom::WorstZoneWithout(std::string_view zone) const {
  int most = 0;
  for (const auto& [name, up] : up_by_zone_) {
    most = std::max(most, name == zone ? up - 1 : up);
  }
  return most;
}

// The floor must hold if the worst rack fails now and, in a pool that is
// large enough for it, if the worst zone does.
bool PoolHeadroom::KeepsFloor(const base::VmRow& row, int up_after) {
  const int in_racks = racks_to_survive_ * WorstRackWithout(RackIndexOf(row));
  const int in_zone = must_survive_zone_ ? WorstZoneWithout(row.zone.value) : 0;
  const int exposed = std::max(in_racks, in_zone);
  if (up_after - exposed >= floor_) return true;
  limit_ =
      std::to_string(up_) + " up, floor " + std::to_string(floor_) +
      " must survive the loss of " + std::to_string(exposed) + " VMs in " +
      (in_zone > in_racks ? std::string("a zone")
                          : std::to_string(racks_to_survive_) + " rack(s)");
  return false;
}

bool PoolHeadroom::CanTakeOut(const base::VmRow& row) {
  if (!within_maintenance_hours_) return false;
  const int rack = RackIndexOf(row);
  const int up_after = up_ - 1;
  if (!KeepsFloor(row, up_after)) return false;
  if (up_after < demand_) {
    limit_ = "demand of " + std::to_string(demand_) + " VMs, " +
             std::to_string(up_) + " up";
    return false;
  }
  const bool last_in_rack = up_by_rack_[rack] == 1;
  const int racks_up =
      static_cast<int>(up_by_rack_.size()) - rack_count_by_up_[0];
  if (last_in_rack && racks_up <= spread_racks_) {
    limit_ = "spread over " + std::to_string(spread_racks_) + " racks";
    return false;
  }
  const int zones_up = static_cast<int>(up_by_zone_.size());
  const bool last_in_zone = up_by_zone_[row.zone.value] == 1;
  if (last_in_zone && zones_up <= spread_zones_) {
    limit_ = "spread over " + std::to_string(spread_zones_) + " zones";
    return false;
  }
  return true;
}

void PoolHeadroom::TakeOut(const base::VmRow& row) {
  int& in_rack = up_by_rack_[RackIndexOf(row)];
  --rack_count_by_up_[in_rack];
  --in_rack;
  ++rack_count_by_up_[in_rack];
  const auto zone = up_by_zone_.find(row.zone.value);
  if (--zone->second == 0) up_by_zone_.erase(zone);
  --up_;
}

}  // namespace hemlockward::control
