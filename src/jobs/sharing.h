#pragma once

#include <span>
#include <vector>

/// Division of the VMs among the pools when together they need more than there
/// are. Answers loads in which one queue's burst exceeds the whole fleet: the
/// other pools keep what they need for the work that they have.
namespace hemlockward::jobs {

/// VMs that one pool needs. Each number includes the one before.
struct PoolNeed {
  int least = 0;  ///< For long-running tasks, and one for other work.
  int now = 0;    ///< For the work at hand.
  int soon = 0;   ///< With the work that is expected to arrive.
};

/// Returns the number of VMs of each pool; their sum is at most `total`. The
/// least needs are met first, then the work at hand, then the expected work;
/// within each, pools that need less are met before pools that need more.
std::vector<int> ShareVms(std::span<const PoolNeed> pools, int total);

}  // namespace hemlockward::jobs
