#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "control/settings.h"
#include "kernel/worker_pool.h"

namespace hemlockward::control {

/// One control process: the operators' API and the loops that hold shards and
/// carry out decisions, on one worker pool.
class ControlProcess {
 public:
  /// Binds the addresses; throws boost::system::system_error when it can't.
  ControlProcess(kernel::WorkerPool& pool, ControlSettings settings,
                 RunnerSettings runner);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /// Begins the planned stop: leases are given back, then the pool stops.
  void BeginStop();
  [[nodiscard]] int http_port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hemlockward::control
