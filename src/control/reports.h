#pragma once

#include <string>

#include "base/clock.h"
#include "base/fleet.h"
#include "control/fleet_state.h"

/// Reports for operators as JSON text. Pure functions.
namespace hemlockward::control {

/// Input of all reports.
struct ReportInputs {
  const base::FleetView& view;
  const FleetState& state;
  const RunnerSettings& settings;
  base::WallMillis now{};
};

/// The fleet: revision, entries, VMs, reserve, and each pool with its VM count
/// per state, its health and the remaining budget of its services.
std::string FleetReport(const ReportInputs& inputs);
/// Every wave with its progress.
std::string WavesReport(const ReportInputs& inputs);
/// Preview of `wave`: its VMs, duration, moves, reserve and tightest pool.
std::string PlanReport(const ReportInputs& inputs, const base::WaveRow& wave);

/// State of a VM, pool or wave and the reasons for it; empty if unknown.
std::string WhyVm(const ReportInputs& inputs, const base::VmId& vm);
std::string WhyPool(const ReportInputs& inputs, const base::PoolId& pool);
std::string WhyWave(const ReportInputs& inputs, const base::WaveId& wave);

}  // namespace hemlockward::control
