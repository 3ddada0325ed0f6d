#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "kernel/http.h"

namespace hemlockward::ctl {

/// What became of a call.
enum class CallState : std::uint8_t {
  kAnswered,  ///< A control process answered; see the response.
  kNotDone,   ///< None could be asked; nothing was changed.
  kUnknown,   ///< The answer was lost; a change may have been made.
};

struct CallResult {
  CallState state = CallState::kNotDone;
  kernel::HttpResponse response;
  std::string what;  ///< Why there is no answer.
};

/// Asks several control processes in turn until one answers.
class ApiClient {
 public:
  ApiClient(kernel::HttpClient& http, std::vector<std::string> addresses,
            base::Millis timeout);
  /// A request that changes something is passed on to the next process only
  /// when the one before surely did nothing.
  boost::asio::awaitable<CallResult> Call(kernel::HttpRequest request);

 private:
  kernel::HttpClient& http_;
  std::vector<std::string> addresses_;
  base::Millis timeout_;
};

}  // namespace hemlockward::ctl
