#include "jobs/crash_history.h"

#include <algorithm>

namespace hemlockward::jobs {

namespace {

constexpr std::size_t kLossesToRunAlone = 2;
/// Losses after which a task is given up if the last one has no other cause.
constexpr std::size_t kLossesToGiveUp = 3;
/// Losses after which it is given up in any case: each one costs a worker.
constexpr std::size_t kMaxLosses = 4;

}  // namespace

bool CrashHistory::Add(int run) {
  if (std::find(lost_runs.begin(), lost_runs.end(), run) != lost_runs.end()) {
    return false;
  }
  lost_runs.push_back(run);
  announced_run = 0;
  return true;
}

bool CrashHistory::Remove(int run) {
  const bool announced = run == announced_run && run != 0;
  if (announced) announced_run = 0;
  return std::erase(lost_runs, run) > 0 || announced;
}

std::vector<int> CrashHistory::RunsToStore() const {
  std::vector<int> runs = lost_runs;
  if (announced_run != 0) runs.push_back(announced_run);
  return runs;
}

Suspicion CrashHistory::suspicion() const {
  if (lost_runs.empty()) return Suspicion::kNone;
  return lost_runs.size() < kLossesToRunAlone ? Suspicion::kSuspect
                                              : Suspicion::kRunAlone;
}

bool CrashHistory::ShouldGiveUp(WorkerLoss loss, bool alone) const {
  if (lost_runs.size() >= kMaxLosses) return true;
  return lost_runs.size() >= kLossesToGiveUp && alone &&
         loss == WorkerLoss::kCrashed;
}

}  // namespace hemlockward::jobs
