#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/fleet.h"
#include "control/planner.h"
#include "platform/platform.h"

/// State transitions of one VM during a move or maintenance, one step at a
/// time. Pure; see VmState for the states.
namespace hemlockward::control {

/// Facts about a VM that its row does not contain.
struct VmFacts {
  /// No entry may send requests to this VM while its present row is in force,
  /// and no entry has requests in progress on it (see peer::MoveGate).
  bool is_idle = false;
  /// The platform accepted the drain, or the reboot, under the nonce of the
  /// present row.
  bool drained = false;
  bool rebooted = false;
  std::optional<platform::ListedState> listed;  ///< Empty: not in the list.
  /// For this long the list may still show the effect of our own drain.
  base::Millis list_lag = base::Seconds(30);
};

/// What to do next with a VM.
enum class VmOperation : std::uint8_t {
  kNone,    ///< Wait.
  kWrite,   ///< Commit `next` in place of the present row.
  kDrain,   ///< Ask the platform to stop it gracefully.
  kReboot,  ///< Ask the platform to reboot it; the intent is committed.
};

struct VmStep {
  VmOperation operation = VmOperation::kNone;
  base::VmRow next;
  std::string reason;
};

VmStep NextVmStep(const base::VmRow& row, const VmFacts& facts,
                  base::WallMillis now);

/// Returns the VM's row with the decision applied. Empty when the VM is no
/// longer in the state that the decision was made for.
std::optional<base::VmRow> ApplyDecision(const Decision& decision,
                                         const base::VmRow& row,
                                         base::WallMillis now);

/// The row of a VM that the list shows for the first time.
base::VmRow NewVmRow(const platform::ListedVm& listed,
                     const base::PoolId& pool);

/// The nonce of an operation on a VM. It contains the version of the row that
/// holds the intent, so that every holder of the shard uses the same one.
std::string OperationNonce(std::string_view operation, const base::VmId& vm,
                           platform::RowVersion version);

}  // namespace hemlockward::control
