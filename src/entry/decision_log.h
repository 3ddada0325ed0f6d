#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/types.h"

namespace hemlockward::entry {

/// One routing decision of this entry.
struct RoutingDecision {
  std::string request_id;
  std::string action;  ///< `route`, `retry`, `shed`, `forward`, `refuse`...
  base::VmId vm;       ///< Empty unless a VM was chosen.
  std::string reason;
  base::Revision revision = 0;
  base::Millis at;
};

/// Logs each decision once and keeps the last `capacity` decisions for
/// `GET /v1/why/request/{id}`. Thread-safe.
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t capacity) : capacity_(capacity) {}

  void Add(RoutingDecision decision);
  /// The retained decisions on one request, oldest first.
  [[nodiscard]] std::vector<RoutingDecision> Find(
      std::string_view request_id) const;

 private:
  std::size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<RoutingDecision> recent_;
};

}  // namespace hemlockward::entry
