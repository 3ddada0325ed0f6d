#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "base/fleet.h"
#include "control/budget.h"

/// Builds fleets for benches and tests: racks of four VMs, zones in turn.
namespace hemlockward::bench {

inline constexpr int kVmsPerRack = 4;

/// One pool to build, with as many equal teams as `teams` says.
struct PoolPlan {
  std::string name;
  int vms = 10;
  int min_size = 10;  ///< Of all teams together.
  int max_size = 14;
  double healthy_share = 0.8;
  int from_minute = 0;
  int to_minute = 24 * 60;
  base::Millis graceful_stop = base::Seconds(60);
  base::Weights weights = {};
  int teams = 1;
  bool movable = true;
};

inline base::ServiceDocument MakeDocument(const PoolPlan& plan, int team) {
  base::ServiceDocument document;
  const std::string name = plan.name + "-" + std::to_string(team);
  document.team = base::TeamId(name);
  document.service = base::ServiceId(name);
  document.pool = base::PoolId(plan.name);
  document.min_size = plan.min_size / plan.teams;
  document.max_size = plan.max_size / plan.teams;
  document.budget.least_healthy_share = plan.healthy_share;
  document.maintenance_from_minute = plan.from_minute;
  document.maintenance_to_minute = plan.to_minute;
  document.graceful_stop = plan.graceful_stop;
  document.weights = plan.weights;
  document.movable = plan.movable;
  return document;
}

/// Deals the VMs of all pools over racks and zones like cards, so that each
/// pool is spread as far as it can be.
inline base::FleetView MakeFleet(const std::vector<PoolPlan>& plans,
                                 int zones) {
  base::FleetView view;
  int total = 0;
  for (const PoolPlan& it : plans) total += it.vms;
  const int racks = (total + kVmsPerRack - 1) / kVmsPerRack;
  int n = 0;
  for (const PoolPlan& plan : plans) {
    for (int team = 0; team < plan.teams; ++team) {
      base::ServiceDocument document = MakeDocument(plan, team);
      view.documents[document.team] = document;
    }
    for (int i = 0; i < plan.vms; ++i, ++n) {
      char buf[16];
      std::snprintf(buf, sizeof buf, "vm%05d", n);
      const int rack = n % racks;
      base::VmRow row;
      row.vm = base::VmId(buf);
      row.pool = base::PoolId(plan.name);
      row.rack = base::RackId("r" + std::to_string(rack));
      row.zone = base::ZoneId("z" + std::to_string(rack % zones));
      row.address = "127.0.0.1:1";
      view.vms[row.vm] = row;
    }
  }
  return view;
}

/// Calls every VM up.
inline control::Verdicts AllUp(const base::FleetView& view,
                               base::WallMillis judged) {
  control::Verdicts verdicts;
  for (const auto& [vm, row] : view.vms) {
    control::RecordVerdict(verdicts, vm, true, judged);
  }
  return verdicts;
}

}  // namespace hemlockward::bench
