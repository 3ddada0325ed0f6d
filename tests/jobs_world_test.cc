// Runs the scheduler against emulated workers. Guards against duplicate runs,
// lost jobs, restarts of done tasks, wrong step order and exceeded capacity or
// attempts under lost, late or failed orders, crashes, partitions and
// takeovers.

#include "jobs_world.h"

#include <gtest/gtest.h>

#include "base/log.h"

namespace hemlockward::jobs::testing {
namespace {

JobSpec TwoSteps(int width) {
  StepSpec step = Step(width, 2000, 1000, Millis{300});
  JobSpec spec = OneStep(step);
  step.after = {0};
  step.task_count = 2;
  spec.steps.push_back(step);
  return spec;
}

struct Scenario {
  const char* name;
  Faults faults;
};

void PrintTo(const Scenario& scenario, std::ostream* out) {
  *out << scenario.name;
}

class WorldTest : public ::testing::TestWithParam<Scenario> {};

TEST_P(WorldTest, PreservesInvariantsUnderFaults) {
  base::ConfigureLog(base::LogLevel::kError, base::LogFormat::kKeyValue, "",
                     "test");
  constexpr int kSeeds = 12;
  constexpr int kJobs = 60;
  constexpr double kHopelessFailureShare =
      0.3;  // At this failure rate most jobs use up their three attempts.
  int completed = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    World world(seed, GetParam().faults, 6);
    world.Run(Millis{200});
    for (int i = 0; i < kJobs; ++i) {
      JobSpec spec = TwoSteps(1 + i % 8);
      if (i % 5 == 0) {
        spec.occurrences = 4;
        spec.interval = {150};
        spec.first_due = world.Wall();
      }
      world.Submit(std::move(spec));
      world.Run(Millis{100});
    }
    world.Run(Millis{30'000});
    for (const std::string& it : world.violations()) {
      ADD_FAILURE() << "seed " << seed << ", " << it;
    }
    completed += world.completed();
  }
  const Faults& faults = GetParam().faults;
  if (faults.cancel == 0 && faults.failing_run == 0) {
    EXPECT_EQ(completed, kSeeds * kJobs);
  } else if (faults.failing_run < kHopelessFailureShare) {
    EXPECT_GT(completed, kSeeds * kJobs / 2);
  }
}

Faults Make(const std::function<void(Faults&)>& set) {
  Faults faults;
  set(faults);
  return faults;
}

INSTANTIATE_TEST_SUITE_P(
    Faults, WorldTest,
    ::testing::Values(
        Scenario{"none", {}}, Scenario{"lost_requests", Make([](Faults& it) {
                                         it.lost_request = 0.05;
                                       })},
        Scenario{"lost_answers",
                 Make([](Faults& it) { it.lost_answer = 0.1; })},
        Scenario{"late_orders", Make([](Faults& it) { it.late_order = 0.1; })},
        Scenario{"failing_runs",
                 Make([](Faults& it) { it.failing_run = 0.1; })},
        Scenario{"hopeless_jobs",
                 Make([](Faults& it) { it.failing_run = 0.5; })},
        Scenario{"crashes", Make([](Faults& it) { it.crash = 0.05; })},
        Scenario{"partitions", Make([](Faults& it) { it.partition = 0.05; })},
        Scenario{"takeovers", Make([](Faults& it) { it.takeover = 0.2; })},
        Scenario{"resizes_and_takeovers", Make([](Faults& it) {
                   it.resize = 0.3;
                   it.takeover = 0.2;
                   it.lost_answer = 0.05;
                 })},
        Scenario{"takeovers_and_partitions", Make([](Faults& it) {
                   it.takeover = 0.2;
                   it.partition = 0.05;
                   it.late_order = 0.05;
                 })},
        Scenario{"takeovers_and_crashes", Make([](Faults& it) {
                   it.takeover = 0.2;
                   it.crash = 0.05;
                   it.lost_answer = 0.05;
                 })},
        Scenario{"everything", Make([](Faults& it) {
                   it.lost_request = 0.02;
                   it.lost_answer = 0.02;
                   it.late_order = 0.02;
                   it.failing_run = 0.05;
                   it.crash = 0.03;
                   it.partition = 0.03;
                   it.takeover = 0.1;
                   it.cancel = 0.1;
                 })}),
    [](const auto& it) { return std::string(it.param.name); });

}  // namespace
}  // namespace hemlockward::jobs::testing
