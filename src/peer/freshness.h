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

/// Whether a node's view of the fleet may still be acted on, and when a VM that
/// leaves its pool is surely without work. Both sides of one rule:
///
/// - An entry serves only while its newest table read, or the heartbeats a
///   majority of the committed entries answered, were *sent* less than a view
///   lease ago, and it holds the highest revision among those answers.
/// - A mover takes a VM for itself at revision r only when a majority of the
///   committed entries acknowledged r and each of the others acknowledged it
///   or was silent for a whole view lease after that majority.
///
/// Any two majorities share an entry; the shared one knows r, so an entry that
/// hears a majority learns r or stops. Times are of the caller's own clock.
namespace hemlockward::peer {

/// Below the 3 s after which a VM that leaves must get no new work anywhere.
inline constexpr base::Millis kDefaultViewLease{2500};

/// How many of `n` entries make a majority.
constexpr std::size_t MajorityOf(std::size_t n) { return n / 2 + 1; }

/// The entry's side of the rule.
class ViewFreshness {
 public:
  ViewFreshness(base::EntryId self, base::Millis view_lease)
      : self_(std::move(self)), view_lease_(view_lease) {}

  /// A table read at the newest revision succeeded; `sent` is when it was sent.
  void OnTableRead(base::Millis sent, base::Revision revision);
  /// A peer answered the heartbeat that was sent at `sent`. An answer of
  /// another incarnation than the committed one doesn't count as a member's.
  void OnPeerReply(const base::EntryId& peer, base::Incarnation incarnation,
                   base::Millis sent, base::Revision revision);
  /// True while decisions may be taken on a view at `installed`.
  [[nodiscard]] bool CanServe(std::span<const base::EntryRow> members,
                              base::Revision installed, base::Millis now) const;
  /// Until when CanServe would stay true with no further message; `now` or
  /// earlier when it is false.
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

/// Why a gate isn't passed yet; printed by logs and `hemlockctl why`.
enum class GateState : std::uint8_t {
  kPassed,
  kNoMajority,         ///< Fewer than a majority acknowledged the revision.
  kWaitingForSilence,  ///< An entry has neither acknowledged nor been silent
                       ///< long enough.
  kBusy,  ///< An entry reports work in progress on the VM.
};

std::string_view ToText(GateState state);

/// The mover's side: collects what entries said and decides when all of them
/// are surely past a revision.
///
/// One MoveGate serves every move of a process. It starts empty, so a takeover
/// or a restart waits again in full.
class MoveGate {
 public:
  explicit MoveGate(base::Millis view_lease) : view_lease_(view_lease) {}

  /// An entry's heartbeat or reply arrived. It may have been sent at any time
  /// before `now`; silence counts from its arrival.
  void OnHeartbeat(const base::EntryId& entry, base::Incarnation incarnation,
                   base::Revision revision,
                   std::span<const std::string> busy_vms, base::Millis now);
  /// This incarnation has surely ended (the VM list's word, or another
  /// incarnation holds its address). Counts as an acknowledgement of every
  /// revision once a view lease has passed, so that dead majorities don't
  /// block.
  void OnGone(const base::EntryId& entry, base::Incarnation incarnation,
              base::Millis now);
  /// Call at least every few hundred milliseconds: notes when a revision won
  /// its majority.
  void Tick(std::span<const base::EntryRow> members,
            std::span<const base::Revision> awaited, base::Millis now);
  /// Whether all entries are past `revision`, and none has work on `vm` (empty:
  /// any).
  [[nodiscard]] GateState State(std::span<const base::EntryRow> members,
                                base::Revision revision, const base::VmId& vm,
                                base::Millis now) const;
  /// For a removal: whether `leaver` surely stopped, i.e. was silent for a view
  /// lease since a majority of the members acknowledged `revision`.
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
  /// When a majority of the members first acknowledged a revision.
  std::map<base::Revision, base::Millis> majority_at_;
};

}  // namespace hemlockward::peer
