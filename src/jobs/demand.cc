#include "jobs/demand.h"

#include <algorithm>
#include <cmath>

namespace hemlockward::jobs {

namespace {

// Short enough to see the start of a turn, long enough to hold several jobs.
constexpr double kRateWindowMs = 500;
// The window that a rise is measured against.
constexpr double kSlowWindowMs = 1500;
// Weight of the newest job in the usual size.
constexpr double kNewestJob = 0.05;
// A rise counts when it exceeds the scatter of the rate by this factor.
constexpr double kClearRise = 1.5;
// A forecast is at most this multiple of the rate now.
constexpr double kMostRise = 2.5;

}  // namespace

double ArrivalRate::Rate(double value, double window, Millis now) const {
  return value * std::exp(-static_cast<double>((now - at_).count) / window);
}

void ArrivalRate::Add(double core_ms, Millis now) {
  fast_ = Rate(fast_, kRateWindowMs, now) + 1 / kRateWindowMs;
  slow_ = Rate(slow_, kSlowWindowMs, now) + 1 / kSlowWindowMs;
  at_ = now;
  if (job_core_ms_ == 0) job_core_ms_ = core_ms;
  job_core_ms_ += kNewestJob * (core_ms - job_core_ms_);
}

double ArrivalRate::Cores(Millis now) const {
  return Rate(fast_, kRateWindowMs, now) * job_core_ms_;
}

double ArrivalRate::Cores(Millis now, Millis ahead) const {
  const double fast = Rate(fast_, kRateWindowMs, now);
  const double slow = Rate(slow_, kSlowWindowMs, now);
  // Of a rate that rises steadily each average shows the value of one window
  // ago; of a steady one they differ by the scatter of single arrivals.
  const double rise = fast - slow;
  if (rise < kClearRise * std::sqrt(slow / (2 * kRateWindowMs))) {
    return Cores(now);
  }
  const double slope = rise / (kSlowWindowMs - kRateWindowMs);
  const double later =
      fast + slope * (kRateWindowMs + static_cast<double>(ahead.count));
  return std::min(later, kMostRise * fast) * job_core_ms_;
}

}  // namespace hemlockward::jobs
