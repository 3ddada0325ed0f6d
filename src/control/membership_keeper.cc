#include "control/membership_keeper.h"

#include <algorithm>
#include <utility>

namespace hemlockward::control {

using base::EntryRow;
using base::Membership;

namespace {

bool IsSameIncarnation(const EntryRow& a, const EntryRow& b) {
  return a.entry == b.entry && a.incarnation == b.incarnation;
}

bool Contains(const std::vector<EntryRow>& rows, const EntryRow& row) {
  return std::any_of(rows.begin(), rows.end(), [&](const EntryRow& it) {
    return IsSameIncarnation(it, row);
  });
}

void SortById(std::vector<EntryRow>& rows) {
  std::sort(rows.begin(), rows.end(),
            [](const auto& a, const auto& b) { return a.entry < b.entry; });
}

// Commits the pending change. Keys stamped before `effective_from` keep their
// owner, so the previous entries are stored until such keys expire.
Membership ApplyPending(const Membership& membership,
                        const MembershipSettings& settings,
                        base::WallMillis wall) {
  Membership next = membership;
  next.earlier.emplace_back(membership.effective_from, membership.entries);
  next.effective_from = wall + settings.max_skew * 2;
  // Stays monotonic even if the wall clock was set back.
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
  // A set is needed until its successor has been in effect for a key lifetime.
  const base::Millis kept = settings.key_lifetime + settings.max_skew * 2;
  const base::WallMillis horizon{wall.count - kept.count};
  while (next.earlier.size() > 1 && next.earlier[1].first < horizon) {
    next.earlier.erase(next.earlier.begin());
  }
  return next;
}

MembershipStep CancelStep(const Membership& membership, std::string reason) {
  MembershipStep step{MembershipAction::kCancel, membership, std::move(reason)};
  step.next.pending = {};
  step.next.pending_removal = false;
  return step;
}

MembershipStep PrepareStep(const Membership& membership, const EntryRow& entry,
                           bool removal, std::string reason) {
  const auto act = removal ? MembershipAction::kPrepareRemoval
                           : MembershipAction::kPrepareJoin;
  MembershipStep step{act, membership, std::move(reason)};
  step.next.pending = entry;
  step.next.pending_removal = removal;
  return step;
}

class StepPlanner {
 public:
  StepPlanner(const MembershipInputs& inputs, const EntryContacts& contacts,
              const MembershipSettings& settings, base::Millis now,
              base::WallMillis wall)
      : inputs_(inputs),
        contacts_(contacts),
        settings_(settings),
        now_(now),
        wall_(wall) {}

  MembershipStep Next() {
    const Membership& membership = inputs_.membership;
    if (membership.number == 0) return FirstMembership();
    if (!membership.pending.entry.empty()) {
      return membership.pending_removal ? AdvanceRemoval() : AdvanceJoin();
    }
    return NextChange();
  }

 private:
  [[nodiscard]] bool IsSilent(const EntryRow& entry) const {
    return now_ - contacts_.LastHeard(entry) > settings_.removal_silence;
  }

  // No entry serves before the first membership, so no acknowledgement is
  // needed.
  MembershipStep FirstMembership() {
    const bool waited = now_ - inputs_.watching_since >= settings_.initial_wait;
    if (inputs_.registered.empty() || !waited) return {};
    MembershipStep step{
        MembershipAction::kFirst, {}, "first entries registered"};
    step.next.number = 1;
    step.next.effective_from = wall_;
    step.next.entries = inputs_.registered;
    SortById(step.next.entries);
    return step;
  }

  MembershipStep AdvanceJoin() {
    const Membership& membership = inputs_.membership;
    const EntryRow& joiner = membership.pending;
    if (!Contains(inputs_.registered, joiner)) {
      return CancelStep(membership,
                        "the joining entry is no longer registered");
    }
    if (IsSilent(joiner) &&
        now_ - inputs_.watching_since > settings_.removal_silence) {
      return CancelStep(membership, "the joining entry fell silent");
    }
    if (contacts_.RevisionOf(joiner) < inputs_.pending_since) {
      return {MembershipAction::kNone, {}, "the joining entry lags behind"};
    }
    const auto gate = contacts_.VmState(
        membership.entries, inputs_.pending_since, base::VmId(), now_);
    return CommitIfPassed(gate);
  }

  MembershipStep AdvanceRemoval() {
    const Membership& membership = inputs_.membership;
    const EntryRow& leaver = membership.pending;
    const bool registered = Contains(inputs_.registered, leaver);
    if (registered && !IsSilent(leaver)) {
      return CancelStep(membership, "the entry was heard again");
    }
    return CommitIfPassed(contacts_.RemovalState(membership.entries, leaver,
                                                 inputs_.pending_since, now_));
  }

  MembershipStep CommitIfPassed(peer::GateState gate) {
    if (gate != peer::GateState::kPassed) {
      return {MembershipAction::kNone, {}, std::string(peer::ToText(gate))};
    }
    return {MembershipAction::kCommit,
            ApplyPending(inputs_.membership, settings_, wall_),
            "all entries are past the prepared change"};
  }

  // Removes ended members first, then silent ones, then lets new entries join.
  MembershipStep NextChange() {
    const Membership& membership = inputs_.membership;
    const auto ended = EndedMembers(membership, inputs_.registered);
    if (!ended.empty()) {
      return PrepareStep(membership, ended.front(), true,
                         "the entry has ended");
    }
    const bool watched_long =
        now_ - inputs_.watching_since > settings_.removal_silence;
    for (const EntryRow& it : membership.entries) {
      if (!watched_long || !IsSilent(it) || !HasMajorityReplied()) continue;
      return PrepareStep(membership, it, true, "the entry fell silent");
    }
    for (const EntryRow& it : inputs_.registered) {
      if (Contains(membership.entries, it) || IsSilent(it)) continue;
      return PrepareStep(membership, it, false, "a new entry registered");
    }
    return {};
  }

  // A control process that is cut off must not remove entries it can't reach.
  [[nodiscard]] bool HasMajorityReplied() const {
    const auto& entries = inputs_.membership.entries;
    const auto heard =
        std::count_if(entries.begin(), entries.end(),
                      [&](const EntryRow& it) { return !IsSilent(it); });
    return static_cast<std::size_t>(heard) >= peer::MajorityOf(entries.size());
  }

  const MembershipInputs& inputs_;
  const EntryContacts& contacts_;
  const MembershipSettings& settings_;
  base::Millis now_;
  base::WallMillis wall_;
};

}  // namespace

MembershipStep NextMembershipStep(const MembershipInputs& inputs,
                                  const EntryContacts& contacts,
                                  const MembershipSettings& settings,
                                  base::Millis now, base::WallMillis wall) {
  return StepPlanner(inputs, contacts, settings, now, wall).Next();
}

std::vector<EntryRow> EndedMembers(const Membership& membership,
                                   const std::vector<EntryRow>& registered) {
  std::vector<EntryRow> ended;
  for (const EntryRow& it : membership.entries) {
    if (!Contains(registered, it)) ended.push_back(it);
  }
  return ended;
}

std::string_view ToText(MembershipAction act) {
  switch (act) {
    case MembershipAction::kNone:
      return "none";
    case MembershipAction::kFirst:
      return "first";
    case MembershipAction::kPrepareJoin:
      return "prepare-join";
    case MembershipAction::kPrepareRemoval:
      return "prepare-removal";
    case MembershipAction::kCommit:
      return "commit";
    case MembershipAction::kCancel:
      return "cancel";
  }
  return "none";
}

}  // namespace hemlockward::control
