#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace hemlockward::base {

/// Where a process listens: an IP number, never a name, and a port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses `IP:port`; the error says what is allowed. IPv6 numbers may stand in
/// brackets.
tl::expected<Address, std::string> ParseAddress(std::string_view text);

}  // namespace hemlockward::base
