#pragma once

#include <string>
#include <vector>

#include "base/fleet.h"
#include "control/budget.h"
#include "control/planner.h"
#include "control/reserve.h"

/// Selects the VMs that a maintenance wave takes out now.
namespace hemlockward::control {

struct WaveSettings {
  HealthSettings health;
  base::Millis return_limit =
      base::Minutes(15);  ///< A VM out this long has failed.
  base::Millis canary_soak =
      base::Minutes(1);  ///< Uptime required of the first VM.
  base::Millis failure_watch =
      base::Hours(1);  ///< A VM down this soon has failed.
  base::Millis maintenance_duration =
      base::Minutes(6);  ///< Expected from drain to verdict.
  int width_per_proven_vm =
      8;  ///< VMs out at once per VM that returned healthy.
  int stop_failure_percent = 10;  ///< Failure rate that stops a wave.
  int min_failures_to_stop = 2;   ///< Fewer stop it only if the canary fails.
};

/// Progress of a wave, in VMs.
struct WaveProgress {
  int total = 0;      ///< VMs in its pools that aren't lost.
  int done = 0;       ///< Taken out and back in service.
  int taken_out = 0;  ///< Taken out and not back yet.
  int failed = 0;     ///< Taken out and not back in time, or down since.
  int skipped = 0;    ///< Down for other reasons; left to repair.
  int todo = 0;
};

/// A change of the wave's row that the decision asks for.
enum class WaveAction : std::uint8_t { kContinue, kNarrow, kStop, kFinish };

struct WaveStep {
  base::WaveId wave;
  WaveAction action = WaveAction::kContinue;
  std::string reason;  ///< Of the action, or why no more VMs are taken out.
  WaveProgress progress;
  std::vector<Decision> take_out;  ///< All of them Action::kTakeOut.
};

/// The next step of every wave that is neither stopped nor finished, oldest
/// first. A VM is taken out at most once per wave. Linear in the number of VMs
/// except for sorting. Deterministic.
std::vector<WaveStep> NextWaveSteps(const base::FleetView& view,
                                    const Verdicts& verdicts,
                                    const Demand& demand,
                                    const Accounts& accounts,
                                    const WaveSettings& settings,
                                    base::WallMillis now);

/// Estimated cost of a wave before its start.
struct WavePreview {
  int vms = 0;
  base::Millis duration{};      ///< Expected, from `now`.
  int moves = 0;                ///< VMs lent to widen the wave.
  int reserve = 0;              ///< VMs held in reserve during the wave.
  base::PoolId limiting_pool;   ///< Finishes last, or allows no VM out.
  std::string limiting_reason;  ///< Why no more of its VMs can be out.
  bool possible = true;         ///< False: some pool never allows a VM out.
};

WavePreview PreviewWave(const base::FleetView& view, const Verdicts& verdicts,
                        const Demand& demand, const Accounts& accounts,
                        const base::WaveRow& wave, const WaveSettings& settings,
                        const ReserveSettings& reserve, base::WallMillis now);

/// True when `wave` maintains the VMs of `pool`.
bool WaveIncludes(const base::WaveRow& wave, const base::PoolId& pool);

/// The oldest active wave that includes `pool`; null when there is none.
const base::WaveRow* ActiveWave(const base::FleetView& view,
                                const base::PoolId& pool);

/// True when `wave` still has to maintain the VM of `row`: neither this wave
/// nor one that started later has taken the VM out. A later wave's maintenance
/// counts, so that a VM that changes pools under two waves is never taken out
/// twice by one of them.
bool WaveNeedsVm(const base::FleetView& view, const base::WaveRow& wave,
                 const base::VmRow& row);

/// Null when a VM of `pool` taken out now would be back within every team's
/// maintenance hours; else a document whose hours forbid it.
const base::ServiceDocument* FindDocumentOutsideHours(
    const PoolHealth& pool, base::Millis maintenance_duration,
    base::WallMillis now);

/// True when `minute` of the UTC day lies in the team's maintenance hours.
bool IsInMaintenanceHours(const base::ServiceDocument& document, int minute);

}  // namespace hemlockward::control
