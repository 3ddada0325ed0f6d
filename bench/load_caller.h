#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "bench/load_plan.h"
#include "bench/load_report.h"
#include "kernel/http.h"

namespace hemlockward::bench {

/// Takes requests through the entries as a careful caller would: the next
/// entry on a refused connection, the same key again on a broken one, and a
/// question about the key where the outcome is unknown. Must outlive its
/// coroutines.
class LoadCaller {
 public:
  LoadCaller(kernel::HttpClient& http, const LoadSettings& settings,
             LoadReport& report);

  /// Gives a request that is not repeatable its key; false when none could be
  /// had.
  boost::asio::awaitable<bool> AddKey(LoadRequest& request);
  /// Counts a request as sent; called before the coroutine of Send starts.
  void Begin();
  /// Sends the request until it has an outcome, and reports it.
  boost::asio::awaitable<void> Send(LoadRequest request);
  /// Asks every target process what ran; nothing when one doesn't say.
  boost::asio::awaitable<std::optional<TargetRuns>> AskTargets();
  [[nodiscard]] int in_progress() const { return in_progress_; }

 private:
  using Answer = tl::expected<kernel::HttpResponse, kernel::HttpError>;

  boost::asio::awaitable<Verdict> Settle(const LoadRequest& request,
                                         std::string& request_id);
  boost::asio::awaitable<Verdict> AskAgain(const LoadRequest& request,
                                           base::Millis deadline);
  boost::asio::awaitable<Answer> Post(const LoadRequest& request);
  boost::asio::awaitable<Answer> Call(kernel::HttpRequest request);
  std::string NextEntry();

  kernel::HttpClient& http_;
  const LoadSettings& settings_;
  LoadReport& report_;
  base::SystemClock clock_;
  std::atomic<std::size_t> next_entry_{0};
  std::atomic<int> in_progress_{0};
  std::mutex mutex_;  // Guards random_ and minted_.
  base::Random random_;
  std::vector<std::string> minted_;
};

}  // namespace hemlockward::bench
