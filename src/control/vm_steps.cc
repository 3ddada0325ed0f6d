#include "control/vm_steps.h"

#include <utility>

namespace hemlockward::control {

using base::VmPurpose;
using base::VmRow;
using base::VmState;
using platform::ListedState;

namespace {

VmStep Wait(std::string reason) {
  return {VmOperation::kNone, {}, std::move(reason)};
}

VmStep WriteState(const VmRow& row, VmState state, base::WallMillis now,
                  std::string reason) {
  VmStep step{VmOperation::kWrite, row, std::move(reason)};
  step.next.state = state;
  step.next.changed = now;
  step.next.reason = step.reason;
  return step;
}

VmStep JoinDestination(const VmRow& row, base::WallMillis now) {
  VmStep step = WriteState(row, VmState::kMember, now,
                           "empty, joins " + row.destination.value);
  step.next.pool = row.destination;
  step.next.purpose = VmPurpose::kNone;
  step.next.destination = {};
  return step;
}

VmStep NextStepWhenEmpty(const VmRow& row, const VmFacts& facts,
                         base::WallMillis now) {
  switch (row.purpose) {
    case VmPurpose::kMove:
      return JoinDestination(row, now);
    case VmPurpose::kMaintain:
      if (!facts.drained) return {VmOperation::kDrain, row, "empty, drain it"};
      return WriteState(row, VmState::kRebooting, now,
                        "drained, intent to reboot");
    case VmPurpose::kNone:
      if (facts.listed != ListedState::kLive) {
        return Wait("empty, the platform is taking it away");
      }
      return WriteState(row, VmState::kReturning, now, "listed as live again");
  }
  return Wait("unknown purpose");
}

}  // namespace

VmStep NextVmStep(const VmRow& row, const VmFacts& facts,
                  base::WallMillis now) {
  if (facts.listed == ListedState::kGone && row.state != VmState::kLost) {
    VmStep step = WriteState(row, VmState::kLost, now, "listed as gone");
    step.next.purpose = VmPurpose::kNone;
    step.next.destination = {};
    return step;
  }
  switch (row.state) {
    case VmState::kMember:
      if (facts.listed != ListedState::kLeaving) return Wait("in service");
      if (now - row.changed < facts.list_lag) {
        return Wait(
            "listed as leaving, but the list may be older than its row");
      }
      return WriteState(row, VmState::kLeaving, now, "listed as leaving");
    case VmState::kLeaving:
      if (!facts.is_idle) return Wait("requests may still reach it");
      return WriteState(row, VmState::kEmpty, now,
                        "no entry can send it work or has any in progress");
    case VmState::kEmpty:
      return NextStepWhenEmpty(row, facts, now);
    case VmState::kRebooting:
      if (!facts.rebooted)
        return {VmOperation::kReboot, row, "intent committed"};
      return WriteState(row, VmState::kReturning, now, "reboot accepted");
    case VmState::kReturning:
      return Wait("waits for the monitor to call it up");
    case VmState::kLost:
      if (facts.listed != ListedState::kLive) return Wait("gone");
      return WriteState(row, VmState::kReturning, now, "listed as live again");
  }
  return Wait("unknown state");
}

std::optional<VmRow> ApplyDecision(const Decision& decision, const VmRow& row,
                                   base::WallMillis now) {
  VmRow next = row;
  next.changed = now;
  next.reason = decision.reason;
  if (decision.action == Action::kAdmit) {
    if (row.state != VmState::kReturning) return std::nullopt;
    next.state = VmState::kMember;
    next.purpose = VmPurpose::kNone;
    return next;
  }
  if (row.state != VmState::kMember) return std::nullopt;
  next.state = VmState::kLeaving;
  if (decision.action == Action::kMove) {
    next.purpose = VmPurpose::kMove;
    next.destination = decision.destination;
    return next;
  }
  if (row.wave == decision.wave) return std::nullopt;  // Once per wave.
  next.purpose = VmPurpose::kMaintain;
  next.wave = decision.wave;
  return next;
}

VmRow NewVmRow(const platform::ListedVm& listed, const base::PoolId& pool) {
  VmRow row;
  row.vm = listed.vm;
  row.pool = pool;
  row.zone = listed.zone;
  row.rack = listed.rack;
  row.address = listed.address;
  row.reason = "listed for the first time";
  return row;
}

std::string OperationNonce(std::string_view operation, const base::VmId& vm,
                           platform::RowVersion version) {
  return std::string(operation) + "-" + vm.value + "-" +
         std::to_string(version);
}

}  // namespace hemlockward::control
