#pragma once

#include <memory>
#include <string_view>
#include <tl/expected.hpp>

#include "base/clock.h"

/// Rejects requests that cannot meet their deadline before they use resources.
namespace hemlockward::entry {

/// Run time distribution of one service, estimated from complete answers
/// (Boost.Histogram with logarithmic bins). Old samples decay. The declared run
/// time is a prior that weighs as much as a few answers.
class RunTimes {
 public:
  explicit RunTimes(double declared_ms);
  ~RunTimes();
  RunTimes(RunTimes&&) noexcept;
  RunTimes& operator=(RunTimes&&) noexcept;

  void Observe(double millis);
  [[nodiscard]] double MeanMillis() const;
  /// The run time that a fraction `fraction` (0 to 1) of the answers did not
  /// exceed, accurate to one bin width.
  [[nodiscard]] double QuantileMillis(double fraction) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// State of one service at one entry on which admission is decided.
struct AdmissionInput {
  int waiting_ahead = 0;  ///< RequestQueue::CountAhead of the request's class.
  int free_slots = 0;     ///< Router::FreeSlots.
  /// Tokens that this entry can expect to use for the service: the larger of
  /// the tokens held now and its share of the pool (lent tokens can be borrowed
  /// back).
  int slots = 0;
  int pool_workers = 0;  ///< Members of the pool.
  double mean_run_ms = 0;
  double median_run_ms = 0;  ///< Median; the estimate for this request.
};

enum class ShedReason { kNoWorkers, kExpired, kCannotFinish };
std::string_view ToText(ShedReason value);

/// A rejection; the request has certainly not run.
struct Shed {
  ShedReason reason = ShedReason::kCannotFinish;
  double expected_wait_ms = 0;
  base::Millis retry_after;  ///< Whole seconds, at least one.
};

/// Expected wait in milliseconds for a slot for a request that arrives now.
/// Pure function.
double ExpectedWaitMillis(const AdmissionInput& view);

/// Admits or sheds a request whose deadline is `remaining` away.
tl::expected<void, Shed> Admit(const AdmissionInput& view,
                               base::Millis remaining);

}  // namespace hemlockward::entry
