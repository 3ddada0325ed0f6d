#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace hemlockward::base {

/// Named counters, gauges and latency histograms, exported in the Prometheus
/// text format.
///
/// `labels` is the inner text of a Prometheus label set, e.g. `service="scan"`.
/// All functions are thread-safe; the mutex is last in the lock order.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Count(std::string_view name, std::string_view labels = {},
             std::uint64_t n = 1);
  void Set(std::string_view name, std::string_view labels, double value);
  /// Adds to a histogram with logarithmic bins from 0.1 ms to 1000 s.
  void Observe(std::string_view name, std::string_view labels, double millis);
  /// The quantile `share` (0 to 1) of the observations in milliseconds, rounded
  /// up to the end of its bin; `fallback` if there are fewer than 10.
  [[nodiscard]] double Quantile(std::string_view name, std::string_view labels,
                                double share, double fallback) const;
  [[nodiscard]] std::string ToPrometheus() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hemlockward::base
