#include "entry/retry.h"

#include <algorithm>

namespace hemlockward::entry {
namespace {

using base::Millis;
using base::Outcome;

bool MayHaveRun(AttemptFailure failure) {
  return failure != AttemptFailure::kNotSent &&
         failure != AttemptFailure::kRefused;
}

// The outcome to report if there is no further attempt. If an earlier attempt
// may have run, the outcome cannot be not-run.
Outcome FinalOutcome(const AttemptHistory& history, AttemptFailure failure) {
  if (failure == AttemptFailure::kServerError) return Outcome::kDone;
  return history.started_attempts > 0 ? Outcome::kUnknown : Outcome::kNotRun;
}

// Exponential backoff with full jitter, so that requests that failed together
// do not retry together.
Millis BackoffDelay(int total_attempts, const RetryPolicy& policy,
                    base::Random& random) {
  const int doublings = std::clamp(total_attempts - 1, 0, 16);
  const std::int64_t max_delay_ms =
      std::min(policy.max_delay.count, policy.initial_delay.count << doublings);
  std::uniform_int_distribution<std::int64_t> jitter(0, max_delay_ms);
  return {jitter(random)};
}

// Empty if a retry is allowed, otherwise the reason for the denial.
std::string_view RetryDenialReason(const AttemptHistory& history,
                                   AttemptFailure failure,
                                   const RetryPolicy& policy) {
  if (!history.repeatable && history.started_attempts > 0) {
    return "not repeatable and may have run";
  }
  if (history.started_attempts >= policy.max_started_attempts) {
    return "attempts are used up";
  }
  if (history.total_attempts >= policy.max_total_attempts) {
    return "tries are used up";
  }
  if (MayHaveRun(failure) &&
      history.failed_workers >= policy.max_failed_workers) {
    return "failed on several healthy workers";
  }
  return {};
}

}  // namespace

RetryBudget::RetryBudget(const RetryPolicy& policy)
    : per_success_(policy.budget_per_success),
      max_(policy.max_budget),
      remaining_(policy.max_budget) {}

void RetryBudget::OnSuccess() {
  remaining_ = std::min(max_, remaining_ + per_success_);
}

bool RetryBudget::Spend() {
  if (remaining_ < 1) return false;
  remaining_ -= 1;
  return true;
}

std::string_view ToText(AttemptFailure value) {
  switch (value) {
    case AttemptFailure::kNotSent:
      return "not sent";
    case AttemptFailure::kRefused:
      return "refused by the target";
    case AttemptFailure::kServerError:
      return "server error";
    case AttemptFailure::kTimeout:
      return "timeout";
    case AttemptFailure::kBroken:
      return "broken answer";
  }
  return "unknown";
}

RetryDecision DecideRetry(const AttemptHistory& history, AttemptFailure failure,
                          const RetryPolicy& policy, RetryBudget& budget,
                          base::Random& random) {
  RetryDecision decision;
  decision.outcome = FinalOutcome(history, failure);
  decision.reason = RetryDenialReason(history, failure, policy);
  if (!decision.reason.empty()) return decision;
  const Millis delay = BackoffDelay(history.total_attempts, policy, random);
  if (delay >= history.remaining) {
    decision.reason = "no time left for a retry";
    return decision;
  }
  if (MayHaveRun(failure) && !budget.Spend()) {
    decision.reason = "retry budget is spent";
    return decision;
  }
  decision.action = RetryAction::kRetry;
  decision.delay = delay;
  decision.reason = ToText(failure);
  return decision;
}

}  // namespace hemlockward::entry
