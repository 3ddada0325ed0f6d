#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "control/entry_contacts.h"

/// Decides the committed set of entries, which changes one entry at a time.
///
/// A change is prepared as `pending`, and committed when all entries are past
/// the revision that prepared it. A joiner takes keys and slots only from the
/// commit on; a leaver is committed out only when it has surely stopped.
namespace hemlockward::control {

struct MembershipSettings {
  base::Millis max_skew{500};  ///< Between the wall clocks of two processes.
  base::Millis key_lifetime = base::Minutes(10);
  /// An entry that was silent so long is removed.
  base::Millis removal_silence = base::Seconds(8);
  /// The first membership waits so long for entries that start together.
  base::Millis initial_wait{1500};
};

enum class MembershipAction : std::uint8_t {
  kNone,
  kFirst,           ///< The first membership: every entry registered.
  kPrepareJoin,     ///< `next.pending` joins.
  kPrepareRemoval,  ///< `next.pending` leaves.
  kCommit,          ///< The pending change comes into force.
  kCancel,          ///< The pending change is given up.
};

struct MembershipStep {
  MembershipAction act = MembershipAction::kNone;
  base::Membership next;
  std::string reason;
};

/// What a step is decided on.
struct MembershipInputs {
  base::Membership membership;
  /// Rows `entry/<id>` as the table holds them.
  std::vector<base::EntryRow> registered;
  /// A revision at or after the one that prepared `pending`.
  base::Revision pending_since = 0;
  /// Since when this process sees registered entries; for the first one.
  base::Millis watching_since{};
};

/// `now` is the clock that `contacts` was told; `wall` dates keys.
MembershipStep NextMembershipStep(const MembershipInputs& inputs,
                                  const EntryContacts& contacts,
                                  const MembershipSettings& settings,
                                  base::Millis now, base::WallMillis wall);

/// Members whose process has surely ended: another incarnation registered
/// under the same id, or the row was removed as the last act of a planned stop.
std::vector<base::EntryRow> EndedMembers(
    const base::Membership& membership,
    const std::vector<base::EntryRow>& registered);

std::string_view ToText(MembershipAction act);

}  // namespace hemlockward::control
