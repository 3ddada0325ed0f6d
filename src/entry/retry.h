#pragma once

#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "base/random.h"
#include "base/types.h"

/// Whether a failed attempt is repeated, and what its caller is told otherwise.
namespace hemlockward::entry {

struct RetryPolicy {
  int max_started_attempts = 4;  ///< Attempts that may have reached a worker.
  /// Attempts in all, those surely not run (refused, not sent) included.
  int max_total_attempts = 12;
  /// Healthy workers on which a job may fail before it is answered.
  int max_failed_workers = 3;
  double budget_per_success = 0.1;  ///< Retries allowed per success.
  double max_budget = 50;           ///< Retries that can be saved up.
  base::Millis initial_delay{20};
  base::Millis max_delay{1000};
};

/// Retries as a share of successes, for one service. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryPolicy& policy);
  void OnSuccess();
  /// Takes one retry from the budget; false when it is spent.
  bool Spend();
  [[nodiscard]] double remaining() const { return remaining_; }

 private:
  double per_success_;
  double max_;
  double remaining_;
};

/// How an attempt failed, by what its target can have received and done.
enum class AttemptFailure : std::uint8_t {
  kNotSent,      ///< No byte left this process.
  kRefused,      ///< 503 with `Hemlockward-Refused`: surely not run.
  kServerError,  ///< A whole answer with a 5xx status.
  kTimeout,      ///< No whole answer in time; it may have run or still run.
  kBroken,       ///< The answer broke off or wasn't this request's.
};
std::string_view ToText(AttemptFailure value);

/// What a request has behind it, the failed attempt included.
struct AttemptHistory {
  bool repeatable = true;
  int started_attempts = 0;  ///< Attempts that may have reached a worker.
  int total_attempts = 0;    ///< All attempts.
  int failed_workers = 0;    ///< Different healthy workers on which it failed.
  base::Millis remaining;    ///< Until its deadline.
};

enum class RetryAction : std::uint8_t { kRetry, kAnswer };

struct RetryDecision {
  RetryAction action = RetryAction::kAnswer;
  base::Millis delay;  ///< With kRetry: wait this long, then queue again.
  /// With kAnswer. kDone stands for passing on the target's whole 5xx answer.
  base::Outcome outcome = base::Outcome::kUnknown;
  std::string_view reason;
};

/// Decides after a failed attempt; spends from `budget` only for kRetry of an
/// attempt that may have reached a worker.
RetryDecision DecideRetry(const AttemptHistory& history, AttemptFailure failure,
                          const RetryPolicy& policy, RetryBudget& budget,
                          base::Random& random);

}  // namespace hemlockward::entry
