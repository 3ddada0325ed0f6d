#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Finds tasks that crash the workers that start them. A crashed worker can't
/// name the task to blame, so each run that it loses makes its task a suspect.
/// Suspects are kept apart, and one that loses several workers runs alone: if
/// that worker crashes too, no other task can have caused it. A worker that is
/// out of reach needn't have crashed: such a loss raises suspicion, but only
/// known crashes are a reason to give a task up.
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

struct LostRun {
  int run = 0;
  std::string worker;
  bool crashed = false;  ///< The worker is known to have crashed.
  /// False if the start was never answered: the worker may have crashed before.
  bool started = true;
};

/// Runs of a task that were lost with their workers.
struct CrashHistory {
  std::vector<LostRun> lost_runs;
  /// A suspect's run is recorded before it starts, as another leader may see
  /// the end of its worker; 0: none.
  int announced_run = 0;
  std::string announced_worker;
  /// Number of its job's changes after the newest one to this history.
  int changed_at = 0;

  [[nodiscard]] bool empty() const { return lost_runs.empty(); }
  /// Returns false if nothing new is learned of the run.
  bool Add(LostRun lost);
  /// The worker of a lost run is known to have crashed. Returns false if the
  /// run isn't lost or this is known.
  bool Confirm(int run);
  /// The run is in progress, though the worker may still crash. Returns false
  /// if it wasn't lost.
  bool Resume(int run, const std::string& worker);
  /// The worker has survived the run. Returns false if the run is unknown.
  bool Remove(int run);
  /// The runs to store: those lost and the one that may be.
  [[nodiscard]] std::vector<LostRun> RunsToStore() const;
  [[nodiscard]] Suspicion suspicion() const;
  /// Whether the run, which is lost, had to be alone with its job when it
  /// began.
  [[nodiscard]] bool RanAlone(int run) const;
  /// Number of workers that are known to have crashed under the task.
  [[nodiscard]] int crashed_workers() const;
  /// Whether the task is given up. `alone`: no other task can have caused the
  /// crash that was learned of last.
  [[nodiscard]] bool ShouldGiveUp(bool alone) const;
  /// So many workers are lost that, had they crashed, the task would have to be
  /// given up: whether they did is worth waiting for.
  [[nodiscard]] bool AwaitsEvidence() const;
};

}  // namespace hemlockward::jobs
