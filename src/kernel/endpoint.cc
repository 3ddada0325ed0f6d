#include "kernel/endpoint.h"

#include <stdexcept>
#include <string>

#include "base/address.h"

namespace hemlockward::kernel {

boost::asio::ip::tcp::endpoint ParseEndpoint(std::string_view address) {
  const auto parsed = base::ParseAddress(address);
  if (!parsed) {
    throw std::invalid_argument("address '" + std::string(address) +
                                "' is not " + parsed.error());
  }
  return {boost::asio::ip::make_address(parsed->host), parsed->port};
}

}  // namespace hemlockward::kernel
