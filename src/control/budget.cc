#include "control/budget.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cmath>
#include <exception>
#include <unordered_map>
#include <utility>

namespace hemlockward::control {

namespace json = boost::json;
using base::Millis;
using base::VmState;
using base::WallMillis;

namespace {

constexpr std::string_view kVmHealthTexts[] = {"up", "out", "failed",
                                               "no-verdict"};
constexpr std::string_view kBelowFloorCauseTexts[] = {"us", "failure",
                                                      "monitor"};
// Prevents rounding errors from turning 0.8 * 10 into 9 VMs.
constexpr double kRoundingTolerance = 1e-9;

void AddDocument(PoolNeed& need, const base::ServiceDocument& document) {
  ++need.services;
  need.floor += FloorOf(document);
  need.min_size += document.min_size;
  need.max_size += document.max_size;
  need.movable = need.movable && document.movable;
  need.documents.push_back(&document);
  need.graceful_stop = std::max(need.graceful_stop, document.graceful_stop);
  need.spread_racks = std::max(need.spread_racks, document.spread_racks);
  need.spread_zones = std::max(need.spread_zones, document.spread_zones);
  // If several teams use the pool, each weight is the largest of theirs.
  const bool first = need.services == 1;
  const base::Weights& weights = document.weights;
  need.weights.buffer =
      first ? weights.buffer : std::max(need.weights.buffer, weights.buffer);
  need.weights.rollout =
      first ? weights.rollout : std::max(need.weights.rollout, weights.rollout);
  need.weights.moves =
      first ? weights.moves : std::max(need.weights.moves, weights.moves);
}

void CountVm(PoolHealth& pool, VmHealth health) {
  switch (health) {
    case VmHealth::kUp:
      ++pool.up;
      return;
    case VmHealth::kTakenOut:
      ++pool.taken_out;
      return;
    case VmHealth::kFailed:
      ++pool.failed;
      return;
    case VmHealth::kNoVerdict:
      ++pool.no_verdict;
      return;
  }
}

// Start of the VM's present `health`, derived from its row and its verdict.
WallMillis HealthSince(const base::VmRow& row, const VmVerdict* verdict,
                       VmHealth health) {
  if (health == VmHealth::kTakenOut || verdict == nullptr) return row.changed;
  if (health == VmHealth::kNoVerdict) return verdict->observed_at;
  return std::max(row.changed, verdict->changed_at);
}

// Conservative: VMs that were taken out count as the cause unless failures
// alone would be sufficient.
BelowFloorCause CauseOf(const PoolHealth& pool) {
  const int without_us = pool.up + pool.taken_out + pool.no_verdict -
                         pool.taken_out_in_failed_locations;
  if (without_us < pool.need.floor) return BelowFloorCause::kFailure;
  if (pool.up + pool.no_verdict >= pool.need.floor)
    return BelowFloorCause::kNoVerdict;
  return BelowFloorCause::kTakenOut;
}

// Appends [from, to); merges it with an adjacent last interval of equal cause.
void AddInterval(BudgetAccount& account, WallMillis from, WallMillis to,
                 BelowFloorCause cause) {
  if (!account.below.empty()) {
    BelowFloorInterval& last = account.below.back();
    from = std::max(from, last.to);
    if (last.to == from && last.cause == cause) {
      last.to = std::max(last.to, to);
      return;
    }
  }
  if (from < to) account.below.push_back({from, to, cause});
}

Millis Overlap(const BelowFloorInterval& interval, WallMillis from,
               WallMillis to) {
  const WallMillis start = std::max(interval.from, from);
  const WallMillis end = std::min(interval.to, to);
  return start < end ? end - start : Millis{0};
}

// Time after which a VM's failure is no longer attributed to its maintenance.
constexpr Millis kMaintenanceAttribution = base::Hours(1);
constexpr int kMinFailedInLocation = 2;

// VM counts of one rack or zone.
struct LocationCount {
  int up = 0;
  int failed = 0;  ///< Without recently maintained VMs.
  [[nodiscard]] bool HasFailed() const {
    return up == 0 && failed >= kMinFailedInLocation;
  }
};

struct LocationCounts {
  std::unordered_map<std::string_view, LocationCount> racks;
  std::unordered_map<std::string_view, LocationCount> zones;
};

void CountLocation(LocationCounts& locations, const VmStatus& vm,
                   WallMillis now) {
  LocationCount& rack = locations.racks[vm.row->rack.value];
  LocationCount& zone = locations.zones[vm.row->zone.value];
  const bool recently_maintained =
      !vm.row->wave.empty() && now - vm.row->changed < kMaintenanceAttribution;
  const int up = vm.health == VmHealth::kUp ? 1 : 0;
  const int failed =
      vm.health == VmHealth::kFailed && !recently_maintained ? 1 : 0;
  rack.up += up;
  zone.up += up;
  rack.failed += failed;
  zone.failed += failed;
}

void MarkFailedLocations(PoolHealth& pool, const LocationCounts& locations) {
  for (VmStatus& it : pool.vms) {
    if (it.health == VmHealth::kUp) continue;
    it.location_failed = locations.racks.at(it.row->rack.value).HasFailed() ||
                         locations.zones.at(it.row->zone.value).HasFailed();
    const bool out = it.health == VmHealth::kTakenOut;
    if (it.location_failed && out) ++pool.taken_out_in_failed_locations;
  }
}

}  // namespace

void RecordVerdict(Verdicts& verdicts, const base::VmId& vm, bool up,
                   WallMillis observed_at) {
  const auto [it, added] =
      verdicts.try_emplace(vm, VmVerdict{up, observed_at, observed_at});
  VmVerdict& verdict = it->second;
  if (added || observed_at <= verdict.observed_at) return;
  if (verdict.up != up) verdict.changed_at = observed_at;
  verdict.up = up;
  verdict.observed_at = observed_at;
}

VmHealth EvaluateVm(const base::VmRow& row, const VmVerdict* verdict,
                    const HealthSettings& settings, WallMillis now) {
  if (row.state == VmState::kLost) return VmHealth::kFailed;
  if (row.state != VmState::kMember) return VmHealth::kTakenOut;
  if (verdict == nullptr) return VmHealth::kNoVerdict;
  if (now - verdict->observed_at > settings.verdict_lifetime) {
    return VmHealth::kNoVerdict;
  }
  return verdict->up ? VmHealth::kUp : VmHealth::kFailed;
}

bool CanReturnToService(const base::VmRow& row, const VmVerdict* verdict,
                        const HealthSettings& settings, WallMillis now) {
  if (row.state != VmState::kReturning || verdict == nullptr) return false;
  if (!verdict->up) return false;
  if (now - verdict->observed_at > settings.verdict_lifetime) return false;
  return verdict->observed_at - row.changed > settings.max_skew;
}

int FloorOf(const base::ServiceDocument& document) {
  const double exact = document.budget.least_healthy_share * document.min_size;
  return static_cast<int>(std::ceil(exact - kRoundingTolerance));
}

std::vector<PoolHealth> EvaluateFleet(const base::FleetView& view,
                                      const Verdicts& verdicts,
                                      const HealthSettings& settings,
                                      WallMillis now) {
  std::map<base::PoolId, PoolHealth> pools;
  for (const auto& [team, document] : view.documents) {
    AddDocument(pools[document.pool].need, document);
  }
  LocationCounts locations;
  // Both maps are ordered by VM id: one pass over each.
  auto verdict_it = verdicts.begin();
  for (const auto& [id, row] : view.vms) {
    while (verdict_it != verdicts.end() && verdict_it->first < id) ++verdict_it;
    const bool found = verdict_it != verdicts.end() && verdict_it->first == id;
    const VmVerdict* verdict = found ? &verdict_it->second : nullptr;
    const VmHealth health = EvaluateVm(row, verdict, settings, now);
    PoolHealth& pool = pools[row.pool];
    pool.vms.push_back({&row, health, HealthSince(row, verdict, health)});
    if (row.state != VmState::kLost) CountVm(pool, health);
    CountLocation(locations, pool.vms.back(), now);
    const bool moving = row.purpose == base::VmPurpose::kMove &&
                        row.state != VmState::kMember &&
                        row.state != VmState::kLost;
    if (moving && row.destination != row.pool)
      ++pools[row.destination].arriving;
  }
  std::vector<PoolHealth> list;
  list.reserve(pools.size());
  for (auto& [id, pool] : pools) {
    pool.pool = id;
    MarkFailedLocations(pool, locations);
    list.push_back(std::move(pool));
  }
  return list;
}

const PoolHealth* FindPool(const std::vector<PoolHealth>& pools,
                           const base::PoolId& pool) {
  const auto it = std::lower_bound(
      pools.begin(), pools.end(), pool,
      [](const PoolHealth& a, const base::PoolId& b) { return a.pool < b; });
  return it != pools.end() && it->pool == pool ? &*it : nullptr;
}

void Observe(BudgetAccount& account, const PoolHealth& pool, Millis window,
             WallMillis now) {
  if (account.is_below_floor && account.observed < now) {
    AddInterval(account, account.observed, now, account.cause);
  }
  account.is_below_floor = pool.up < pool.need.floor;
  if (account.is_below_floor) account.cause = CauseOf(pool);
  account.observed = std::max(account.observed, now);
  const WallMillis oldest{now.count - window.count};
  while (!account.below.empty() && account.below.front().to <= oldest) {
    account.below.pop_front();
  }
}

void ObserveAll(Accounts& accounts, const std::vector<PoolHealth>& pools,
                WallMillis now) {
  for (const PoolHealth& pool : pools) {
    for (const base::ServiceDocument* it : pool.need.documents) {
      Observe(accounts[it->service], pool, it->budget.window, now);
    }
  }
}

Millis TimeBelowFloor(const BudgetAccount& account, Millis window,
                      WallMillis now) {
  const WallMillis oldest{now.count - window.count};
  Millis sum{0};
  for (const BelowFloorInterval& it : account.below)
    sum += Overlap(it, oldest, now);
  // The time since the last observation is not in an interval yet.
  if (account.is_below_floor && account.observed < now) {
    sum += now - std::max(account.observed, oldest);
  }
  return sum;
}

Millis TimeBelowFloor(const BudgetAccount& account, Millis window,
                      WallMillis now, BelowFloorCause cause) {
  const WallMillis oldest{now.count - window.count};
  Millis sum{0};
  for (const BelowFloorInterval& it : account.below) {
    if (it.cause == cause) sum += Overlap(it, oldest, now);
  }
  const bool open = account.is_below_floor && account.cause == cause;
  if (open && account.observed < now) {
    sum += now - std::max(account.observed, oldest);
  }
  return sum;
}

Millis BudgetLeft(const BudgetAccount& account,
                  const base::AvailabilityBudget& budget, WallMillis now) {
  const Millis used = TimeBelowFloor(account, budget.window, now);
  return std::max(Millis{0}, budget.below_allowed - used);
}

std::string Encode(const BudgetAccount& account) {
  json::array below;
  for (const BelowFloorInterval& it : account.below) {
    below.push_back(json::object{{"from", it.from.count},
                                 {"to", it.to.count},
                                 {"cause", ToText(it.cause)}});
  }
  return json::serialize(json::object{{"below", std::move(below)},
                                      {"observed", account.observed.count},
                                      {"is_below", account.is_below_floor},
                                      {"cause", ToText(account.cause)}});
}

namespace {

BelowFloorCause ReadCause(const json::value& value) {
  const std::string_view text = value.as_string();
  const auto it = std::find(std::begin(kBelowFloorCauseTexts),
                            std::end(kBelowFloorCauseTexts), text);
  if (it == std::end(kBelowFloorCauseTexts)) {
    throw std::invalid_argument("unknown cause");
  }
  return static_cast<BelowFloorCause>(it - std::begin(kBelowFloorCauseTexts));
}

BudgetAccount ReadAccount(const json::object& object) {
  BudgetAccount account;
  for (const json::value& it : object.at("below").as_array()) {
    const json::object& interval = it.as_object();
    account.below.push_back({{interval.at("from").to_number<std::int64_t>()},
                             {interval.at("to").to_number<std::int64_t>()},
                             ReadCause(interval.at("cause"))});
  }
  account.observed = {object.at("observed").to_number<std::int64_t>()};
  account.is_below_floor = object.at("is_below").as_bool();
  account.cause = ReadCause(object.at("cause"));
  return account;
}

}  // namespace

tl::expected<BudgetAccount, base::CodecError> DecodeBudgetAccount(
    std::string_view text) {
  try {
    return ReadAccount(json::parse(text).as_object());
  } catch (const std::exception& e) {
    return tl::unexpected(base::CodecError{e.what()});
  }
}

std::string_view ToText(VmHealth value) {
  return kVmHealthTexts[static_cast<std::size_t>(value)];
}

std::string_view ToText(BelowFloorCause value) {
  return kBelowFloorCauseTexts[static_cast<std::size_t>(value)];
}

}  // namespace hemlockward::control
