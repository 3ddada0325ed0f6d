#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/scheduler.h"

/// A fleet without faults in virtual time: what callers get from the scheduler
/// and the fleet's decisions under heavy loads of several shapes.
namespace hemlockward::bench {

/// How demand varies over the day.
enum class LoadShape : std::uint8_t {
  kSteady,
  kTurns,      ///< Each queue in its turn asks for five times its mean.
  kStep,       ///< One queue asks for four times its mean from mid-day on.
  kRamp,       ///< All queues climb from nothing to twice their mean.
  kNoise,      ///< Rates change at random each second.
  kOneQueue,   ///< Only the first queue is used, at twice its mean.
  kAtOnce,     ///< All jobs of ten seconds come within one.
  kLargeJobs,  ///< Few jobs, each four times as wide.
  kHopeless,   ///< A tenth of the jobs fails on every worker.
  kCancelled,  ///< A fifth of the jobs is cancelled after a second.
};
inline constexpr int kLoadShapes = 10;
std::string_view ToText(LoadShape shape);

/// Who decides.
enum class Policy : std::uint8_t {
  kFirstCome,   ///< In order of arrival; VMs stay in their pools.
  kLeastSlack,  ///< By slack; VMs stay in their pools.
  kReactive,    ///< By slack; VMs follow the backlog.
  kForecast,    ///< Ours: smallest first; VMs also follow arrivals.
};
inline constexpr int kPolicies = 4;
std::string_view ToText(Policy policy);

struct JobLoad {
  LoadShape shape = LoadShape::kTurns;
  int vms_per_pool = 10;
  int spare_machines = 6;
  double utilisation = 0.5;  ///< Mean demand as a share of all pools' cores.
  double estimate_spread = 0.7;  ///< Of the clients' estimates, as a log.
  double seconds = 50;
  std::uint64_t seed = 1;
};

/// What callers got.
struct JobOutcome {
  int jobs = 0;  ///< Without those cancelled or hopeless.
  int in_time = 0;
  int late = 0;
  int unfinished = 0;
  double worth_owed = 0;
  double worth_earned = 0;  ///< Of jobs complete within their objective.
  double worst_queue = 1;   ///< Least share in time of a queue.
  double largest = 1;       ///< Share in time of the largest tenth of jobs.
  double pool_vm_s = 0;     ///< VMs in pools.
  int moves = 0;
  std::vector<std::string> broken;  ///< Promises seen broken.

  [[nodiscard]] double share() const {
    return worth_owed > 0 ? worth_earned / worth_owed : 1;
  }
};

JobOutcome PlayJobs(const JobLoad& load, Policy policy);

}  // namespace hemlockward::bench
