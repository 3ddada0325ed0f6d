#include "base/metrics.h"

#include <boost/histogram.hpp>
#include <cstdio>
#include <map>
#include <mutex>
#include <utility>

namespace hemlockward::base {

namespace bh = boost::histogram;

namespace {

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeLatencies() {
  constexpr int kBins = 70;  // Ten bins per decade.
  constexpr double kLowestMillis = 0.1;
  constexpr double kHighestMillis = 1'000'000;
  return bh::make_histogram(LogAxis(kBins, kLowestMillis, kHighestMillis));
}

using Latencies = decltype(MakeLatencies());
using Key = std::pair<std::string, std::string>;

struct Distribution {
  Latencies bins = MakeLatencies();
  double sum = 0;
  std::uint64_t count = 0;
};

std::string FormatNumber(double value) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.6g", value);
  return buf;
}

std::string BracedLabels(std::string_view labels) {
  return labels.empty() ? std::string() : "{" + std::string(labels) + "}";
}

void AppendDistribution(std::string& text, const Key& key,
                        const Distribution& it) {
  const std::string comma = key.second.empty() ? "" : ",";
  double cumulative = it.bins.at(-1);
  for (int i = 0; i < it.bins.axis().size(); ++i) {
    const double n = it.bins.at(i);
    cumulative += n;
    if (n == 0) continue;
    text += key.first + "_bucket{" + key.second + comma + "le=\"" +
            FormatNumber(it.bins.axis().bin(i).upper()) + "\"} " +
            FormatNumber(cumulative) + "\n";
  }
  text += key.first + "_bucket{" + key.second + comma + "le=\"+Inf\"} " +
          std::to_string(it.count) + "\n";
  text += key.first + "_sum" + BracedLabels(key.second) + " " +
          FormatNumber(it.sum) + "\n";
  text += key.first + "_count" + BracedLabels(key.second) + " " +
          std::to_string(it.count) + "\n";
}

}  // namespace

struct Metrics::State {
  mutable std::mutex mutex;
  std::map<Key, std::uint64_t> counters;
  std::map<Key, double> gauges;
  std::map<Key, Distribution> distributions;
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, std::string_view labels,
                    std::uint64_t n) {
  const std::lock_guard lock(state_->mutex);
  state_->counters[{std::string(name), std::string(labels)}] += n;
}

void Metrics::Set(std::string_view name, std::string_view labels,
                  double value) {
  const std::lock_guard lock(state_->mutex);
  state_->gauges[{std::string(name), std::string(labels)}] = value;
}

void Metrics::Observe(std::string_view name, std::string_view labels,
                      double millis) {
  const std::lock_guard lock(state_->mutex);
  auto& it = state_->distributions[{std::string(name), std::string(labels)}];
  it.bins(millis);
  it.sum += millis;
  ++it.count;
}

double Metrics::Quantile(std::string_view name, std::string_view labels,
                         double share, double fallback) const {
  constexpr std::uint64_t kMinObservations = 10;
  const std::lock_guard lock(state_->mutex);
  const auto it =
      state_->distributions.find({std::string(name), std::string(labels)});
  if (it == state_->distributions.end()) return fallback;
  if (it->second.count < kMinObservations) return fallback;
  const Latencies& bins = it->second.bins;
  const double target_count = share * static_cast<double>(it->second.count);
  double cumulative = bins.at(-1);
  for (int i = 0; i < bins.axis().size(); ++i) {
    cumulative += bins.at(i);
    if (cumulative >= target_count) return bins.axis().bin(i).upper();
  }
  return bins.axis().bin(bins.axis().size() - 1).upper();
}

std::string Metrics::ToPrometheus() const {
  const std::lock_guard lock(state_->mutex);
  std::string text;
  for (const auto& [key, value] : state_->counters) {
    text += key.first + BracedLabels(key.second) + " " + std::to_string(value) +
            "\n";
  }
  for (const auto& [key, value] : state_->gauges) {
    text +=
        key.first + BracedLabels(key.second) + " " + FormatNumber(value) + "\n";
  }
  for (const auto& [key, value] : state_->distributions) {
    AppendDistribution(text, key, value);
  }
  return text;
}

}  // namespace hemlockward::base
