#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/types.h"

/// Decides from a request's idempotency key alone which entry may run it.
namespace hemlockward::entry {

enum class KeyKind : std::uint8_t {
  kMinted,       ///< Made by `POST /v1/keys`; contains its owner.
  kTimeOrdered,  ///< A UUIDv7 made by the caller; owner by rendezvous hash.
};

/// An idempotency key in canonical form.
struct Key {
  KeyKind kind = KeyKind::kTimeOrdered;
  std::string text;  ///< Canonical; UUIDs in lower case.
  base::WallMillis timestamp{};
  base::EntryId entry;                ///< kMinted only.
  base::Incarnation incarnation = 0;  ///< kMinted only.
};

/// Why a text is not a valid key, and what is allowed.
struct KeyError {
  std::string problem;
  std::string allowed;
};

tl::expected<Key, KeyError> ParseKey(std::string_view text);

/// `hk1.<entry>.<incarnation>.<wall ms>.<counter>`, numbers in hexadecimal.
/// Unique as long as an incarnation never repeats a counter.
std::string MintKey(const base::EntryId& entry, base::Incarnation incarnation,
                    base::WallMillis now, std::uint64_t counter);

struct KeyPolicy {
  /// Largest difference between the wall clocks of two Hemlockward processes.
  base::Millis max_skew{500};
  /// Age above which an owner no longer runs a key.
  base::Millis key_lifetime = base::Minutes(10);
};

enum class OwnerRefusal : std::uint8_t {
  kTimestampInFuture,  ///< Not-run: stamped max_skew or more ahead of our
                       ///< clock.
  kNoMembership,       ///< Not-run: no entry was in service at that time.
  kOwnerChanging,      ///< Not-run: a membership change that moves this key is
                       ///< prepared and may already be in force elsewhere.
  kHistoryDropped,     ///< Unknown: stamped before the memberships on record.
  kOwnerNotOnRecord,   ///< Unknown: minted by an incarnation not on record.
};

std::string_view ToText(OwnerRefusal value);

/// The one incarnation that may run a key.
struct Owner {
  base::EntryRow row;
  /// False when that incarnation has left the membership: the key can't run
  /// any more, and its outcome is unknown unless it is stored.
  bool present = true;
};

/// The owner of a key. Pure. `now` is the wall clock of the calling entry.
///
/// Two entries with fresh views never find different owners for a key,
/// whatever memberships they have seen. This requires that `effective_from`
/// comes from NextEffectiveFrom and that a change is committed only after every
/// entry has acknowledged its `pending` row or has stopped: until an entry sees
/// the commit, it refuses the keys whose owner changes.
tl::expected<Owner, OwnerRefusal> OwnerOf(const Key& key,
                                          const base::Membership& membership,
                                          base::WallMillis now,
                                          const KeyPolicy& policy);

/// The entry with the highest rendezvous hash for `text`; null when empty.
const base::EntryRow* RendezvousWinner(
    std::string_view text, const std::vector<base::EntryRow>& entries);

/// The earliest `effective_from` allowed for the next membership; `now` is the
/// wall clock of the control process that commits it. Later than any key
/// timestamp that an entry can have accepted, and never before the
/// `effective_from` of the present membership.
base::WallMillis NextEffectiveFrom(const base::Membership& present,
                                   base::WallMillis now,
                                   const KeyPolicy& policy);

}  // namespace hemlockward::entry
