#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/types.h"

/// Which entry may run a not-repeatable request, decided from its key alone.
namespace hemlockward::entry {

enum class KeyKind : std::uint8_t {
  kMinted,       ///< Made by `POST /v1/keys`; names its owner.
  kTimeOrdered,  ///< A UUIDv7 made by the caller; owner by rendezvous hash.
};

/// An idempotency key in its one canonical spelling.
struct Key {
  KeyKind kind = KeyKind::kTimeOrdered;
  std::string text;  ///< Canonical; UUIDs in lower case.
  base::WallMillis timestamp{};
  base::EntryId entry;                ///< kMinted only.
  base::Incarnation incarnation = 0;  ///< kMinted only.
};

/// Why a text is no key, and what is allowed instead.
struct KeyError {
  std::string problem;
  std::string allowed;
};

tl::expected<Key, KeyError> ParseKey(std::string_view text);

/// `hk1.<entry>.<incarnation>.<wall ms>.<counter>`, numbers in hexadecimal.
/// Unique as long as one incarnation never repeats a counter.
std::string MintKey(const base::EntryId& entry, base::Incarnation incarnation,
                    base::WallMillis now, std::uint64_t counter);

struct KeyPolicy {
  /// Most that the wall clocks of two of our processes differ.
  base::Millis max_skew{500};
  /// Age at which an owner no longer runs a key.
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

/// The one incarnation in whose memory a key may run.
struct Owner {
  base::EntryRow row;
  /// False when that incarnation has left the membership: its key can't run
  /// any more, and what became of it is unknown unless its outcome is stored.
  bool present = true;
};

/// Pure. `now` is the deciding entry's wall clock.
///
/// The answer for a key never differs between two entries that both may route
/// (fresh views), whatever memberships they have seen, provided that
/// `effective_from` is taken from NextEffectiveFrom and that a change is
/// committed only when every entry has acknowledged its `pending` row or has
/// stopped: until an entry sees the commit it refuses the keys that move.
tl::expected<Owner, OwnerRefusal> OwnerOf(const Key& key,
                                          const base::Membership& membership,
                                          base::WallMillis now,
                                          const KeyPolicy& policy);

/// The rendezvous winner for `text` among `entries`; null when empty.
const base::EntryRow* RendezvousWinner(
    std::string_view text, const std::vector<base::EntryRow>& entries);

/// The earliest `effective_from` that the next membership may carry, by the
/// wall clock of the control process that commits it. Later than any stamp
/// that an entry can have accepted, and never before the present membership's.
base::WallMillis NextEffectiveFrom(const base::Membership& present,
                                   base::WallMillis now,
                                   const KeyPolicy& policy);

}  // namespace hemlockward::entry
