#include "bench/fleet_world.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <set>
#include <utility>

#include "base/random.h"

namespace hemlockward::bench {

using base::Millis;
using base::VmPurpose;
using base::VmState;
using base::WallMillis;

namespace {

// Midnight UTC, so that hours of the day are easy to read.
constexpr WallMillis kStart{1'699'920'000'000};
constexpr Millis kReboot = base::Seconds(180);
constexpr Millis kMonitorPeriod = base::Seconds(60);
constexpr Millis kMonitorLag = base::Seconds(20);
constexpr Millis kSilence = base::Minutes(10);
constexpr Millis kOutage = base::Minutes(10);
constexpr Millis kRackLoss = base::Hours(2);
constexpr Millis kZoneLoss = base::Hours(1);
const base::WaveId kWave("w1");

// The VMs as they really are, apart from what the table says.
struct Machine {
  bool alive = true;
  bool doomed = false;
  Millis drain{};
};

class World {
 public:
  World(const FleetCase& fleet_case, Policy policy);
  FleetResult Run();

 private:
  void Build();
  void LearnDemand();
  void BreakThings();
  void AdvanceMachines();
  void AdvanceVm(base::VmRow& row, Machine& machine);
  void AskMonitor();
  void Decide();
  void DecideOurs();
  void DecideSerial();
  void DecideFixed();
  void PlanMoves(bool with_waves);
  void TakeOut(base::VmRow& row);
  void Apply(const control::Decision& decision);
  void Sign(std::string_view text);
  void Measure();
  void EndWaveIfDone();
  void EndWave(std::string how);
  [[nodiscard]] bool Within(int minute, Millis length) const;
  [[nodiscard]] bool InHours(const control::PoolHealth& pool) const;
  [[nodiscard]] Millis Elapsed() const { return now_ - kStart; }
  [[nodiscard]] int PhysicalSize(const PoolPlan& plan) const;

  const FleetCase& case_;
  Policy policy_;
  WallMillis now_ = kStart;
  base::FleetView view_;
  control::Verdicts verdicts_;
  control::Demand demand_;
  control::Accounts accounts_;
  control::PlannerSettings planner_;
  control::WaveSettings waves_;
  std::map<base::VmId, Machine> machines_;
  std::set<base::VmId> taken_;
  FleetResult result_;
};

World::World(const FleetCase& fleet_case, Policy policy)
    : case_(fleet_case), policy_(policy) {
  // Fixed reserve gives nothing back: its share stays in the pools.
  if (policy != Policy::kFixedReserve) {
    planner_.reserve.spare_pool = base::PoolId(case_.spare_pool);
  }
  Build();
  LearnDemand();
}

// Fixed reserve keeps its share in the pools, the others in the spare pool.
int World::PhysicalSize(const PoolPlan& plan) const {
  if (policy_ != Policy::kFixedReserve) return plan.vms;
  return static_cast<int>(
      std::ceil(plan.min_size * (1 + case_.fixed_share) - 1e-9));
}

void World::Build() {
  std::vector<PoolPlan> plans = case_.pools;
  for (PoolPlan& it : plans) it.vms = PhysicalSize(it);
  view_ = MakeFleet(plans, case_.zones);
  base::WaveRow wave;
  wave.wave = kWave;
  wave.started = kStart;
  view_.waves[kWave] = wave;
  int n = 0;
  for (auto& [vm, row] : view_.vms) {
    Machine machine;
    machine.doomed =
        case_.faults.doomed_every > 0 && n % case_.faults.doomed_every == 2;
    const auto spread = base::StableHash(vm.value) % 60;
    machine.drain = base::Seconds(static_cast<std::int64_t>(spread));
    machines_[vm] = machine;
    ++n;
  }
  verdicts_ = AllUp(view_, kStart);
}

// Each pool in turn peaks at a fifth above its least size for one hour.
void World::LearnDemand() {
  int i = 0;
  for (const PoolPlan& it : case_.pools) {
    control::PoolDemand demand;
    demand.now = 0.5 * it.min_size;
    demand.peak_by_hour.fill(0.6 * it.min_size);
    if (it.name != case_.spare_pool) {
      demand.peak_by_hour[(12 + 2 * i) % 24] = 1.2 * it.min_size;
    }
    demand.observed = kStart;
    demand_[base::PoolId(it.name)] = demand;
    ++i;
  }
}

bool World::Within(int minute, Millis length) const {
  if (minute == 0) return false;
  const Millis from = base::Minutes(minute);
  return Elapsed() >= from && Elapsed() < from + length;
}

void World::BreakThings() {
  const Faults& faults = case_.faults;
  const bool rack_lost = Within(faults.rack_lost_minute, kRackLoss);
  const bool zone_lost = Within(faults.zone_lost_minute, kZoneLoss);
  for (const auto& [vm, row] : view_.vms) {
    const bool in_rack = rack_lost && row.rack.value == "r1";
    const bool in_zone = zone_lost && row.zone.value == "z1";
    machines_[vm].alive = !in_rack && !in_zone;
  }
}

void World::AdvanceVm(base::VmRow& row, Machine& machine) {
  const Millis age = now_ - row.changed;
  const VmState before = row.state;
  if (row.state == VmState::kLeaving && age >= machine.drain) {
    row.state = VmState::kEmpty;
  } else if (row.state == VmState::kEmpty) {
    if (row.purpose == VmPurpose::kMove) {
      row.pool = row.destination;
      row.destination = {};
      row.purpose = VmPurpose::kNone;
      row.state = VmState::kMember;
    } else {
      row.state = VmState::kRebooting;
    }
  } else if (row.state == VmState::kRebooting && age >= kReboot) {
    row.state = VmState::kReturning;
  }
  if (row.state != before) row.changed = now_;
}

void World::AdvanceMachines() {
  if (Within(case_.faults.outage_minute, kOutage)) return;
  for (auto& [vm, row] : view_.vms) AdvanceVm(row, machines_[vm]);
}

void World::AskMonitor() {
  if (Within(case_.faults.silent_minute, kSilence)) return;
  if (Elapsed().count % kMonitorPeriod.count != 0) return;
  const WallMillis judged{now_.count - kMonitorLag.count};
  for (const auto& [vm, row] : view_.vms) {
    const Machine& machine = machines_[vm];
    const bool gone = machine.doomed && (row.state == VmState::kRebooting ||
                                         row.state == VmState::kReturning);
    const bool up = machine.alive && !gone && row.state != VmState::kRebooting;
    control::RecordVerdict(verdicts_, vm, up, judged);
  }
}

void World::Sign(std::string_view text) {
  result_.signature = base::StableHash(text, result_.signature);
}

void World::TakeOut(base::VmRow& row) {
  row.state = VmState::kLeaving;
  row.purpose = VmPurpose::kMaintain;
  row.wave = kWave;
  row.changed = now_;
  Sign("take " + row.vm.value + " " + std::to_string(Elapsed().count));
  if (!taken_.insert(row.vm).second) std::abort();  // Once per wave.
}

void World::Apply(const control::Decision& decision) {
  base::VmRow& row = view_.vms.at(decision.vm);
  switch (decision.action) {
    case control::Action::kMove:
      ++result_.moves;
      row.state = VmState::kLeaving;
      row.purpose = VmPurpose::kMove;
      row.destination = decision.destination;
      Sign("move " + row.vm.value + " " + decision.destination.value + " " +
           std::to_string(Elapsed().count));
      break;
    case control::Action::kTakeOut:
      return TakeOut(row);
    case control::Action::kAdmit:
      row.state = VmState::kMember;
      row.purpose = VmPurpose::kNone;
      break;
  }
  row.changed = now_;
}

// Baselines replace failed VMs as we do, but lend nothing to the wave.
void World::PlanMoves(bool with_waves) {
  std::map<base::WaveId, base::WaveRow> waves;
  if (!with_waves) waves.swap(view_.waves);
  const auto decisions =
      control::Plan(view_, verdicts_, demand_, planner_, now_);
  if (!with_waves) waves.swap(view_.waves);
  for (const control::Decision& it : decisions) Apply(it);
}

void World::EndWave(std::string how) {
  base::WaveRow& wave = view_.waves.at(kWave);
  if (wave.finished || wave.stopped) return;
  wave.finished = true;
  result_.end = std::move(how);
  result_.rollout_minutes =
      static_cast<int>(Elapsed().count / base::Minutes(1).count);
}

void World::DecideOurs() {
  for (control::WaveStep& step : control::NextWaveSteps(
           view_, verdicts_, demand_, accounts_, waves_, now_)) {
    for (const control::Decision& it : step.take_out) Apply(it);
    if (step.action == control::WaveAction::kFinish) EndWave("finished");
    if (step.action == control::WaveAction::kStop) {
      EndWave("stopped: " + step.reason);
      view_.waves.at(kWave).finished = false;
      view_.waves.at(kWave).stopped = true;
    }
  }
  PlanMoves(true);
}

bool World::InHours(const control::PoolHealth& pool) const {
  const int minute =
      static_cast<int>(now_.count / base::Minutes(1).count % (24 * 60));
  return std::all_of(pool.need.documents.begin(), pool.need.documents.end(),
                     [&](const base::ServiceDocument* it) {
                       return control::IsInMaintenanceHours(*it, minute);
                     });
}

// Counts a VM that doesn't come back as done with, as an operator would.
bool IsOut(const base::VmRow& row, WallMillis now, Millis limit) {
  const bool maintained = row.purpose == VmPurpose::kMaintain;
  if (!maintained || row.state == VmState::kMember) return false;
  return row.state == VmState::kLeaving || now - row.changed <= limit;
}

void World::EndWaveIfDone() {
  for (const auto& [vm, row] : view_.vms) {
    const bool down = !verdicts_.at(vm).up;
    if (row.wave != kWave && !down) return;
    if (IsOut(row, now_, waves_.return_limit)) return;
  }
  EndWave("finished");
}

void World::DecideSerial() {
  const auto pools = control::EvaluateFleet(view_, verdicts_, {}, now_);
  bool busy = false;
  for (const auto& [vm, row] : view_.vms) {
    busy = busy || IsOut(row, now_, waves_.return_limit);
  }
  for (const control::PoolHealth& pool : pools) {
    if (busy || !InHours(pool)) continue;
    for (const control::VmStatus& it : pool.vms) {
      const bool fit =
          it.health == control::VmHealth::kUp && it.row->wave != kWave;
      if (!fit || pool.up - 1 < pool.need.floor) continue;
      TakeOut(view_.vms.at(it.row->vm));
      busy = true;
      break;
    }
  }
  EndWaveIfDone();
  PlanMoves(false);
}

// Takes out as many as the reserve makes good: the rest is the least size.
void World::DecideFixed() {
  const auto pools = control::EvaluateFleet(view_, verdicts_, {}, now_);
  for (const control::PoolHealth& pool : pools) {
    if (!InHours(pool)) continue;
    int room = pool.up - pool.need.min_size;
    for (const control::VmStatus& it : pool.vms) {
      if (room <= 0) break;
      const bool fit =
          it.health == control::VmHealth::kUp && it.row->wave != kWave;
      if (!fit) continue;
      TakeOut(view_.vms.at(it.row->vm));
      --room;
    }
  }
  EndWaveIfDone();
  PlanMoves(false);
}

void World::Decide() {
  if (Within(case_.faults.outage_minute, kOutage)) return;
  switch (policy_) {
    case Policy::kOurs:
      return DecideOurs();
    case Policy::kSerial:
      return DecideSerial();
    case Policy::kFixedReserve:
      return DecideFixed();
  }
}

// Reserve: all VMs above the least size of their pool, wherever they wait.
void World::Measure() {
  const auto pools = control::EvaluateFleet(view_, verdicts_, {}, now_);
  control::ObserveAll(accounts_, pools, now_);
  int buffer = 0;
  for (const control::PoolHealth& pool : pools) {
    buffer += std::max(0, pool.up - pool.need.min_size);
  }
  const double hours = static_cast<double>(case_.step.count) /
                       static_cast<double>(base::Hours(1).count);
  result_.buffer_vm_hours += buffer * hours;
  result_.hours += hours;
}

FleetResult World::Run() {
  const control::WavePreview preview = control::PreviewWave(
      view_, verdicts_, demand_, accounts_, view_.waves.at(kWave), waves_,
      planner_.reserve, now_);
  constexpr std::int64_t kMinuteMillis = base::Minutes(1).count;
  result_.preview_minutes =
      static_cast<int>(preview.duration.count / kMinuteMillis);
  while (Elapsed() < case_.length) {
    BreakThings();
    AdvanceMachines();
    AskMonitor();
    Decide();
    Measure();
    now_ = now_ + case_.step;
    if (case_.until_finished && result_.rollout_minutes >= 0) break;
  }
  constexpr double kMinute = 60'000;
  for (const auto& [service, account] : accounts_) {
    const Millis all = control::TimeBelowFloor(account, case_.length, now_);
    const Millis by_us = control::TimeBelowFloor(
        account, case_.length, now_, control::BelowFloorCause::kTakenOut);
    result_.minutes_below += static_cast<double>(all.count) / kMinute;
    result_.minutes_below_by_us += static_cast<double>(by_us.count) / kMinute;
  }
  for (const auto& [vm, row] : view_.vms) {
    const bool back = row.state == VmState::kMember && row.wave == kWave;
    result_.done += back ? 1 : 0;
  }
  result_.total = static_cast<int>(view_.vms.size());
  if (result_.end.empty()) result_.end = "not finished";
  Sign(result_.end + std::to_string(result_.rollout_minutes) + " " +
       std::to_string(std::llround(result_.minutes_below * 2)));
  return std::move(result_);
}

}  // namespace

FleetResult RunFleetCase(const FleetCase& fleet_case, Policy policy) {
  return World(fleet_case, policy).Run();
}

}  // namespace hemlockward::bench
