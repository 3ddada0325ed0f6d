#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace hemlockward::kernel {

/// Opens the acceptor on an `IP:port`; throws std::runtime_error that names the
/// address when it can't.
void Listen(boost::asio::ip::tcp::acceptor& acceptor, std::string_view address);

/// The endpoint of an `IP:port`; throws std::invalid_argument on other text.
boost::asio::ip::tcp::endpoint ParseEndpoint(std::string_view address);

}  // namespace hemlockward::kernel
