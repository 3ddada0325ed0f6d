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

bool ViewFreshness::CanServe(std::span<const base::EntryRow> members,
                             base::Revision installed, base::Millis now) const {
  return now < CanServeUntil(members, installed);
}

// The later of two deadlines: one from the newest table read, one from the
// answers of a majority.
base::Millis ViewFreshness::CanServeUntil(
    std::span<const base::EntryRow> members, base::Revision installed) const {
  constexpr base::Millis kNever{0};
  if (FindMember(members, self_) == nullptr) return kNever;

  base::Millis until = kNever;
  if (table_sent_ && installed >= table_revision_) {
    until = *table_sent_ + view_lease_;
  }

  // An answer with a revision above `installed` does not count: it confirms a
  // newer view than the one in use.
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
    case GateState::kWaitingForSilence:
      return "waits-silence";
    case GateState::kBusy:
      return "busy";
  }
  return "busy";
}

void MoveGate::OnHeartbeat(const base::EntryId& entry,
                           base::Incarnation incarnation,
                           base::Revision revision,
                           std::span<const std::string> busy_vms,
                           base::Millis now) {
  HeartbeatState& heartbeat = heartbeats_[entry];
  if (heartbeat.incarnation == incarnation && heartbeat.revision > revision) {
    heartbeat.at = now;  // A delayed older message still ends the silence.
    return;
  }
  heartbeat = {incarnation, revision, now, {busy_vms.begin(), busy_vms.end()}};
}

void MoveGate::OnGone(const base::EntryId& entry, base::Incarnation incarnation,
                      base::Millis now) {
  ended_at_.try_emplace({entry, incarnation}, now);
}

void MoveGate::Tick(std::span<const base::EntryRow> members,
                    std::span<const base::Revision> awaited, base::Millis now) {
  std::erase_if(majority_at_, [&](const auto& it) {
    return std::ranges::find(awaited, it.first) == awaited.end();
  });
  for (const base::Revision revision : awaited) {
    const auto past = std::ranges::count_if(members, [&](const auto& member) {
      return HasAcknowledged(member, revision, now);
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
    if (HasEnded(member, now)) continue;
    if (!HasAcknowledged(member, revision, now)) {
      if (IsSilent(member, revision, now)) continue;
      return GateState::kWaitingForSilence;
    }
    const HeartbeatState* heartbeat = Find(member);
    if (heartbeat != nullptr && heartbeat->busy_vms.contains(vm.value)) {
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
  if (others != GateState::kPassed || HasEnded(leaver, now)) return others;
  return IsSilent(leaver, revision, now) ? GateState::kPassed
                                         : GateState::kWaitingForSilence;
}

const MoveGate::HeartbeatState* MoveGate::Find(
    const base::EntryRow& member) const {
  const auto it = heartbeats_.find(member.entry);
  if (it == heartbeats_.end()) return nullptr;
  return it->second.incarnation == member.incarnation ? &it->second : nullptr;
}

bool MoveGate::HasEnded(const base::EntryRow& member, base::Millis now) const {
  const auto it = ended_at_.find({member.entry, member.incarnation});
  return it != ended_at_.end() && now - it->second >= view_lease_;
}

bool MoveGate::HasAcknowledged(const base::EntryRow& member,
                               base::Revision revision,
                               base::Millis now) const {
  if (HasEnded(member, now)) return true;
  const HeartbeatState* heartbeat = Find(member);
  return heartbeat != nullptr && heartbeat->revision >= revision;
}

// Requires the majority to be recorded by Tick: silence before that moment does
// not show that the entry has stopped.
bool MoveGate::IsSilent(const base::EntryRow& member, base::Revision revision,
                        base::Millis now) const {
  const auto majority = majority_at_.find(revision);
  if (majority == majority_at_.end()) return false;
  base::Millis since = majority->second;
  if (const HeartbeatState* heartbeat = Find(member))
    since = std::max(since, heartbeat->at);
  return now - since >= view_lease_;
}

}  // namespace hemlockward::peer
