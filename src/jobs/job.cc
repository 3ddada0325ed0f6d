#include "jobs/job.h"

#include <algorithm>
#include <utility>

namespace hemlockward::jobs {

int TaskCount(const JobSpec& spec) {
  int n = 0;
  for (const StepSpec& it : spec.steps) n += it.task_count;
  return n;
}

Occurrence NewOccurrence(const JobSpec& spec, Millis now) {
  Occurrence occurrence;
  for (const StepSpec& it : spec.steps) {
    Step step;
    step.tasks.resize(static_cast<std::size_t>(it.task_count));
    for (Task& task : step.tasks) task.idle_since = now;
    occurrence.steps.push_back(std::move(step));
  }
  return occurrence;
}

bool IsDue(const JobSpec& spec, int occurrence, WallMillis wall) {
  if (spec.occurrences == 0) return true;
  if (spec.first_due > wall) return false;
  // The time of a far occurrence may not fit into 64 bits.
  const std::int64_t passed = (wall - spec.first_due).count;
  return spec.interval.count == 0 || occurrence <= passed / spec.interval.count;
}

bool LoadOccurrence(Job& job, int number, Millis now) {
  // Earlier versions opened all occurrences that were due.
  constexpr std::size_t kMaxLoadedTasks = 100'000;
  const std::size_t open = job.occurrences.size();
  const auto tasks = static_cast<std::size_t>(TaskCount(job.spec));
  if (open > 0 && (open + 1) * tasks > kMaxLoadedTasks) return false;
  Occurrence& added = job.occurrences[number];
  added = NewOccurrence(job.spec, now);
  for (Step& step : added.steps) {
    for (Task& it : step.tasks) it.possibly_running = job.earlier_term;
  }
  return true;
}

std::size_t HeldBytes(const Job& job) {
  constexpr std::size_t kBytesOfTask = sizeof(Task) + 32;
  return sizeof(Job) + 2 * job.source.size() +
         job.spec.steps.size() * sizeof(StepSpec) +
         job.occurrences.size() *
             static_cast<std::size_t>(TaskCount(job.spec)) * kBytesOfTask;
}

bool AddService(Job& job, std::string_view service) {
  const auto& known = job.services;
  if (std::find(known.begin(), known.end(), service) != known.end()) {
    return false;
  }
  job.services.emplace_back(service);
  return true;
}

bool MayRunOn(const Job& job, std::string_view service) {
  return job.services_unknown ||
         std::find(job.services.begin(), job.services.end(), service) !=
             job.services.end();
}

bool HasTask(const Job& job, const TaskId& id) {
  return job.occurrences.contains(id.occurrence) &&
         id.step < static_cast<int>(job.spec.steps.size()) &&
         id.index < job.spec.steps[id.step].task_count;
}

void UpdateRemaining(Job& job) {
  job.remaining_chain = {0};
  job.remaining_work = 0;
  std::vector<Millis> ends;
  for (const auto& [number, occurrence] : job.occurrences) {
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
