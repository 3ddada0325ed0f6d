#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace hemlockward::kernel {

/// Opens `acceptor` and listens on an `IP:port`. Throws a std::runtime_error
/// that names the address on failure.
void Listen(boost::asio::ip::tcp::acceptor& acceptor, std::string_view address);

/// Parses an `IP:port`; the error names the address.
tl::expected<boost::asio::ip::tcp::endpoint, std::string> ParseEndpoint(
    std::string_view address);

}  // namespace hemlockward::kernel
