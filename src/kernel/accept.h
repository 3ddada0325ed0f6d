#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "kernel/worker_pool.h"

namespace hemlockward::kernel {

/// Connections accepted in one batch; limits the delay of other handlers.
inline constexpr int kMaxAcceptBatch = 128;
/// Delay before the next attempt after an error, such as no free descriptors.
inline constexpr base::Millis kAcceptRetryDelay{10};

/// Passes each new connection to `serve` until `closed` is set. Accepts pending
/// connections in batches before other handlers run; otherwise the listen queue
/// of a busy process overflows, and callers retry only after a second.
template <class Serve>
boost::asio::awaitable<void> AcceptLoop(
    boost::asio::io_context& context, boost::asio::ip::tcp::acceptor& acceptor,
    const std::atomic<bool>& closed, Serve serve) {
  namespace asio = boost::asio;
  using boost::system::error_code;
  error_code ec;
  acceptor.non_blocking(true, ec);
  while (!closed) {
    ec = {};
    asio::ip::tcp::socket socket = co_await acceptor.async_accept(
        asio::make_strand(context),
        asio::redirect_error(asio::use_awaitable, ec));
    for (int n = 0; !ec && !closed && n < kMaxAcceptBatch; ++n) {
      serve(std::move(socket));
      socket = asio::ip::tcp::socket(asio::make_strand(context));
      acceptor.accept(socket, ec);
    }
    if (ec == asio::error::operation_aborted || closed) co_return;
    if (ec && ec != asio::error::would_block) co_await Sleep(kAcceptRetryDelay);
  }
}

}  // namespace hemlockward::kernel
