#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "base/clock.h"

namespace hemlockward::entry {

/// One-shot event: one coroutine waits, any thread notifies. The coroutine must
/// run on the strand that was passed to the constructor.
class Signal : public std::enable_shared_from_this<Signal> {
 public:
  explicit Signal(const boost::asio::any_io_executor& strand);

  /// Waits until Notify has been called or `limit` has elapsed. Returns at once
  /// if it was called before. True if notified.
  boost::asio::awaitable<bool> WaitFor(base::Millis limit);
  /// Thread-safe; only the first call has an effect.
  void Notify();
  [[nodiscard]] bool notified() const { return notified_; }

 private:
  boost::asio::steady_timer timer_;
  std::atomic<bool> notified_{false};
};

/// Creates a signal on the executor of the calling coroutine.
boost::asio::awaitable<std::shared_ptr<Signal>> MakeSignal();

}  // namespace hemlockward::entry
