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

/// Distribution of worker slots among the entries, as tokens.
///
/// A worker has one token for each of its `slots_per_vm` slots. An entry needs
/// a free token of a worker to start a request on it. A pure function of the
/// membership assigns the tokens to the entries; after that, loans move them
/// between entries. Tokens of a loan that is lost in transit are unusable until
/// the next membership number, so the sum over all entries never exceeds the
/// worker's slots.
namespace hemlockward::entry {

/// Index of a ledger row, which counts the tokens of one VM or quota; valid for
/// the lifetime of the ledger.
using SlotIndex = std::uint32_t;
inline constexpr SlotIndex kNoSlot = ~SlotIndex{0};

/// Tokens assigned to `self` of a row with `slots` tokens. They are distributed
/// round-robin over the membership in the rendezvous-hash order for `row`.
int DefaultTokens(const base::Membership& membership, const base::EntryId& self,
                  base::Incarnation incarnation, std::string_view row,
                  int slots);

/// Name of the row that distributes the quota of a request class in the same
/// way as a worker's slots.
base::VmId QuotaRow(const base::ServiceId& service, base::RequestClass value);

/// Free tokens of one row, transferred from one entry to another.
struct SlotGrant {
  base::VmId vm;
  int tokens = 0;
};

/// State of an entry's ledger, sent in its heartbeats. Only the newest report
/// counts.
struct SlotReport {
  std::uint64_t membership_number = 0;  ///< Of its tokens.
  /// Rows whose requests in progress exceed the entry's tokens at that number.
  std::vector<std::string> overhang;
};

/// Identifies a loan request, so that its reply is accepted at most once.
struct LoanTicket {
  std::uint64_t id = 0;
};

/// The tokens of one entry incarnation. Not thread-safe: the owner must lock.
///
/// Under a new membership, the entry keeps min(held tokens, its new share) of
/// each row; the rest of its share is pending. Pending tokens are claimed when
/// every entry of the membership has reported that number without overhang in
/// the row. If an entry was removed, `orphan_hold` must also have passed since
/// this ledger learned of it, because the removed entry's requests may still
/// run on the worker.
class SlotLedger {
 public:
  SlotLedger(base::EntryId self, base::Incarnation incarnation,
             base::Millis orphan_hold);

  /// Installs a membership whose number is higher than the current one; ignores
  /// others.
  void InstallMembership(const base::Membership& membership, base::Millis now);
  /// Adds the row of a VM or changes the VM's number of slots; returns the
  /// row's index. A decrease takes effect at once, an increase with the next
  /// membership.
  SlotIndex Add(const base::VmId& vm, int slots);
  /// kNoSlot if the row was never added.
  [[nodiscard]] SlotIndex Find(const base::VmId& vm) const;

  /// Records a peer's report from a heartbeat or its reply, then claims pending
  /// tokens.
  void OnReport(const base::EntryId& peer, base::Incarnation incarnation,
                SlotReport report, base::Millis now);
  /// Claims pending tokens where that is allowed now; call it at every
  /// heartbeat.
  void ClaimPending(base::Millis now);
  /// The report to send in this entry's heartbeats.
  [[nodiscard]] SlotReport Report() const;

  /// Takes a free token for a request; false if there is none.
  bool Acquire(SlotIndex row);
  /// Returns the token of a request that has certainly ended.
  void Release(SlotIndex row);

  /// Starts to borrow from a peer. The reply must be accepted with this ticket.
  LoanTicket BeginLoan();
  /// Adds granted tokens and returns their number. Returns 0 if the ticket was
  /// used or ended, if the reply has another membership number, or if this
  /// entry is not a member: the other entries do not wait for the report of a
  /// non-member.
  int AcceptLoan(LoanTicket ticket, std::uint64_t number,
                 std::span<const SlotGrant> granted);
  /// Invalidates the ticket of a loan whose reply is no longer expected.
  void EndLoan(LoanTicket ticket);
  /// Lends up to `wanted` free tokens of `rows` to a peer and keeps at least
  /// `keep` of them here. The tokens are removed from the ledger before this
  /// returns, so a result must never be sent twice. Empty if `number` is not
  /// the current membership number.
  std::vector<SlotGrant> Lend(std::uint64_t number,
                              std::span<const SlotIndex> rows, int wanted,
                              int keep);
  /// Adds tokens that a peer returned in SlotRequest.returned. The sender never
  /// repeats such a message, and each message must be passed here at most once.
  void AcceptReturned(std::uint64_t number,
                      std::span<const SlotGrant> returned);

  [[nodiscard]] std::uint64_t membership_number() const {
    return membership_number_;
  }
  /// Tokens that are available to new requests.
  [[nodiscard]] int Free(SlotIndex row) const;
  [[nodiscard]] int Held(SlotIndex row) const { return rows_[row].held; }
  [[nodiscard]] int InUse(SlotIndex row) const { return rows_[row].in_use; }
  [[nodiscard]] int Pending(SlotIndex row) const { return rows_[row].pending; }
  [[nodiscard]] const base::VmId& Name(SlotIndex row) const {
    return rows_[row].vm;
  }
  [[nodiscard]] std::size_t size() const { return rows_.size(); }
  /// True if no tokens are pending at this membership number.
  [[nodiscard]] bool HasClaimedAll() const { return pending_rows_.empty(); }

  /// Calls `visit(row)` for each row whose free tokens may have changed since
  /// the last call. Only the router of this ledger may call it.
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
  std::uint64_t membership_number_ = 0;
  base::Millis orphan_hold_until_{};
  base::Millis claimed_at_{};
  bool is_member_ = false;  ///< This incarnation is in `membership_`.
  bool all_reported_ =
      false;  ///< At `membership_number_`, after `orphan_hold_until_`.
  std::vector<Row> rows_;
  std::unordered_map<base::VmId, SlotIndex> index_;
  std::vector<Peer> peers_;
  std::vector<SlotIndex> pending_rows_;
  std::vector<SlotIndex> changed_;
  std::set<std::uint64_t> open_loans_;
  std::uint64_t next_loan_ = 1;
};

/// Demand and supply of both sides of a loan, for TokensToKeep.
struct LoanInput {
  int own_waiting = 0;   ///< Requests waiting here for these workers.
  int own_free = 0;      ///< Free tokens of these workers held here.
  int peer_waiting = 0;  ///< Requests waiting at the peer.
};
/// Number of free tokens that must not be lent. Pure function.
int TokensToKeep(const LoanInput& view);

/// Whether to ask a peer for a loan. `peer_waiting` is its last reported number
/// of requests that wait for the same workers; a peer with waiting requests
/// lends nothing.
bool IsWorthAsking(int peer_waiting);

}  // namespace hemlockward::entry
