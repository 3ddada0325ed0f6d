#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "jobs/scheduler.h"

/// The scheduler's rows in the platform's store. All lie in one part with the
/// lease, so that a leader that lost it can commit nothing.
namespace hemlockward::jobs {

/// Jobs as clients sent them; a row goes when its job is over.
inline constexpr const char* kJobTable = "jobs";
/// Finished tasks and failed runs; also the final state, kept for a while.
inline constexpr const char* kProgressTable = "progress";
/// Workers on which the leader may have started something.
inline constexpr const char* kWorkerTable = "workers";
/// Machines that have begun their upkeep, by wave.
inline constexpr const char* kWaveTable = "waves";

/// Machines that the leader has lately given orders for, or is about to: one
/// row, written before the orders are sent.
inline constexpr const char* kOrderTable = "orders";
inline constexpr const char* kOrderKey = "recent";

struct JobRow {
  std::string queue;
  std::string service;
  WallMillis accepted{};
  std::string source;
};

std::string EncodeJobRow(const Job& job);
std::optional<JobRow> DecodeJobRow(std::string_view text);
std::string EncodeProgressRow(const Job& job);
/// Applies the row to `job`; false when it can't be read.
bool DecodeProgressRow(std::string_view text, Job& job);
std::string EncodeWorkerRow(const Worker& worker);
/// Fills in the entry (when `entry` is set) and the incarnation.
bool DecodeWorkerRow(std::string_view text, Worker& worker, bool entry);

}  // namespace hemlockward::jobs
