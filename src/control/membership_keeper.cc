#include "control/membership_keeper.h"

#include <algorithm>
#include <utility>

namespace hemlockward::control {

using base::EntryRow;
using base::Membership;

namespace {

bool SameRun(const EntryRow& a, const EntryRow& b) {
  return a.entry == b.entry && a.incarnation == b.incarnation;
}

bool Contains(const std::vector<EntryRow>& rows, const EntryRow& row) {
  return std::any_of(rows.begin(), rows.end(),
                     [&](const EntryRow& it) { return SameRun(it, row); });
}

void SortById(std::vector<EntryRow>& rows) {
  std::sort(rows.begin(), rows.end(),
            [](const auto& a, const auto& b) { return a.entry < b.entry; });
}

// Puts the pending change into force. Keys stamped before `effective_from`
// keep their owner, so the former entries are kept as long as such keys live.
Membership InForce(const Membership& membership,
                   const MembershipSettings& settings, base::WallMillis wall) {
  Membership next = membership;
  next.earlier.emplace_back(membership.effective_from, membership.entries);
  next.effective_from = wall + settings.max_skew * 2;
  // Never before the former one, should the wall clock have gone back.
  const base::WallMillis after = membership.effective_from + base::Millis{1};
  next.effective_from = std::max(next.effective_from, after);
  std::erase_if(next.entries, [&](const EntryRow& it) {
    return it.entry == membership.pending.entry;
  });
  if (!membership.pending_removal) next.entries.push_back(membership.pending);
  SortById(next.entries);
  next.pending = {};
  next.pending_removal = false;
  next.number = membership.number + 1;
  // A set is in use until the one after it has been in force for a lifetime.
  const base::Millis kept = settings.key_lifetime + settings.max_skew * 2;
  const base::WallMillis horizon{wall.count - kept.count};
  while (next.earlier.size() > 1 && next.earlier[1].first < horizon) {
    next.earlier.erase(next.earlier.begin());
  }
  return next;
}

MembershipStep Cancelled(const Membership& membership, std::string reason) {
  MembershipStep step{MembershipAct::kCancel, membership, std::move(reason)};
  step.next.pending = {};
  step.next.pending_removal = false;
  return step;
}

MembershipStep Prepared(const Membership& membership, const EntryRow& entry,
                        bool removal, std::string reason) {
  const auto act =
      removal ? MembershipAct::kPrepareRemoval : MembershipAct::kPrepareJoin;
  MembershipStep step{act, membership, std::move(reason)};
  step.next.pending = entry;
  step.next.pending_removal = removal;
  return step;
}

class Decider {
 public:
  Decider(const MembershipView& view, const EntryContacts& contacts,
          const MembershipSettings& settings, base::Millis now,
          base::WallMillis wall)
      : view_(view),
        contacts_(contacts),
        settings_(settings),
        now_(now),
        wall_(wall) {}

  MembershipStep Next() {
    const Membership& membership = view_.membership;
    if (membership.number == 0) return First();
    if (!membership.pending.entry.empty()) {
      return membership.pending_removal ? PendingRemoval() : PendingJoin();
    }
    return Choose();
  }

 private:
  [[nodiscard]] bool IsSilent(const EntryRow& entry) const {
    return now_ - contacts_.LastHeard(entry) > settings_.removal_silence;
  }

  // No entry serves before the first membership, so none has to agree to it.
  MembershipStep First() {
    const bool waited = now_ - view_.watching_since >= settings_.first_wait;
    if (view_.registered.empty() || !waited) return {};
    MembershipStep step{MembershipAct::kFirst, {}, "first entries registered"};
    step.next.number = 1;
    step.next.effective_from = wall_;
    step.next.entries = view_.registered;
    SortById(step.next.entries);
    return step;
  }

  MembershipStep PendingJoin() {
    const Membership& membership = view_.membership;
    const EntryRow& joiner = membership.pending;
    if (!Contains(view_.registered, joiner)) {
      return Cancelled(membership, "the joining entry is no longer registered");
    }
    if (IsSilent(joiner) &&
        now_ - view_.watching_since > settings_.removal_silence) {
      return Cancelled(membership, "the joining entry fell silent");
    }
    if (contacts_.RevisionOf(joiner) < view_.pending_since) {
      return {MembershipAct::kNone, {}, "the joining entry lags behind"};
    }
    const auto gate = contacts_.VmState(membership.entries, view_.pending_since,
                                        base::VmId(), now_);
    return CommitIf(gate);
  }

  MembershipStep PendingRemoval() {
    const Membership& membership = view_.membership;
    const EntryRow& leaver = membership.pending;
    const bool registered = Contains(view_.registered, leaver);
    if (registered && !IsSilent(leaver)) {
      return Cancelled(membership, "the entry was heard again");
    }
    return CommitIf(contacts_.RemovalState(membership.entries, leaver,
                                           view_.pending_since, now_));
  }

  MembershipStep CommitIf(peer::GateState gate) {
    if (gate != peer::GateState::kPassed) {
      return {MembershipAct::kNone, {}, std::string(peer::ToText(gate))};
    }
    return {MembershipAct::kCommit, InForce(view_.membership, settings_, wall_),
            "all entries are past the prepared change"};
  }

  // Ended members go first, then silent ones, then new entries join.
  MembershipStep Choose() {
    const Membership& membership = view_.membership;
    const auto ended = EndedMembers(membership, view_.registered);
    if (!ended.empty()) {
      return Prepared(membership, ended.front(), true, "the entry has ended");
    }
    const bool watched_long =
        now_ - view_.watching_since > settings_.removal_silence;
    for (const EntryRow& it : membership.entries) {
      if (!watched_long || !IsSilent(it) || !MajorityHeard()) continue;
      return Prepared(membership, it, true, "the entry fell silent");
    }
    for (const EntryRow& it : view_.registered) {
      if (Contains(membership.entries, it) || IsSilent(it)) continue;
      return Prepared(membership, it, false, "a new entry registered");
    }
    return {};
  }

  // A control that is cut off itself must not remove the entries it misses.
  [[nodiscard]] bool MajorityHeard() const {
    const auto& entries = view_.membership.entries;
    const auto heard =
        std::count_if(entries.begin(), entries.end(),
                      [&](const EntryRow& it) { return !IsSilent(it); });
    return static_cast<std::size_t>(heard) >= peer::MajorityOf(entries.size());
  }

  const MembershipView& view_;
  const EntryContacts& contacts_;
  const MembershipSettings& settings_;
  base::Millis now_;
  base::WallMillis wall_;
};

}  // namespace

MembershipStep NextMembershipStep(const MembershipView& view,
                                  const EntryContacts& contacts,
                                  const MembershipSettings& settings,
                                  base::Millis now, base::WallMillis wall) {
  return Decider(view, contacts, settings, now, wall).Next();
}

std::vector<EntryRow> EndedMembers(const Membership& membership,
                                   const std::vector<EntryRow>& registered) {
  std::vector<EntryRow> ended;
  for (const EntryRow& it : membership.entries) {
    if (!Contains(registered, it)) ended.push_back(it);
  }
  return ended;
}

std::string_view ToText(MembershipAct act) {
  switch (act) {
    case MembershipAct::kNone:
      return "none";
    case MembershipAct::kFirst:
      return "first";
    case MembershipAct::kPrepareJoin:
      return "prepare-join";
    case MembershipAct::kPrepareRemoval:
      return "prepare-removal";
    case MembershipAct::kCommit:
      return "commit";
    case MembershipAct::kCancel:
      return "cancel";
  }
  return "none";
}

}  // namespace hemlockward::control
