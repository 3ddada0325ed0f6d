#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "entry/decision_log.h"
#include "entry/request.h"
#include "entry/scheduler.h"
#include "entry/view_guard.h"
#include "kernel/http.h"
#include "kernel/worker_pool.h"

namespace hemlockward::entry {

/// Sends requests to VMs: waits for a slot, sends the request to the chosen VM,
/// retries where that is safe, and reports the outcome as far as it is known.
/// Thread-safe.
class Dispatcher {
 public:
  struct Dependencies {
    Scheduler& scheduler;
    ViewGuard& guard;
    DecisionLog& decisions;
    base::Metrics& metrics;
  };

  /// `orphan_hold` is how long after the deadline of a request an attempt keeps
  /// waiting for the answer, so that its slot is not reused while the VM may
  /// still run it. `on_waiting` is called when a request has to wait for a slot
  /// of its service.
  Dispatcher(kernel::WorkerPool& pool, kernel::HttpClient& http,
             const base::SystemClock& clock, Dependencies deps,
             base::Millis orphan_hold,
             std::function<void(const base::ServiceId&)> on_waiting);

  /// Runs one request until its outcome is determined. The calling coroutine
  /// must run on a strand. Waits for an answer until `linger` after the
  /// deadline.
  boost::asio::awaitable<Answer> Run(Request request, base::Millis linger);

 private:
  struct Attempt;
  struct Progress;

  boost::asio::awaitable<std::optional<Answer>> AwaitFreshView(
      const Request& request);
  boost::asio::awaitable<tl::expected<SlotHold, Answer>> AcquireSlot(
      const Request& request, const Progress& progress);
  boost::asio::awaitable<std::optional<Answer>> RunAttempt(Progress& progress,
                                                           SlotHold hold);
  boost::asio::awaitable<void> Send(std::shared_ptr<Attempt> attempt);
  void RecordHealth(const SlotHold& hold, HealthChange change);
  [[nodiscard]] bool CanSend(Attempt& attempt) const;
  std::optional<Answer> HandleFailure(Progress& progress,
                                      const Attempt& attempt);
  void Record(const Request& request, std::string action, const SlotHold* hold,
              std::string_view reason);
  void Count(const Request& request, const Answer& answer, base::Millis began);

  kernel::WorkerPool& pool_;
  kernel::HttpClient& http_;
  const base::SystemClock& clock_;
  Dependencies deps_;
  base::Millis orphan_hold_;
  std::function<void(const base::ServiceId&)> on_waiting_;
};

}  // namespace hemlockward::entry
