#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace hemlockward::base {

/// An address to listen on or connect to: an IP address (never a host name)
/// and a port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses `IP:port`; the error describes the expected form. IPv6 addresses may
/// be enclosed in brackets.
tl::expected<Address, std::string> ParseAddress(std::string_view text);

}  // namespace hemlockward::base
