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

// What can truthfully be said when nothing more is tried. An earlier attempt
// that may have run rules not-run out.
Outcome OutcomeOf(const AttemptHistory& history, AttemptFailure failure) {
  if (failure == AttemptFailure::kServerError) return Outcome::kDone;
  return history.attempts > 0 ? Outcome::kUnknown : Outcome::kNotRun;
}

// Exponential with full jitter, so that callers of one failure spread out.
Millis Delay(int tries, const RetryPolicy& policy, base::Random& random) {
  const int doublings = std::clamp(tries - 1, 0, 16);
  const std::int64_t most = std::min(policy.longest_delay.count,
                                     policy.first_delay.count << doublings);
  std::uniform_int_distribution<std::int64_t> spread(0, most);
  return {spread(random)};
}

// Empty when a retry is allowed, else why not.
std::string_view WhyNot(const AttemptHistory& history, AttemptFailure failure,
                        const RetryPolicy& policy) {
  if (!history.repeatable && history.attempts > 0) {
    return "not repeatable and may have run";
  }
  if (history.attempts >= policy.max_attempts) return "attempts are used up";
  if (history.tries >= policy.max_tries) return "tries are used up";
  if (MayHaveRun(failure) &&
      history.failed_workers >= policy.max_failed_workers) {
    return "failed on several healthy workers";
  }
  return {};
}

}  // namespace

RetryBudget::RetryBudget(const RetryPolicy& policy)
    : share_(policy.budget_share),
      most_(policy.budget_most),
      left_(policy.budget_most) {}

void RetryBudget::OnSuccess() { left_ = std::min(most_, left_ + share_); }

bool RetryBudget::Spend() {
  if (left_ < 1) return false;
  left_ -= 1;
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
  decision.outcome = OutcomeOf(history, failure);
  decision.reason = WhyNot(history, failure, policy);
  if (!decision.reason.empty()) return decision;
  const Millis delay = Delay(history.tries, policy, random);
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
