#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/fleet.h"
#include "control/budget.h"
#include "control/reserve.h"

/// Selects the VMs that change pools now.
namespace hemlockward::control {

/// Action on a VM; each is one conditional update of its row.
enum class Action : std::uint8_t {
  kMove,     ///< kMember -> kLeaving, purpose kMove, `destination` set.
  kTakeOut,  ///< kMember -> kLeaving, purpose kMaintain, `wave` set.
  kAdmit,    ///< kReturning -> kMember, purpose kNone; `wave` is kept.
};

struct Decision {
  base::VmId vm;
  Action action = Action::kMove;
  base::PoolId destination;  ///< With kMove.
  base::WaveId wave;         ///< With kTakeOut.
  std::string reason;        ///< For the log and `hemlockctl why`.
};

struct PlannerSettings {
  HealthSettings health;
  ReserveSettings reserve;
  base::Millis replace_after =
      base::Minutes(5);  ///< A VM down this long is replaced.
  base::Millis return_limit =
      base::Minutes(15);  ///< A drained VM not back after this is replaced.
  base::Millis move_cooldown =
      base::Minutes(30);  ///< Minimum time between moves of one VM.
  base::Millis maintenance_duration =
      base::Minutes(6);  ///< As WaveSettings::maintenance_duration.
  int max_moves = 500;   ///< In one step.
};

/// Moves between pools and VMs to admit after maintenance. Deterministic;
/// linear in the number of VMs except for sorting. Calling it again before the
/// decisions are applied returns the same ones.
std::vector<Decision> Plan(const base::FleetView& view,
                           const Verdicts& verdicts, const Demand& demand,
                           const PlannerSettings& settings,
                           base::WallMillis now);

std::string_view ToText(Action value);

}  // namespace hemlockward::control
