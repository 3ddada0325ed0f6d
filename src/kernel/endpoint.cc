#include "kernel/endpoint.h"

#include <stdexcept>
#include <string>

#include "base/address.h"

namespace hemlockward::kernel {

tl::expected<boost::asio::ip::tcp::endpoint, std::string> ParseEndpoint(
    std::string_view address) {
  const auto parsed = base::ParseAddress(address);
  if (!parsed) {
    return tl::unexpected("address '" + std::string(address) + "' is not " +
                          parsed.error());
  }
  return boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(parsed->host), parsed->port);
}

void Listen(boost::asio::ip::tcp::acceptor& acceptor,
            std::string_view address) {
  namespace asio = boost::asio;
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) throw std::invalid_argument(endpoint.error());
  boost::system::error_code ec;
  acceptor.open(endpoint->protocol(), ec);
  if (!ec) acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor.bind(*endpoint, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    throw std::runtime_error("can't listen on '" + std::string(address) +
                             "': " + ec.message());
  }
}

}  // namespace hemlockward::kernel
