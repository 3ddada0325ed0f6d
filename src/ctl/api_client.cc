#include "ctl/api_client.h"

#include <utility>

namespace hemlockward::ctl {

namespace {

constexpr int kUnavailableStatus = 503;  // Nothing was changed.
constexpr int kUnknownStatus = 504;

}  // namespace

ApiClient::ApiClient(kernel::HttpClient& http,
                     std::vector<std::string> addresses, base::Millis timeout)
    : http_(http), addresses_(std::move(addresses)), timeout_(timeout) {}

boost::asio::awaitable<CallResult> ApiClient::Call(
    kernel::HttpRequest request) {
  const bool changes = request.method != "GET";
  CallResult result;
  result.what = "no control process could be reached";
  for (const std::string& it : addresses_) {
    auto answer = co_await http_.Call(it, request, timeout_);
    if (!answer) {
      result.what = it + ": " + answer.error().what;
      const bool sent = answer.error().failure != kernel::HttpFailure::kNotSent;
      if (!sent || !changes) continue;
      result.state = CallState::kUnknown;
      co_return result;
    }
    const int status = answer->status;
    result.response = std::move(*answer);
    result.state =
        status == kUnknownStatus ? CallState::kUnknown : CallState::kAnswered;
    if (status == kUnknownStatus) result.what = it + ": the outcome is unknown";
    if (status != kUnavailableStatus) co_return result;
  }
  co_return result;
}

}  // namespace hemlockward::ctl
