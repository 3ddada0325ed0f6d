#include "entry/router.h"

#include <algorithm>

namespace hemlockward::entry {
namespace {

using base::Millis;
using base::VmState;

/// Assumed round trip to a zone without measurements.
constexpr double kDefaultRoundTripMs = 2.8;
/// Margin by which another zone must be faster, so that measurement noise does
/// not move requests across zones.
constexpr double kZoneMarginMs = 1.0;
/// Weight of the newest sample in the moving averages of latencies and round
/// trips.
constexpr double kEwmaWeight = 0.05;
/// One pick of a pool in this many samples the latency of another zone.
constexpr std::uint64_t kSampleEvery = 100;
/// Bounds of a single sample of a worker's latency ratio.
constexpr double kMinLatencyRatio = 0.25;
constexpr double kMaxLatencyRatio = 8;

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

std::string_view ToText(RouteError value) {
  switch (value) {
    case RouteError::kUnknownService:
      return "unknown service";
    case RouteError::kNoWorkers:
      return "pool has no workers";
    case RouteError::kNoFreeSlot:
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
  for (SlotIndex row = 0; row < records_.size(); ++row) {
    const WorkerRecord& record = records_[row];
    if (record.pool == kNone) continue;
    const auto vm = view.vms.find(record.worker.vm);
    const bool stays = vm != view.vms.end() &&
                       vm->second.state == VmState::kMember &&
                       by_pool.contains(vm->second.pool) &&
                       by_pool[vm->second.pool].first == record.pool &&
                       vm->second.zone == record.worker.zone;
    if (!stays) RemoveMember(row);
  }
  for (const auto& [vm, row] : view.vms) {
    if (row.state != VmState::kMember) continue;
    const auto it = by_pool.find(row.pool);
    if (it != by_pool.end()) {
      AddMember(it->second.first, row, it->second.second);
    }
  }
}

tl::expected<Route, RouteError> Router::Pick(const base::ServiceId& service,
                                             std::span<const SlotIndex> avoid,
                                             Millis now, base::Random& random) {
  Pool* pool = FindPool(service);
  if (pool == nullptr) return tl::unexpected(RouteError::kUnknownService);
  if (pool->rows.empty()) return tl::unexpected(RouteError::kNoWorkers);
  Refresh();
  ++pool->picks;
  Candidate chosen = PickTrial(*pool, now);
  RouteReason reason = RouteReason::kTrial;
  if (chosen.row == kNoSlot) {
    chosen = PickSample(*pool, avoid, random);
    reason = RouteReason::kSample;
  }
  Route route;
  if (chosen.row == kNoSlot) {
    route = PickBestZone(*pool, avoid, random);
  } else {
    route = {chosen.row, nullptr, reason, chosen.expected_ms};
  }
  if (route.row == kNoSlot) return tl::unexpected(RouteError::kNoFreeSlot);
  slots_.Acquire(route.row);
  RefreshRow(route.row);
  route.worker = &records_[route.row].worker;
  return route;
}

HealthChange Router::FinishAttempt(SlotIndex row, AttemptResult result,
                                   double elapsed_ms, Millis now) {
  slots_.Release(row);
  WorkerRecord& record = records_[row];
  if (record.pool == kNone) return HealthChange::kNone;
  Pool& pool = pools_[record.pool];
  if (result == AttemptResult::kNotStarted) {
    pool.health.EndTrial(row, now);
    return HealthChange::kNone;
  }
  const bool ok = result == AttemptResult::kOk;
  if (ok) {
    if (pool.mean_ms == 0) pool.mean_ms = elapsed_ms;
    pool.mean_ms += kEwmaWeight * (elapsed_ms - pool.mean_ms);
    const double ratio = std::clamp(elapsed_ms / std::max(pool.mean_ms, 0.01),
                                    kMinLatencyRatio, kMaxLatencyRatio);
    const double weight = std::max(kEwmaWeight, 1.0 / ++record.answers);
    record.worker.latency_ratio +=
        weight * (ratio - record.worker.latency_ratio);
  }
  const HealthChange change = pool.health.OnResult(row, ok, now);
  RefreshRow(row);
  return change;
}

void Router::OnRoundTrip(const base::ZoneId& zone, double millis) {
  Zone& known = zones_[ZoneIndex(zone)];
  known.round_trip_ms += kEwmaWeight * (millis - known.round_trip_ms);
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

std::vector<std::string> Router::BusyFormerMembers() const {
  std::vector<std::string> busy;
  for (SlotIndex row = 0; row < records_.size(); ++row) {
    const WorkerRecord& record = records_[row];
    if (record.pool != kNone || record.worker.vm.empty()) continue;
    if (slots_.InUse(row) > 0) busy.push_back(record.worker.vm.value);
  }
  return busy;
}

HealthState Router::Health(SlotIndex row) const {
  if (row >= records_.size() || records_[row].pool == kNone) {
    return HealthState::kHealthy;
  }
  return pools_[records_[row].pool].health.State(row);
}

int Router::Ejected(const base::ServiceId& service) const {
  const Pool* pool = FindPool(service);
  return pool == nullptr ? 0 : pool->health.ejected();
}

std::uint32_t Router::ZoneIndex(const base::ZoneId& zone) {
  for (std::uint32_t i = 0; i < zones_.size(); ++i) {
    if (zones_[i].zone == zone) return i;
  }
  zones_.push_back({zone, kDefaultRoundTripMs});
  return static_cast<std::uint32_t>(zones_.size() - 1);
}

std::uint32_t Router::GroupIndex(Pool& pool, std::uint32_t zone) {
  for (std::uint32_t i = 0; i < pool.groups.size(); ++i) {
    if (pool.groups[i].zone == zone) return i;
  }
  pool.groups.push_back({zone, {}});
  return static_cast<std::uint32_t>(pool.groups.size() - 1);
}

void Router::AddMember(std::uint32_t pool, const base::VmRow& vm, int slots) {
  const SlotIndex row = slots_.Add(vm.vm, slots);
  if (records_.size() <= row) records_.resize(row + 1);
  WorkerRecord& record = records_[row];
  record.worker.address = vm.address;
  if (record.pool != kNone) return;
  record.worker.vm = vm.vm;
  record.worker.zone = vm.zone;
  record.worker.latency_ratio = 1;
  record.answers = 0;
  record.pool = pool;
  // The group of the entry's own zone is created first, so that it has index 0.
  if (pools_[pool].groups.empty()) GroupIndex(pools_[pool], 0);
  record.group = GroupIndex(pools_[pool], ZoneIndex(vm.zone));
  pools_[pool].rows.push_back(row);
  pools_[pool].health.Add(row);
  RefreshRow(row);
}

void Router::RemoveMember(SlotIndex row) {
  WorkerRecord& record = records_[row];
  Pool& pool = pools_[record.pool];
  pool.health.Remove(row);
  std::erase(pool.rows, row);
  std::vector<SlotIndex>& available = pool.groups[record.group].available;
  if (record.available_index != kNone) {
    available[record.available_index] = available.back();
    records_[available.back()].available_index = record.available_index;
    available.pop_back();
  }
  pool.free -= record.free;
  record.free = 0;
  record.available_index = kNone;
  record.pool = kNone;
}

void Router::Refresh() {
  slots_.VisitChanged([this](SlotIndex row) {
    if (row < records_.size()) RefreshRow(row);
  });
}

// Adds a worker to its group's list of available workers or removes it, and
// updates the pool's free tokens.
void Router::RefreshRow(SlotIndex row) {
  WorkerRecord& record = records_[row];
  if (record.pool == kNone) return;
  Pool& pool = pools_[record.pool];
  const bool available =
      slots_.Free(row) > 0 && pool.health.State(row) == HealthState::kHealthy;
  const bool listed = record.available_index != kNone;
  const int free = available ? slots_.Free(row) : 0;
  pool.free += free - record.free;
  record.free = free;
  if (available == listed) return;
  std::vector<SlotIndex>& list = pool.groups[record.group].available;
  if (available) {
    record.available_index = static_cast<std::uint32_t>(list.size());
    list.push_back(row);
    return;
  }
  const SlotIndex last = list.back();
  list[record.available_index] = last;
  records_[last].available_index = record.available_index;
  list.pop_back();
  record.available_index = kNone;
}

Router::Pool* Router::FindPool(const base::ServiceId& service) {
  const auto it = pool_index_.find(service);
  return it == pool_index_.end() ? nullptr : &pools_[it->second];
}

const Router::Pool* Router::FindPool(const base::ServiceId& service) const {
  const auto it = pool_index_.find(service);
  return it == pool_index_.end() ? nullptr : &pools_[it->second];
}

// Until there are answers, workers of a zone differ only in their fraction of
// slots in use.
double Router::ExpectedMillis(const Pool& pool, SlotIndex row) const {
  const WorkerRecord& record = records_[row];
  const std::uint32_t zone = pool.groups[record.group].zone;
  const double load = static_cast<double>(slots_.InUse(row)) /
                      static_cast<double>(std::max(slots_.Held(row), 1));
  const double run = std::max(pool.mean_ms, 1.0);
  return zones_[zone].round_trip_ms + run * record.worker.latency_ratio +
         kZoneMarginMs * load;
}

Router::Candidate Router::PickBestOfTwo(const Pool& pool, const Group& group,
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

// Chooses the entry's own zone unless another zone is faster by the margin.
Route Router::PickBestZone(const Pool& pool, std::span<const SlotIndex> avoid,
                           base::Random& random) {
  Route route;
  Candidate best;
  for (const Group& group : pool.groups) {
    if (group.available.empty()) continue;
    const Candidate candidate = PickBestOfTwo(pool, group, avoid, random);
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

// Without sampling, a zone that gets no requests could never be found to be
// faster.
Router::Candidate Router::PickSample(Pool& pool,
                                     std::span<const SlotIndex> avoid,
                                     base::Random& random) {
  const std::size_t others = pool.groups.size() - 1;
  if (others == 0 || pool.picks % kSampleEvery != 0) return {};
  const std::uint64_t turn = pool.picks / kSampleEvery;
  const Group& group = pool.groups[1 + turn % others];
  if (group.available.empty()) return {};
  return PickBestOfTwo(pool, group, avoid, random);
}

Router::Candidate Router::PickTrial(Pool& pool, Millis now) {
  const SlotIndex row = pool.health.StartTrial(now);
  if (row == kNoSlot) return {};
  if (slots_.Free(row) > 0) return {row, ExpectedMillis(pool, row), false};
  pool.health.EndTrial(row, now);
  return {};
}

}  // namespace hemlockward::entry
