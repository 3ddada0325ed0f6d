#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <mutex>

#include "base/clock.h"
#include "base/random.h"
#include "kernel/http.h"

/// Faults that a stand-in shows on request.
namespace hemlockward::standin {

/// What goes wrong, set as a whole by `POST /faults` with a JSON object; keys
/// left out are off. `for_ms` ends all of them after that time.
struct Faults {
  bool down = false;    ///< Connections end without an answer; nothing is done.
  bool freeze = false;  ///< Requests wait, and take effect after the thaw.
  bool fail_everything = false;  ///< Targets: each run ends at once with 500.
  base::Millis slow;       ///< `slow_ms`: delay before a request takes effect.
  base::Millis late;       ///< `late_ms`: delay after it took effect.
  base::Millis list_lag;   ///< `list_lag_ms`: added to the VM list's lag.
  double error_share = 0;  ///< Answered with 503; nothing is done.
  double lost_share = 0;   ///< Done, but the answer is lost.
  double cut_share = 0;    ///< Done, but the answer ends early.
  std::int64_t cut_after = 4;  ///< Body bytes that a cut answer still has.
  double wrong_id_share = 0;   ///< Targets: another request's id is echoed.
};

/// Applies the faults in force to every request of one stand-in. Thread-safe.
class FaultInjector {
 public:
  FaultInjector(std::uint64_t seed, kernel::HttpHandler handler);

  /// Answers `/faults` itself and passes the rest to the handler.
  boost::asio::awaitable<kernel::HttpResponse> Handle(
      kernel::HttpRequest request);
  [[nodiscard]] Faults Current() const;
  /// True with probability `share`.
  bool Draw(double share);

 private:
  kernel::HttpResponse Configure(const kernel::HttpRequest& request);

  kernel::HttpHandler handler_;
  base::SystemClock clock_;
  mutable std::mutex mutex_;  // Guards the members below.
  base::Random random_;
  Faults faults_;
  base::Millis until_;
};

/// An answer of which no byte of the body arrives.
kernel::HttpResponse LostAnswer();

}  // namespace hemlockward::standin
