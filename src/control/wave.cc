#include "control/wave.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace hemlockward::control {

using base::Millis;
using base::VmState;
using base::WallMillis;

namespace {

constexpr int kMinutesOfDay = 24 * 60;
// Largest part of a pool without documents that may be out at once.
constexpr int kUnclaimedShare = 4;

// True when `a` was started before `b`; ids settle ties.
bool StartedBefore(const base::WaveRow& a, const base::WaveRow& b) {
  if (a.started != b.started) return a.started < b.started;
  return a.wave < b.wave;
}

bool IsActive(const base::WaveRow& wave) {
  return !wave.stopped && !wave.finished;
}

bool Includes(const base::WaveRow& wave, const base::PoolId& pool) {
  if (wave.pools.empty()) return true;
  return std::find(wave.pools.begin(), wave.pools.end(), pool) !=
         wave.pools.end();
}

int MinuteOfDay(WallMillis wall) {
  return static_cast<int>(wall.count / base::Minutes(1).count % kMinutesOfDay);
}

// How many VMs one pool can spare now, and what limits it.
class PoolRoom {
 public:
  PoolRoom(const PoolHealth& pool, const Demand& demand,
           const Accounts& accounts, const WaveSettings& settings,
           WallMillis now);

  /// The rack number of a VM of the pool.
  [[nodiscard]] int RackOf(const base::VmRow& row) const {
    return racks_.at(row.rack.value);
  }
  [[nodiscard]] int UpInRack(int rack) const { return up_by_rack_[rack]; }
  /// True when one more VM of this rack and zone may be taken out.
  bool Allows(const base::VmRow& row);
  void TakeOut(const base::VmRow& row);
  [[nodiscard]] const std::string& limit() const { return limit_; }

 private:
  void CountPlaces(const PoolHealth& pool);
  bool CheckHours(const PoolHealth& pool, const WaveSettings& settings,
                  WallMillis now);
  void SetMargin(const PoolHealth& pool, const Accounts& accounts,
                 const WaveSettings& settings, WallMillis now);
  [[nodiscard]] int WorstRackWithout(int rack) const;
  [[nodiscard]] int WorstZoneWithout(std::string_view zone) const;
  bool KeepsFloor(const base::VmRow& row, int up_after);

  int up_;
  int floor_;
  int demand_;
  int racks_to_survive_ = 1;
  int spread_racks_;
  int spread_zones_;
  bool in_hours_;
  bool survives_zone_ = false;  ///< At full strength, with one VM out.
  std::string limit_;
  std::unordered_map<std::string_view, int> racks_;
  std::unordered_map<std::string_view, int> up_by_zone_;
  std::vector<int> up_by_rack_;
  std::vector<int> racks_with_;  // How many racks have n VMs up.
};

PoolRoom::PoolRoom(const PoolHealth& pool, const Demand& demand,
                   const Accounts& accounts, const WaveSettings& settings,
                   WallMillis now)
    : up_(pool.up),
      floor_(pool.need.floor),
      spread_racks_(pool.need.spread_racks),
      spread_zones_(pool.need.spread_zones) {
  const int size = static_cast<int>(pool.vms.size());
  if (pool.need.services == 0)
    floor_ = size - std::max(1, size / kUnclaimedShare);
  const double expected =
      ExpectedDemand(demand, pool.pool, now, settings.cycle);
  // A pool that is asked for more than it has still lets one VM go at a time.
  demand_ = std::min(static_cast<int>(std::ceil(expected)), size - 1);
  CountPlaces(pool);
  SetMargin(pool, accounts, settings, now);
  in_hours_ = CheckHours(pool, settings, now);
}

void PoolRoom::CountPlaces(const PoolHealth& pool) {
  std::unordered_map<std::string_view, int> standing_by_zone;
  int standing = 0;
  int worst_zone = 0;
  for (const VmStatus& it : pool.vms) {
    const bool stands =
        it.health == VmHealth::kUp || it.health == VmHealth::kOutByUs;
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
  racks_with_.assign(most == up_by_rack_.end() ? 1 : *most + 1, 0);
  for (const int it : up_by_rack_) ++racks_with_[it];
  survives_zone_ = standing - worst_zone - 1 >= floor_;
}

// A service whose budget is nearly used up must survive two racks.
void PoolRoom::SetMargin(const PoolHealth& pool, const Accounts& accounts,
                         const WaveSettings& settings, WallMillis now) {
  for (const base::ServiceDocument* it : pool.need.documents) {
    const auto account = accounts.find(it->service);
    if (account == accounts.end()) continue;
    const Millis left = BudgetLeft(account->second, it->budget, now);
    if (left < std::min(settings.cycle, it->budget.below_allowed)) {
      racks_to_survive_ = 2;
    }
  }
}

bool PoolRoom::CheckHours(const PoolHealth& pool, const WaveSettings& settings,
                          WallMillis now) {
  const base::ServiceDocument* document =
      OutsideHours(pool, settings.cycle, now);
  if (document == nullptr) return true;
  limit_ = "outside the maintenance hours of team " + document->team.value;
  return false;
}

// VMs up in the fullest rack after one VM of `rack` is gone.
int PoolRoom::WorstRackWithout(int rack) const {
  int most = static_cast<int>(racks_with_.size()) - 1;
  while (most > 0 && racks_with_[most] == 0) --most;
  const bool only_one = racks_with_[most] == 1 && up_by_rack_[rack] == most;
  return only_one ? most - 1 : most;
}

int PoolRoom::WorstZoneWithout(std::string_view zone) const {
  int most = 0;
  for (const auto& [name, up] : up_by_zone_) {
    most = std::max(most, name == zone ? up - 1 : up);
  }
  return most;
}

// The floor must stand if the worst rack fails now and, in a pool that is
// large enough for it, if the worst zone does.
bool PoolRoom::KeepsFloor(const base::VmRow& row, int up_after) {
  const int in_racks = racks_to_survive_ * WorstRackWithout(RackOf(row));
  const int in_zone = survives_zone_ ? WorstZoneWithout(row.zone.value) : 0;
  const int exposed = std::max(in_racks, in_zone);
  if (up_after - exposed >= floor_) return true;
  limit_ =
      std::to_string(up_) + " up, floor " + std::to_string(floor_) +
      " must survive the loss of " + std::to_string(exposed) + " VMs in " +
      (in_zone > in_racks ? std::string("a zone")
                          : std::to_string(racks_to_survive_) + " rack(s)");
  return false;
}

bool PoolRoom::Allows(const base::VmRow& row) {
  if (!in_hours_) return false;
  const int rack = RackOf(row);
  const int up_after = up_ - 1;
  if (!KeepsFloor(row, up_after)) return false;
  if (up_after < demand_) {
    limit_ = "demand of " + std::to_string(demand_) + " VMs, " +
             std::to_string(up_) + " up";
    return false;
  }
  const bool last_in_rack = up_by_rack_[rack] == 1;
  const int racks_up = static_cast<int>(up_by_rack_.size()) - racks_with_[0];
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

void PoolRoom::TakeOut(const base::VmRow& row) {
  int& in_rack = up_by_rack_[RackOf(row)];
  --racks_with_[in_rack];
  --in_rack;
  ++racks_with_[in_rack];
  const auto zone = up_by_zone_.find(row.zone.value);
  if (--zone->second == 0) up_by_zone_.erase(zone);
  --up_;
}

// The VMs of one pool that a wave still has to take, in their order.
struct PoolQueue {
  const PoolHealth* pool;
  PoolRoom room;
  std::vector<const base::VmRow*> vms{};
  std::size_t next = 0;
};

// One wave's step over the pools that it includes.
class WaveStepping {
 public:
  WaveStepping(const base::FleetView& view, const base::WaveRow& wave,
               const Demand& demand, const Accounts& accounts,
               const WaveSettings& settings, WallMillis now)
      : view_(view),
        wave_(wave),
        demand_(demand),
        accounts_(accounts),
        settings_(settings),
        now_(now) {
    step_.wave = wave.wave;
  }

  /// Counts where the VMs of one pool stand and remembers those to take out.
  void Add(const PoolHealth& pool, bool is_turn);
  WaveStep Finish();

 private:
  void Classify(const VmStatus& vm, std::vector<const VmStatus*>& todo);
  void ClassifyTaken(const VmStatus& vm);
  bool ShouldStop();
  int Allowance();
  PoolQueue Queue(const PoolHealth& pool,
                  const std::vector<const VmStatus*>& todo);
  bool TakeOne(PoolQueue& queue);
  void TakeTurns(int allowance);

  const base::FleetView& view_;
  const base::WaveRow& wave_;
  const Demand& demand_;
  const Accounts& accounts_;
  const WaveSettings& settings_;
  WallMillis now_;
  int proven_ = 0;  // Back for at least the canary's time.
  std::vector<std::pair<const PoolHealth*, std::vector<const VmStatus*>>> todo_;
  WaveStep step_;
};

void WaveStepping::ClassifyTaken(const VmStatus& vm) {
  WaveProgress& progress = step_.progress;
  const Millis age = now_ - vm.row->changed;
  if (vm.row->state == VmState::kMember) {
    const bool fell = vm.health == VmHealth::kFailed &&
                      vm.since - vm.row->changed < settings_.failure_watch;
    // A rack or zone that failed as a whole says nothing against the
    // maintenance.
    if (fell && !vm.place_failed) {
      ++progress.failed;
      return;
    }
    ++progress.done;
    if (vm.health == VmHealth::kUp && age >= settings_.canary_soak) ++proven_;
    return;
  }
  const bool overdue =
      vm.row->state != VmState::kLeaving && age > settings_.return_limit;
  ++(overdue ? progress.failed : progress.out);
}

void WaveStepping::Classify(const VmStatus& vm,
                            std::vector<const VmStatus*>& todo) {
  WaveProgress& progress = step_.progress;
  if (vm.row->state == VmState::kLost) return;
  ++progress.total;
  if (vm.row->wave == wave_.wave) return ClassifyTaken(vm);
  if (!WaveWants(view_, wave_, *vm.row)) {
    ++progress.done;
    return;
  }
  const bool broken = vm.health == VmHealth::kFailed &&
                      now_ - vm.since > settings_.return_limit;
  if (broken) {
    ++progress.skipped;
    return;
  }
  ++progress.todo;
  if (vm.health == VmHealth::kUp) todo.push_back(&vm);
}

void WaveStepping::Add(const PoolHealth& pool, bool is_turn) {
  std::vector<const VmStatus*> todo;
  for (const VmStatus& it : pool.vms) Classify(it, todo);
  if (is_turn && !todo.empty()) todo_.emplace_back(&pool, std::move(todo));
}

// Failures that come with the wave stop it before they spread.
bool WaveStepping::ShouldStop() {
  const WaveProgress& progress = step_.progress;
  const int ended = progress.done + progress.failed;
  if (progress.failed == 0) return false;
  if (progress.done == 0) {
    step_.reason = "the canary did not come back well";
    return true;
  }
  const bool many = progress.failed >= settings_.stop_failures &&
                    progress.failed * 100 > settings_.stop_percent * ended;
  if (!many) return false;
  step_.reason = std::to_string(progress.failed) + " of " +
                 std::to_string(ended) + " VMs did not come back well";
  return true;
}

// How many more VMs the wave as a whole may take out now.
int WaveStepping::Allowance() {
  const WaveProgress& progress = step_.progress;
  if (proven_ == 0) {
    const bool untouched =
        progress.out == 0 && progress.done == 0 && progress.failed == 0;
    step_.reason = untouched ? "canary first" : "waiting for the canary";
    return untouched ? 1 : 0;
  }
  int width = settings_.growth * proven_;
  if (progress.failed > 0) {
    // Falls from full width to one VM as failures near the share that stops.
    const int ended = progress.done + progress.failed;
    const int tenths = std::max(
        0, 10 - progress.failed * 1000 / (settings_.stop_percent * ended));
    const int narrowed = std::max(1, width * tenths / 10);
    if (narrowed < width) {
      step_.verdict = WaveVerdict::kNarrowed;
      step_.reason = "narrowed to " + std::to_string(narrowed) +
                     " at once: " + std::to_string(progress.failed) + " of " +
                     std::to_string(ended) + " VMs did not come back well";
    }
    width = narrowed;
  }
  return std::max(0, width - progress.out);
}

// VMs of the fullest racks go first: that lowers what a rack's failure costs,
// so that more may go.
PoolQueue WaveStepping::Queue(const PoolHealth& pool,
                              const std::vector<const VmStatus*>& todo) {
  PoolQueue queue{&pool, PoolRoom(pool, demand_, accounts_, settings_, now_)};
  for (const VmStatus* it : todo) queue.vms.push_back(it->row);
  const auto up_in_rack = [&](const base::VmRow* row) {
    return queue.room.UpInRack(queue.room.RackOf(*row));
  };
  std::stable_sort(queue.vms.begin(), queue.vms.end(),
                   [&](const base::VmRow* a, const base::VmRow* b) {
                     return up_in_rack(a) > up_in_rack(b);
                   });
  return queue;
}

// Takes the next VM that the pool allows; false when there is none.
bool WaveStepping::TakeOne(PoolQueue& queue) {
  while (queue.next < queue.vms.size()) {
    const base::VmRow& row = *queue.vms[queue.next++];
    if (!queue.room.Allows(row)) continue;
    queue.room.TakeOut(row);
    Decision decision;
    decision.vm = row.vm;
    decision.action = Action::kTakeOut;
    decision.wave = wave_.wave;
    decision.reason = "wave " + wave_.wave.value + ": pool " +
                      queue.pool->pool.value + " stays above its floor of " +
                      std::to_string(queue.pool->need.floor) +
                      " even if its worst rack fails";
    step_.take_out.push_back(std::move(decision));
    return true;
  }
  return false;
}

// Pools take turns, the one with most VMs left first, so that none is kept
// waiting while the wave as a whole may take out few.
void WaveStepping::TakeTurns(int allowance) {
  std::stable_sort(todo_.begin(), todo_.end(),
                   [](const auto& a, const auto& b) {
                     return a.second.size() > b.second.size();
                   });
  std::vector<PoolQueue> queues;
  for (const auto& [pool, todo] : todo_) queues.push_back(Queue(*pool, todo));
  bool progress = true;
  while (progress) {
    progress = false;
    for (PoolQueue& it : queues) {
      if (allowance <= 0) return;
      if (!TakeOne(it)) continue;
      --allowance;
      progress = true;
    }
  }
  if (!step_.reason.empty() || queues.empty()) return;
  const PoolQueue& longest = queues.front();
  if (longest.room.limit().empty()) return;
  step_.reason =
      "pool " + longest.pool->pool.value + ": " + longest.room.limit();
}

WaveStep WaveStepping::Finish() {
  const WaveProgress& progress = step_.progress;
  if (ShouldStop()) {
    step_.verdict = WaveVerdict::kStop;
    return std::move(step_);
  }
  if (progress.todo == 0 && progress.out == 0) {
    step_.verdict = WaveVerdict::kFinished;
    step_.reason = std::to_string(progress.done) + " VMs done, " +
                   std::to_string(progress.failed) + " failed, " +
                   std::to_string(progress.skipped) + " down by themselves";
    return std::move(step_);
  }
  const int allowance = Allowance();
  if (allowance > 0) TakeTurns(allowance);
  return std::move(step_);
}

std::vector<const base::WaveRow*> ActiveWaves(const base::FleetView& view) {
  std::vector<const base::WaveRow*> waves;
  for (const auto& [id, wave] : view.waves) {
    if (IsActive(wave)) waves.push_back(&wave);
  }
  std::sort(waves.begin(), waves.end(),
            [](const base::WaveRow* a, const base::WaveRow* b) {
              return StartedBefore(*a, *b);
            });
  return waves;
}

}  // namespace

const base::WaveRow* ActiveWave(const base::FleetView& view,
                                const base::PoolId& pool) {
  const base::WaveRow* oldest = nullptr;
  for (const auto& [id, wave] : view.waves) {
    if (!IsActive(wave) || !Includes(wave, pool)) continue;
    if (oldest == nullptr || StartedBefore(wave, *oldest)) oldest = &wave;
  }
  return oldest;
}

bool WaveWants(const base::FleetView& view, const base::WaveRow& wave,
               const base::VmRow& row) {
  if (row.wave.empty()) return true;
  if (row.wave == wave.wave) return false;
  const auto last = view.waves.find(row.wave);
  return last == view.waves.end() || StartedBefore(last->second, wave);
}

std::vector<WaveStep> NextWaveSteps(
    const base::FleetView& view, const Verdicts& verdicts, const Demand& demand,
    const Accounts& accounts, const WaveSettings& settings, WallMillis now) {
  const std::vector<const base::WaveRow*> waves = ActiveWaves(view);
  std::vector<WaveStep> steps;
  if (waves.empty()) return steps;
  const std::vector<PoolHealth> pools =
      JudgeFleet(view, verdicts, settings.judge, now);
  for (const base::WaveRow* wave : waves) {
    WaveStepping stepping(view, *wave, demand, accounts, settings, now);
    for (const PoolHealth& pool : pools) {
      if (!Includes(*wave, pool.pool)) continue;
      // Waves over one pool take turns, oldest first.
      stepping.Add(pool, ActiveWave(view, pool.pool) == wave);
    }
    steps.push_back(stepping.Finish());
  }
  return steps;
}

const base::ServiceDocument* OutsideHours(const PoolHealth& pool, Millis cycle,
                                          WallMillis now) {
  for (const base::ServiceDocument* it : pool.need.documents) {
    const WallMillis back = now + cycle + it->graceful_stop;
    const bool inside = InMaintenanceHours(*it, MinuteOfDay(now)) &&
                        InMaintenanceHours(*it, MinuteOfDay(back));
    if (!inside) return it;
  }
  return nullptr;
}

bool InMaintenanceHours(const base::ServiceDocument& document, int minute) {
  const int from = document.maintenance_from_minute;
  const int to = document.maintenance_to_minute;
  if (from <= to) return from <= minute && minute < to;
  return minute >= from || minute < to;
}

namespace {

// Minutes of each day in which a VM of the pool may be taken out.
int OpenMinutes(const PoolHealth& pool, Millis cycle) {
  int open = 0;
  const int reach = static_cast<int>(cycle.count / base::Minutes(1).count);
  for (int minute = 0; minute < kMinutesOfDay; ++minute) {
    const bool inside =
        std::all_of(pool.need.documents.begin(), pool.need.documents.end(),
                    [&](const base::ServiceDocument* it) {
                      const int back = (minute + reach) % kMinutesOfDay;
                      return InMaintenanceHours(*it, minute) &&
                             InMaintenanceHours(*it, back);
                    });
    if (inside) ++open;
  }
  return open;
}

struct PoolPreview {
  int todo = 0;
  int width = 0;
  std::string limit;
};

// How many VMs go at once when all are up and hours are open.
PoolPreview PreviewPool(const base::FleetView& view, const PoolHealth& pool,
                        const Demand& demand, const Accounts& accounts,
                        const base::WaveRow& wave, const WaveSettings& settings,
                        WallMillis now) {
  PoolHealth open = pool;
  open.need.documents.clear();
  PoolRoom room(open, demand, accounts, settings, now);
  PoolPreview preview;
  for (const VmStatus& it : pool.vms) {
    if (it.health != VmHealth::kUp) continue;
    if (!WaveWants(view, wave, *it.row)) continue;
    ++preview.todo;
    if (!room.Allows(*it.row)) continue;
    room.TakeOut(*it.row);
    ++preview.width;
  }
  preview.limit = room.limit();
  return preview;
}

}  // namespace

WavePreview PreviewWave(const base::FleetView& view, const Verdicts& verdicts,
                        const Demand& demand, const Accounts& accounts,
                        const base::WaveRow& wave, const WaveSettings& settings,
                        const ReserveSettings& reserve, WallMillis now) {
  const std::vector<PoolHealth> pools =
      JudgeFleet(view, verdicts, settings.judge, now);
  WavePreview preview;
  preview.reserve = PlanReserve(pools, demand, reserve, now).hold;
  const Millis ramp = settings.cycle + settings.canary_soak;
  for (const PoolHealth& pool : pools) {
    if (!Includes(wave, pool.pool)) continue;
    PoolPreview part =
        PreviewPool(view, pool, demand, accounts, wave, settings, now);
    preview.vms += part.todo;
    if (part.todo == 0) continue;
    if (part.width == 0) {
      // One VM is lent by the spare pool and later given back.
      preview.moves += 2;
      ++preview.reserve;
      part.width = 1;
    }
    const int open =
        OpenMinutes(pool, settings.cycle + pool.need.graceful_stop);
    if (open == 0) {
      preview.possible = false;
      preview.tightest_pool = pool.pool;
      preview.tightest_reason = "maintenance hours are too short for one VM";
      continue;
    }
    const int rounds = (part.todo + part.width - 1) / part.width;
    const Millis busy = settings.cycle * rounds;
    const Millis duration{ramp.count + busy.count * kMinutesOfDay / open};
    if (duration <= preview.duration) continue;
    preview.duration = duration;
    if (!preview.possible) continue;
    preview.tightest_pool = pool.pool;
    preview.tightest_reason =
        part.limit.empty() ? "the size of the pool" : part.limit;
  }
  return preview;
}

}  // namespace hemlockward::control
