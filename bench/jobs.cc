// bench-jobs: what callers get under each load shape, by policy.

#include <cstdlib>
#include <iomanip>
#include <iostream>

#include "base/log.h"
#include "bench/job_world.h"

namespace {

using hemlockward::bench::JobLoad;
using hemlockward::bench::JobOutcome;
using hemlockward::bench::LoadShape;
using hemlockward::bench::Policy;

constexpr int kDefaultSeeds = 3;

void Play(LoadShape shape, Policy policy, int seeds, double utilisation) {
  JobOutcome sum;
  double worst = 0;
  double largest = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    JobLoad load;
    load.shape = shape;
    load.utilisation = utilisation;
    load.seed = static_cast<std::uint64_t>(seed);
    const JobOutcome out = PlayJobs(load, policy);
    sum.jobs += out.jobs;
    sum.in_time += out.in_time;
    sum.late += out.late;
    sum.unfinished += out.unfinished;
    sum.worth_owed += out.worth_owed;
    sum.worth_earned += out.worth_earned;
    sum.pool_vm_s += out.pool_vm_s;
    sum.moves += out.moves;
    worst += out.worst_queue;
    largest += out.largest;
    for (const std::string& it : out.broken) std::cout << it << '\n';
  }
  std::cout << std::left << std::setw(11) << ToText(shape) << std::setw(12)
            << ToText(policy) << std::right << std::setw(7) << sum.jobs
            << std::setw(8) << sum.in_time << std::setw(7) << sum.late
            << std::setw(7) << sum.unfinished << std::fixed
            << std::setprecision(3) << std::setw(8) << sum.share()
            << std::setw(8) << worst / seeds << std::setw(8) << largest / seeds
            << std::setprecision(0) << std::setw(8) << sum.pool_vm_s / seeds
            << std::setw(7) << sum.moves / seeds << '\n';
}

}  // namespace

// Usage: bench-jobs [SEEDS [POLICY [UTILISATION [SHAPE]]]]
int main(int argc, char** argv) {
  hemlockward::base::ConfigureLog(hemlockward::base::LogLevel::kError,
                                  hemlockward::base::LogFormat::kKeyValue, "",
                                  "bench-jobs");
  const int seeds = argc > 1 ? std::atoi(argv[1]) : kDefaultSeeds;
  if (seeds < 1) {
    std::cerr << "bench-jobs: SEEDS must be a positive number, not '" << argv[1]
              << "'\n";
    return 2;
  }
  const double utilisation =
      argc > 3 ? std::atof(argv[3]) : JobLoad{}.utilisation;
  std::cout << "load       policy         jobs in_time   late unfin.   share"
               "   worst largest  pool_s  moves\n";
  for (int shape = 0; shape < hemlockward::bench::kLoadShapes; ++shape) {
    if (argc > 4 && ToText(static_cast<LoadShape>(shape)) != argv[4]) continue;
    for (int policy = 0; policy < hemlockward::bench::kPolicies; ++policy) {
      if (argc > 2 && ToText(static_cast<Policy>(policy)) != argv[2]) continue;
      Play(static_cast<LoadShape>(shape), static_cast<Policy>(policy), seeds,
           utilisation);
    }
  }
  return 0;
}
