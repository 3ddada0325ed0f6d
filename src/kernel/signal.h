#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

#include "base/clock.h"

namespace hemlockward::kernel {

/// Condition variable for coroutines on one thread. A notification without a
/// waiting coroutine is lost, so check the condition before waiting.
class Signal {
 public:
  explicit Signal(boost::asio::io_context& context) : context_(context) {}

  void Notify() {
    for (boost::asio::steady_timer* it : waiting_) it->cancel();
  }

  /// Returns on a notification or after `at_most`, whichever comes first.
  boost::asio::awaitable<void> Wait(base::Millis at_most) {
    boost::system::error_code ec;
    boost::asio::steady_timer timer(context_);
    timer.expires_after(at_most.ToChrono());
    const auto it = waiting_.insert(waiting_.end(), &timer);
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    waiting_.erase(it);
  }

 private:
  boost::asio::io_context& context_;
  std::list<boost::asio::steady_timer*> waiting_;
};

}  // namespace hemlockward::kernel
