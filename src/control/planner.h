#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/fleet.h"
#include "control/budget.h"
#include "control/reserve.h"

/// Which VMs change pools now.
namespace hemlockward::control {

/// What is to be done with a VM; each is one conditional change of its row.
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
  base::Millis replace_after = base::Minutes(5);  ///< Down so long: replaced.
  base::Millis return_limit = base::Minutes(15);  ///< Out so long: replaced.
  base::Millis move_cooldown =
      base::Minutes(30);  ///< Between two moves of one VM.
  base::Millis maintenance_duration =
      base::Minutes(6);  ///< As WaveSettings::cycle.
  int max_moves = 500;   ///< In one step.
};

/// Moves between pools and VMs to admit after maintenance. Deterministic;
/// linear in the number of VMs but for sorting. Calling it again before the
/// decisions were carried out gives the same ones.
std::vector<Decision> Plan(const base::FleetView& view,
                           const Verdicts& verdicts, const Demand& demand,
                           const PlannerSettings& settings,
                           base::WallMillis now);

std::string_view ToText(Action value);

}  // namespace hemlockward::control
