#pragma once

#include <map>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "base/fleet.h"
#include "entry/owner.h"

namespace hemlockward::entry {

/// Entry incarnations known to have terminated, and since when that is known.
///
/// An entry listens on its peer address as long as its process runs, so a
/// refused connection proves that the incarnation committed with that address
/// has terminated. A timeout proves nothing: a paused entry doesn't answer
/// either. Not thread-safe.
class TerminatedOwners {
 public:
  /// Records that a connection to `address` was refused at `now` by the local
  /// wall clock.
  void OnConnectionRefused(const base::Membership& membership,
                           std::string_view address, base::WallMillis now);
  /// True when `owner` terminated before it could have run `key`; the key then
  /// never runs anywhere. An owner runs no key with a timestamp max_skew or
  /// more ahead of its own clock, which differs from the local clock by at
  /// most max_skew.
  [[nodiscard]] bool CannotHaveRun(const Key& key, const base::EntryRow& owner,
                                   const KeyPolicy& policy) const;

 private:
  using Incarnation = std::pair<base::EntryId, base::Incarnation>;

  void RecordIfAt(const base::EntryRow& row, std::string_view address,
                  base::WallMillis now);

  std::map<Incarnation, base::WallMillis> first_seen_;
};

}  // namespace hemlockward::entry
