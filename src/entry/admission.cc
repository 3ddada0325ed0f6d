#include "entry/admission.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>

namespace hemlockward::entry {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned kBins = 128;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 24.0 * 3600 * 1000;
/// Weight of the declared run time, in answers.
constexpr double kPriorWeight = 8;
/// Total weight at which all samples, and the weight itself, are halved.
constexpr double kDecayWeight = 2048;
constexpr base::Millis kMinRetryAfter = base::Seconds(1);
constexpr base::Millis kMaxRetryAfter = base::Seconds(60);
constexpr double kMillisPerSecond = 1000;

auto MakeHistogram() {
  using LogAxis =
      histogram::axis::regular<double, histogram::axis::transform::log>;
  return histogram::make_histogram_with(std::vector<double>(),
                                        LogAxis(kBins, kMinMs, kMaxMs));
}

base::Millis RetryAfter(double millis) {
  const double seconds = std::ceil(millis / kMillisPerSecond);
  const double bounded =
      std::clamp(seconds, 1.0,
                 static_cast<double>(kMaxRetryAfter.count) / kMillisPerSecond);
  return std::max(kMinRetryAfter,
                  base::Seconds(static_cast<std::int64_t>(bounded)));
}

}  // namespace

struct RunTimes::State {
  decltype(MakeHistogram()) histogram = MakeHistogram();
  double weight = 0;
  double sum = 0;

  void Add(double millis, double times) {
    const double bounded = std::clamp(millis, kMinMs, kMaxMs * 0.999);
    histogram(histogram::weight(times), bounded);
    weight += times;
    sum += times * bounded;
  }
};

RunTimes::RunTimes(double declared_ms) : state_(std::make_unique<State>()) {
  state_->Add(declared_ms, kPriorWeight);
}
RunTimes::~RunTimes() = default;
RunTimes::RunTimes(RunTimes&&) noexcept = default;
RunTimes& RunTimes::operator=(RunTimes&&) noexcept = default;

void RunTimes::Observe(double millis) {
  state_->Add(millis, 1);
  if (state_->weight < kDecayWeight) return;
  state_->histogram *= 0.5;
  state_->weight *= 0.5;
  state_->sum *= 0.5;
}

double RunTimes::MeanMillis() const { return state_->sum / state_->weight; }

double RunTimes::QuantileMillis(double fraction) const {
  const auto& axis = state_->histogram.axis();
  double left = fraction * state_->weight;
  for (int i = 0; i < axis.size(); ++i) {
    left -= state_->histogram[i];
    if (left <= 0) return axis.bin(i).center();
  }
  return kMaxMs;
}

std::string_view ToText(ShedReason value) {
  switch (value) {
    case ShedReason::kNoWorkers:
      return "pool has no workers";
    case ShedReason::kExpired:
      return "deadline has passed";
    case ShedReason::kCannotFinish:
      return "expected wait exceeds the deadline";
  }
  return "unknown";
}

// Slots become free at the rate slots / mean run time. The request needs one
// free slot for each request ahead of it and one for itself.
double ExpectedWaitMillis(const AdmissionInput& view) {
  const int needed = view.waiting_ahead + 1 - view.free_slots;
  if (needed <= 0) return 0;
  // No tokens yet, for example after a start: the wait cannot be estimated.
  if (view.slots <= 0) return 0;
  return needed * view.mean_run_ms / view.slots;
}

tl::expected<void, Shed> Admit(const AdmissionInput& view,
                               base::Millis remaining) {
  if (remaining <= base::Millis{0}) {
    return tl::unexpected(Shed{ShedReason::kExpired, 0, kMinRetryAfter});
  }
  if (view.pool_workers == 0) {
    return tl::unexpected(Shed{ShedReason::kNoWorkers, 0, kMinRetryAfter});
  }
  const double wait = ExpectedWaitMillis(view);
  const double excess_ms =
      wait + view.median_run_ms - static_cast<double>(remaining.count);
  // With a free slot the request is admitted even if it seems too long: the
  // estimate for a single request is inaccurate, and no other request waits for
  // the slot.
  if (wait <= 0 || excess_ms <= 0) return {};
  return tl::unexpected(
      Shed{ShedReason::kCannotFinish, wait, RetryAfter(excess_ms)});
}

}  // namespace hemlockward::entry
