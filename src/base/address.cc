#include "base/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <optional>

namespace hemlockward::base {

namespace {

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, port);
  if (ec != std::errc() || ptr != end) return std::nullopt;
  return port;
}

std::string_view StripBrackets(std::string_view host) {
  if (!host.starts_with('[') || !host.ends_with(']')) return host;
  return host.substr(1, host.size() - 2);
}

}  // namespace

tl::expected<Address, std::string> ParseAddress(std::string_view text) {
  const auto expected_form =
      tl::unexpected(std::string("IP:port, such as 10.0.0.1:8080"));
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return expected_form;
  const auto port = ParsePort(text.substr(colon + 1));
  const std::string host(StripBrackets(text.substr(0, colon)));
  boost::system::error_code ec;
  boost::asio::ip::make_address(host, ec);
  if (!port || ec) return expected_form;
  return Address{host, *port};
}

}  // namespace hemlockward::base
