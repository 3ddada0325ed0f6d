#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hemlockward::base {

/// A string identifier with its own type, so that identifiers of different
/// kinds can't be confused.
template <class Tag>
struct Id {
  std::string value;

  Id() = default;
  explicit Id(std::string text) : value(std::move(text)) {}
  [[nodiscard]] bool empty() const { return value.empty(); }
  friend auto operator<=>(const Id&, const Id&) = default;
};

using VmId = Id<struct VmTag>;
using PoolId = Id<struct PoolTag>;
using ServiceId = Id<struct ServiceTag>;
using TeamId = Id<struct TeamTag>;
using ZoneId = Id<struct ZoneTag>;
using RackId = Id<struct RackTag>;
using EntryId = Id<struct EntryTag>;
using WaveId = Id<struct WaveTag>;

/// Position of a change in the change log; 0 means that no change was read.
using Revision = std::uint64_t;
/// Fencing token of a lease; increases each time the lease changes its holder.
using Epoch = std::uint64_t;
/// Distinguishes a process from its earlier runs; random, never 0.
using Incarnation = std::uint64_t;

enum class RequestClass : std::uint8_t { kUrgent, kNormal, kBatch };
inline constexpr std::size_t kRequestClassCount = 3;

/// Outcome of a request as reported to its caller.
enum class Outcome : std::uint8_t {
  kDone,     ///< The target's complete response is attached.
  kNotRun,   ///< No byte reached a target or will under this key.
  kUnknown,  ///< It may or may not have run.
};

std::string_view ToText(RequestClass value);
std::string_view ToText(Outcome value);
std::optional<RequestClass> ParseRequestClass(std::string_view text);
std::optional<Outcome> ParseOutcome(std::string_view text);

}  // namespace hemlockward::base

template <class Tag>
struct std::hash<hemlockward::base::Id<Tag>> {
  std::size_t operator()(const hemlockward::base::Id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};
