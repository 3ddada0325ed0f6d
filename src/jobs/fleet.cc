#include "jobs/fleet.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "jobs/rows.h"

namespace hemlockward::jobs {

namespace json = boost::json;
using base::LogLevel;
using base::LogLine;

namespace {

// Ratio of requested capacity to current work: tasks do not fill VMs without
// gaps.
constexpr double kNeedFactor = 1.25;
// Share of the work of steps that are not ready yet that counts as needed soon.
constexpr double kLaterShare = 0.5;
// Idle time before a VM is powered off: a move back and forth costs about as
// much as running a VM for 2.4 s.
constexpr Millis kIdleBeforeOff{2400};
constexpr Millis kIdleBeforeLending{200};
// How long after the start of a term no VM is powered off while no demand has
// been seen.
constexpr Millis kDemandWait = base::Seconds(30);
// Interval between repetitions of an unanswered order; orders are idempotent.
constexpr Millis kOrderRepeatInterval{1000};
// Maximum delay between planning an order and sending it.
constexpr Millis kOrderSlack{1500};
// The order times of the previous leader may lag by one slow answer of the
// store, at a sixtieth of its speed.
constexpr Millis kClockSlack{600};
constexpr Millis kPoolLogInterval = base::Seconds(1);
constexpr Millis kListingInterval{500};
// A listing is read page by page, and a VM that moves meanwhile may be on none
// of them. It has gone when this many successive listings lack it.
constexpr int kListingsToForget = 2;
constexpr Millis kListingIntervalIdle{1500};
// Share of the platform's rate that one leader uses, and its largest burst.
constexpr double kRateShare = 0.8;
constexpr double kBurstSeconds = 0.25;

std::string EncodeBegun(const std::set<std::string>& vms) {
  return json::serialize(json::array(vms.begin(), vms.end()));
}

bool IsHeadroom(const Configuration& config, const std::string& pool) {
  const auto it = config.services.find(pool);
  return it != config.services.end() && it->second.headroom;
}

// A pool to which a VM of `pool` may move; powered off VMs cost nothing.
// Null if there is none.
const std::string* OtherPool(const Configuration& config,
                             const std::string& pool) {
  const std::string* other = nullptr;
  for (const auto& [name, service] : config.services) {
    if (name != pool && (!other || service.headroom)) other = &name;
  }
  return other;
}

}  // namespace

std::string_view ToText(VmAnswer answer) {
  switch (answer) {
    case VmAnswer::kDone:
      return "done";
    case VmAnswer::kBusy:
      return "busy";
    case VmAnswer::kUnknown:
      return "unknown";
  }
  return "unknown";
}

void Fleet::BeginTerm(Millis orders_from, Millis now) {
  orders_from_ = orders_from;
  term_began_ = now;
  vms_.clear();
  listings_ = 0;
  begun_.clear();
  recent_.clear();
  recent_unknown_ = false;
  listed_at_ = {-1'000'000};
}

void Fleet::LoadWave(std::string_view key, std::string_view value) {
  boost::system::error_code ec;
  const json::value list = json::parse(value, ec);
  if (ec || !list.is_array()) {
    LogLine(LogLevel::kError, "wave_row_unreadable").With("wave", key);
    return;
  }
  auto& begun = begun_[std::atoi(std::string(key).c_str())];
  for (const json::value& it : list.get_array()) {
    if (it.is_string()) begun.emplace(std::string_view(it.get_string()));
  }
}

bool Fleet::HasBegun(int wave, const std::string& vm) const {
  const auto it = begun_.find(wave);
  return it != begun_.end() && it->second.contains(vm);
}

bool Fleet::IsFree(const State& state, Millis now) const {
  return !state.ordered && state.vm.state == VmState::kUp &&
         !IsBlocked(state.vm.name, now);
}

void Fleet::LoadRecent(std::string_view value, Millis store_offset) {
  boost::system::error_code ec;
  const json::value row = json::parse(value, ec);
  if (ec || !row.is_object()) {
    LogLine(LogLevel::kError, "order_row_unreadable").With("row", value);
    recent_unknown_ = true;
    return;
  }
  for (const auto& it : row.get_object()) {
    Millis from = orders_from_;
    if (it.value().is_int64()) {
      const Millis ordered = Millis{it.value().get_int64()} - store_offset;
      from =
          std::min(from, ordered + settings_.min_order_interval + kClockSlack);
    }
    recent_[std::string(it.key())] = from;
  }
}

bool Fleet::IsBlocked(const std::string& vm, Millis now) const {
  if (recent_unknown_) return now < orders_from_;
  const auto it = recent_.find(vm);
  return it != recent_.end() && now < it->second;
}

// Maps each VM to the time of its newest order on the store's clock, or to null
// while the order may still be sent or executed.
RowWrite Fleet::RecentOrders(Millis now, Millis store_offset) const {
  json::object row;
  for (const auto& [name, state] : vms_) {
    const bool recent =
        state.ordered_at.count >= 0 &&
        now - state.ordered_at < settings_.min_order_interval + kOrderSlack;
    const auto last = recent_.find(name);
    if (state.ordered || (recent_unknown_ && IsBlocked(name, now))) {
      row[name] = nullptr;
    } else if (recent) {
      row[name] = (state.ordered_at + store_offset).count;
    } else if (last != recent_.end() && now < last->second) {
      row[name] =
          (last->second - settings_.min_order_interval + store_offset).count;
    }
  }
  return {kOrderTable, kOrderKey, json::serialize(row)};
}

bool Fleet::IsListingDue(Millis now) const {
  const bool active = std::any_of(vms_.begin(), vms_.end(), [](const auto& it) {
    return it.second.ordered || it.second.upkeep_of > 0 ||
           it.second.vm.state != VmState::kUp;
  });
  return now - listed_at_ >= (active ? kListingInterval : kListingIntervalIdle);
}

void Fleet::OnVms(const std::vector<Vm>& vms, Millis sent) {
  ++listings_;
  std::set<std::string> names;
  for (const Vm& it : vms) {
    names.insert(it.name);
    State& state = vms_[it.name];
    state.missing_listings = 0;
    // A listing requested before the newest order shows the state before it.
    if (state.in_flight || sent <= state.ordered_at) continue;
    state.vm = it;
    const bool back = it.state == VmState::kUp;
    const Millis upkeep{static_cast<std::int64_t>(settings_.upkeep_s * 1000)};
    if (state.upkeep_of > 0 && back && sent - state.ordered_at >= upkeep) {
      state.upkeep_of = 0;
    }
  }
  for (auto& [name, state] : vms_) {
    if (!names.contains(name)) ++state.missing_listings;
  }
  std::erase_if(vms_, [](const auto& it) {
    const State& state = it.second;
    return state.missing_listings >= kListingsToForget && !state.ordered;
  });
}

void Fleet::IssueOrder(State& state, VmOrder order,
                       std::vector<VmOrder>& orders, Millis now) {
  state.ordered = state.in_flight = true;
  state.released_to.clear();
  state.ordered_at = now;
  if (order.wave > 0) state.upkeep_of = order.wave;
  state.order = order;
  tokens_ -= 1;
  orders.push_back(std::move(order));
}

void Fleet::OnAnswer(const VmOrder& order, VmAnswer answer,
                     Scheduler& scheduler, Millis now) {
  const auto it = vms_.find(order.vm);
  if (it == vms_.end()) return;
  State& state = it->second;
  state.in_flight = false;
  Worker* worker = scheduler.FindWorker(order.worker);
  LogLine(LogLevel::kInfo, "machine_order")
      .With("machine", order.vm)
      .With("worker", order.worker)
      .With("pool", order.pool)
      .With("wave", order.wave)
      .With("answer", ToText(answer));
  if (answer == VmAnswer::kUnknown) return;
  state.ordered = false;
  if (answer == VmAnswer::kBusy) {
    if (order.wave > 0) state.upkeep_of = 0;
    if (worker) worker->reserved = false;
    // The actual state differs from the recorded one: wait for the next
    // listing.
    state.vm.state = VmState::kDown;
    state.ordered_at = now;
    return;
  }
  state.ordered_at = now;
  scheduler.EndWorker(order.worker, WorkerLoss::kPlanned, now);
  state.vm.worker.clear();
  state.vm.state = order.wave > 0 ? VmState::kUpkeep : VmState::kMoving;
  if (!order.pool.empty()) state.vm.pool = order.pool;
  if (order.wave == 0) return;
  auto& begun = begun_[order.wave];
  begun.insert(order.vm);
  scheduler.WriteRow(
      {kWaveTable, std::to_string(order.wave), EncodeBegun(begun)});
}

bool Fleet::IsComplete(const WaveOrder& wave) const {
  if (listings_ < kListingsToForget) return false;
  return std::all_of(wave.vms.begin(), wave.vms.end(), [&](const auto& it) {
    return HasBegun(wave.number, it) || !vms_.contains(it);
  });
}

std::vector<VmOrder> Fleet::Plan(const std::map<int, WaveOrder>& waves,
                                 Scheduler& scheduler, Millis now) {
  std::vector<VmOrder> orders;
  if (vms_.empty()) return orders;
  const double gained = static_cast<double>((now - tokens_at_).count) / 1000 *
                        settings_.orders_per_s * kRateShare;
  tokens_ = std::min(settings_.orders_per_s * kBurstSeconds, tokens_ + gained);
  tokens_at_ = now;
  for (auto& [name, state] : vms_) {
    if (!state.ordered || state.in_flight) continue;
    if (now - state.ordered_at < kOrderRepeatInterval || tokens_ < 1) continue;
    IssueOrder(state, state.order, orders, now);
  }
  PlanWaves(waves, scheduler, orders, now);
  PlanReplacements(scheduler, orders, now);
  PlanMoves(scheduler, orders, now);
  return orders;
}

void Fleet::PlanWaves(const std::map<int, WaveOrder>& waves,
                      Scheduler& scheduler, std::vector<VmOrder>& orders,
                      Millis now) {
  for (auto& [id, worker] : scheduler.workers()) worker.awaits_upkeep = false;
  for (const auto& [number, wave] : waves) {
    int down = 0;
    std::vector<std::pair<std::int64_t, State*>> waiting;
    for (const std::string& name : wave.vms) {
      const auto it = vms_.find(name);
      if (it == vms_.end()) continue;
      State& state = it->second;
      // Includes VMs that an earlier leader took down.
      const bool in_upkeep = state.vm.state == VmState::kUpkeep;
      const bool blocked = IsBlocked(name, now);
      if (state.upkeep_of == number || in_upkeep || blocked) ++down;
      if (HasBegun(number, name)) continue;
      Worker* worker = scheduler.FindWorker(state.vm.worker);
      if (worker) worker->awaits_upkeep = true;
      if (!IsFree(state, now)) continue;
      // Runs started by an earlier leader are unknown until the worker reports,
      // and may continue until its lease expires.
      const bool adoption_pending =
          worker && !worker->adopted && now <= worker->lease_expires_by;
      if (adoption_pending) continue;
      // VMs that are off first, then those with the least CPU in use.
      std::int64_t cost = 0;
      if (worker) cost = 1 + worker->used.cpu_milli;
      if (worker && worker->reserved) cost = 0;
      waiting.emplace_back(cost, &state);
    }
    std::stable_sort(
        waiting.begin(), waiting.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    int room = wave.cap - down;
    for (auto& [cost, state] : waiting) {
      if (room <= 0) break;
      --room;
      Worker* worker = scheduler.FindWorker(state->vm.worker);
      if (worker && !scheduler.IsIdle(*worker)) {
        worker->reserved = true;
        scheduler.Evacuate(*worker);
        continue;
      }
      if (tokens_ < 1) break;
      if (worker) worker->reserved = true;
      IssueOrder(*state, {state->vm.name, state->vm.worker, "", number}, orders,
                 now);
    }
  }
}

void Fleet::PlanReplacements(Scheduler& scheduler, std::vector<VmOrder>& orders,
                             Millis now) {
  for (auto& [name, state] : vms_) {
    if (!IsFree(state, now) || tokens_ < 1) continue;
    Worker* worker = scheduler.FindWorker(state.vm.worker);
    if (!worker || !NeedsNewIncarnation(*worker, now)) continue;
    const std::string* pool =
        OtherPool(scheduler.configuration(), state.vm.pool);
    if (!pool) continue;
    LogLine(LogLevel::kWarning, "worker_refuses_connections")
        .With("worker", worker->entry.id)
        .With("machine", name)
        .With("for_ms", (now - worker->refuses_since).count);
    worker->reserved = true;
    IssueOrder(state, {name, state.vm.worker, *pool, 0}, orders, now);
  }
}

void Fleet::ComputeNeed(Pool& pool, const PoolDemand& demand) const {
  const auto vms_for = [&pool](std::int64_t cpu, std::int64_t memory_mb) {
    const double by_cpu =
        static_cast<double>(cpu) /
        static_cast<double>(std::max<std::int64_t>(1, pool.vm_cpu));
    const double by_memory =
        static_cast<double>(memory_mb) /
        static_cast<double>(std::max<std::int64_t>(1, pool.vm_memory));
    return static_cast<int>(
        std::ceil(std::max(by_cpu, by_memory) * kNeedFactor));
  };
  const std::int64_t now_cpu = demand.ready_cpu + demand.running_cpu;
  PoolNeed& need = pool.vms_needed;
  need.least = std::max(demand.spread,
                        vms_for(demand.lasting_cpu, demand.lasting_memory_mb));
  if (demand.stuck) need.least = std::max(need.least, pool.state.have + 1);
  if (now_cpu > demand.lasting_cpu) ++need.least;
  need.now = std::max(demand.spread, vms_for(now_cpu, demand.memory_mb));
  if (demand.stuck) need.now = std::max(need.now, pool.state.have + 1);
  need.least = std::min(need.least, need.now);
  need.soon = std::max(need.now, vms_for(demand.arriving_cpu, 0));
  pool.state.need = need.soon;
  const auto later = static_cast<std::int64_t>(
      kLaterShare * static_cast<double>(demand.later_cpu));
  pool.need_soon = std::max(need.soon, vms_for(now_cpu + later, 0));
}

std::vector<Fleet::Pool> Fleet::ComputePools(Scheduler& scheduler, Millis now) {
  const auto include = [](Pool& pool, const Vm& vm) {
    pool.vm_cpu = std::max(pool.vm_cpu, vm.capacity.cpu_milli);
    pool.vm_memory = std::max(pool.vm_memory, vm.capacity.memory_mb);
  };
  std::map<std::string, Pool> pools;
  const Configuration& config = scheduler.configuration();
  for (const auto& [name, service] : config.services) {
    if (!service.headroom) pools[name].name = name;
  }
  // VMs that work now or will once they have moved: a share counted from VMs in
  // upkeep would hide that a pool has more than its part of the others.
  int usable = 0;
  std::map<std::string, std::vector<std::pair<std::int64_t, std::string>>> busy;
  for (auto& [name, state] : vms_) {
    const auto it = pools.find(state.vm.pool);
    if (it == pools.end()) {
      if (IsFree(state, now)) ++usable;
      continue;
    }
    Pool& pool = it->second;
    include(pool, state.vm);
    if (state.vm.state == VmState::kUpkeep) {
      ++pool.state.coming;
      continue;
    }
    if (state.vm.state == VmState::kMoving) {
      ++usable;
      ++pool.state.coming;
      continue;
    }
    if (!state.released_to.empty()) {
      ++usable;
      const auto to = pools.find(state.released_to);
      if (to != pools.end()) ++to->second.state.coming;
      continue;
    }
    if (!IsFree(state, now)) continue;
    Worker* worker = scheduler.FindWorker(state.vm.worker);
    if (!worker) {
      ++pool.state.coming;
      continue;
    }
    if (worker->entry.draining || worker->reserved) continue;
    ++usable;
    ++pool.state.have;
    if (!worker->adopted || worker->unresponsive) continue;
    if (scheduler.IsIdle(*worker)) {
      pool.idle.push_back(name);
    } else if (!HostsLongRunningTask(*worker)) {
      busy[pool.name].emplace_back(worker->used.cpu_milli, name);
    }
  }
  std::vector<Pool> list;
  std::vector<PoolNeed> needs;
  const auto demands = scheduler.Demand(now);
  for (auto& [name, pool] : pools) {
    if (pool.vm_cpu == 0) {
      for (const auto& [id, state] : vms_) include(pool, state.vm);
    }
    const auto found = demands.find(name);
    const PoolDemand demand =
        found == demands.end() ? PoolDemand{} : found->second;
    ComputeNeed(pool, demand);
    needs.push_back(pool.vms_needed);
    LogShortage(pool, demand, now);
    std::sort(
        pool.idle.begin(), pool.idle.end(),
        [&](const std::string& a, const std::string& b) {
          const auto idle = [&](const std::string& it) {
            return scheduler.FindWorker(vms_.at(it).vm.worker)->idle_since;
          };
          return idle(a) < idle(b);
        });
    auto& candidates = busy[name];
    std::sort(candidates.begin(), candidates.end());
    for (auto& [used, vm] : candidates) {
      pool.releasable.push_back(std::move(vm));
    }
    list.push_back(std::move(pool));
  }
  const std::vector<int> shares = ShareVms(needs, usable);
  for (std::size_t i = 0; i < list.size(); ++i) {
    list[i].state.share = shares[i];
    pool_states_[list[i].name] = list[i].state;
  }
  return list;
}

// Logs a shortage of VMs at most once a second.
void Fleet::LogShortage(const Pool& pool, const PoolDemand& demand,
                        Millis now) {
  if (pool.state.need <= pool.state.have) return;
  Millis& logged = pool_logged_[pool.name];
  if (now - logged < kPoolLogInterval) return;
  logged = now;
  constexpr std::int64_t kMilli = 1000;
  LogLine(LogLevel::kInfo, "pool_short")
      .With("pool", pool.name)
      .With("have", pool.state.have)
      .With("coming", pool.state.coming)
      .With("need", pool.state.need)
      .With("running_cores", demand.running_cpu / kMilli)
      .With("ready_cores", demand.ready_cpu / kMilli)
      .With("arriving_cores", demand.arriving_cpu / kMilli);
}

void Fleet::FinishReleases(std::span<const Pool> pools, Scheduler& scheduler,
                           std::vector<VmOrder>& orders, Millis now) {
  for (auto& [name, state] : vms_) {
    if (state.released_to.empty()) continue;
    Worker* worker = scheduler.FindWorker(state.vm.worker);
    const std::string& target = state.released_to;
    const auto to =
        std::find_if(pools.begin(), pools.end(),
                     [&target](const Pool& it) { return it.name == target; });
    const bool needed = to != pools.end() && to->state.have < to->state.share;
    if (!worker || worker->ended || state.ordered) {
      state.released_to.clear();
    } else if (!needed) {
      state.released_to.clear();
      if (!worker->awaits_upkeep) worker->reserved = false;
    } else if (scheduler.IsIdle(*worker) && IsFree(state, now) &&
               tokens_ >= 1) {
      const std::string pool = std::exchange(state.released_to, {});
      IssueOrder(state, {name, state.vm.worker, pool, 0}, orders, now);
    }
  }
}

void Fleet::Release(std::span<Pool> pools, const Pool& pool, int missing,
                    Scheduler& scheduler) {
  while (missing > 0) {
    const auto surplus = [](const Pool& it) {
      return it.releasable.empty() ? 0 : it.state.have - it.state.share;
    };
    const auto lender = std::max_element(
        pools.begin(), pools.end(),
        [&](const Pool& a, const Pool& b) { return surplus(a) < surplus(b); });
    if (lender == pools.end() || surplus(*lender) <= 0) return;
    const std::string vm = lender->releasable.front();
    lender->releasable.erase(lender->releasable.begin());
    --lender->state.have;
    --missing;
    State& state = vms_.at(vm);
    Worker* worker = scheduler.FindWorker(state.vm.worker);
    if (!worker) continue;
    worker->reserved = true;
    state.released_to = pool.name;
    LogLine(LogLevel::kInfo, "machine_released")
        .With("machine", vm)
        .With("worker", worker->entry.id)
        .With("from", lender->name)
        .With("to", pool.name);
  }
}

void Fleet::PlanMoves(Scheduler& scheduler, std::vector<VmOrder>& orders,
                      Millis now) {
  const Configuration& config = scheduler.configuration();
  std::string headroom;
  std::vector<State*> off;
  for (const auto& [name, service] : config.services) {
    if (service.headroom) headroom = name;
  }
  for (auto& [name, state] : vms_) {
    if (IsFree(state, now) && IsHeadroom(config, state.vm.pool)) {
      off.push_back(&state);
    }
  }
  std::vector<Pool> pools = ComputePools(scheduler, now);
  FinishReleases(pools, scheduler, orders, now);
  const auto missing_vms = [](const Pool& it) {
    return it.state.share - it.state.have - it.state.coming;
  };
  std::sort(pools.begin(), pools.end(), [&](const Pool& a, const Pool& b) {
    return missing_vms(a) > missing_vms(b);
  });
  const auto idle_for = [&](const std::string& vm) {
    const Worker* worker = scheduler.FindWorker(vms_.at(vm).vm.worker);
    return worker ? now - worker->idle_since : Millis{0};
  };
  const auto move = [&](const std::string& vm, const std::string& pool) {
    State& state = vms_.at(vm);
    Worker* worker = scheduler.FindWorker(state.vm.worker);
    if (worker) worker->reserved = true;
    IssueOrder(state, {vm, state.vm.worker, pool, 0}, orders, now);
  };
  for (Pool& pool : pools) {
    int missing = missing_vms(pool);
    while (missing > 0 && tokens_ >= 1) {
      if (!off.empty()) {
        move(off.back()->vm.name, pool.name);
        off.pop_back();
        --missing;
        continue;
      }
      // The pool with the largest surplus lends the VM that has been idle
      // longest.
      Pool* lender = nullptr;
      for (Pool& it : pools) {
        if (&it == &pool || it.idle.empty() || it.state.have <= it.state.share)
          continue;
        if (idle_for(it.idle.front()) < kIdleBeforeLending) continue;
        if (!lender || it.state.have - it.state.share >
                           lender->state.have - lender->state.share) {
          lender = &it;
        }
      }
      if (!lender) break;
      move(lender->idle.front(), pool.name);
      lender->idle.erase(lender->idle.begin());
      --lender->state.have;
      --missing;
    }
    if (missing > 0) Release(pools, pool, missing, scheduler);
  }
  if (headroom.empty()) return;
  // Before the first demand it is unknown which VMs are not needed.
  const Millis demand_since =
      scheduler.demand_since().value_or(term_began_ + kDemandWait);
  for (Pool& pool : pools) {
    for (const std::string& vm : pool.idle) {
      if (pool.state.have <= std::max(1, pool.need_soon)) break;
      if (tokens_ < 1) return;
      if (vms_.at(vm).ordered) continue;
      const Millis unneeded_for = std::min(idle_for(vm), now - demand_since);
      if (unneeded_for < kIdleBeforeOff) continue;
      move(vm, headroom);
      --pool.state.have;
    }
  }
}

}  // namespace hemlockward::jobs
