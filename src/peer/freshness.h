#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/types.h"

/// Decides whether an entry may still act on its view of the fleet, and when no
/// entry can have work on a VM that leaves its pool. Both follow one protocol:
///
/// - An entry serves only while its newest table read, or the heartbeats
///   answered by a majority of the committed entries, were *sent* less than a
///   view lease ago, and its view has the highest revision in those answers.
/// - A mover takes a VM over at revision r only after a majority of the
///   committed entries acknowledged r, and each other entry acknowledged it too
///   or sent no heartbeat for a whole view lease after that majority.
///
/// Any two majorities have an entry in common, and that entry knows r. An entry
/// with answers from a majority therefore learns r or stops serving. All times
/// are readings of the caller's own clock.
namespace hemlockward::peer {

/// Less than 3 s: by then no entry may send new work to a VM that leaves.
inline constexpr base::Millis kDefaultViewLease{2500};

/// The smallest majority of `n` entries.
constexpr std::size_t MajorityOf(std::size_t n) { return n / 2 + 1; }

/// Tells an entry whether its view of the fleet is fresh enough to serve.
class ViewFreshness {
 public:
  ViewFreshness(base::EntryId self, base::Millis view_lease)
      : self_(std::move(self)), view_lease_(view_lease) {}

  /// Records a successful table read that was sent at `sent` and returned
  /// `revision` as the newest one.
  void OnTableRead(base::Millis sent, base::Revision revision);
  /// Records the answer of `peer` to the heartbeat sent at `sent`. Answers from
  /// an incarnation other than the committed one do not count.
  void OnPeerReply(const base::EntryId& peer, base::Incarnation incarnation,
                   base::Millis sent, base::Revision revision);
  /// True while the entry may act on the view with revision `installed`.
  [[nodiscard]] bool CanServe(std::span<const base::EntryRow> members,
                              base::Revision installed, base::Millis now) const;
  /// The time at which CanServe becomes false if no further message arrives.
  /// Not later than the current time when CanServe is already false.
  [[nodiscard]] base::Millis CanServeUntil(
      std::span<const base::EntryRow> members, base::Revision installed) const;

 private:
  struct Reply {
    base::Incarnation incarnation = 0;
    base::Millis sent;
    base::Revision revision = 0;
  };

  base::EntryId self_;
  base::Millis view_lease_;
  std::optional<base::Millis> table_sent_;
  base::Revision table_revision_ = 0;
  std::map<base::EntryId, Reply> replies_;
};

/// The reason why a move has to wait; shown in logs and by `hemlockctl why`.
enum class GateState : std::uint8_t {
  kPassed,
  kNoMajority,         ///< No majority has acknowledged the revision yet.
  kWaitingForSilence,  ///< An entry has not acknowledged the revision, and
                       ///< its silence is shorter than a view lease.
  kBusy,               ///< An entry reports work in progress on the VM.
};

std::string_view ToText(GateState state);

/// Collects the heartbeats of the entries and decides when a mover may proceed:
/// when every entry has acknowledged a revision or can no longer be serving.
///
/// A process uses one MoveGate for all its moves. It starts empty: after a
/// takeover or a restart, every waiting time starts again.
class MoveGate {
 public:
  explicit MoveGate(base::Millis view_lease) : view_lease_(view_lease) {}

  /// Records a heartbeat, or a reply to one, that arrived at `now`. Its sending
  /// time is unknown, so the silence of the entry is measured from `now`.
  void OnHeartbeat(const base::EntryId& entry, base::Incarnation incarnation,
                   base::Revision revision,
                   std::span<const std::string> busy_vms, base::Millis now);
  /// Records that this incarnation has ended: the VM list says so, or another
  /// incarnation has its address. After a view lease it counts as having
  /// acknowledged every revision, so that moves can go on when a majority of
  /// the entries has failed.
  void OnGone(const base::EntryId& entry, base::Incarnation incarnation,
              base::Millis now);
  /// Records when each revision in `awaited` was acknowledged by a majority.
  /// Has to be called at least every few hundred milliseconds.
  void Tick(std::span<const base::EntryRow> members,
            std::span<const base::Revision> awaited, base::Millis now);
  /// kPassed when every entry has acknowledged `revision` or can no longer be
  /// serving, and none reports work on `vm`. An empty `vm` skips the work
  /// check.
  [[nodiscard]] GateState State(std::span<const base::EntryRow> members,
                                base::Revision revision, const base::VmId& vm,
                                base::Millis now) const;
  /// For a removal: also requires that `leaver` has stopped serving, i.e. has
  /// ended or sent nothing for a view lease since a majority of the members
  /// acknowledged `revision`.
  [[nodiscard]] GateState RemovalState(std::span<const base::EntryRow> members,
                                       const base::EntryRow& leaver,
                                       base::Revision revision,
                                       base::Millis now) const;

 private:
  struct HeartbeatState {
    base::Incarnation incarnation = 0;
    base::Revision revision = 0;
    base::Millis at;
    std::set<std::string, std::less<>> busy_vms;
  };

  [[nodiscard]] const HeartbeatState* Find(const base::EntryRow& member) const;
  [[nodiscard]] bool HasEnded(const base::EntryRow& member,
                              base::Millis now) const;
  [[nodiscard]] bool HasAcknowledged(const base::EntryRow& member,
                                     base::Revision revision,
                                     base::Millis now) const;
  [[nodiscard]] bool IsSilent(const base::EntryRow& member,
                              base::Revision revision, base::Millis now) const;

  base::Millis view_lease_;
  std::map<base::EntryId, HeartbeatState> heartbeats_;
  std::map<std::pair<base::EntryId, base::Incarnation>, base::Millis> ended_at_;
  /// When a majority first acknowledged each awaited revision.
  std::map<base::Revision, base::Millis> majority_at_;
};

}  // namespace hemlockward::peer
