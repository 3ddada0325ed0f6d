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
constexpr std::string_view kBelowCauseTexts[] = {"us", "failure", "monitor"};
// Keeps 0.8 * 10 from becoming 9 VMs by rounding errors.
constexpr double kRoundingSlack = 1e-9;

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
  // The heaviest wish of any team on the pool is honoured.
  const bool first = need.services == 1;
  const base::Weights& weights = document.weights;
  need.weights.buffer =
      first ? weights.buffer : std::max(need.weights.buffer, weights.buffer);
  need.weights.rollout =
      first ? weights.rollout : std::max(need.weights.rollout, weights.rollout);
  need.weights.moves =
      first ? weights.moves : std::max(need.weights.moves, weights.moves);
}

void Count(PoolHealth& pool, VmHealth health) {
  switch (health) {
    case VmHealth::kUp:
      ++pool.up;
      return;
    case VmHealth::kOutByUs:
      ++pool.out_by_us;
      return;
    case VmHealth::kFailed:
      ++pool.failed;
      return;
    case VmHealth::kNoVerdict:
      ++pool.no_verdict;
      return;
  }
}

// Since when `row` has had `health`, as far as the row and verdict tell.
WallMillis Since(const base::VmRow& row, const VmVerdict* verdict,
                 VmHealth health) {
  if (health == VmHealth::kOutByUs || verdict == nullptr) return row.changed;
  if (health == VmHealth::kNoVerdict) return verdict->judged;
  return std::max(row.changed, verdict->since);
}

// Strict towards us: VMs that we took out are to blame unless failures alone
// would have sufficed.
BelowCause CauseOf(const PoolHealth& pool) {
  const int without_us =
      pool.up + pool.out_by_us + pool.no_verdict - pool.out_in_failed_places;
  if (without_us < pool.need.floor) return BelowCause::kFailure;
  if (pool.up + pool.no_verdict >= pool.need.floor) return BelowCause::kMonitor;
  return BelowCause::kUs;
}

// Appends [from, to), joined with the last interval where they touch.
void AddInterval(BudgetAccount& account, WallMillis from, WallMillis to,
                 BelowCause cause) {
  if (!account.below.empty()) {
    BelowInterval& last = account.below.back();
    from = std::max(from, last.to);
    if (last.to == from && last.cause == cause) {
      last.to = std::max(last.to, to);
      return;
    }
  }
  if (from < to) account.below.push_back({from, to, cause});
}

Millis Overlap(const BelowInterval& interval, WallMillis from, WallMillis to) {
  const WallMillis start = std::max(interval.from, from);
  const WallMillis end = std::min(interval.to, to);
  return start < end ? end - start : Millis{0};
}

// Time after which a VM's failure is no longer put down to its maintenance.
constexpr Millis kUntouchedAfter = base::Hours(1);
constexpr int kFailedInPlace = 2;

// What the VMs of one rack or zone say of it.
struct PlaceCount {
  int up = 0;
  int failed = 0;  ///< Without those touched lately.
  [[nodiscard]] bool HasFailed() const {
    return up == 0 && failed >= kFailedInPlace;
  }
};

struct PlaceCounts {
  std::unordered_map<std::string_view, PlaceCount> racks;
  std::unordered_map<std::string_view, PlaceCount> zones;
};

void CountPlace(PlaceCounts& places, const VmStatus& vm, WallMillis now) {
  PlaceCount& rack = places.racks[vm.row->rack.value];
  PlaceCount& zone = places.zones[vm.row->zone.value];
  const bool touched =
      !vm.row->wave.empty() && now - vm.row->changed < kUntouchedAfter;
  const int up = vm.health == VmHealth::kUp ? 1 : 0;
  const int failed = vm.health == VmHealth::kFailed && !touched ? 1 : 0;
  rack.up += up;
  zone.up += up;
  rack.failed += failed;
  zone.failed += failed;
}

void MarkFailedPlaces(PoolHealth& pool, const PlaceCounts& places) {
  for (VmStatus& it : pool.vms) {
    if (it.health == VmHealth::kUp) continue;
    it.place_failed = places.racks.at(it.row->rack.value).HasFailed() ||
                      places.zones.at(it.row->zone.value).HasFailed();
    const bool out = it.health == VmHealth::kOutByUs;
    if (it.place_failed && out) ++pool.out_in_failed_places;
  }
}

}  // namespace

void RecordVerdict(Verdicts& verdicts, const base::VmId& vm, bool up,
                   WallMillis judged) {
  const auto [it, added] =
      verdicts.try_emplace(vm, VmVerdict{up, judged, judged});
  VmVerdict& verdict = it->second;
  if (added || judged <= verdict.judged) return;
  if (verdict.up != up) verdict.since = judged;
  verdict.up = up;
  verdict.judged = judged;
}

VmHealth JudgeVm(const base::VmRow& row, const VmVerdict* verdict,
                 const JudgeSettings& settings, WallMillis now) {
  if (row.state == VmState::kLost) return VmHealth::kFailed;
  if (row.state != VmState::kMember) return VmHealth::kOutByUs;
  if (verdict == nullptr) return VmHealth::kNoVerdict;
  if (now - verdict->judged > settings.verdict_lifetime) {
    return VmHealth::kNoVerdict;
  }
  return verdict->up ? VmHealth::kUp : VmHealth::kFailed;
}

bool MayServeAgain(const base::VmRow& row, const VmVerdict* verdict,
                   const JudgeSettings& settings, WallMillis now) {
  if (row.state != VmState::kReturning || verdict == nullptr) return false;
  if (!verdict->up) return false;
  if (now - verdict->judged > settings.verdict_lifetime) return false;
  return verdict->judged - row.changed > settings.max_skew;
}

int FloorOf(const base::ServiceDocument& document) {
  const double exact = document.budget.least_healthy_share * document.min_size;
  return static_cast<int>(std::ceil(exact - kRoundingSlack));
}

std::vector<PoolHealth> JudgeFleet(const base::FleetView& view,
                                   const Verdicts& verdicts,
                                   const JudgeSettings& settings,
                                   WallMillis now) {
  std::map<base::PoolId, PoolHealth> pools;
  for (const auto& [team, document] : view.documents) {
    AddDocument(pools[document.pool].need, document);
  }
  PlaceCounts places;
  // Both maps are ordered by VM id: one pass over each.
  auto verdict_it = verdicts.begin();
  for (const auto& [id, row] : view.vms) {
    while (verdict_it != verdicts.end() && verdict_it->first < id) ++verdict_it;
    const bool found = verdict_it != verdicts.end() && verdict_it->first == id;
    const VmVerdict* verdict = found ? &verdict_it->second : nullptr;
    const VmHealth health = JudgeVm(row, verdict, settings, now);
    PoolHealth& pool = pools[row.pool];
    pool.vms.push_back({&row, health, Since(row, verdict, health)});
    if (row.state != VmState::kLost) Count(pool, health);
    CountPlace(places, pool.vms.back(), now);
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
    MarkFailedPlaces(pool, places);
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
  if (account.is_below && account.observed < now) {
    AddInterval(account, account.observed, now, account.cause);
  }
  account.is_below = pool.up < pool.need.floor;
  if (account.is_below) account.cause = CauseOf(pool);
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

Millis TimeBelow(const BudgetAccount& account, Millis window, WallMillis now) {
  const WallMillis oldest{now.count - window.count};
  Millis sum{0};
  for (const BelowInterval& it : account.below) sum += Overlap(it, oldest, now);
  // The time since the last observation is still open.
  if (account.is_below && account.observed < now) {
    sum += now - std::max(account.observed, oldest);
  }
  return sum;
}

Millis TimeBelow(const BudgetAccount& account, Millis window, WallMillis now,
                 BelowCause cause) {
  const WallMillis oldest{now.count - window.count};
  Millis sum{0};
  for (const BelowInterval& it : account.below) {
    if (it.cause == cause) sum += Overlap(it, oldest, now);
  }
  const bool open = account.is_below && account.cause == cause;
  if (open && account.observed < now) {
    sum += now - std::max(account.observed, oldest);
  }
  return sum;
}

Millis BudgetLeft(const BudgetAccount& account,
                  const base::AvailabilityBudget& budget, WallMillis now) {
  const Millis used = TimeBelow(account, budget.window, now);
  return std::max(Millis{0}, budget.below_allowed - used);
}

std::string Encode(const BudgetAccount& account) {
  json::array below;
  for (const BelowInterval& it : account.below) {
    below.push_back(json::object{{"from", it.from.count},
                                 {"to", it.to.count},
                                 {"cause", ToText(it.cause)}});
  }
  return json::serialize(json::object{{"below", std::move(below)},
                                      {"observed", account.observed.count},
                                      {"is_below", account.is_below},
                                      {"cause", ToText(account.cause)}});
}

namespace {

BelowCause ReadCause(const json::value& value) {
  const std::string_view text = value.as_string();
  const auto it =
      std::find(std::begin(kBelowCauseTexts), std::end(kBelowCauseTexts), text);
  if (it == std::end(kBelowCauseTexts)) {
    throw std::invalid_argument("unknown cause");
  }
  return static_cast<BelowCause>(it - std::begin(kBelowCauseTexts));
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
  account.is_below = object.at("is_below").as_bool();
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

std::string_view ToText(BelowCause value) {
  return kBelowCauseTexts[static_cast<std::size_t>(value)];
}

}  // namespace hemlockward::control
