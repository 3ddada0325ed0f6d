#include "jobs/demand.h"

#include <algorithm>
#include <cmath>

namespace hemlockward::jobs {

namespace {

// Short enough to detect the start of a burst, long enough to contain several
// jobs.
constexpr double kFastWindowMs = 500;
// Baseline window against which a rise is measured.
constexpr double kSlowWindowMs = 1500;
// Weight of the newest job in the average job size.
constexpr double kNewestJobWeight = 0.05;
// A rise is significant when it exceeds the standard deviation of the rate by
// this factor.
constexpr double kSignificantRiseFactor = 1.5;
// Upper bound of the forecast as a multiple of the current rate.
constexpr double kMaxForecastFactor = 2.5;

}  // namespace

double ArrivalRate::DecayedRate(double value, double window, Millis now) const {
  return value * std::exp(-static_cast<double>((now - at_).count) / window);
}

void ArrivalRate::Add(double core_ms, Millis now) {
  fast_ = DecayedRate(fast_, kFastWindowMs, now) + 1 / kFastWindowMs;
  slow_ = DecayedRate(slow_, kSlowWindowMs, now) + 1 / kSlowWindowMs;
  at_ = now;
  if (job_core_ms_ == 0) job_core_ms_ = core_ms;
  job_core_ms_ += kNewestJobWeight * (core_ms - job_core_ms_);
}

double ArrivalRate::Cores(Millis now) const {
  return DecayedRate(fast_, kFastWindowMs, now) * job_core_ms_;
}

double ArrivalRate::Cores(Millis now, Millis ahead) const {
  const double fast = DecayedRate(fast_, kFastWindowMs, now);
  const double slow = DecayedRate(slow_, kSlowWindowMs, now);
  // When the rate rises linearly, each average lags by its window. When the
  // rate is constant, the averages differ only by the random variation of
  // single arrivals.
  const double rise = fast - slow;
  if (rise < kSignificantRiseFactor * std::sqrt(slow / (2 * kFastWindowMs))) {
    return Cores(now);
  }
  const double slope = rise / (kSlowWindowMs - kFastWindowMs);
  const double later =
      fast + slope * (kFastWindowMs + static_cast<double>(ahead.count));
  return std::min(later, kMaxForecastFactor * fast) * job_core_ms_;
}

}  // namespace hemlockward::jobs
