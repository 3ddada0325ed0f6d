#include "control/planner.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "control/wave.h"

namespace hemlockward::control {

using base::Millis;
using base::VmPurpose;
using base::VmState;
using base::WallMillis;

namespace {

constexpr std::string_view kActionTexts[] = {"move", "take-out", "admit"};
// Where moves weigh as much as the buffer, a pool keeps so many VMs too many.
constexpr int kSurplusBand = 1;

// One VM that a pool may give away, with its rack and zone as small numbers.
struct Candidate {
  const base::VmRow* row;
  int rack;
  int zone;
  bool settled;
  bool taken;
};

// One pool's balance: what it has, what it should have, what it may give.
struct Balance {
  const PoolHealth* pool = nullptr;
  int usable = 0;  ///< Up, or soon to be.
  int wanted = 0;  ///< Size to reach.
  int deficit = 0;
  int below_floor = 0;  ///< Part of the deficit that breaks the floor.
  int surplus = 0;
  std::string reason;  ///< Of the deficit.
  std::vector<Candidate> candidates;
};

// Numbers names in the order in which they are first seen.
class Numbering {
 public:
  int operator()(std::string_view name) {
    return numbers_.try_emplace(name, static_cast<int>(numbers_.size()))
        .first->second;
  }
  [[nodiscard]] std::size_t size() const { return numbers_.size(); }

 private:
  std::unordered_map<std::string_view, int> numbers_;
};

// A VM that is out or down but expected back before it need be replaced.
bool SoonBack(const VmStatus& vm, const PlannerSettings& settings,
              WallMillis now) {
  const Millis age = now - vm.since;
  switch (vm.health) {
    case VmHealth::kUp:
    case VmHealth::kNoVerdict:
      // The monitor's silence is no reason to replace anything.
      return true;
    case VmHealth::kFailed:
      return vm.row->state != VmState::kLost && age < settings.replace_after;
    case VmHealth::kOutByUs:
      if (vm.row->purpose == VmPurpose::kMove) return false;
      // Long jobs may end; only a reboot has a time by which it must be over.
      return vm.row->state == VmState::kLeaving || age < settings.return_limit;
  }
  return false;
}

// Gathers the balances of all pools and settles who gives to whom.
class Planning {
 public:
  Planning(const base::FleetView& view, const Demand& demand,
           const PlannerSettings& settings, WallMillis now)
      : view_(view), demand_(demand), settings_(settings), now_(now) {}

  void Weigh(const std::vector<PoolHealth>& pools);
  void FillDeficits();
  void ReturnSurplus();
  [[nodiscard]] std::vector<Decision> Take() { return std::move(decisions_); }

 private:
  void WeighPool(const PoolHealth& pool, const PoolReserve& reserve);
  int WaveWidthWanted(const PoolHealth& pool) const;
  [[nodiscard]] bool IsSettled(const PoolHealth& pool,
                               const base::VmRow& row) const;
  void AddCandidates(Balance& balance);
  bool GiveOne(Balance& giver, Balance& taker);
  void Fill(Balance& taker, int left, const std::vector<Balance*>& givers);
  Candidate* BestCandidate(Balance& giver, const Balance& taker);
  void CountPlaces(const PoolHealth& pool);
  void Move(Balance& giver, Balance& taker, Candidate& candidate,
            std::string reason);
  Balance* Spare();

  const base::FleetView& view_;
  const Demand& demand_;
  const PlannerSettings& settings_;
  WallMillis now_;
  ReservePlan reserve_;
  std::vector<Balance> balances_;
  Numbering racks_;
  Numbering zones_;
  std::vector<int> rack_counts_;  // Of the pool that takes.
  std::vector<int> zone_counts_;
  std::vector<Decision> decisions_;
};

void Planning::Weigh(const std::vector<PoolHealth>& pools) {
  reserve_ = PlanReserve(pools, demand_, settings_.reserve, now_);
  balances_.reserve(pools.size());
  for (std::size_t i = 0; i < pools.size(); ++i) {
    WeighPool(pools[i], reserve_.pools[i]);
  }
  rack_counts_.resize(racks_.size());
  zone_counts_.resize(zones_.size());
}

// How many VMs an active wave should be able to have out of the pool now.
int Planning::WaveWidthWanted(const PoolHealth& pool) const {
  const base::WaveRow* wave = ActiveWave(view_, pool.pool);
  if (wave == nullptr) return 0;
  if (OutsideHours(pool, settings_.wave_cycle, now_) != nullptr) return 0;
  int left = 0;
  for (const VmStatus& it : pool.vms) {
    const bool out = it.health == VmHealth::kOutByUs;
    const bool wanted =
        it.health == VmHealth::kUp && WaveWants(view_, *wave, *it.row);
    if (out || wanted) ++left;
  }
  return WidthWanted(pool, left, settings_.reserve);
}

void Planning::WeighPool(const PoolHealth& pool, const PoolReserve& reserve) {
  Balance balance;
  balance.pool = &pool;
  for (const VmStatus& it : pool.vms) {
    if (SoonBack(it, settings_, now_)) ++balance.usable;
  }
  balance.usable += pool.arriving;
  balance.wanted = reserve.target;
  if (pool.need.services > 0) {
    const int width = WaveWidthWanted(pool);
    const int safe = pool.need.floor + reserve.worst_rack + width;
    if (width > 0) balance.wanted = std::max(balance.wanted, safe);
  }
  balance.deficit = std::max(0, balance.wanted - balance.usable);
  // VMs that are out or may come back can't hold up the floor now.
  const int standing = pool.up + pool.no_verdict + pool.arriving;
  balance.below_floor =
      std::clamp(pool.need.floor - standing, 0, balance.deficit);
  // What is given away must not stand between the floor and a lost rack.
  const int free = pool.up - pool.need.floor - reserve.worst_rack;
  balance.surplus =
      std::max(0, std::min(balance.usable - balance.wanted, free));
  balance.reason = "has " + std::to_string(balance.usable) + " of " +
                   std::to_string(balance.wanted);
  if (balance.surplus > 0 && pool.need.movable) AddCandidates(balance);
  if (balance.surplus == 0) {
    // Racks and zones of takers are numbered as well.
    for (const VmStatus& it : pool.vms) {
      racks_(it.row->rack.value);
      zones_(it.row->zone.value);
    }
  }
  balances_.push_back(std::move(balance));
}

// Settling keeps a VM from going to and fro. One that was only listed so far
// may go at once, but not out of a pool whose document is still to come.
bool Planning::IsSettled(const PoolHealth& pool, const base::VmRow& row) const {
  const bool only_listed = row.changed == WallMillis{};
  if (!only_listed) return now_ - row.changed >= settings_.settle;
  const bool is_spare = pool.pool == settings_.reserve.spare_pool;
  return is_spare || pool.need.services > 0;
}

void Planning::AddCandidates(Balance& balance) {
  for (const VmStatus& it : balance.pool->vms) {
    const int rack = racks_(it.row->rack.value);
    const int zone = zones_(it.row->zone.value);
    if (it.health != VmHealth::kUp) continue;
    const bool settled = IsSettled(*balance.pool, *it.row);
    balance.candidates.push_back({it.row, rack, zone, settled, false});
  }
}

// Counts the VMs of the taking pool by rack and zone, arriving ones aside.
void Planning::CountPlaces(const PoolHealth& pool) {
  std::fill(rack_counts_.begin(), rack_counts_.end(), 0);
  std::fill(zone_counts_.begin(), zone_counts_.end(), 0);
  for (const VmStatus& it : pool.vms) {
    if (it.health == VmHealth::kFailed) continue;
    ++rack_counts_[racks_(it.row->rack.value)];
    ++zone_counts_[zones_(it.row->zone.value)];
  }
}

// The VM whose rack and zone the taker uses least; the lowest id among equals.
Candidate* Planning::BestCandidate(Balance& giver, const Balance& taker) {
  Candidate* best = nullptr;
  std::pair<int, int> best_cost;
  for (Candidate& it : giver.candidates) {
    if (it.taken || !(it.settled || taker.below_floor > 0)) continue;
    const std::pair<int, int> cost{rack_counts_[it.rack],
                                   zone_counts_[it.zone]};
    if (best != nullptr && cost >= best_cost) continue;
    best = &it;
    best_cost = cost;
  }
  return best;
}

void Planning::Move(Balance& giver, Balance& taker, Candidate& candidate,
                    std::string reason) {
  candidate.taken = true;
  --giver.surplus;
  ++rack_counts_[candidate.rack];
  ++zone_counts_[candidate.zone];
  Decision decision;
  decision.vm = candidate.row->vm;
  decision.action = Action::kMove;
  decision.destination = taker.pool->pool;
  decision.reason = std::move(reason);
  decisions_.push_back(std::move(decision));
}

bool Planning::GiveOne(Balance& giver, Balance& taker) {
  if (giver.surplus <= 0) return false;
  Candidate* candidate = BestCandidate(giver, taker);
  if (candidate == nullptr) return false;
  --taker.deficit;
  taker.below_floor = std::max(0, taker.below_floor - 1);
  Move(giver, taker, *candidate,
       "pool " + taker.pool->pool.value + " " + taker.reason + "; pool " +
           giver.pool->pool.value + " can spare it");
  return true;
}

Balance* Planning::Spare() {
  for (Balance& it : balances_) {
    if (it.pool->pool == settings_.reserve.spare_pool) return &it;
  }
  return nullptr;
}

// Gives VMs to one pool until `left` of its deficit remains.
void Planning::Fill(Balance& taker, int left,
                    const std::vector<Balance*>& givers) {
  if (taker.deficit <= left) return;
  CountPlaces(*taker.pool);
  for (Balance* giver : givers) {
    while (taker.deficit > left &&
           static_cast<int>(decisions_.size()) < settings_.max_moves) {
      if (!GiveOne(*giver, taker)) break;
    }
  }
}

// All floors come before any target. The spare pool gives first, then the
// pools with most to spare.
void Planning::FillDeficits() {
  std::vector<Balance*> takers;
  std::vector<Balance*> givers;
  for (Balance& it : balances_) {
    if (it.deficit > 0) takers.push_back(&it);
    if (it.surplus > 0 && !it.candidates.empty()) givers.push_back(&it);
  }
  std::stable_sort(takers.begin(), takers.end(),
                   [](const Balance* a, const Balance* b) {
                     return a->deficit > b->deficit;
                   });
  const base::PoolId& spare = settings_.reserve.spare_pool;
  std::stable_sort(givers.begin(), givers.end(),
                   [&](const Balance* a, const Balance* b) {
                     const bool a_spare = a->pool->pool == spare;
                     const bool b_spare = b->pool->pool == spare;
                     if (a_spare != b_spare) return a_spare;
                     return a->surplus > b->surplus;
                   });
  for (Balance* it : takers) Fill(*it, it->deficit - it->below_floor, givers);
  for (Balance* it : takers) Fill(*it, 0, givers);
}

// Lets surplus VMs go back to the spare pool, where all pools share them.
void Planning::ReturnSurplus() {
  Balance* spare = Spare();
  if (spare == nullptr) return;
  CountPlaces(*spare->pool);
  int held = spare->surplus;
  for (Balance& it : balances_) {
    if (&it == spare || it.candidates.empty()) continue;
    const base::Weights& weights = it.pool->need.weights;
    const bool keeps = weights.moves > weights.buffer && held >= reserve_.hold;
    if (keeps) continue;
    const int band = weights.moves < weights.buffer ? 0 : kSurplusBand;
    while (it.surplus > band &&
           static_cast<int>(decisions_.size()) < settings_.max_moves) {
      Candidate* candidate = BestCandidate(it, *spare);
      if (candidate == nullptr) break;
      ++held;
      Move(it, *spare, *candidate,
           "pool " + it.pool->pool.value + " has " + std::to_string(it.usable) +
               " where " + std::to_string(it.wanted) + " suffice");
    }
  }
}

}  // namespace

std::vector<Decision> Plan(const base::FleetView& view,
                           const Verdicts& verdicts, const Demand& demand,
                           const PlannerSettings& settings, WallMillis now) {
  const std::vector<PoolHealth> pools =
      JudgeFleet(view, verdicts, settings.judge, now);
  Planning planning(view, demand, settings, now);
  planning.Weigh(pools);
  planning.FillDeficits();
  planning.ReturnSurplus();
  std::vector<Decision> decisions = planning.Take();
  for (const PoolHealth& pool : pools) {
    for (const VmStatus& it : pool.vms) {
      const auto verdict = verdicts.find(it.row->vm);
      if (verdict == verdicts.end()) continue;
      if (!MayServeAgain(*it.row, &verdict->second, settings.judge, now)) {
        continue;
      }
      Decision decision;
      decision.vm = it.row->vm;
      decision.action = Action::kAdmit;
      decision.reason = "the monitor called it up after its reboot";
      decisions.push_back(std::move(decision));
    }
  }
  return decisions;
}

std::string_view ToText(Action value) {
  return kActionTexts[static_cast<std::size_t>(value)];
}

}  // namespace hemlockward::control
