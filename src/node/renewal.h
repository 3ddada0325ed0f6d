#pragma once

#include <cstdint>

#include "base/clock.h"
#include "jobs/scheduler.h"

/// When a leader asks a worker for its next report. Each report costs the
/// leader as much processor time as starting a task, and a worker at work ends
/// a run several times a second.
namespace hemlockward::node {

/// Longest time that a worker waits for the end of a run before it reports.
/// Limits the age of progress data; well below the workers' lease.
inline constexpr base::Millis kReportWait{900};
inline constexpr base::Millis kReportTimeoutSlack{800};
/// No call to a worker takes longer once it is sent.
inline constexpr base::Millis kLongestCall = kReportWait + kReportTimeoutSlack;

enum class RenewalStep : std::uint8_t {
  kRest,             ///< Nothing runs there and nothing is to be confirmed.
  kAwaitPermission,  ///< The leader may send no orders now.
  kAwaitCommit,      ///< Reported ends are acknowledged once committed.
  kRequest,
};

/// `commit_wait_ends`: time from which the report is requested even if reported
/// ends are still uncommitted, because the request also renews the lease.
inline RenewalStep NextRenewalStep(const jobs::Worker& worker, bool may_send,
                                   base::Millis commit_wait_ends,
                                   base::Millis now) {
  const bool wanted = !worker.adopted || worker.unresponsive ||
                      worker.fence_due || !worker.runs.empty() ||
                      worker.unknown_runs > 0 ||
                      worker.reported_end_number > worker.confirmed_end_number;
  if (worker.ended || !wanted || worker.entry.address.empty()) {
    return RenewalStep::kRest;
  }
  if (!may_send) return RenewalStep::kAwaitPermission;
  const bool committed =
      worker.reported_end_number <= worker.committed_end_number;
  if (!committed && now < commit_wait_ends) return RenewalStep::kAwaitCommit;
  return RenewalStep::kRequest;
}

}  // namespace hemlockward::node
