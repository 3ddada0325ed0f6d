#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "entry/slots.h"

/// Takes workers that fail what they start out of routing, within bounds.
namespace hemlockward::entry {

struct EjectionPolicy {
  int min_results = 5;        ///< Results needed before a worker is judged.
  double failure_rate = 0.6;  ///< Recent share of failures that ejects.
  /// Failures must exceed this multiple of the pool's, so that bad jobs, which
  /// fail everywhere, eject nobody.
  double pool_rate_multiple = 2.0;
  double max_ejected_fraction = 0.2;  ///< Of a pool; at least 1 of 2 or more.
  base::Millis initial_ejection_time = base::Seconds(5);
  base::Millis max_ejection_time = base::Minutes(5);
};

enum class HealthState : std::uint8_t { kHealthy, kEjected, kTrial };
std::string_view ToText(HealthState value);

enum class HealthChange : std::uint8_t { kNone, kEjected, kReadmitted };

/// Health of the workers of one pool. Workers are numbered by the caller.
class PoolHealth {
 public:
  explicit PoolHealth(EjectionPolicy policy);

  /// Adds a healthy worker, or does nothing if known.
  void Add(SlotIndex worker);
  void Remove(SlotIndex worker);
  /// Takes a result: `ok` is false when the worker broke off, timed out or
  /// answered with a server error. A request never started says nothing.
  HealthChange OnResult(SlotIndex worker, bool ok, base::Millis now);
  /// Ends a trial without a result (the request was cancelled or refused).
  void EndTrial(SlotIndex worker, base::Millis now);
  /// An ejected worker that is due a single trial, now marked as kTrial, or
  /// kNoSlot. Constant cost while none is due.
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
  int ejected_ = 0;              ///< Those in kEjected and kTrial.
  double pool_failure_rate_ = 0;
  base::Millis next_trial_{};
};

}  // namespace hemlockward::entry
