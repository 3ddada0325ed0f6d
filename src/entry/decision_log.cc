#include "entry/decision_log.h"

#include <utility>

#include "base/log.h"

namespace hemlockward::entry {

void DecisionLog::Add(RoutingDecision decision) {
  base::LogLine(base::LogLevel::kInfo, "routing_decision")
      .With("request", decision.request_id)
      .With("action", decision.action)
      .With("vm", decision.vm.value)
      .With("reason", decision.reason)
      .With("revision", decision.revision);
  const std::lock_guard lock(mutex_);
  if (recent_.size() >= capacity_) recent_.pop_front();
  recent_.push_back(std::move(decision));
}

std::vector<RoutingDecision> DecisionLog::Find(
    std::string_view request_id) const {
  std::vector<RoutingDecision> found;
  const std::lock_guard lock(mutex_);
  for (const RoutingDecision& it : recent_) {
    if (it.request_id == request_id) found.push_back(it);
  }
  return found;
}

}  // namespace hemlockward::entry
