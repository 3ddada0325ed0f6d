#include "jobs/job.h"

#include <algorithm>

namespace hemlockward::jobs {

void UpdateRemaining(Job& job) {
  job.remaining_chain = {0};
  job.remaining_work = 0;
  std::vector<Millis> ends;
  for (const Occurrence& occurrence : job.occurrences) {
    ends.clear();
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const StepSpec& spec = job.spec.steps[i];
      const int left = spec.task_count - occurrence.steps[i].done;
      Millis start{0};
      for (const int it : spec.after) start = std::max(start, ends[it]);
      ends.push_back(left == 0 ? start : start + spec.estimate);
      job.remaining_chain = std::max(job.remaining_chain, ends.back());
      job.remaining_work += StepWork(spec, left);
    }
  }
}

void SetObjective(Job& job, const Queue& queue) {
  const double stretched = queue.stretch * static_cast<double>(job.chain.count);
  job.objective = job.accepted + queue.target +
                  Millis{static_cast<std::int64_t>(stretched)};
}

double StepWork(const StepSpec& step, int tasks) {
  return static_cast<double>(tasks * step.need.cpu_milli) / 1000 *
         static_cast<double>(step.estimate.count);
}

bool AreStepsBeforeDone(const JobSpec& spec, const Occurrence& occurrence,
                        std::size_t step) {
  const auto& before = spec.steps[step].after;
  return std::all_of(before.begin(), before.end(), [&](int it) {
    return occurrence.steps[it].done == spec.steps[it].task_count;
  });
}

std::string_view ToText(JobState state) {
  switch (state) {
    case JobState::kPending:
      return "pending";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "running";
}

}  // namespace hemlockward::jobs
