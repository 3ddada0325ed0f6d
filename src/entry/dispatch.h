#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/metrics.h"
#include "entry/decision_log.h"
#include "entry/request.h"
#include "kernel/http.h"

namespace hemlockward::entry {

/// Sends requests to VMs: waits for a slot, chooses a VM, retries where that is
/// safe, and tells what is known of the outcome. Thread-safe.
class Dispatcher {
 public:
  Dispatcher(kernel::HttpClient& http, const base::SystemClock& clock,
             DecisionLog& decisions, base::Metrics& metrics);

  /// From now on only `view` is routed by.
  void Install(std::shared_ptr<const base::FleetView> view);
  /// Revision of the view in force.
  base::Revision revision();
  /// Runs one request to its outcome.
  boost::asio::awaitable<Answer> Run(Request request);

 private:
  struct Choice {
    base::VmRow vm;
    base::Revision revision = 0;
  };

  std::optional<Choice> Choose(const Request& request);
  void Release(const base::VmId& vm);

  kernel::HttpClient& http_;
  const base::SystemClock& clock_;
  DecisionLog& decisions_;
  base::Metrics& metrics_;
  std::mutex mutex_;  // Guards all below; "slots" in the lock order.
  std::shared_ptr<const base::FleetView> view_;
  std::map<base::VmId, int> in_progress_;
};

}  // namespace hemlockward::entry
