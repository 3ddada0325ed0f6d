#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/types.h"

/// Slots of workers, shared by all entries as tokens.
///
/// A worker's `slots_per_vm` slots are as many tokens. An entry starts a
/// request on a worker only with a free token of it. Tokens are dealt by a pure
/// function of the membership, and then move between entries by loans; a loan
/// that gets lost on the way is lost until the next membership number, so the
/// sum over all entries never exceeds the worker's slots.
namespace hemlockward::entry {

/// Dense handle of one ledger row; valid for the life of the ledger.
using SlotIndex = std::uint32_t;
inline constexpr SlotIndex kNoSlot = ~SlotIndex{0};

/// Tokens that `self` gets of a row with `slots` tokens when the membership's
/// tokens are dealt: one each in the rendezvous order for `row`, then again.
int DefaultTokens(const base::Membership& membership, const base::EntryId& self,
                  base::Incarnation incarnation, std::string_view row,
                  int slots);

/// Row name under which a class's quota is shared like a worker's slots.
base::VmId QuotaRow(const base::ServiceId& service, base::RequestClass value);

/// Free tokens of one row that pass from one entry to another.
struct SlotGrant {
  base::VmId vm;
  int tokens = 0;
};

/// What an entry says in its heartbeats of its ledger. Only the newest counts.
struct SlotReport {
  std::uint64_t number = 0;  ///< The membership its tokens belong to.
  /// Rows where requests in progress still exceed its tokens of `number`.
  std::vector<std::string> overhang;
};

/// Allows one reply to one loan request to be accepted, once.
struct LoanTicket {
  std::uint64_t id = 0;
};

/// The tokens of one entry incarnation. Not thread-safe: the owner locks.
///
/// With a new membership number each row keeps min(held, new share) and is
/// pending the rest. What is pending is taken only when every entry of the
/// membership has reported that number without overhang in that row, and, if an
/// entry was removed, `orphan_hold` after this ledger learnt of it (the removed
/// entry's requests may still be running on the worker).
class SlotLedger {
 public:
  SlotLedger(base::EntryId self, base::Incarnation incarnation,
             base::Millis orphan_hold);

  /// Takes a membership whose number is higher than the present one; others
  /// change nothing.
  void InstallMembership(const base::Membership& membership, base::Millis now);
  /// Adds a row or changes its number of tokens; returns its handle. Fewer
  /// tokens count at once, more from the next membership number on.
  SlotIndex Add(const base::VmId& vm, int slots);
  /// kNoSlot when the row was never added.
  [[nodiscard]] SlotIndex Find(const base::VmId& vm) const;

  /// Takes what a peer says in a heartbeat or its reply, and settles.
  void OnReport(const base::EntryId& peer, base::Incarnation incarnation,
                SlotReport report, base::Millis now);
  /// Takes what is pending where that is allowed now; call it at every
  /// heartbeat.
  void ClaimPending(base::Millis now);
  /// What to put into our own heartbeats.
  [[nodiscard]] SlotReport Report() const;

  /// Takes a free token for a request; false when there is none.
  bool Acquire(SlotIndex row);
  /// Gives back the token of a request that has surely ended.
  void Release(SlotIndex row);

  /// Starts a loan from a peer. Any reply but one to this ticket is ignored.
  LoanTicket BeginLoan();
  /// Adds granted tokens; returns how many. 0 when the ticket was used before
  /// or ended, when the reply is of another membership number, or when this
  /// entry isn't a member: nobody waits for the report of one that isn't.
  int AcceptLoan(LoanTicket ticket, std::uint64_t number,
                 std::span<const SlotGrant> granted);
  /// The reply won't come or won't be waited for.
  void EndLoan(LoanTicket ticket);
  /// Gives free tokens of `rows` to a peer, at most `wanted`, while more than
  /// `keep` free ones stay here. They are forgotten before this returns; never
  /// send one result twice. Empty when the numbers differ.
  std::vector<SlotGrant> Lend(std::uint64_t number,
                              std::span<const SlotIndex> rows, int wanted,
                              int keep);
  /// Adds tokens that a peer gave back by SlotRequest.returned. Each message
  /// is passed here at most once, and its sender never repeats it.
  void AcceptReturned(std::uint64_t number,
                      std::span<const SlotGrant> returned);

  [[nodiscard]] std::uint64_t membership_number() const { return number_; }
  /// Tokens that a new request may take.
  [[nodiscard]] int Free(SlotIndex row) const;
  [[nodiscard]] int Held(SlotIndex row) const { return rows_[row].held; }
  [[nodiscard]] int InUse(SlotIndex row) const { return rows_[row].in_use; }
  [[nodiscard]] int Pending(SlotIndex row) const { return rows_[row].pending; }
  [[nodiscard]] const base::VmId& Name(SlotIndex row) const {
    return rows_[row].vm;
  }
  [[nodiscard]] std::size_t size() const { return rows_.size(); }
  /// True when nothing is pending any more at this membership number.
  [[nodiscard]] bool HasClaimedAll() const { return pending_rows_.empty(); }

  /// Calls `visit(row)` for each row whose free tokens may have changed since
  /// the last call. For the one router over this ledger.
  template <class Visit>
  void VisitChanged(Visit visit) {
    for (const SlotIndex row : changed_) {
      rows_[row].changed = false;
      visit(row);
    }
    changed_.clear();
  }

 private:
  struct Row {
    base::VmId vm;
    int slots = 0;
    int held = 0;
    int pending = 0;
    int in_use = 0;
    bool changed = false;
  };

  struct Peer {
    base::EntryId entry;
    base::Incarnation incarnation = 0;
    SlotReport report;
  };

  void MarkChanged(SlotIndex row);
  void AssignTokens(SlotIndex row);
  [[nodiscard]] bool AllReported() const;
  [[nodiscard]] bool CanClaimPending(base::Millis now) const;
  [[nodiscard]] bool HasOverhangElsewhere(const base::VmId& vm) const;
  Peer& FindOrAddPeer(const base::EntryId& entry,
                      base::Incarnation incarnation);

  base::EntryId self_;
  base::Incarnation incarnation_;
  base::Millis orphan_hold_;
  base::Membership membership_;
  std::uint64_t number_ = 0;
  base::Millis orphan_hold_until_{};
  base::Millis claimed_at_{};
  bool is_member_ = false;     ///< This incarnation is in `membership_`.
  bool all_reported_ = false;  ///< At `number_`, and the hold is over.
  std::vector<Row> rows_;
  std::unordered_map<base::VmId, SlotIndex> index_;
  std::vector<Peer> peers_;
  std::vector<SlotIndex> pending_rows_;
  std::vector<SlotIndex> changed_;
  std::set<std::uint64_t> open_loans_;
  std::uint64_t next_loan_ = 1;
};

/// How many free tokens a peer may have, given what both wait for. Pure.
struct LoanInput {
  int own_waiting = 0;   ///< Requests waiting here for these workers.
  int own_free = 0;      ///< Free tokens of these workers held here.
  int peer_waiting = 0;  ///< Requests waiting at the peer.
};
/// Free tokens to keep back from a loan.
int TokensToKeep(const LoanInput& view);

/// Whether to ask a peer that last reported `peer_waiting` requests waiting for
/// the same workers: one that waits itself gives nothing.
bool IsWorthAsking(int peer_waiting);

}  // namespace hemlockward::entry
