#pragma once

#include <string>

#include "base/clock.h"
#include "base/fleet.h"
#include "control/fleet_state.h"

/// What operators are shown, as JSON text. Pure.
namespace hemlockward::control {

/// What reports are made from.
struct ReportInputs {
  const base::FleetView& view;
  const FleetState& state;
  const RunnerSettings& settings;
  base::WallMillis now{};
};

/// Pools with their VMs per state, health, reserve and the budget left of each
/// service; the entries; the revision.
std::string FleetReport(const ReportInputs& inputs);
/// Every wave with its progress.
std::string WavesReport(const ReportInputs& inputs);
/// What a wave would take.
std::string PlanReport(const ReportInputs& inputs, const base::WaveRow& wave);

/// Why a VM, pool or wave is as it is; empty when there is no such thing.
std::string WhyVm(const ReportInputs& inputs, const base::VmId& vm);
std::string WhyPool(const ReportInputs& inputs, const base::PoolId& pool);
std::string WhyWave(const ReportInputs& inputs, const base::WaveId& wave);

}  // namespace hemlockward::control
