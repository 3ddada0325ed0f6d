#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "entry/settings.h"
#include "kernel/worker_pool.h"

namespace hemlockward::entry {

/// One entry: the callers' API, the peers' API and the loops that keep the
/// view fresh, on one worker pool.
class EntryProcess {
 public:
  /// Binds both addresses; throws boost::system::system_error when it can't.
  EntryProcess(kernel::WorkerPool& pool, EntrySettings settings);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Begins the planned stop; the pool is stopped once no request is left.
  void BeginStop();
  [[nodiscard]] int http_port() const;
  [[nodiscard]] int peer_port() const;
  /// Why this entry isn't ready; empty when it is.
  [[nodiscard]] std::string NotReadyReason() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hemlockward::entry
