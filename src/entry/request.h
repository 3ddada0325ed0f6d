#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "base/types.h"

namespace hemlockward::entry {

/// A caller's request, as this entry runs it.
struct Request {
  std::string id;  ///< Names this attempt of the caller in logs and answers.
  base::ServiceId service;
  base::RequestClass request_class = base::RequestClass::kNormal;
  bool repeatable = true;
  std::string key;        ///< Idempotency key; may be empty when repeatable.
  base::Millis deadline;  ///< On this process's monotonic clock.
  std::string content_type;
  std::string body;
  std::uint64_t number = 0;  ///< Unique within this process.
  /// Asked right before the first byte goes to a target; false stops it.
  std::function<bool()> may_send;
};

/// What the caller is told.
struct Answer {
  base::Outcome outcome = base::Outcome::kUnknown;
  int status = 503;
  std::string content_type;
  std::string body;    ///< The target's whole answer when `outcome` is kDone.
  std::string reason;  ///< Why, unless kDone.
  base::Millis retry_after;  ///< 0: nothing is suggested.
};

/// An answer other than the target's.
inline Answer Refusal(base::Outcome outcome, int status, std::string reason) {
  Answer answer;
  answer.outcome = outcome;
  answer.status = status;
  answer.reason = std::move(reason);
  return answer;
}

}  // namespace hemlockward::entry
