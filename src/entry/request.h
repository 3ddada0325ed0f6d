#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "base/types.h"

namespace hemlockward::entry {

/// A request from a caller, in the form in which this entry runs it.
struct Request {
  std::string id;  ///< Identifies this call in logs and answers.
  base::ServiceId service;
  base::RequestClass request_class = base::RequestClass::kNormal;
  bool repeatable = true;
  std::string key;        ///< Idempotency key; may be empty when repeatable.
  base::Millis deadline;  ///< On this process's monotonic clock.
  std::string content_type;
  std::string body;
  std::uint64_t number = 0;  ///< Unique within this process.
  /// Called just before the first byte is sent to a target; false cancels the
  /// attempt.
  std::function<bool()> may_send;
};

/// The answer to the caller.
struct Answer {
  base::Outcome outcome = base::Outcome::kUnknown;
  int status = 503;
  std::string content_type;
  std::string body;    ///< The target's complete answer if `outcome` is kDone.
  std::string reason;  ///< Reason for any other outcome than kDone.
  base::Millis retry_after;  ///< 0: no retry time is suggested.
};

/// An answer that this entry makes itself, without one from a target.
inline Answer Refusal(base::Outcome outcome, int status, std::string reason) {
  Answer answer;
  answer.outcome = outcome;
  answer.status = status;
  answer.reason = std::move(reason);
  return answer;
}

}  // namespace hemlockward::entry
