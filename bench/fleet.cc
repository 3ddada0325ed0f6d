#include "bench/fleet.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ostream>
#include <string>
#include <vector>

#include "base/random.h"
#include "bench/fleet_world.h"

namespace hemlockward::bench {

namespace {

constexpr base::Weights kPasitosWeights{6, 2, 1};
constexpr base::Weights kAgencyWeights{1, 4, 4};
constexpr int kLetterPools = 81;
constexpr int kLetterZones = 24;
constexpr int kLetterTeams = 480;

PoolPlan MakePool(std::string name, int vms, double share,
                  base::Weights weights) {
  PoolPlan plan;
  plan.name = std::move(name);
  plan.vms = vms;
  plan.healthy_share = share;
  plan.weights = weights;
  return plan;
}

PoolPlan MakeSparePool(std::string name, base::Weights weights) {
  PoolPlan plan = MakePool(std::move(name), 10, 0.5, weights);
  plan.min_size = 6;
  plan.max_size = 16;
  return plan;
}

FleetCase Pasitos(const std::string& what, Faults faults) {
  FleetCase it;
  it.name = "pasitos " + what;
  it.zones = 4;
  it.faults = faults;
  it.spare_pool = "general";
  for (const char* pool : {"fitting", "booking", "stock", "forecast"}) {
    it.pools.push_back(MakePool(pool, 10, 0.8, kPasitosWeights));
  }
  it.pools.push_back(MakeSparePool("general", kPasitosWeights));
  return it;
}

FleetCase Agency(const std::string& what, Faults faults) {
  FleetCase it;
  it.name = "agency " + what;
  it.zones = 3;
  it.faults = faults;
  it.spare_pool = "support";
  for (const char* pool : {"dashboard", "refresh", "alerts", "rebuild"}) {
    it.pools.push_back(MakePool(pool, 10, 0.7, kAgencyWeights));
  }
  it.pools.push_back(MakeSparePool("support", kAgencyWeights));
  return it;
}

// `vms` workers over the letter's pools, zones and teams in proportion.
FleetCase Letter(const std::string& what, int vms, Faults faults) {
  FleetCase it;
  it.name = "letter " + what;
  it.zones = kLetterZones;
  it.faults = faults;
  it.spare_pool = "p00";
  it.step = base::Seconds(60);
  it.length = base::Hours(24);
  it.until_finished = true;
  const int pools = std::max(2, kLetterPools * vms / 22'000);
  const int spare = vms / 40;
  const int size = (vms - spare) / pools;
  for (int i = 0; i < pools; ++i) {
    char buf[8];
    std::snprintf(buf, sizeof buf, "p%02d", i);
    PoolPlan plan = MakePool(buf, size, 0.8, kPasitosWeights);
    const bool is_spare = i == 0;
    plan.teams = is_spare ? 1 : kLetterTeams / kLetterPools + (i <= 75 ? 1 : 0);
    plan.min_size = is_spare ? size : size / plan.teams * plan.teams;
    plan.vms = is_spare ? vms - (pools - 1) * size : plan.min_size;
    plan.max_size = plan.vms + plan.vms / 4;
    plan.from_minute = 0;
    plan.to_minute = 6 * 60;
    it.pools.push_back(plan);
  }
  return it;
}

struct Fault {
  const char* name;
  Faults faults;
};

const Fault kFaults[] = {
    {"today", {}},
    {"rack lost", {.rack_lost_minute = 20}},
    {"zone lost", {.zone_lost_minute = 20}},
    {"no return", {.doomed_every = 5}},
    {"monitor silent", {.silent_minute = 20}},
    {"table outage", {.outage_minute = 20}},
};

const char* Name(Policy policy) {
  switch (policy) {
    case Policy::kOurs:
      return "ours";
    case Policy::kSerial:
      return "serial";
    case Policy::kFixedReserve:
      return "fixed reserve";
  }
  return "";
}

class FleetBench {
 public:
  explicit FleetBench(std::ostream& out) : out_(out) {}

  void Head();
  void Case(const FleetCase& fleet_case, const std::vector<Policy>& policies);
  void Cost(int vms);
  [[nodiscard]] std::uint64_t signature() const { return signature_; }

 private:
  std::ostream& out_;
  std::uint64_t signature_ = 0;
};

void FleetBench::Head() {
  out_ << "case                    policy         buffer VM-h/h  roll-out min"
          "  preview  moves  below by us min  below min  done/total  end\n";
}

void FleetBench::Case(const FleetCase& fleet_case,
                      const std::vector<Policy>& policies) {
  for (const Policy policy : policies) {
    const FleetResult it = RunFleetCase(fleet_case, policy);
    char buf[256];
    std::snprintf(buf, sizeof buf,
                  "%-23s %-14s %13.2f %13d %8d %6d %16.1f %10.1f %5d/%-5d %s\n",
                  fleet_case.name.c_str(), Name(policy),
                  it.buffer_vm_hours / it.hours, it.rollout_minutes,
                  it.preview_minutes, it.moves, it.minutes_below_by_us,
                  it.minutes_below, it.done, it.total, it.end.c_str());
    out_ << buf << std::flush;
    if (policy != Policy::kOurs) continue;
    signature_ = base::StableHash(std::to_string(it.signature), signature_);
  }
}

std::size_t BytesInUse() { return mallinfo2().uordblks; }

template <class Work>
double MillisecondsOf(Work work) {
  std::vector<double> times;
  for (int i = 0; i < 5; ++i) {
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::milli> spent =
        std::chrono::steady_clock::now() - start;
    times.push_back(spent.count());
  }
  std::nth_element(times.begin(), times.begin() + 2, times.end());
  return times[2];
}

// One planning step in a fleet with a wave under way.
void FleetBench::Cost(int vms) {
  const FleetCase fleet_case = Letter("cost", vms, {});
  const std::size_t before = BytesInUse();
  base::FleetView view = MakeFleet(fleet_case.pools, fleet_case.zones);
  const base::WallMillis now{1'699'920'000'000};
  base::WaveRow wave;
  wave.wave = base::WaveId("w");
  view.waves[wave.wave] = wave;
  const control::Verdicts verdicts = AllUp(view, now);
  const std::size_t held = BytesInUse() - before;
  control::PlannerSettings planner;
  planner.reserve.spare_pool = base::PoolId(fleet_case.spare_pool);
  std::size_t step_bytes = 0;
  const double judge = MillisecondsOf([&] {
    const auto pools = control::EvaluateFleet(view, verdicts, {}, now);
    step_bytes = BytesInUse() - before - held;
  });
  const double plan = MillisecondsOf(
      [&] { (void)control::Plan(view, verdicts, {}, planner, now); });
  const double step = MillisecondsOf(
      [&] { (void)control::NextWaveSteps(view, verdicts, {}, {}, {}, now); });
  const double preview = MillisecondsOf([&] {
    (void)control::PreviewWave(view, verdicts, {}, {}, wave, {},
                               planner.reserve, now);
  });
  char buf[256];
  std::snprintf(buf, sizeof buf,
                "%6zu VMs: judge %.2f ms, plan %.2f ms, wave step %.2f ms, "
                "preview %.2f ms; view and verdicts %.2f MB, a step %.2f MB\n",
                view.vms.size(), judge, plan, step, preview,
                static_cast<double>(held) / 1e6,
                static_cast<double>(step_bytes) / 1e6);
  out_ << buf;
}

}  // namespace

std::uint64_t RunFleetBench(std::ostream& out) {
  FleetBench bench(out);
  bench.Head();
  const std::vector<Policy> all = {Policy::kOurs, Policy::kSerial,
                                   Policy::kFixedReserve};
  for (const Fault& it : kFaults) bench.Case(Pasitos(it.name, it.faults), all);
  for (const Fault& it : kFaults) bench.Case(Agency(it.name, it.faults), all);
  // Serial takes months at this size; it isn't run.
  const std::vector<Policy> large = {Policy::kOurs, Policy::kFixedReserve};
  bench.Case(Letter("22,000", 22'000, {}), large);
  bench.Case(Letter("zone lost", 22'000, {.zone_lost_minute = 30}), large);
  for (const int vms : {1'000, 5'000, 22'000}) bench.Cost(vms);
  out << "fleet signature: " << bench.signature() << "\n";
  return bench.signature();
}

}  // namespace hemlockward::bench
