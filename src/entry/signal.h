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
class Signal : public std::enable_shared_from_this<Signal> {
 public:
  explicit Signal(const boost::asio::any_io_executor& strand);

  /// Returns once Notify has been called, now or before, or after `limit`.
  /// True when notified.
  boost::asio::awaitable<bool> WaitFor(base::Millis limit);
  /// Thread-safe; takes effect once.
  void Notify();
  [[nodiscard]] bool notified() const { return notified_; }

 private:
  boost::asio::steady_timer timer_;
  std::atomic<bool> notified_{false};
};

/// A signal for the calling coroutine.
boost::asio::awaitable<std::shared_ptr<Signal>> MakeSignal();

}  // namespace hemlockward::entry
