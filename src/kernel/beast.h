#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <vector>

#include "kernel/http.h"

/// What the HTTP server and client share. Only for their implementations.
namespace hemlockward::kernel {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

inline auto Redirect(error_code& ec) {
  return asio::redirect_error(asio::use_awaitable, ec);
}

template <class Fields>
std::vector<HttpHeader> CopyHeaders(const Fields& fields) {
  std::vector<HttpHeader> headers;
  for (const auto& it : fields) {
    headers.push_back({std::string(it.name_string()), std::string(it.value())});
  }
  return headers;
}

}  // namespace hemlockward::kernel
