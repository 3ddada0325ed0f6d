#pragma once

#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "base/random.h"
#include "base/types.h"

/// Decides whether a failed attempt is retried and what the caller is told
/// otherwise.
namespace hemlockward::entry {

struct RetryPolicy {
  int max_started_attempts = 4;  ///< Attempts that may have reached a worker.
  /// All attempts, including those that certainly did not run (refused or not
  /// sent).
  int max_total_attempts = 12;
  /// Number of different healthy workers on which a request may fail before its
  /// failure is returned.
  int max_failed_workers = 3;
  double budget_per_success = 0.1;  ///< Retries earned by each success.
  double max_budget = 50;           ///< Saved retries; also the initial budget.
  base::Millis initial_delay{20};
  base::Millis max_delay{1000};
};

/// Limits the retries of one service to a fraction of its successes. Not
/// thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryPolicy& policy);
  void OnSuccess();
  /// Takes one retry from the budget; false if less than one is left.
  bool Spend();
  [[nodiscard]] double remaining() const { return remaining_; }

 private:
  double per_success_;
  double max_;
  double remaining_;
};

/// How an attempt failed, classified by whether the target may have received
/// and run it.
enum class AttemptFailure : std::uint8_t {
  kNotSent,      ///< No byte was sent.
  kRefused,      ///< 503 with `Hemlockward-Refused`: certainly not run.
  kServerError,  ///< A complete answer with a 5xx status.
  kTimeout,      ///< No complete answer in time; it may have run or still run.
  kBroken,       ///< The answer was cut off or belonged to another request.
};
std::string_view ToText(AttemptFailure value);

/// Attempts of a request so far, including the one that just failed.
struct AttemptHistory {
  bool repeatable = true;
  int started_attempts = 0;  ///< Attempts that may have reached a worker.
  int total_attempts = 0;    ///< All attempts.
  int failed_workers = 0;    ///< Distinct healthy workers on which it failed.
  base::Millis remaining;    ///< Time until its deadline.
};

enum class RetryAction : std::uint8_t { kRetry, kAnswer };

struct RetryDecision {
  RetryAction action = RetryAction::kAnswer;
  base::Millis delay;  ///< With kRetry: wait before queueing it again.
  /// With kAnswer. kDone means that the target's complete 5xx answer is passed
  /// on.
  base::Outcome outcome = base::Outcome::kUnknown;
  std::string_view reason;
};

/// Decides what follows a failed attempt. Takes from `budget` only to retry an
/// attempt that may have run on a worker.
RetryDecision DecideRetry(const AttemptHistory& history, AttemptFailure failure,
                          const RetryPolicy& policy, RetryBudget& budget,
                          base::Random& random);

}  // namespace hemlockward::entry
