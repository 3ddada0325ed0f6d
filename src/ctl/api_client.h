#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "kernel/http.h"

namespace hemlockward::ctl {

/// Outcome of a call.
enum class CallState : std::uint8_t {
  kAnswered,  ///< A control process replied; see `response`.
  kNotDone,   ///< No process was reached; nothing was changed.
  kUnknown,   ///< The reply was lost; a change may have been made.
};

struct CallResult {
  CallState state = CallState::kNotDone;
  kernel::HttpResponse response;
  std::string what;  ///< Why there is no reply.
};

/// Calls the control processes in turn until one replies.
class ApiClient {
 public:
  ApiClient(kernel::HttpClient& http, std::vector<std::string> addresses,
            base::Millis timeout);
  /// A request that changes something is sent to the next process only if the
  /// previous one is known to have done nothing.
  boost::asio::awaitable<CallResult> Call(kernel::HttpRequest request);

 private:
  kernel::HttpClient& http_;
  std::vector<std::string> addresses_;
  base::Millis timeout_;
};

}  // namespace hemlockward::ctl
