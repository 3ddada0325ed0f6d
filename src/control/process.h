#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "control/settings.h"
#include "kernel/worker_pool.h"

namespace hemlockward::control {

/// One control process: the operators' HTTP API and the loops that maintain
/// shard leases and execute decisions, all on one worker pool.
class ControlProcess {
 public:
  /// Throws boost::system::system_error if an address can't be bound.
  ControlProcess(kernel::WorkerPool& pool, ControlSettings settings,
                 RunnerSettings runner);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /// Starts the planned stop: releases the leases, then stops the pool.
  void BeginStop();
  [[nodiscard]] int http_port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hemlockward::control
