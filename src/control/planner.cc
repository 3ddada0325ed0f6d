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
// Surplus VMs that a pool keeps where moves weigh as much as the buffer.
constexpr int kSurplusHysteresis = 1;

// One VM that a pool may donate, with rack and zone as indexes.
struct Candidate {
  const base::VmRow* row;
  int rack;
  int zone;
  bool settled;
  bool taken;
};

// One pool's balance: present size, wanted size and VMs that it may donate.
struct PoolBalance {
  const PoolHealth* pool = nullptr;
  int usable = 0;  ///< Up, or expected back soon.
  int wanted = 0;  ///< Size to reach.
  int deficit = 0;
  int below_floor = 0;  ///< Part of the deficit that violates the floor.
  int surplus = 0;
  std::string reason;  ///< Of the deficit.
  std::vector<Candidate> candidates;
};

// Assigns indexes to names in the order of first use.
class NameIndex {
 public:
  int operator()(std::string_view name) {
    return numbers_.try_emplace(name, static_cast<int>(numbers_.size()))
        .first->second;
  }
  [[nodiscard]] std::size_t size() const { return numbers_.size(); }

 private:
  std::unordered_map<std::string_view, int> numbers_;
};

// False for a VM that is to be replaced: it is lost, leaves the pool by a move,
// or has been down, or not back after its drain, for too long.
bool IsExpectedBack(const VmStatus& vm, const PlannerSettings& settings,
                    WallMillis now) {
  const Millis age = now - vm.since;
  switch (vm.health) {
    case VmHealth::kUp:
    case VmHealth::kNoVerdict:
      // A missing verdict is no reason to replace a VM.
      return true;
    case VmHealth::kFailed:
      return vm.row->state != VmState::kLost && age < settings.replace_after;
    case VmHealth::kTakenOut:
      if (vm.row->purpose == VmPurpose::kMove) return false;
      // Long jobs may finish; only a reboot has a deadline.
      return vm.row->state == VmState::kLeaving || age < settings.return_limit;
  }
  return false;
}

// Computes the balances of all pools and assigns donors to receivers.
class MovePlanner {
 public:
  MovePlanner(const base::FleetView& view, const Demand& demand,
              const PlannerSettings& settings, WallMillis now)
      : view_(view), demand_(demand), settings_(settings), now_(now) {}

  void ComputeBalances(const std::vector<PoolHealth>& pools);
  void FillDeficits();
  void ReturnSurplus();
  [[nodiscard]] std::vector<Decision> TakeDecisions() {
    return std::move(decisions_);
  }

 private:
  void ComputeBalance(const PoolHealth& pool, const PoolReserve& reserve);
  int DesiredActiveWaveWidth(const PoolHealth& pool) const;
  [[nodiscard]] bool IsSettled(const PoolHealth& pool,
                               const base::VmRow& row) const;
  void AddCandidates(PoolBalance& balance);
  bool MoveOne(PoolBalance& donor, PoolBalance& receiver);
  void FillPool(PoolBalance& receiver, int left,
                const std::vector<PoolBalance*>& donors);
  Candidate* BestCandidate(PoolBalance& donor, const PoolBalance& receiver);
  void CountLocations(const PoolHealth& pool);
  void Move(PoolBalance& donor, PoolBalance& receiver, Candidate& candidate,
            std::string reason);
  PoolBalance* FindSparePool();

  const base::FleetView& view_;
  const Demand& demand_;
  const PlannerSettings& settings_;
  WallMillis now_;
  ReservePlan reserve_;
  std::vector<PoolBalance> balances_;
  NameIndex racks_;
  NameIndex zones_;
  std::vector<int> rack_counts_;  // Of the receiving pool.
  std::vector<int> zone_counts_;
  std::vector<Decision> decisions_;
};

void MovePlanner::ComputeBalances(const std::vector<PoolHealth>& pools) {
  reserve_ = PlanReserve(pools, demand_, settings_.reserve, now_);
  balances_.reserve(pools.size());
  for (std::size_t i = 0; i < pools.size(); ++i) {
    ComputeBalance(pools[i], reserve_.pools[i]);
  }
  rack_counts_.resize(racks_.size());
  zone_counts_.resize(zones_.size());
}

// How many VMs of the pool its active wave should be able to maintain at once.
int MovePlanner::DesiredActiveWaveWidth(const PoolHealth& pool) const {
  const base::WaveRow* wave = ActiveWave(view_, pool.pool);
  if (wave == nullptr) return 0;
  if (FindDocumentOutsideHours(pool, settings_.maintenance_duration, now_) !=
      nullptr)
    return 0;
  int left = 0;
  for (const VmStatus& it : pool.vms) {
    const bool out = it.health == VmHealth::kTakenOut;
    const bool wanted =
        it.health == VmHealth::kUp && WaveNeedsVm(view_, *wave, *it.row);
    if (out || wanted) ++left;
  }
  return DesiredWaveWidth(pool, left, settings_.reserve);
}

void MovePlanner::ComputeBalance(const PoolHealth& pool,
                                 const PoolReserve& reserve) {
  PoolBalance balance;
  balance.pool = &pool;
  for (const VmStatus& it : pool.vms) {
    if (IsExpectedBack(it, settings_, now_)) ++balance.usable;
  }
  balance.usable += pool.arriving;
  balance.wanted = reserve.target;
  if (pool.need.services > 0) {
    const int width = DesiredActiveWaveWidth(pool);
    const int safe = pool.need.floor + reserve.worst_rack + width;
    if (width > 0) balance.wanted = std::max(balance.wanted, safe);
  }
  balance.deficit = std::max(0, balance.wanted - balance.usable);
  // Only VMs that are up, have no recent verdict or are arriving count towards
  // the pool's floor.
  const int available = pool.up + pool.no_verdict + pool.arriving;
  balance.below_floor =
      std::clamp(pool.need.floor - available, 0, balance.deficit);
  // The pool must keep its floor after donating and then losing a rack.
  const int free = pool.up - pool.need.floor - reserve.worst_rack;
  balance.surplus =
      std::max(0, std::min(balance.usable - balance.wanted, free));
  balance.reason = "has " + std::to_string(balance.usable) + " of " +
                   std::to_string(balance.wanted);
  if (balance.surplus > 0 && pool.need.movable) AddCandidates(balance);
  if (balance.surplus == 0) {
    // Racks and zones of receivers get indexes as well.
    for (const VmStatus& it : pool.vms) {
      racks_(it.row->rack.value);
      zones_(it.row->zone.value);
    }
  }
  balances_.push_back(std::move(balance));
}

// The cooldown keeps a VM from moving back and forth. A newly listed VM
// may move at once, but not out of a pool that has no document yet.
bool MovePlanner::IsSettled(const PoolHealth& pool,
                            const base::VmRow& row) const {
  const bool only_listed = row.changed == WallMillis{};
  if (!only_listed) return now_ - row.changed >= settings_.move_cooldown;
  const bool is_spare = pool.pool == settings_.reserve.spare_pool;
  return is_spare || pool.need.services > 0;
}

void MovePlanner::AddCandidates(PoolBalance& balance) {
  for (const VmStatus& it : balance.pool->vms) {
    const int rack = racks_(it.row->rack.value);
    const int zone = zones_(it.row->zone.value);
    if (it.health != VmHealth::kUp) continue;
    const bool settled = IsSettled(*balance.pool, *it.row);
    balance.candidates.push_back({it.row, rack, zone, settled, false});
  }
}

// Counts the VMs of the receiver by rack and zone, without arriving ones.
void MovePlanner::CountLocations(const PoolHealth& pool) {
  std::fill(rack_counts_.begin(), rack_counts_.end(), 0);
  std::fill(zone_counts_.begin(), zone_counts_.end(), 0);
  for (const VmStatus& it : pool.vms) {
    if (it.health == VmHealth::kFailed) continue;
    ++rack_counts_[racks_(it.row->rack.value)];
    ++zone_counts_[zones_(it.row->zone.value)];
  }
}

// The VM whose rack and zone the receiver uses least; the lowest id on a tie.
Candidate* MovePlanner::BestCandidate(PoolBalance& donor,
                                      const PoolBalance& receiver) {
  Candidate* best = nullptr;
  std::pair<int, int> best_cost;
  for (Candidate& it : donor.candidates) {
    if (it.taken || !(it.settled || receiver.below_floor > 0)) continue;
    const std::pair<int, int> cost{rack_counts_[it.rack],
                                   zone_counts_[it.zone]};
    if (best != nullptr && cost >= best_cost) continue;
    best = &it;
    best_cost = cost;
  }
  return best;
}

void MovePlanner::Move(PoolBalance& donor, PoolBalance& receiver,
                       Candidate& candidate, std::string reason) {
  candidate.taken = true;
  --donor.surplus;
  ++rack_counts_[candidate.rack];
  ++zone_counts_[candidate.zone];
  Decision decision;
  decision.vm = candidate.row->vm;
  decision.action = Action::kMove;
  decision.destination = receiver.pool->pool;
  decision.reason = std::move(reason);
  decisions_.push_back(std::move(decision));
}

bool MovePlanner::MoveOne(PoolBalance& donor, PoolBalance& receiver) {
  if (donor.surplus <= 0) return false;
  Candidate* candidate = BestCandidate(donor, receiver);
  if (candidate == nullptr) return false;
  --receiver.deficit;
  receiver.below_floor = std::max(0, receiver.below_floor - 1);
  Move(donor, receiver, *candidate,
       "pool " + receiver.pool->pool.value + " " + receiver.reason + "; pool " +
           donor.pool->pool.value + " can spare it");
  return true;
}

PoolBalance* MovePlanner::FindSparePool() {
  for (PoolBalance& it : balances_) {
    if (it.pool->pool == settings_.reserve.spare_pool) return &it;
  }
  return nullptr;
}

// Moves VMs to one pool until `left` of its deficit remains.
void MovePlanner::FillPool(PoolBalance& receiver, int left,
                           const std::vector<PoolBalance*>& donors) {
  if (receiver.deficit <= left) return;
  CountLocations(*receiver.pool);
  for (PoolBalance* donor : donors) {
    while (receiver.deficit > left &&
           static_cast<int>(decisions_.size()) < settings_.max_moves) {
      if (!MoveOne(*donor, receiver)) break;
    }
  }
}

// All floors take precedence over any target. The spare pool donates first,
// then the pools with the largest surplus.
void MovePlanner::FillDeficits() {
  std::vector<PoolBalance*> receivers;
  std::vector<PoolBalance*> donors;
  for (PoolBalance& it : balances_) {
    if (it.deficit > 0) receivers.push_back(&it);
    if (it.surplus > 0 && !it.candidates.empty()) donors.push_back(&it);
  }
  std::stable_sort(receivers.begin(), receivers.end(),
                   [](const PoolBalance* a, const PoolBalance* b) {
                     return a->deficit > b->deficit;
                   });
  const base::PoolId& spare = settings_.reserve.spare_pool;
  std::stable_sort(donors.begin(), donors.end(),
                   [&](const PoolBalance* a, const PoolBalance* b) {
                     const bool a_spare = a->pool->pool == spare;
                     const bool b_spare = b->pool->pool == spare;
                     if (a_spare != b_spare) return a_spare;
                     return a->surplus > b->surplus;
                   });
  for (PoolBalance* it : receivers)
    FillPool(*it, it->deficit - it->below_floor, donors);
  for (PoolBalance* it : receivers) FillPool(*it, 0, donors);
}

// Returns surplus VMs to the spare pool, where all pools share them.
void MovePlanner::ReturnSurplus() {
  PoolBalance* spare = FindSparePool();
  if (spare == nullptr) return;
  CountLocations(*spare->pool);
  int held = spare->surplus;
  for (PoolBalance& it : balances_) {
    if (&it == spare || it.candidates.empty()) continue;
    const base::Weights& weights = it.pool->need.weights;
    const bool keeps = weights.moves > weights.buffer && held >= reserve_.hold;
    if (keeps) continue;
    const int band = weights.moves < weights.buffer ? 0 : kSurplusHysteresis;
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
      EvaluateFleet(view, verdicts, settings.health, now);
  MovePlanner planner(view, demand, settings, now);
  planner.ComputeBalances(pools);
  planner.FillDeficits();
  planner.ReturnSurplus();
  std::vector<Decision> decisions = planner.TakeDecisions();
  for (const PoolHealth& pool : pools) {
    for (const VmStatus& it : pool.vms) {
      const auto verdict = verdicts.find(it.row->vm);
      if (verdict == verdicts.end()) continue;
      if (!CanReturnToService(*it.row, &verdict->second, settings.health,
                              now)) {
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
