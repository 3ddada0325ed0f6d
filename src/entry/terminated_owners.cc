#include "entry/terminated_owners.h"

namespace hemlockward::entry {

// Keeps the first time: a terminated incarnation never comes back.
void TerminatedOwners::RecordIfAt(const base::EntryRow& row,
                                  std::string_view address,
                                  base::WallMillis now) {
  if (row.peer_address != address) return;
  first_seen_.try_emplace({row.entry, row.incarnation}, now);
}

void TerminatedOwners::OnConnectionRefused(const base::Membership& membership,
                                           std::string_view address,
                                           base::WallMillis now) {
  for (const base::EntryRow& it : membership.entries)
    RecordIfAt(it, address, now);
  for (const auto& [from, entries] : membership.earlier) {
    for (const base::EntryRow& it : entries) RecordIfAt(it, address, now);
  }
}

bool TerminatedOwners::CannotHaveRun(const Key& key,
                                     const base::EntryRow& owner,
                                     const KeyPolicy& policy) const {
  const auto it = first_seen_.find({owner.entry, owner.incarnation});
  if (it == first_seen_.end()) return false;
  return key.timestamp >= it->second + policy.max_skew * 2;
}

}  // namespace hemlockward::entry
