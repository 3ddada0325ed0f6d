#include "entry/slots.h"

#include <algorithm>

#include "base/random.h"

namespace hemlockward::entry {
namespace {

using base::EntryRow;
using base::Membership;
using base::Millis;

std::uint64_t RowScore(std::string_view row, const base::EntryId& entry) {
  return base::StableHash(row, base::StableHash(entry.value));
}

bool Contains(const std::vector<EntryRow>& entries, const EntryRow& wanted) {
  return std::any_of(entries.begin(), entries.end(), [&](const EntryRow& row) {
    return row.entry == wanted.entry && row.incarnation == wanted.incarnation;
  });
}

// True if an incarnation that may have held tokens before `next` may be missing
// from it. A ledger that skipped a membership cannot tell and assumes a
// removal; a new ledger checks the earlier memberships recorded in `next`.
bool MayHaveRemovedEntry(const Membership& last, const Membership& next) {
  const bool skipped = last.number != 0 && next.number != last.number + 1;
  if (skipped) return true;
  for (const EntryRow& row : last.entries) {
    if (!Contains(next.entries, row)) return true;
  }
  if (last.number != 0) return false;
  for (const auto& [from, entries] : next.earlier) {
    for (const EntryRow& row : entries) {
      if (!Contains(next.entries, row)) return true;
    }
  }
  return false;
}

}  // namespace

int DefaultTokens(const Membership& membership, const base::EntryId& self,
                  base::Incarnation incarnation, std::string_view row,
                  int slots) {
  EntryRow own_row;
  own_row.entry = self;
  own_row.incarnation = incarnation;
  if (!Contains(membership.entries, own_row)) return 0;
  const std::uint64_t own_score = RowScore(row, self);
  int rank = 0;
  for (const EntryRow& other : membership.entries) {
    const std::uint64_t score = RowScore(row, other.entry);
    const bool before =
        score > own_score || (score == own_score && other.entry < self);
    if (before) ++rank;
  }
  const int n = static_cast<int>(membership.entries.size());
  return slots / n + (rank < slots % n ? 1 : 0);
}

base::VmId QuotaRow(const base::ServiceId& service, base::RequestClass value) {
  std::string name = "quota/" + service.value + "/";
  name += base::ToText(value);
  return base::VmId(std::move(name));
}

SlotLedger::SlotLedger(base::EntryId self, base::Incarnation incarnation,
                       Millis orphan_hold)
    : self_(std::move(self)),
      incarnation_(incarnation),
      orphan_hold_(orphan_hold) {}

// Held tokens that exceed this entry's share under the new membership are
// dropped here, before the new membership number is reported. Requests in
// progress keep running.
void SlotLedger::InstallMembership(const Membership& membership, Millis now) {
  if (membership.number <= membership_number_) return;
  if (MayHaveRemovedEntry(membership_, membership)) {
    orphan_hold_until_ = std::max(orphan_hold_until_, now + orphan_hold_);
  }
  membership_ = membership;
  membership_number_ = membership.number;
  EntryRow self;
  self.entry = self_;
  self.incarnation = incarnation_;
  is_member_ = Contains(membership_.entries, self);
  all_reported_ = false;
  open_loans_.clear();
  pending_rows_.clear();
  for (SlotIndex row = 0; row < rows_.size(); ++row) AssignTokens(row);
  std::erase_if(peers_, [&](const Peer& peer) {
    EntryRow row;
    row.entry = peer.entry;
    row.incarnation = peer.incarnation;
    return !Contains(membership_.entries, row);
  });
  ClaimPending(now);
}

// A new VM starts without held tokens: a peer that is still at the previous
// membership number may hold tokens of that VM.
SlotIndex SlotLedger::Add(const base::VmId& vm, int slots) {
  const auto [it, added] =
      index_.try_emplace(vm, static_cast<SlotIndex>(rows_.size()));
  const SlotIndex index = it->second;
  if (added) {
    Row row;
    row.vm = vm;
    row.slots = slots;
    rows_.push_back(std::move(row));
    AssignTokens(index);
    if (all_reported_) ClaimPending(claimed_at_);
    return index;
  }
  Row& row = rows_[index];
  const bool fewer = slots < row.slots;
  row.slots = slots;
  if (!fewer) return index;
  const int share =
      DefaultTokens(membership_, self_, incarnation_, vm.value, slots);
  row.held = std::min(row.held, share);
  row.pending = std::min(row.pending, share - row.held);
  MarkChanged(index);
  return index;
}

SlotIndex SlotLedger::Find(const base::VmId& vm) const {
  const auto it = index_.find(vm);
  return it == index_.end() ? kNoSlot : it->second;
}

void SlotLedger::OnReport(const base::EntryId& peer,
                          base::Incarnation incarnation, SlotReport report,
                          Millis now) {
  Peer& known = FindOrAddPeer(peer, incarnation);
  if (report.membership_number < known.report.membership_number) return;
  known.report = std::move(report);
  ClaimPending(now);
}

void SlotLedger::ClaimPending(Millis now) {
  if (!CanClaimPending(now)) return;
  all_reported_ = true;
  claimed_at_ = now;
  std::erase_if(pending_rows_, [&](SlotIndex index) {
    Row& row = rows_[index];
    if (row.pending == 0) return true;
    if (HasOverhangElsewhere(row.vm)) return false;
    row.held += row.pending;
    row.pending = 0;
    MarkChanged(index);
    return true;
  });
}

SlotReport SlotLedger::Report() const {
  SlotReport report;
  report.membership_number = membership_number_;
  for (const Row& row : rows_) {
    if (row.in_use > row.held) report.overhang.push_back(row.vm.value);
  }
  return report;
}

bool SlotLedger::Acquire(SlotIndex row) {
  if (Free(row) <= 0) return false;
  ++rows_[row].in_use;
  MarkChanged(row);
  return true;
}

void SlotLedger::Release(SlotIndex row) {
  --rows_[row].in_use;
  MarkChanged(row);
}

LoanTicket SlotLedger::BeginLoan() {
  const LoanTicket ticket{next_loan_++};
  open_loans_.insert(ticket.id);
  return ticket;
}

int SlotLedger::AcceptLoan(LoanTicket ticket, std::uint64_t number,
                           std::span<const SlotGrant> granted) {
  if (open_loans_.erase(ticket.id) == 0) return 0;
  if (number != membership_number_ || !is_member_) return 0;
  int taken = 0;
  for (const SlotGrant& grant : granted) {
    const SlotIndex row = Find(grant.vm);
    if (row == kNoSlot || grant.tokens <= 0) continue;
    rows_[row].held += grant.tokens;
    taken += grant.tokens;
    MarkChanged(row);
  }
  return taken;
}

void SlotLedger::EndLoan(LoanTicket ticket) { open_loans_.erase(ticket.id); }

// Takes tokens round-robin over the rows, so that neither side is left with
// tokens of only a few workers.
std::vector<SlotGrant> SlotLedger::Lend(std::uint64_t number,
                                        std::span<const SlotIndex> rows,
                                        int wanted, int keep) {
  std::vector<SlotGrant> grants;
  if (number != membership_number_ || membership_number_ == 0) return grants;
  int free = 0;
  for (const SlotIndex row : rows) free += std::max(0, Free(row));
  int left = std::min(wanted, free - keep);
  std::vector<int> given(rows.size(), 0);
  while (left > 0) {
    for (std::size_t i = 0; i < rows.size() && left > 0; ++i) {
      if (Free(rows[i]) <= 0) continue;
      --rows_[rows[i]].held;
      ++given[i];
      --left;
    }
  }
  for (std::size_t i = 0; i < rows.size(); ++i) {
    if (given[i] == 0) continue;
    grants.push_back({rows_[rows[i]].vm, given[i]});
    MarkChanged(rows[i]);
  }
  return grants;
}

void SlotLedger::AcceptReturned(std::uint64_t number,
                                std::span<const SlotGrant> returned) {
  const LoanTicket ticket = BeginLoan();
  AcceptLoan(ticket, number, returned);
}

int SlotLedger::Free(SlotIndex row) const {
  return std::max(0, rows_[row].held - rows_[row].in_use);
}

void SlotLedger::MarkChanged(SlotIndex row) {
  if (rows_[row].changed) return;
  rows_[row].changed = true;
  changed_.push_back(row);
}

void SlotLedger::AssignTokens(SlotIndex index) {
  Row& row = rows_[index];
  const int share =
      DefaultTokens(membership_, self_, incarnation_, row.vm.value, row.slots);
  row.held = std::min(row.held, share);
  row.pending = share - row.held;
  if (row.pending > 0) pending_rows_.push_back(index);
  MarkChanged(index);
}

// A report for a later membership does not count: the peer's tokens are bounded
// by its share under that membership, not under `membership_`.
bool SlotLedger::AllReported() const {
  for (const EntryRow& row : membership_.entries) {
    if (row.entry == self_ && row.incarnation == incarnation_) continue;
    const bool reported =
        std::any_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
          return peer.entry == row.entry &&
                 peer.incarnation == row.incarnation &&
                 peer.report.membership_number == membership_number_;
        });
    if (!reported) return false;
  }
  return true;
}

bool SlotLedger::CanClaimPending(Millis now) const {
  if (all_reported_) return true;
  return membership_number_ != 0 && now >= orphan_hold_until_ && AllReported();
}

bool SlotLedger::HasOverhangElsewhere(const base::VmId& vm) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    const auto& rows = peer.report.overhang;
    return std::find(rows.begin(), rows.end(), vm.value) != rows.end();
  });
}

SlotLedger::Peer& SlotLedger::FindOrAddPeer(const base::EntryId& entry,
                                            base::Incarnation incarnation) {
  for (Peer& peer : peers_) {
    if (peer.entry == entry && peer.incarnation == incarnation) return peer;
  }
  Peer peer;
  peer.entry = entry;
  peer.incarnation = incarnation;
  peers_.push_back(std::move(peer));
  return peers_.back();
}

// An entry with waiting requests lends nothing. An idle entry keeps half, so
// that both have tokens if a burst reaches both.
int TokensToKeep(const LoanInput& view) {
  if (view.own_waiting > 0) return view.own_free;
  if (view.peer_waiting == 0) return view.own_free;
  return view.own_free / 2;
}

bool IsWorthAsking(int peer_waiting) { return peer_waiting == 0; }

}  // namespace hemlockward::entry
