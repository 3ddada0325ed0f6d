#pragma once

#include <cstdint>

#include "base/clock.h"

/// What the pools' queues ask for, now and soon. Made for demand that rises
/// within seconds to several times what a pool holds.
namespace hemlockward::jobs {

using base::Millis;

/// How much work arrives, from the rate of jobs and their usual size: a single
/// large job doesn't look like a rise of demand.
class ArrivalRate {
 public:
  void Add(double core_ms, Millis now);
  /// Cores that the work arriving now keeps busy.
  [[nodiscard]] double Cores(Millis now) const;
  /// The same at `now + ahead`, when the rate clearly rises.
  [[nodiscard]] double Cores(Millis now, Millis ahead) const;

 private:
  [[nodiscard]] double DecayedRate(double value, double window,
                                   Millis now) const;

  double fast_ = 0;  ///< Jobs per ms, over a short and a long window.
  double slow_ = 0;
  double job_core_ms_ = 0;  ///< Usual work of a job.
  Millis at_{0};
};

/// Work that a pool still has to do.
struct PoolDemand {
  std::int64_t ready_cpu = 0;     ///< Of tasks that could start now.
  std::int64_t running_cpu = 0;   ///< Of runs at work.
  std::int64_t later_cpu = 0;     ///< Of the widest step still to come, by job.
  std::int64_t memory_mb = 0;     ///< Of tasks at work or able to start.
  std::int64_t arriving_cpu = 0;  ///< What the work that arrives will need.
  int spread = 0;      ///< Machines that limits of tasks per worker ask for.
  bool stuck = false;  ///< A lasting task has waited for a place for long.
};

}  // namespace hemlockward::jobs
