#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace hemlockward::kernel {

/// Opens `acceptor` and listens on an `IP:port`. Throws a std::runtime_error
/// that names the address on failure.
void Listen(boost::asio::ip::tcp::acceptor& acceptor, std::string_view address);

/// Parses an `IP:port`; throws std::invalid_argument on invalid text.
boost::asio::ip::tcp::endpoint ParseEndpoint(std::string_view address);

}  // namespace hemlockward::kernel
