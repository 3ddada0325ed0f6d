#include "bench/load_report.h"

#include <array>
#include <boost/histogram.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

namespace hemlockward::bench {

namespace bh = boost::histogram;
namespace json = boost::json;

namespace {

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeLatencies() {
  constexpr int kBins = 800;              // 2.3 % a bin.
  constexpr double kLowest = 0.01;        // Milliseconds.
  constexpr double kHighest = 1'000'000;  // Milliseconds.
  return bh::make_histogram(LogAxis(kBins, kLowest, kHighest));
}

using Latencies = decltype(MakeLatencies());

// Upper end of the bin below which `share` of the latencies lie; 0 for none.
double Quantile(const Latencies& bins, double share) {
  const double wanted = share * bh::algorithm::sum(bins);
  double cumulative = bins.at(-1);
  if (wanted <= 0) return 0;
  for (int i = 0; i < bins.axis().size(); ++i) {
    cumulative += bins.at(i);
    if (cumulative >= wanted) return bins.axis().bin(i).upper();
  }
  return bins.axis().bin(bins.axis().size() - 1).upper();
}

json::object Quantiles(const Latencies& bins) {
  json::object object;
  object["p50"] = Quantile(bins, 0.5);
  object["p99"] = Quantile(bins, 0.99);
  object["p999"] = Quantile(bins, 0.999);
  return object;
}

// A request as the targets know it: its key, else its request id.
struct Name {
  std::string text;
  bool is_key = false;
};

bool Ran(const Name& name, const TargetRuns& runs) {
  const auto& counts = name.is_key ? runs.keys : runs.request_ids;
  return counts.contains(name.text);
}

}  // namespace

struct LoadReport::State {
  mutable std::mutex mutex;  // Guards all members.
  std::uint64_t sent = 0;
  std::uint64_t retried = 0;
  std::array<std::uint64_t, kVerdictCount> verdicts{};
  std::array<Latencies, base::kRequestClassCount> latencies = {
      MakeLatencies(), MakeLatencies(), MakeLatencies()};
  std::vector<Name> done;
  std::vector<Name> not_run;
  std::optional<TargetRuns> runs;
  std::uint64_t doubled = 0;
  std::uint64_t not_run_but_ran = 0;
  std::uint64_t done_but_not_run = 0;

  [[nodiscard]] std::uint64_t Count(Verdict verdict) const {
    return verdicts[static_cast<std::size_t>(verdict)];
  }
  [[nodiscard]] std::uint64_t Wrong() const {
    return Count(Verdict::kWrong) + not_run_but_ran + done_but_not_run;
  }
};

LoadReport::LoadReport() : state_(std::make_unique<State>()) {}
LoadReport::~LoadReport() = default;

void LoadReport::Sent() {
  const std::lock_guard lock(state_->mutex);
  ++state_->sent;
}

void LoadReport::Retried() {
  const std::lock_guard lock(state_->mutex);
  ++state_->retried;
}

void LoadReport::SaidNotRun(std::string_view name, bool has_key) {
  const std::lock_guard lock(state_->mutex);
  if (!name.empty()) state_->not_run.push_back({std::string(name), has_key});
}

void LoadReport::Finished(base::RequestClass request_class, Verdict verdict,
                          Micros latency, std::string_view name, bool has_key) {
  const std::lock_guard lock(state_->mutex);
  ++state_->verdicts[static_cast<std::size_t>(verdict)];
  if (verdict != Verdict::kDone) return;
  state_->done.push_back({std::string(name), has_key});
  auto& bins = state_->latencies[static_cast<std::size_t>(request_class)];
  const std::chrono::duration<double, std::milli> millis = latency;
  bins(millis.count());
}

void LoadReport::Compare(const TargetRuns& runs) {
  const std::lock_guard lock(state_->mutex);
  state_->runs = runs;
  for (const auto& [key, n] : runs.keys) {
    if (n > 1) ++state_->doubled;
  }
  for (const Name& it : state_->not_run) {
    if (Ran(it, runs)) ++state_->not_run_but_ran;
  }
  for (const Name& it : state_->done) {
    if (!Ran(it, runs)) ++state_->done_but_not_run;
  }
}

std::string LoadReport::Progress() const {
  const std::lock_guard lock(state_->mutex);
  const State& it = *state_;
  return "sent " + std::to_string(it.sent) + ", done " +
         std::to_string(it.Count(Verdict::kDone)) + ", not run " +
         std::to_string(it.Count(Verdict::kNotRun)) + ", unknown " +
         std::to_string(it.Count(Verdict::kUnknown)) + ", lost " +
         std::to_string(it.Count(Verdict::kLost)) + ", wrong " +
         std::to_string(it.Wrong());
}

std::string LoadReport::Summary(base::Millis elapsed) const {
  const std::lock_guard lock(state_->mutex);
  const State& it = *state_;
  json::object latency;
  Latencies all = MakeLatencies();
  for (const Latencies& bins : it.latencies) all += bins;
  latency["all"] = Quantiles(all);
  latency["urgent"] = Quantiles(it.latencies[0]);
  latency["normal"] = Quantiles(it.latencies[1]);
  latency["batch"] = Quantiles(it.latencies[2]);

  json::object object;
  object["sent"] = it.sent;
  object["done"] = it.Count(Verdict::kDone);
  object["failed"] = it.Count(Verdict::kFailed);
  object["not_run"] = it.Count(Verdict::kNotRun);
  object["unknown"] = it.Count(Verdict::kUnknown);
  object["lost"] = it.Count(Verdict::kLost);
  object["doubled"] = it.doubled;
  object["wrong"] = it.Wrong();
  object["not_run_but_ran"] = it.not_run_but_ran;
  object["done_but_not_run"] = it.done_but_not_run;
  object["retried"] = it.retried;
  object["runs_checked"] = it.runs.has_value();
  if (it.runs) {
    object["runs"] = it.runs->total;
    object["cut_off"] = it.runs->cut_off;
    object["max_in_progress"] = it.runs->max_in_progress;
  }
  object["elapsed_ms"] = elapsed.count;
  object["latency_ms"] = std::move(latency);
  return json::serialize(object);
}

bool LoadReport::Clean() const {
  const std::lock_guard lock(state_->mutex);
  const State& it = *state_;
  return it.Count(Verdict::kLost) + it.doubled + it.Wrong() == 0;
}

}  // namespace hemlockward::bench
