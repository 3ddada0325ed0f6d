#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "base/clock.h"
#include "base/metrics.h"
#include "entry/decision_log.h"
#include "entry/dispatch.h"
#include "entry/keyed_requests.h"
#include "entry/request.h"
#include "entry/settings.h"
#include "kernel/http.h"

namespace hemlockward::entry {

/// The HTTP API for callers. Every answer carries `Hemlockward-Request-Id` and
/// `Hemlockward-Outcome`; errors are `application/problem+json`.
class CallerApi {
 public:
  /// `fill_metrics` sets the gauges before they are printed. `cannot_serve`
  /// returns why requests can't be served now, `not_ready` why no more should
  /// be sent to this entry; both return an empty text when there is no reason.
  CallerApi(const EntrySettings& settings, const base::SystemClock& clock,
            Dispatcher& dispatcher, KeyedRequests& keyed,
            DecisionLog& decisions, base::Metrics& metrics,
            std::function<void()> fill_metrics,
            std::function<std::string()> cannot_serve,
            std::function<std::string()> not_ready);

  boost::asio::awaitable<kernel::HttpResponse> Handle(
      kernel::HttpRequest request);

 private:
  boost::asio::awaitable<kernel::HttpResponse> Route(
      kernel::HttpRequest request);
  boost::asio::awaitable<kernel::HttpResponse> HandleRequest(
      kernel::HttpRequest request, std::string_view service);
  boost::asio::awaitable<kernel::HttpResponse> HandleKey(
      const kernel::HttpRequest& request, std::string_view key);
  boost::asio::awaitable<Answer> Run(Request request, bool respond_async);
  kernel::HttpResponse HandleMint(const kernel::HttpRequest& request);
  kernel::HttpResponse HandleReady() const;
  kernel::HttpResponse HandleWhy(std::string_view request_id) const;

  const EntrySettings& settings_;
  const base::SystemClock& clock_;
  Dispatcher& dispatcher_;
  KeyedRequests& keyed_;
  DecisionLog& decisions_;
  base::Metrics& metrics_;
  std::function<void()> fill_metrics_;
  std::function<std::string()> cannot_serve_;
  std::function<std::string()> not_ready_;
};

/// Parses a caller's request headers; the error names the invalid header.
tl::expected<Request, std::string> ParseRequest(
    const kernel::HttpRequest& message, std::string_view service,
    const EntrySettings& settings, base::Millis now);

/// The HTTP form of an answer.
kernel::HttpResponse ToHttp(const Answer& answer, std::string_view request_id);

}  // namespace hemlockward::entry
