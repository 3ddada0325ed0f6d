#include "peer/freshness.h"

#include <algorithm>

namespace hemlockward::peer {

namespace {

const base::EntryRow* FindMember(std::span<const base::EntryRow> members,
                                 const base::EntryId& entry) {
  const auto it = std::ranges::find(members, entry, &base::EntryRow::entry);
  return it == members.end() ? nullptr : &*it;
}

}  // namespace

void ViewFreshness::OnTableRead(base::Millis sent, base::Revision revision) {
  if (table_sent_ && *table_sent_ > sent) return;
  table_sent_ = sent;
  table_revision_ = revision;
}

void ViewFreshness::OnPeerReply(const base::EntryId& peer,
                                base::Incarnation incarnation,
                                base::Millis sent, base::Revision revision) {
  Reply& reply = replies_[peer];
  if (reply.incarnation == incarnation && reply.sent >= sent) return;
  reply = {incarnation, sent, revision};
}

bool ViewFreshness::MayServe(std::span<const base::EntryRow> members,
                             base::Revision installed, base::Millis now) const {
  return now < ServesUntil(members, installed);
}

// The later of what the table and what a majority of peers allow.
base::Millis ViewFreshness::ServesUntil(std::span<const base::EntryRow> members,
                                        base::Revision installed) const {
  constexpr base::Millis kNever{0};
  if (FindMember(members, self_) == nullptr) return kNever;

  base::Millis until = kNever;
  if (table_sent_ && installed >= table_revision_) {
    until = *table_sent_ + view_lease_;
  }

  // Answers that name a revision not installed yet don't count: the view they
  // vouch for isn't the one in use.
  std::vector<base::Millis> sent;
  for (const base::EntryRow& member : members) {
    const auto it = replies_.find(member.entry);
    if (it == replies_.end() || member.entry == self_) continue;
    if (it->second.incarnation != member.incarnation) continue;
    if (it->second.revision > installed) continue;
    sent.push_back(it->second.sent);
  }
  const std::size_t others_needed = MajorityOf(members.size()) - 1;
  if (others_needed == 0 || sent.size() < others_needed) return until;
  std::ranges::sort(sent, std::greater<>());
  return std::max(until, sent[others_needed - 1] + view_lease_);
}

std::string_view ToText(GateState state) {
  switch (state) {
    case GateState::kPassed:
      return "passed";
    case GateState::kNoMajority:
      return "no-majority";
    case GateState::kWaitsSilence:
      return "waits-silence";
    case GateState::kBusy:
      return "busy";
  }
  return "busy";
}

void MoveGate::OnHeard(const base::EntryId& entry,
                       base::Incarnation incarnation, base::Revision revision,
                       std::span<const std::string> busy_vms,
                       base::Millis now) {
  Heard& heard = heard_[entry];
  if (heard.incarnation == incarnation && heard.revision > revision) {
    heard.at =
        now;  // An older message that arrived late; it still breaks silence.
    return;
  }
  heard = {incarnation, revision, now, {busy_vms.begin(), busy_vms.end()}};
}

void MoveGate::OnGone(const base::EntryId& entry, base::Incarnation incarnation,
                      base::Millis now) {
  gone_at_.try_emplace({entry, incarnation}, now);
}

void MoveGate::Tick(std::span<const base::EntryRow> members,
                    std::span<const base::Revision> awaited, base::Millis now) {
  std::erase_if(majority_at_, [&](const auto& it) {
    return std::ranges::find(awaited, it.first) == awaited.end();
  });
  for (const base::Revision revision : awaited) {
    const auto past = std::ranges::count_if(members, [&](const auto& member) {
      return IsPast(member, revision, now);
    });
    if (static_cast<std::size_t>(past) < MajorityOf(members.size())) continue;
    majority_at_.try_emplace(revision, now);
  }
}

GateState MoveGate::State(std::span<const base::EntryRow> members,
                          base::Revision revision, const base::VmId& vm,
                          base::Millis now) const {
  if (!majority_at_.contains(revision)) return GateState::kNoMajority;
  for (const base::EntryRow& member : members) {
    if (IsGone(member, now)) continue;
    if (!IsPast(member, revision, now)) {
      if (IsSilent(member, revision, now)) continue;
      return GateState::kWaitsSilence;
    }
    const Heard* heard = Find(member);
    if (heard != nullptr && heard->busy_vms.contains(vm.value)) {
      return GateState::kBusy;
    }
  }
  return GateState::kPassed;
}

GateState MoveGate::RemovalState(std::span<const base::EntryRow> members,
                                 const base::EntryRow& leaver,
                                 base::Revision revision,
                                 base::Millis now) const {
  const GateState others = State(members, revision, base::VmId(), now);
  if (others != GateState::kPassed || IsGone(leaver, now)) return others;
  return IsSilent(leaver, revision, now) ? GateState::kPassed
                                         : GateState::kWaitsSilence;
}

const MoveGate::Heard* MoveGate::Find(const base::EntryRow& member) const {
  const auto it = heard_.find(member.entry);
  if (it == heard_.end()) return nullptr;
  return it->second.incarnation == member.incarnation ? &it->second : nullptr;
}

bool MoveGate::IsGone(const base::EntryRow& member, base::Millis now) const {
  const auto it = gone_at_.find({member.entry, member.incarnation});
  return it != gone_at_.end() && now - it->second >= view_lease_;
}

bool MoveGate::IsPast(const base::EntryRow& member, base::Revision revision,
                      base::Millis now) const {
  if (IsGone(member, now)) return true;
  const Heard* heard = Find(member);
  return heard != nullptr && heard->revision >= revision;
}

// Trusts that the majority was noted; silence before it proves nothing.
bool MoveGate::IsSilent(const base::EntryRow& member, base::Revision revision,
                        base::Millis now) const {
  const auto majority = majority_at_.find(revision);
  if (majority == majority_at_.end()) return false;
  base::Millis since = majority->second;
  if (const Heard* heard = Find(member)) since = std::max(since, heard->at);
  return now - since >= view_lease_;
}

}  // namespace hemlockward::peer
