#include "jobs/crash_history.h"

#include <algorithm>
#include <utility>

namespace hemlockward::jobs {

namespace {

constexpr std::size_t kLossesToRunAlone = 2;
/// Losses after which a task is given up if the last one has no other cause.
constexpr std::size_t kLossesToGiveUp = 3;
/// Losses after which it is given up whatever ran beside it: each one costs a
/// worker.
constexpr std::size_t kMaxLosses = 4;
/// Known crashes of workers that had started it, without which no task is given
/// up.
constexpr int kCrashesToGiveUp = 2;
/// Known crashes after which it is given up even if no start was answered.
constexpr int kMaxCrashes = 4;
/// Losses that are kept; a task that isn't given up may go on losing workers.
constexpr std::size_t kMaxKept = 8;

}  // namespace

bool CrashHistory::Add(LostRun lost) {
  if (lost.run == announced_run) announced_run = 0;
  const auto it = std::find_if(
      lost_runs.begin(), lost_runs.end(),
      [&lost](const LostRun& other) { return other.run == lost.run; });
  if (it != lost_runs.end()) return lost.crashed && Confirm(lost.run);
  lost_runs.push_back(std::move(lost));
  if (lost_runs.size() > kMaxKept) lost_runs.erase(lost_runs.begin());
  return true;
}

bool CrashHistory::Confirm(int run) {
  for (LostRun& it : lost_runs) {
    if (it.run == run) return !std::exchange(it.crashed, true);
  }
  return false;
}

bool CrashHistory::Resume(int run, const std::string& worker) {
  const auto is_run = [run](const LostRun& it) { return it.run == run; };
  if (std::erase_if(lost_runs, is_run) == 0) return false;
  announced_run = run;
  announced_worker = worker;
  return true;
}

bool CrashHistory::Remove(int run) {
  const bool announced = run == announced_run && run != 0;
  if (announced) announced_run = 0;
  const auto is_run = [run](const LostRun& it) { return it.run == run; };
  return std::erase_if(lost_runs, is_run) > 0 || announced;
}

std::vector<LostRun> CrashHistory::RunsToStore() const {
  std::vector<LostRun> runs = lost_runs;
  if (announced_run != 0) {
    runs.push_back({announced_run, announced_worker, false});
  }
  return runs;
}

Suspicion CrashHistory::suspicion() const {
  if (lost_runs.empty()) return Suspicion::kNone;
  return lost_runs.size() < kLossesToRunAlone ? Suspicion::kSuspect
                                              : Suspicion::kRunAlone;
}

bool CrashHistory::RanAlone(int run) const {
  const auto lost_before =
      std::count_if(lost_runs.begin(), lost_runs.end(),
                    [run](const LostRun& it) { return it.run < run; });
  return static_cast<std::size_t>(lost_before) >= kLossesToRunAlone;
}

int CrashHistory::crashed_workers() const {
  return static_cast<int>(
      std::count_if(lost_runs.begin(), lost_runs.end(),
                    [](const LostRun& it) { return it.crashed; }));
}

bool CrashHistory::ShouldGiveUp(bool alone) const {
  if (crashed_workers() >= kMaxCrashes) return true;
  const auto crashes =
      std::count_if(lost_runs.begin(), lost_runs.end(),
                    [](const LostRun& it) { return it.crashed && it.started; });
  if (crashes < kCrashesToGiveUp) return false;
  return lost_runs.size() >= (alone ? kLossesToGiveUp : kMaxLosses);
}

bool CrashHistory::AwaitsEvidence() const {
  return lost_runs.size() >= kMaxLosses;
}

}  // namespace hemlockward::jobs
