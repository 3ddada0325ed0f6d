#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace hemlockward::kernel {

/// The endpoint of an `IP:port`; throws std::invalid_argument on other text.
boost::asio::ip::tcp::endpoint ParseEndpoint(std::string_view address);

}  // namespace hemlockward::kernel
