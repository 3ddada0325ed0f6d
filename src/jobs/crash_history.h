#pragma once

#include <cstdint>
#include <vector>

/// Finds tasks that crash the workers that start them. A crashed worker can't
/// name the task to blame, so each run that it loses makes its task a suspect.
/// Suspects are kept apart, and one that loses several workers runs alone: if
/// that worker crashes too, no other task can have caused it.
namespace hemlockward::jobs {

/// How a worker stopped running what it had.
enum class WorkerLoss : std::uint8_t {
  kPlanned,     ///< It was moved, taken down or had announced its end.
  kCrashed,     ///< Another incarnation runs on its VM.
  kOutOfReach,  ///< Its lease ran out without a report.
};

enum class Suspicion : std::uint8_t {
  kNone,
  kSuspect,  ///< Not beside other suspects, if there is a choice.
  kRunAlone,
};

/// Runs of a task that were lost with their workers.
struct CrashHistory {
  std::vector<int> lost_runs;
  /// A suspect's run is recorded before it starts, as another leader may see
  /// the end of its worker; 0: none.
  int announced_run = 0;

  [[nodiscard]] bool empty() const { return lost_runs.empty(); }
  /// Returns false if the run is known.
  bool Add(int run);
  /// The worker has survived the run. Returns false if the run is unknown.
  bool Remove(int run);
  /// The runs to store: those lost and the one that may be.
  [[nodiscard]] std::vector<int> RunsToStore() const;
  [[nodiscard]] Suspicion suspicion() const;
  /// Whether the task is given up after the newest loss. `alone`: no other task
  /// can have caused it.
  [[nodiscard]] bool ShouldGiveUp(WorkerLoss loss, bool alone) const;
};

}  // namespace hemlockward::jobs
