#include "entry/ended_owners.h"

namespace hemlockward::entry {

// The first sighting counts: an incarnation that has ended stays so.
void EndedOwners::Note(const base::EntryRow& row, std::string_view address,
                       base::WallMillis now) {
  if (row.peer_address != address) return;
  first_seen_.try_emplace({row.entry, row.incarnation}, now);
}

void EndedOwners::OnRefused(const base::Membership& membership,
                            std::string_view address, base::WallMillis now) {
  for (const base::EntryRow& it : membership.entries) Note(it, address, now);
  for (const auto& [from, entries] : membership.earlier) {
    for (const base::EntryRow& it : entries) Note(it, address, now);
  }
}

bool EndedOwners::NeverRan(const Key& key, const base::EntryRow& owner,
                           const KeyPolicy& policy) const {
  const auto it = first_seen_.find({owner.entry, owner.incarnation});
  if (it == first_seen_.end()) return false;
  return key.stamped >= it->second + policy.max_skew * 2;
}

}  // namespace hemlockward::entry
