#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "entry/settings.h"
#include "kernel/worker_pool.h"

namespace hemlockward::entry {

/// One entry process: the API for callers, the API for peers and the loops that
/// keep the view fresh, on one worker pool.
class EntryProcess {
 public:
  /// Binds both addresses; throws boost::system::system_error on failure.
  EntryProcess(kernel::WorkerPool& pool, EntrySettings settings);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Begins a planned stop: stops the pool after the last request has finished
  /// or at the stop limit.
  void BeginStop();
  [[nodiscard]] int http_port() const;
  [[nodiscard]] int peer_port() const;
  /// Why this entry isn't ready; empty when it is ready.
  [[nodiscard]] std::string NotReadyReason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hemlockward::entry
