#pragma once

#include <map>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "base/fleet.h"
#include "entry/owner.h"

namespace hemlockward::entry {

/// Entry incarnations that have surely ended, and since when that is known.
///
/// An entry listens on its peer address for as long as it lives, so a refused
/// connection shows that the incarnation committed with that address has
/// ended. Silence shows nothing: a paused entry is silent too. Not thread-safe.
class TerminatedOwners {
 public:
  /// A connection to `address` was refused, seen at `now` by our wall clock.
  void OnConnectionRefused(const base::Membership& membership,
                           std::string_view address, base::WallMillis now);
  /// True when `owner` had surely ended before it can have run `key`: it runs
  /// no key stamped max_skew or more ahead of its own clock, which differs
  /// from ours by max_skew at most. The key then never runs anywhere.
  [[nodiscard]] bool CannotHaveRun(const Key& key, const base::EntryRow& owner,
                                   const KeyPolicy& policy) const;

 private:
  using Incarnation = std::pair<base::EntryId, base::Incarnation>;

  void RecordIfAt(const base::EntryRow& row, std::string_view address,
                  base::WallMillis now);

  std::map<Incarnation, base::WallMillis> first_seen_;
};

}  // namespace hemlockward::entry
