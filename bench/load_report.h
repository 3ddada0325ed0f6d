#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/types.h"
#include "bench/load_plan.h"

namespace hemlockward::bench {

/// What became of a request, from the caller's point of view.
enum class Verdict : std::uint8_t {
  kDone,     ///< Whole answer, and the right one.
  kFailed,   ///< Done, but the target answered with an error.
  kNotRun,   ///< Said not to have been run.
  kUnknown,  ///< Said to be unknown, also on asking again.
  kLost,     ///< No truthful answer before the caller's patience ended.
  kWrong,    ///< An answer that isn't a function of what was sent.
};
inline constexpr std::size_t kVerdictCount = 6;

/// Runs per key and per request id as the targets counted them.
struct TargetRuns {
  std::map<std::string, int> keys;
  std::map<std::string, int> request_ids;
  int max_in_progress = 0;
  std::int64_t cut_off = 0;
  std::int64_t total = 0;
};

/// Counts outcomes and latencies, and compares them with what the targets say.
/// Thread-safe.
class LoadReport {
 public:
  LoadReport();
  ~LoadReport();
  LoadReport(const LoadReport&) = delete;
  LoadReport& operator=(const LoadReport&) = delete;

  void Sent();
  void Retried();
  /// Notes that a caller was told `not-run`; `name` is the key, or the request
  /// id where there is no key.
  void SaidNotRun(std::string_view name, bool has_key);
  /// Notes the end of a request; `name` as above.
  void Finished(base::RequestClass request_class, Verdict verdict,
                Micros latency, std::string_view name, bool has_key);
  /// Counts doubled runs, `not-run` that ran and `done` that didn't.
  void Compare(const TargetRuns& runs);

  [[nodiscard]] std::string Progress() const;
  /// The JSON summary, one line.
  [[nodiscard]] std::string Summary(base::Millis elapsed) const;
  /// True when nothing was lost, doubled or wrong.
  [[nodiscard]] bool Clean() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hemlockward::bench
