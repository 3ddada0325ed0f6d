#pragma once

#include <algorithm>

#include "base/clock.h"

/// Limits the starts that await their answers. Answers loads in which many
/// tasks become startable at once, as when VMs join a pool with a backlog: the
/// starts would fill the leader's link, and reports and lease renewals behind
/// them would time out. A task that isn't started yet costs nothing.
namespace hemlockward::node {

using base::Millis;

class StartWindow {
 public:
  /// The start was answered, or not, after `latency`.
  void OnAnswer(Millis latency, Millis now) {
    if (latency <= kTargetLatency) {
      limit_ = std::min(kMaxStarts, limit_ + kGrowth / limit_);
      return;
    }
    // Answers to starts that were sent before the last reduction don't count.
    if (now - reduced_at_ < latency) return;
    limit_ = std::max(kMinStarts, limit_ * kReduction);
    reduced_at_ = now;
  }
  /// Number of starts that may be sent now.
  [[nodiscard]] int Room(int in_flight) const {
    return std::max(0, static_cast<int>(limit_) - in_flight);
  }

 private:
  /// An idle link and worker answer within 10 ms.
  static constexpr Millis kTargetLatency{100};
  /// Enough for 300 starts a second at the target latency.
  static constexpr double kMinStarts = 32;
  static constexpr double kMaxStarts = 512;
  static constexpr double kReduction = 0.5;
  /// Growth of the limit with each full window of prompt answers.
  static constexpr double kGrowth = 8;

  double limit_ = 128;
  Millis reduced_at_{-1'000'000};
};

}  // namespace hemlockward::node
