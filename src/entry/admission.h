#pragma once

#include <memory>
#include <string_view>
#include <tl/expected.hpp>

#include "base/clock.h"

/// Sheds work that can't finish in time before it costs anything.
namespace hemlockward::entry {

/// Run times of one service, learned from whole answers (Boost.Histogram with
/// logarithmic bins); old ones fade. What the team declares is only a prior
/// that weighs as much as a few answers.
class RunTimes {
 public:
  explicit RunTimes(double declared_ms);
  ~RunTimes();
  RunTimes(RunTimes&&) noexcept;
  RunTimes& operator=(RunTimes&&) noexcept;

  void Observe(double millis);
  [[nodiscard]] double MeanMillis() const;
  /// The time below which `share` (0 to 1) of the answers came, to within the
  /// width of a bin.
  [[nodiscard]] double QuantileMillis(double share) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// What the decision sees of one service at one entry.
struct AdmissionInput {
  int waiting_ahead = 0;  ///< RequestQueue::CountAhead of the request's class.
  int free_slots = 0;     ///< Router::FreeSlots.
  /// Tokens that this entry can count on for the service: those held now, or
  /// its share of the pool if that is more (loans bring it back).
  int slots = 0;
  int pool_workers = 0;  ///< Members of the pool.
  double mean_run_ms = 0;
  double median_run_ms = 0;  ///< Median: what this request will likely take.
};

enum class ShedReason { kNoWorkers, kExpired, kCannotFinish };
std::string_view ToText(ShedReason value);

/// A refusal as surely not-run.
struct Shed {
  ShedReason reason = ShedReason::kCannotFinish;
  double expected_wait_ms = 0;
  base::Millis retry_after;  ///< Whole seconds, at least one.
};

/// Milliseconds until a slot is expected for a request that comes now. Pure.
double ExpectedWaitMillis(const AdmissionInput& view);

/// Admits a request with `remaining` time until its deadline, or sheds it.
tl::expected<void, Shed> Admit(const AdmissionInput& view,
                               base::Millis remaining);

}  // namespace hemlockward::entry
