#pragma once

#include "jobs/model.h"

namespace hemlockward::jobs::testing {

/// One queue, named "queue", whose tasks run in the pool "pool".
inline Configuration OneQueue(int attempts, Millis target) {
  Configuration config;
  config.version = 1;
  Queue queue;
  queue.name = "queue";
  queue.service = "pool";
  queue.attempts = attempts;
  queue.stretch = 2;
  queue.target = target;
  config.queues.push_back(queue);
  config.services["pool"] = {"pool", true, false};
  return config;
}

inline StepSpec Step(int count, std::int64_t cpu, std::int64_t memory = 100,
                     Millis estimate = Millis{1000}) {
  StepSpec step;
  step.task_count = count;
  step.need = {cpu, memory, 0};
  step.estimate = estimate;
  return step;
}

inline JobSpec OneStep(StepSpec step) {
  JobSpec spec;
  spec.steps.push_back(std::move(step));
  return spec;
}

}  // namespace hemlockward::jobs::testing
