#include "entry/router.h"

#include <algorithm>

namespace hemlockward::entry {
namespace {

using base::Millis;
using base::VmState;

/// Round trip assumed to a zone that wasn't measured.
constexpr double kOtherZoneMs = 2.8;
/// What another zone must be faster by, so that noise doesn't move work.
constexpr double kZoneMarginMs = 1.0;
/// Weight of the newest sample in means of answers and round trips.
constexpr double kMeanWeight = 0.05;
/// Picks of a pool of which one is spent on learning another zone's speed.
constexpr std::uint64_t kSampleEvery = 100;
/// Bounds of what one answer says of a worker's slowness.
constexpr double kLeastSlowness = 0.25;
constexpr double kMostSlowness = 8;

bool Contains(std::span<const SlotIndex> rows, SlotIndex row) {
  return std::find(rows.begin(), rows.end(), row) != rows.end();
}

}  // namespace

std::string_view ToText(RouteReason value) {
  switch (value) {
    case RouteReason::kOwnZone:
      return "near";
    case RouteReason::kFaster:
      return "faster zone";
    case RouteReason::kOwnZoneFull:
      return "only free slot";
    case RouteReason::kTrial:
      return "trial of an ejected worker";
    case RouteReason::kSample:
      return "sample of another zone";
  }
  return "unknown";
}

std::string_view ToText(NoRoute value) {
  switch (value) {
    case NoRoute::kUnknownService:
      return "unknown service";
    case NoRoute::kNoWorkers:
      return "pool has no workers";
    case NoRoute::kNoFreeSlot:
      return "no free slot";
  }
  return "unknown";
}

Router::Router(base::ZoneId own_zone, SlotLedger& slots,
               EjectionPolicy ejection)
    : own_zone_(std::move(own_zone)), slots_(slots), ejection_(ejection) {
  zones_.push_back({own_zone_, 0});
}

void Router::Install(const base::FleetView& view) {
  std::map<base::PoolId, std::pair<std::uint32_t, int>> by_pool;
  for (const auto& [team, document] : view.documents) {
    const auto next = static_cast<std::uint32_t>(pools_.size());
    const auto [it, added] = pool_index_.try_emplace(document.service, next);
    if (added) {
      pools_.push_back(
          {document.service, {}, {}, PoolHealth(ejection_), 0, 0, 0});
    }
    by_pool[document.pool] = {it->second, document.slots_per_vm};
  }
  for (SlotIndex row = 0; row < places_.size(); ++row) {
    const Place& place = places_[row];
    if (place.pool == kNowhere) continue;
    const auto vm = view.vms.find(place.worker.vm);
    const bool stays = vm != view.vms.end() &&
                       vm->second.state == VmState::kMember &&
                       by_pool.contains(vm->second.pool) &&
                       by_pool[vm->second.pool].first == place.pool &&
                       vm->second.zone == place.worker.zone;
    if (!stays) Delist(row);
  }
  for (const auto& [vm, row] : view.vms) {
    if (row.state != VmState::kMember) continue;
    const auto it = by_pool.find(row.pool);
    if (it != by_pool.end()) Enlist(it->second.first, row, it->second.second);
  }
}

tl::expected<Route, NoRoute> Router::Pick(const base::ServiceId& service,
                                          std::span<const SlotIndex> avoid,
                                          Millis now, base::Random& random) {
  Pool* pool = FindPool(service);
  if (pool == nullptr) return tl::unexpected(NoRoute::kUnknownService);
  if (pool->rows.empty()) return tl::unexpected(NoRoute::kNoWorkers);
  Refresh();
  ++pool->picks;
  Candidate chosen = TakeTrial(*pool, now);
  RouteReason reason = RouteReason::kTrial;
  if (chosen.row == kNoSlot) {
    chosen = TakeSample(*pool, avoid, random);
    reason = RouteReason::kSample;
  }
  Route route;
  if (chosen.row == kNoSlot) {
    route = BestOfZones(*pool, avoid, random);
  } else {
    route = {chosen.row, nullptr, reason, chosen.expected_ms};
  }
  if (route.row == kNoSlot) return tl::unexpected(NoRoute::kNoFreeSlot);
  slots_.Acquire(route.row);
  RefreshRow(route.row);
  route.worker = &places_[route.row].worker;
  return route;
}

HealthChange Router::FinishAttempt(SlotIndex row, AttemptResult result,
                                   double elapsed_ms, Millis now) {
  slots_.Release(row);
  Place& place = places_[row];
  if (place.pool == kNowhere) return HealthChange::kNone;
  Pool& pool = pools_[place.pool];
  if (result == AttemptResult::kNotStarted) {
    pool.health.EndTrial(row, now);
    return HealthChange::kNone;
  }
  const bool ok = result == AttemptResult::kOk;
  if (ok) {
    if (pool.mean_ms == 0) pool.mean_ms = elapsed_ms;
    pool.mean_ms += kMeanWeight * (elapsed_ms - pool.mean_ms);
    const double ratio = std::clamp(elapsed_ms / std::max(pool.mean_ms, 0.01),
                                    kLeastSlowness, kMostSlowness);
    const double weight = std::max(kMeanWeight, 1.0 / ++place.answers);
    place.worker.slowness += weight * (ratio - place.worker.slowness);
  }
  const HealthChange change = pool.health.OnResult(row, ok, now);
  RefreshRow(row);
  return change;
}

void Router::OnRoundTrip(const base::ZoneId& zone, double millis) {
  Zone& known = zones_[ZoneIndex(zone)];
  known.round_trip_ms += kMeanWeight * (millis - known.round_trip_ms);
}

std::span<const SlotIndex> Router::Rows(const base::ServiceId& service) const {
  const Pool* pool = FindPool(service);
  return pool == nullptr ? std::span<const SlotIndex>() : pool->rows;
}

int Router::FreeSlots(const base::ServiceId& service) {
  const Pool* pool = FindPool(service);
  if (pool == nullptr) return 0;
  Refresh();
  return pool->free;
}

int Router::HeldSlots(const base::ServiceId& service) const {
  int held = 0;
  for (const SlotIndex row : Rows(service)) held += slots_.Held(row);
  return held;
}

std::vector<std::string> Router::BusyLeaving() const {
  std::vector<std::string> busy;
  for (SlotIndex row = 0; row < places_.size(); ++row) {
    const Place& place = places_[row];
    if (place.pool != kNowhere || place.worker.vm.empty()) continue;
    if (slots_.InUse(row) > 0) busy.push_back(place.worker.vm.value);
  }
  return busy;
}

HealthState Router::Health(SlotIndex row) const {
  if (row >= places_.size() || places_[row].pool == kNowhere) {
    return HealthState::kHealthy;
  }
  return pools_[places_[row].pool].health.State(row);
}

int Router::Ejected(const base::ServiceId& service) const {
  const Pool* pool = FindPool(service);
  return pool == nullptr ? 0 : pool->health.ejected();
}

std::uint32_t Router::ZoneIndex(const base::ZoneId& zone) {
  for (std::uint32_t i = 0; i < zones_.size(); ++i) {
    if (zones_[i].zone == zone) return i;
  }
  zones_.push_back({zone, kOtherZoneMs});
  return static_cast<std::uint32_t>(zones_.size() - 1);
}

std::uint32_t Router::GroupIndex(Pool& pool, std::uint32_t zone) {
  for (std::uint32_t i = 0; i < pool.groups.size(); ++i) {
    if (pool.groups[i].zone == zone) return i;
  }
  pool.groups.push_back({zone, {}});
  return static_cast<std::uint32_t>(pool.groups.size() - 1);
}

void Router::Enlist(std::uint32_t pool, const base::VmRow& vm, int slots) {
  const SlotIndex row = slots_.Add(vm.vm, slots);
  if (places_.size() <= row) places_.resize(row + 1);
  Place& place = places_[row];
  place.worker.address = vm.address;
  if (place.pool != kNowhere) return;
  place.worker.vm = vm.vm;
  place.worker.zone = vm.zone;
  place.worker.slowness = 1;
  place.answers = 0;
  place.pool = pool;
  // The own zone's group exists before all others and so comes first.
  if (pools_[pool].groups.empty()) GroupIndex(pools_[pool], 0);
  place.group = GroupIndex(pools_[pool], ZoneIndex(vm.zone));
  pools_[pool].rows.push_back(row);
  pools_[pool].health.Add(row);
  RefreshRow(row);
}

void Router::Delist(SlotIndex row) {
  Place& place = places_[row];
  Pool& pool = pools_[place.pool];
  pool.health.Remove(row);
  std::erase(pool.rows, row);
  std::vector<SlotIndex>& available = pool.groups[place.group].available;
  if (place.position != kNowhere) {
    available[place.position] = available.back();
    places_[available.back()].position = place.position;
    available.pop_back();
  }
  pool.free -= place.free;
  place.free = 0;
  place.position = kNowhere;
  place.pool = kNowhere;
}

void Router::Refresh() {
  slots_.TakeChanged([this](SlotIndex row) {
    if (row < places_.size()) RefreshRow(row);
  });
}

// Puts a worker into its group's list of available ones, or takes it out.
void Router::RefreshRow(SlotIndex row) {
  Place& place = places_[row];
  if (place.pool == kNowhere) return;
  Pool& pool = pools_[place.pool];
  const bool available =
      slots_.Free(row) > 0 && pool.health.State(row) == HealthState::kHealthy;
  const bool listed = place.position != kNowhere;
  const int free = available ? slots_.Free(row) : 0;
  pool.free += free - place.free;
  place.free = free;
  if (available == listed) return;
  std::vector<SlotIndex>& list = pool.groups[place.group].available;
  if (available) {
    place.position = static_cast<std::uint32_t>(list.size());
    list.push_back(row);
    return;
  }
  const SlotIndex last = list.back();
  list[place.position] = last;
  places_[last].position = place.position;
  list.pop_back();
  place.position = kNowhere;
}

Router::Pool* Router::FindPool(const base::ServiceId& service) {
  const auto it = pool_index_.find(service);
  return it == pool_index_.end() ? nullptr : &pools_[it->second];
}

const Router::Pool* Router::FindPool(const base::ServiceId& service) const {
  const auto it = pool_index_.find(service);
  return it == pool_index_.end() ? nullptr : &pools_[it->second];
}

// Until answers were seen, the share of slots in use alone tells workers apart.
double Router::ExpectedMillis(const Pool& pool, SlotIndex row) const {
  const Place& place = places_[row];
  const std::uint32_t zone = pool.groups[place.group].zone;
  const double load = static_cast<double>(slots_.InUse(row)) /
                      static_cast<double>(std::max(slots_.Held(row), 1));
  const double run = std::max(pool.mean_ms, 1.0);
  return zones_[zone].round_trip_ms + run * place.worker.slowness +
         kZoneMarginMs * load;
}

Router::Candidate Router::BestOfTwo(const Pool& pool, const Group& group,
                                    std::span<const SlotIndex> avoid,
                                    base::Random& random) {
  const std::vector<SlotIndex>& list = group.available;
  Candidate best;
  for (int i = 0; i < 2; ++i) {
    const SlotIndex row = list[random() % list.size()];
    Candidate candidate;
    candidate.row = row;
    candidate.expected_ms = ExpectedMillis(pool, row);
    candidate.avoided = Contains(avoid, row);
    const bool better = best.row == kNoSlot ||
                        (best.avoided && !candidate.avoided) ||
                        (best.avoided == candidate.avoided &&
                         candidate.expected_ms < best.expected_ms);
    if (better) best = candidate;
  }
  if (!best.avoided) return best;
  for (const SlotIndex row : list) {
    if (Contains(avoid, row)) continue;
    return {row, ExpectedMillis(pool, row), false};
  }
  return best;
}

// The best of the own zone, unless another zone is faster by the margin.
Route Router::BestOfZones(const Pool& pool, std::span<const SlotIndex> avoid,
                          base::Random& random) {
  Route route;
  Candidate best;
  for (const Group& group : pool.groups) {
    if (group.available.empty()) continue;
    const Candidate candidate = BestOfTwo(pool, group, avoid, random);
    const bool better =
        best.row == kNoSlot || (best.avoided && !candidate.avoided) ||
        (best.avoided == candidate.avoided &&
         candidate.expected_ms + kZoneMarginMs < best.expected_ms);
    if (!better) continue;
    route.reason = RouteReason::kFaster;
    if (best.row == kNoSlot) route.reason = RouteReason::kOwnZoneFull;
    if (group.zone == 0) route.reason = RouteReason::kOwnZone;
    best = candidate;
  }
  route.row = best.row;
  route.expected_ms = best.expected_ms;
  return route;
}

// Without samples a zone that isn't used could never prove to be faster.
Router::Candidate Router::TakeSample(Pool& pool,
                                     std::span<const SlotIndex> avoid,
                                     base::Random& random) {
  const std::size_t others = pool.groups.size() - 1;
  if (others == 0 || pool.picks % kSampleEvery != 0) return {};
  const std::uint64_t turn = pool.picks / kSampleEvery;
  const Group& group = pool.groups[1 + turn % others];
  if (group.available.empty()) return {};
  return BestOfTwo(pool, group, avoid, random);
}

Router::Candidate Router::TakeTrial(Pool& pool, Millis now) {
  const SlotIndex row = pool.health.StartTrial(now);
  if (row == kNoSlot) return {};
  if (slots_.Free(row) > 0) return {row, ExpectedMillis(pool, row), false};
  pool.health.EndTrial(row, now);
  return {};
}

}  // namespace hemlockward::entry
