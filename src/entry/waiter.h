#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "base/clock.h"

namespace hemlockward::entry {

/// Lets one coroutine wait until any thread notifies it. The coroutine must
/// run on a strand: the executor that it was made with.
class Waiter : public std::enable_shared_from_this<Waiter> {
 public:
  explicit Waiter(const boost::asio::any_io_executor& strand);

  /// Returns once Notify has been called, now or before, or after `limit`.
  /// True when notified.
  boost::asio::awaitable<bool> WaitFor(base::Millis limit);
  /// Thread-safe; takes effect once.
  void Notify();

 private:
  boost::asio::steady_timer timer_;
  std::atomic<bool> notified_{false};
};

/// A waiter of the calling coroutine.
boost::asio::awaitable<std::shared_ptr<Waiter>> MakeWaiter();

}  // namespace hemlockward::entry
