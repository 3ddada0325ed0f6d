#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "control/entry_contacts.h"

/// Decides the committed set of entries, which changes one entry at a time.
///
/// A change is first written as `pending` and committed once all entries have
/// reached the revision that prepared it. A joining entry owns keys and slots
/// only after the commit. A removal is committed only once the leaving entry
/// has definitely stopped.
namespace hemlockward::control {

struct MembershipSettings {
  base::Millis max_skew{500};  ///< Between two processes' wall clocks.
  base::Millis key_lifetime = base::Minutes(10);
  /// An entry that has not replied for this long is removed.
  base::Millis removal_silence = base::Seconds(8);
  /// Wait before the first membership, for entries that start together.
  base::Millis initial_wait{1500};
};

enum class MembershipAction : std::uint8_t {
  kNone,
  kFirst,           ///< The first membership: every entry registered.
  kPrepareJoin,     ///< `next.pending` joins.
  kPrepareRemoval,  ///< `next.pending` leaves.
  kCommit,          ///< The pending change takes effect.
  kCancel,          ///< The pending change is dropped.
};

struct MembershipStep {
  MembershipAction act = MembershipAction::kNone;
  base::Membership next;
  std::string reason;
};

/// Input of the decision.
struct MembershipInputs {
  base::Membership membership;
  /// The `entry/<id>` rows of the table.
  std::vector<base::EntryRow> registered;
  /// A revision at or after the one that prepared `pending`.
  base::Revision pending_since = 0;
  /// When this process, as holder of the first shard, first saw an entry.
  base::Millis watching_since{};
};

/// `now` is on the same clock as the times given to `contacts`; `wall` is the
/// clock that keys are stamped with.
MembershipStep NextMembershipStep(const MembershipInputs& inputs,
                                  const EntryContacts& contacts,
                                  const MembershipSettings& settings,
                                  base::Millis now, base::WallMillis wall);

/// Members whose process has definitely ended: another incarnation registered
/// under the same id, or the process removed its row at the end of a planned
/// stop.
std::vector<base::EntryRow> EndedMembers(
    const base::Membership& membership,
    const std::vector<base::EntryRow>& registered);

std::string_view ToText(MembershipAction act);

}  // namespace hemlockward::control
