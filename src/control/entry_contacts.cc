#include "control/entry_contacts.h"

#include <limits>

#include "peer/gen/peer_types.h"

namespace hemlockward::control {

namespace {

// Earlier than any monotonic time, but differences to it cannot overflow.
constexpr base::Millis kNever{std::numeric_limits<std::int64_t>::min() / 4};

}  // namespace

void EntryContacts::OnReply(const peer::gen::HeartbeatReply& reply,
                            base::Millis now) {
  const base::EntryId entry(reply.sender);
  const auto incarnation = static_cast<base::Incarnation>(reply.incarnation);
  const auto revision = static_cast<base::Revision>(reply.revision);
  const std::lock_guard lock(mutex_);
  gate_.OnHeartbeat(entry, incarnation, revision, reply.busy_vms, now);
  contacts_[entry] = {incarnation, revision, now, reply.demand};
}

void EntryContacts::OnGone(const base::EntryId& entry,
                           base::Incarnation incarnation, base::Millis now) {
  const std::lock_guard lock(mutex_);
  gate_.OnGone(entry, incarnation, now);
}

void EntryContacts::Tick(std::span<const base::EntryRow> members,
                         std::span<const base::Revision> awaited,
                         base::Millis now) {
  const std::lock_guard lock(mutex_);
  gate_.Tick(members, awaited, now);
}

peer::GateState EntryContacts::VmState(std::span<const base::EntryRow> members,
                                       base::Revision revision,
                                       const base::VmId& vm,
                                       base::Millis now) const {
  const std::lock_guard lock(mutex_);
  return gate_.State(members, revision, vm, now);
}

peer::GateState EntryContacts::RemovalState(
    std::span<const base::EntryRow> members, const base::EntryRow& leaver,
    base::Revision revision, base::Millis now) const {
  const std::lock_guard lock(mutex_);
  return gate_.RemovalState(members, leaver, revision, now);
}

const EntryContacts::Contact* EntryContacts::Find(
    const base::EntryRow& entry) const {
  const auto it = contacts_.find(entry.entry);
  if (it == contacts_.end()) return nullptr;
  return it->second.incarnation == entry.incarnation ? &it->second : nullptr;
}

base::Millis EntryContacts::LastHeard(const base::EntryRow& entry) const {
  const std::lock_guard lock(mutex_);
  const Contact* contact = Find(entry);
  return contact == nullptr ? kNever : contact->replied_at;
}

base::Revision EntryContacts::RevisionOf(const base::EntryRow& entry) const {
  const std::lock_guard lock(mutex_);
  const Contact* contact = Find(entry);
  return contact == nullptr ? 0 : contact->revision;
}

std::map<base::ServiceId, int> EntryContacts::Demand(
    base::Millis now, base::Millis max_age) const {
  std::map<base::ServiceId, int> demand;
  const std::lock_guard lock(mutex_);
  for (const auto& [entry, it] : contacts_) {
    if (now - it.replied_at > max_age) continue;
    for (const auto& [service, n] : it.demand) {
      demand[base::ServiceId(service)] += n;
    }
  }
  return demand;
}

}  // namespace hemlockward::control
