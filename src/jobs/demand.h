#pragma once

#include <cstdint>

#include "base/clock.h"

/// Current and forecast demand of the pools. Demand may rise within seconds to
/// several times the capacity of a pool.
namespace hemlockward::jobs {

using base::Millis;

/// Estimates the rate of arriving work as job rate times average job size, so
/// that a single large job does not look like a rise in demand.
class ArrivalRate {
 public:
  void Add(double core_ms, Millis now);
  /// Number of cores that the current arrivals keep busy.
  [[nodiscard]] double Cores(Millis now) const;
  /// Forecast for `now + ahead`; equals `Cores(now)` unless the rate rises
  /// significantly.
  [[nodiscard]] double Cores(Millis now, Millis ahead) const;

 private:
  [[nodiscard]] double DecayedRate(double value, double window,
                                   Millis now) const;

  double fast_ = 0;  ///< Jobs per ms, short window.
  double slow_ = 0;
  double job_core_ms_ = 0;  ///< Average work of a job, in core-ms.
  Millis at_{0};
};

/// Outstanding work of a pool. CPU is in thousandths of a core.
struct PoolDemand {
  std::int64_t ready_cpu = 0;    ///< Tasks that are ready to start.
  std::int64_t running_cpu = 0;  ///< Runs in progress.
  /// Sum over jobs of the widest step that is not ready yet.
  std::int64_t later_cpu = 0;
  std::int64_t memory_mb = 0;     ///< Running and ready tasks.
  std::int64_t arriving_cpu = 0;  ///< Forecast need of arriving jobs.
  /// Of these, long-running tasks.
  std::int64_t lasting_cpu = 0;
  std::int64_t lasting_memory_mb = 0;
  int spread = 0;  ///< VMs required by limits of tasks per worker.
  /// A long-running task has waited too long for a worker.
  bool stuck = false;
};

}  // namespace hemlockward::jobs
