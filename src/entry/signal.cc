#include "entry/signal.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace hemlockward::entry {

namespace asio = boost::asio;

Signal::Signal(const asio::any_io_executor& strand) : timer_(strand) {}

asio::awaitable<bool> Signal::WaitFor(base::Millis limit) {
  if (notified_) co_return true;
  boost::system::error_code ec;
  timer_.expires_after(limit.ToChrono());
  co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  co_return notified_.load();
}

// Cancels the timer on the strand of the waiting coroutine, so that the
// cancellation cannot run between its check of `notified_` and its wait.
void Signal::Notify() {
  if (notified_.exchange(true)) return;
  asio::post(timer_.get_executor(),
             [self = shared_from_this()] { self->timer_.cancel(); });
}

asio::awaitable<std::shared_ptr<Signal>> MakeSignal() {
  co_return std::make_shared<Signal>(co_await asio::this_coro::executor);
}

}  // namespace hemlockward::entry
