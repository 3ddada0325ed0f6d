#include "entry/owner.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

#include "base/random.h"

namespace hemlockward::entry {
namespace {

using base::EntryRow;
using base::Membership;
using base::WallMillis;

constexpr std::string_view kMintedPrefix = "hk1.";
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kMaxKeyLength = 200;
constexpr std::string_view kAllowedKeys =
    "a UUIDv7 such as 01919b3c-7a10-7c3e-9d5b-3f6a1c2b4d5e, or a key from "
    "POST /v1/keys";

bool IsLowerHex(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

bool IsUuidV7(std::string_view text) {
  if (text.size() != kUuidLength) return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash ? text[i] != '-' : !IsLowerHex(text[i])) return false;
  }
  const char variant = text[19];
  return text[14] == '7' &&
         (variant == '8' || variant == '9' || variant == 'a' || variant == 'b');
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, value, 16);
  if (ec != std::errc{} || ptr != end || text.empty()) return std::nullopt;
  return value;
}

// Removes the part after the last '.' from `rest` and parses it as hexadecimal.
std::optional<std::uint64_t> RemoveLastHex(std::string_view& rest) {
  const std::size_t dot = rest.rfind('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const auto value = ParseHex(rest.substr(dot + 1));
  rest = rest.substr(0, dot);
  return value;
}

tl::unexpected<KeyError> InvalidKey(std::string problem) {
  return tl::unexpected(
      KeyError{std::move(problem), std::string(kAllowedKeys)});
}

// Accepts only the form that MintKey writes, so that two different texts never
// stand for the same key.
tl::expected<Key, KeyError> ParseMinted(std::string_view text) {
  std::string_view rest = text.substr(kMintedPrefix.size());
  const auto counter = RemoveLastHex(rest);
  const auto wall = RemoveLastHex(rest);
  const auto incarnation = RemoveLastHex(rest);
  if (!counter || !wall || !incarnation || rest.empty()) {
    return InvalidKey("malformed minted key");
  }
  Key key;
  key.kind = KeyKind::kMinted;
  key.entry = base::EntryId(std::string(rest));
  key.incarnation = *incarnation;
  key.timestamp = {static_cast<std::int64_t>(*wall)};
  key.text = MintKey(key.entry, key.incarnation, key.timestamp, *counter);
  if (key.text != text) return InvalidKey("minted key not as it was issued");
  return key;
}

bool IsSameIncarnation(const EntryRow& a, const EntryRow& b) {
  return a.entry == b.entry && a.incarnation == b.incarnation;
}

const EntryRow* FindIncarnation(const std::vector<EntryRow>& entries,
                                const EntryRow& wanted) {
  for (const EntryRow& row : entries) {
    if (IsSameIncarnation(row, wanted)) return &row;
  }
  return nullptr;
}

// The entries in force at `timestamp`; null when it is before the oldest
// membership on record.
const std::vector<EntryRow>* EntriesAt(const Membership& membership,
                                       WallMillis timestamp) {
  if (timestamp >= membership.effective_from) return &membership.entries;
  for (auto it = membership.earlier.rbegin(); it != membership.earlier.rend();
       ++it) {
    if (timestamp >= it->first) return &it->second;
  }
  return nullptr;
}

// The entries after the prepared change is committed.
std::vector<EntryRow> EntriesAfterPending(const Membership& membership) {
  std::vector<EntryRow> entries = membership.entries;
  std::erase_if(entries, [&](const EntryRow& row) {
    return row.entry == membership.pending.entry;
  });
  if (!membership.pending_removal) entries.push_back(membership.pending);
  return entries;
}

// True when the prepared change would give the key to another incarnation.
bool MovesWithPending(const Key& key, const EntryRow& owner,
                      const Membership& membership) {
  if (membership.pending.entry.empty()) return false;
  const std::vector<EntryRow> next = EntriesAfterPending(membership);
  const EntryRow* winner = RendezvousWinner(key.text, next);
  return winner == nullptr || !IsSameIncarnation(*winner, owner);
}

// A minted key runs only where it was minted.
tl::expected<Owner, OwnerRefusal> MintedOwner(const Key& key,
                                              const Membership& membership) {
  EntryRow wanted;
  wanted.entry = key.entry;
  wanted.incarnation = key.incarnation;
  if (const EntryRow* row = FindIncarnation(membership.entries, wanted)) {
    return Owner{*row, true};
  }
  for (const auto& [from, entries] : membership.earlier) {
    if (const EntryRow* row = FindIncarnation(entries, wanted)) {
      return Owner{*row, false};
    }
  }
  return tl::unexpected(OwnerRefusal::kOwnerNotOnRecord);
}

}  // namespace

tl::expected<Key, KeyError> ParseKey(std::string_view text) {
  if (text.size() > kMaxKeyLength) return InvalidKey("key is too long");
  if (text.starts_with(kMintedPrefix)) return ParseMinted(text);
  std::string lower = ToLower(text);
  if (!IsUuidV7(lower)) return InvalidKey("not a UUIDv7");
  const std::string stamp = lower.substr(0, 8) + lower.substr(9, 4);
  Key key;
  key.timestamp = {static_cast<std::int64_t>(*ParseHex(stamp))};
  key.text = std::move(lower);
  return key;
}

std::string MintKey(const base::EntryId& entry, base::Incarnation incarnation,
                    WallMillis now, std::uint64_t counter) {
  char buf[64];
  std::snprintf(buf, sizeof buf, ".%llx.%llx.%llx",
                static_cast<unsigned long long>(incarnation),
                static_cast<unsigned long long>(now.count),
                static_cast<unsigned long long>(counter));
  return std::string(kMintedPrefix) + entry.value + buf;
}

std::string_view ToText(OwnerRefusal value) {
  switch (value) {
    case OwnerRefusal::kTimestampInFuture:
      return "key stamped in the future";
    case OwnerRefusal::kNoMembership:
      return "no entry in service at the key's time";
    case OwnerRefusal::kOwnerChanging:
      return "owner of the key is changing";
    case OwnerRefusal::kHistoryDropped:
      return "key is older than the memberships on record";
    case OwnerRefusal::kOwnerNotOnRecord:
      return "entry that minted the key is gone";
  }
  return "unknown";
}

const EntryRow* RendezvousWinner(std::string_view text,
                                 const std::vector<EntryRow>& entries) {
  const EntryRow* winner = nullptr;
  std::uint64_t best = 0;
  for (const EntryRow& row : entries) {
    const std::uint64_t seed = base::StableHash(row.entry.value);
    const std::uint64_t score = base::StableHash(text, seed);
    const bool better =
        winner == nullptr || score > best ||
        (score == best && row.entry.value < winner->entry.value);
    if (!better) continue;
    winner = &row;
    best = score;
  }
  return winner;
}

tl::expected<Owner, OwnerRefusal> OwnerOf(const Key& key,
                                          const Membership& membership,
                                          WallMillis now,
                                          const KeyPolicy& policy) {
  if (key.kind == KeyKind::kMinted) return MintedOwner(key, membership);
  if (key.timestamp >= now + policy.max_skew) {
    return tl::unexpected(OwnerRefusal::kTimestampInFuture);
  }
  if (membership.number == 0) {
    return tl::unexpected(OwnerRefusal::kNoMembership);
  }
  const std::vector<EntryRow>* entries = EntriesAt(membership, key.timestamp);
  if (entries == nullptr) {
    const bool recorded = now - key.timestamp < policy.key_lifetime;
    return tl::unexpected(recorded ? OwnerRefusal::kNoMembership
                                   : OwnerRefusal::kHistoryDropped);
  }
  const EntryRow* winner = RendezvousWinner(key.text, *entries);
  if (winner == nullptr) return tl::unexpected(OwnerRefusal::kNoMembership);
  if (entries == &membership.entries &&
      MovesWithPending(key, *winner, membership)) {
    return tl::unexpected(OwnerRefusal::kOwnerChanging);
  }
  const bool present = FindIncarnation(membership.entries, *winner) != nullptr;
  return Owner{*winner, present};
}

WallMillis NextEffectiveFrom(const Membership& present, WallMillis now,
                             const KeyPolicy& policy) {
  return std::max(now + policy.max_skew * 2, present.effective_from);
}

}  // namespace hemlockward::entry
