#include "control/reports.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <string_view>

namespace hemlockward::control {

namespace json = boost::json;

namespace {

json::object VmJson(const ReportInputs& inputs, const base::VmRow& row) {
  json::object object{{"vm", row.vm.value},
                      {"pool", row.pool.value},
                      {"state", base::ToText(row.state)},
                      {"purpose", base::ToText(row.purpose)},
                      {"zone", row.zone.value},
                      {"rack", row.rack.value},
                      {"address", row.address},
                      {"changed_ms", row.changed.count},
                      {"reason", row.reason}};
  if (!row.destination.empty()) object["destination"] = row.destination.value;
  if (!row.wave.empty()) object["wave"] = row.wave.value;
  if (row.state == base::VmState::kLeaving) {
    object["waits_for"] = inputs.state.WaitReason(row.vm);
  }
  return object;
}

json::object VerdictJson(const Verdicts& verdicts, const base::VmId& vm,
                         base::WallMillis now) {
  const auto it = verdicts.find(vm);
  if (it == verdicts.end()) return {{"verdict", "none"}};
  return {{"verdict", it->second.up ? "up" : "down"},
          {"judged_ms_ago", (now - it->second.observed_at).count},
          {"since_ms_ago", (now - it->second.changed_at).count}};
}

json::array ServicesJson(const ReportInputs& inputs, const PoolHealth& pool,
                         const Accounts& accounts) {
  json::array services;
  for (const base::ServiceDocument* it : pool.need.documents) {
    const auto account = accounts.find(it->service);
    const BudgetAccount none;
    const BudgetAccount& held =
        account == accounts.end() ? none : account->second;
    const base::Millis left = BudgetLeft(held, it->budget, inputs.now);
    const base::Millis ours = TimeBelowFloor(
        held, it->budget.window, inputs.now, BelowFloorCause::kTakenOut);
    services.push_back(json::object{{"service", it->service.value},
                                    {"team", it->team.value},
                                    {"floor", FloorOf(*it)},
                                    {"budget_left_ms", left.count},
                                    {"below_by_us_ms", ours.count},
                                    {"below_now", held.is_below_floor}});
  }
  return services;
}

std::map<std::string_view, int> CountStates(const PoolHealth& pool) {
  std::map<std::string_view, int> counts;
  for (const VmStatus& it : pool.vms) ++counts[base::ToText(it.row->state)];
  return counts;
}

json::object PoolJson(const ReportInputs& inputs, const PoolHealth& pool,
                      const Accounts& accounts, const ReservePlan& reserve) {
  json::object states;
  for (const auto& [state, n] : CountStates(pool)) states[state] = n;
  json::object object{{"pool", pool.pool.value},
                      {"vms", pool.vms.size()},
                      {"states", std::move(states)},
                      {"up", pool.up},
                      {"out_by_us", pool.taken_out},
                      {"failed", pool.failed},
                      {"no_verdict", pool.no_verdict},
                      {"arriving", pool.arriving},
                      {"floor", pool.need.floor},
                      {"services", ServicesJson(inputs, pool, accounts)}};
  for (const PoolReserve& it : reserve.pools) {
    if (it.pool != pool.pool) continue;
    object["target"] = it.target;
    object["worst_rack"] = it.worst_rack;
    object["lack"] = it.shortfall;
  }
  return object;
}

json::object WaveJson(const ReportInputs& inputs, const base::WaveRow& row) {
  json::array pools;
  for (const base::PoolId& it : row.pools)
    pools.push_back(json::value(it.value));
  const std::string_view state = row.finished  ? "finished"
                                 : row.stopped ? "stopped"
                                               : "running";
  json::object object{{"wave", row.wave.value},
                      {"pools", std::move(pools)},
                      {"state", state},
                      {"started_ms", row.started.count},
                      {"reason", row.reason}};
  int taken = 0;
  int out = 0;
  for (const auto& [id, vm] : inputs.view.vms) {
    if (vm.wave != row.wave) continue;
    ++taken;
    if (vm.state != base::VmState::kMember) ++out;
  }
  object["taken"] = taken;
  object["out"] = out;
  if (row.finished) {
    object["total"] = taken;
    object["done"] = taken - out;
    return object;
  }
  if (const auto step = inputs.state.LastWaveStep(row.wave)) {
    object["total"] = step->progress.total;
    object["done"] = step->progress.done;
    object["failed"] = step->progress.failed;
    object["skipped"] = step->progress.skipped;
    object["todo"] = step->progress.todo;
    object["limit"] = step->reason;
  }
  return object;
}

json::array DecisionsJson(const std::vector<Decision>& decisions,
                          const base::FleetView& view,
                          const base::PoolId& pool) {
  json::array array;
  for (const Decision& it : decisions) {
    const auto row = view.vms.find(it.vm);
    const bool here = row != view.vms.end() && row->second.pool == pool;
    if (!here && it.destination != pool) continue;
    array.push_back(json::object{{"vm", it.vm.value},
                                 {"action", ToText(it.action)},
                                 {"destination", it.destination.value},
                                 {"reason", it.reason}});
  }
  return array;
}

}  // namespace

std::string FleetReport(const ReportInputs& inputs) {
  const Verdicts verdicts = inputs.state.verdicts();
  const Accounts accounts = inputs.state.accounts();
  const auto pools = EvaluateFleet(inputs.view, verdicts,
                                   inputs.settings.planner.health, inputs.now);
  const ReservePlan reserve =
      PlanReserve(pools, inputs.state.demand(), inputs.settings.planner.reserve,
                  inputs.now);
  json::array pool_items;
  for (const PoolHealth& it : pools) {
    pool_items.push_back(PoolJson(inputs, it, accounts, reserve));
  }
  json::array vm_items;
  for (const auto& [id, row] : inputs.view.vms) {
    vm_items.push_back(VmJson(inputs, row));
  }
  json::array entries;
  for (const base::EntryRow& it : inputs.view.membership.entries) {
    entries.push_back(json::object{{"entry", it.entry.value},
                                   {"zone", it.zone.value},
                                   {"http_address", it.http_address}});
  }
  json::object hold{{"vms", reserve.hold},
                    {"for_rack", reserve.for_rack},
                    {"for_demand", reserve.for_demand},
                    {"reason", reserve.reason}};
  return json::serialize(
      json::object{{"revision", inputs.view.revision},
                   {"membership", inputs.view.membership.number},
                   {"entries", std::move(entries)},
                   {"pools", std::move(pool_items)},
                   {"reserve", std::move(hold)},
                   {"vms", std::move(vm_items)}});
}

std::string WavesReport(const ReportInputs& inputs) {
  json::array waves;
  for (const auto& [id, row] : inputs.view.waves) {
    waves.push_back(WaveJson(inputs, row));
  }
  return json::serialize(json::object{{"revision", inputs.view.revision},
                                      {"waves", std::move(waves)}});
}

std::string PlanReport(const ReportInputs& inputs, const base::WaveRow& wave) {
  const WavePreview preview =
      PreviewWave(inputs.view, inputs.state.verdicts(), inputs.state.demand(),
                  inputs.state.accounts(), wave, inputs.settings.wave,
                  inputs.settings.planner.reserve, inputs.now);
  return json::serialize(
      json::object{{"vms", preview.vms},
                   {"duration_ms", preview.duration.count},
                   {"moves", preview.moves},
                   {"reserve", preview.reserve},
                   {"tightest_pool", preview.limiting_pool.value},
                   {"tightest_reason", preview.limiting_reason},
                   {"possible", preview.possible}});
}

std::string WhyVm(const ReportInputs& inputs, const base::VmId& vm) {
  const auto it = inputs.view.vms.find(vm);
  if (it == inputs.view.vms.end()) return {};
  const Verdicts verdicts = inputs.state.verdicts();
  json::object object = VmJson(inputs, it->second);
  object["revision"] = inputs.view.revision;
  object["verdict"] = VerdictJson(verdicts, vm, inputs.now);
  const auto known = verdicts.find(vm);
  const VmVerdict* verdict = known == verdicts.end() ? nullptr : &known->second;
  object["health"] = ToText(EvaluateVm(
      it->second, verdict, inputs.settings.planner.health, inputs.now));
  return json::serialize(object);
}

std::string WhyPool(const ReportInputs& inputs, const base::PoolId& pool) {
  const Verdicts verdicts = inputs.state.verdicts();
  const Demand demand = inputs.state.demand();
  const auto pools = EvaluateFleet(inputs.view, verdicts,
                                   inputs.settings.planner.health, inputs.now);
  const PoolHealth* found = FindPool(pools, pool);
  if (found == nullptr) return {};
  const ReservePlan reserve =
      PlanReserve(pools, demand, inputs.settings.planner.reserve, inputs.now);
  json::object object =
      PoolJson(inputs, *found, inputs.state.accounts(), reserve);
  const auto decisions =
      Plan(inputs.view, verdicts, demand, inputs.settings.planner, inputs.now);
  object["revision"] = inputs.view.revision;
  object["planned"] = DecisionsJson(decisions, inputs.view, pool);
  json::array vms;
  for (const VmStatus& it : found->vms) {
    json::object vm = VmJson(inputs, *it.row);
    vm["health"] = ToText(it.health);
    vms.push_back(std::move(vm));
  }
  object["vm_rows"] = std::move(vms);
  return json::serialize(object);
}

std::string WhyWave(const ReportInputs& inputs, const base::WaveId& wave) {
  const auto it = inputs.view.waves.find(wave);
  if (it == inputs.view.waves.end()) return {};
  json::object object = WaveJson(inputs, it->second);
  object["revision"] = inputs.view.revision;
  json::array vms;
  for (const auto& [id, row] : inputs.view.vms) {
    if (row.wave != wave) continue;
    vms.push_back(VmJson(inputs, row));
  }
  object["vms"] = std::move(vms);
  return json::serialize(object);
}

}  // namespace hemlockward::control
