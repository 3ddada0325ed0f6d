#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "entry/slots.h"

/// Outlier ejection: removes workers whose requests fail from routing, up to a
/// limit.
namespace hemlockward::entry {

struct EjectionPolicy {
  int min_results = 5;  ///< Results needed before a worker can be ejected.
  double failure_rate = 0.6;  ///< Recent rate (0 to 1) that causes ejection.
  /// A worker's failure rate must also reach this multiple of the pool's rate,
  /// so that requests that fail on every worker eject none.
  double pool_rate_multiple = 2.0;
  /// Of a pool; at least 1 worker if the pool has 2 or more.
  double max_ejected_fraction = 0.2;
  base::Millis initial_ejection_time = base::Seconds(5);
  base::Millis max_ejection_time = base::Minutes(5);
};

enum class HealthState : std::uint8_t { kHealthy, kEjected, kTrial };
std::string_view ToText(HealthState value);

enum class HealthChange : std::uint8_t { kNone, kEjected, kReadmitted };

/// Health of the workers of one pool. The caller assigns the worker numbers.
/// Not thread-safe.
class PoolHealth {
 public:
  explicit PoolHealth(EjectionPolicy policy);

  /// Adds a worker as healthy; does nothing if the worker is known.
  void Add(SlotIndex worker);
  void Remove(SlotIndex worker);
  /// Records a result. `ok` is false if the connection broke, the request timed
  /// out or the worker answered with a server error. Do not call it for a
  /// request that was never started.
  HealthChange OnResult(SlotIndex worker, bool ok, base::Millis now);
  /// Ends a trial without a result (the request was cancelled or refused).
  void EndTrial(SlotIndex worker, base::Millis now);
  /// Selects an ejected worker whose ejection time has passed, marks it as
  /// kTrial and returns it; it gets a single request. kNoSlot if there is none.
  /// Takes constant time while no trial is due.
  SlotIndex StartTrial(base::Millis now);

  [[nodiscard]] HealthState State(SlotIndex worker) const;
  [[nodiscard]] int ejected() const { return ejected_; }
  [[nodiscard]] int max_ejected() const;

 private:
  struct Worker {
    SlotIndex id = kNoSlot;
    HealthState state = HealthState::kHealthy;
    int results = 0;
    double failure_rate = 0;
    base::Millis ejection_time{};
    base::Millis ejected_until{};
  };

  [[nodiscard]] const Worker* Find(SlotIndex worker) const;
  Worker* Find(SlotIndex worker);
  void Eject(Worker& worker, base::Millis now);
  void FindNextTrial();

  EjectionPolicy policy_;
  std::vector<Worker> workers_;  ///< Sorted by id.
  int ejected_ = 0;              ///< Workers in kEjected or kTrial.
  double pool_failure_rate_ = 0;
  base::Millis next_trial_{};
};

}  // namespace hemlockward::entry
