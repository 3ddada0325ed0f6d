#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "jobs/scheduler.h"

/// Rows of the scheduler in the platform's store. All are in the same partition
/// as the lease, so that a leader that has lost the lease cannot commit.
namespace hemlockward::jobs {

/// Jobs as received from clients; a row is removed when its job ends.
inline constexpr const char* kJobTable = "jobs";
/// Finished tasks and failed runs of a job. The final state is kept for the
/// retention time.
inline constexpr const char* kProgressTable = "progress";
/// Workers on which the leader may have started runs.
inline constexpr const char* kWorkerTable = "workers";
/// VMs that have begun their upkeep, by wave.
inline constexpr const char* kWaveTable = "waves";

/// VMs with recent or imminent orders of the leader: a single row that is
/// committed before the orders are sent.
inline constexpr const char* kOrderTable = "orders";
inline constexpr const char* kOrderKey = "recent";

struct JobRow {
  Queue queue;
  WallMillis accepted{};
  std::string source;
  bool services_stored = false;  ///< The rows name the job's services.
};

std::string EncodeJobRow(const Job& job);
std::optional<JobRow> DecodeJobRow(std::string_view text);
/// `with_losses`: with the runs that were lost with their workers.
std::string EncodeProgressRow(const Job& job, bool with_losses = true);
/// Applies the row to `job`. Returns false when the row is malformed.
bool DecodeProgressRow(std::string_view text, Job& job, Millis now);
std::string EncodeWorkerRow(const Worker& worker);
/// Fills `worker.entry` if `entry` is true. Returns false when the row is
/// malformed.
bool DecodeWorkerRow(std::string_view text, Worker& worker, bool entry);

}  // namespace hemlockward::jobs
