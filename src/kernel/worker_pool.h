#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"

namespace hemlockward::kernel {

/// A fixed number of threads that run one Asio context and share tables.
///
/// Lock order of the whole project: a table's mutex is held for a few
/// statements only and never across `co_await`. A function holds one mutex at a
/// time; if it needs two, the order is view, membership, slots, queue, claims,
/// metrics.
class WorkerPool {
 public:
  static constexpr base::Millis kRestartPause{500};

  explicit WorkerPool(int threads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  [[nodiscard]] boost::asio::io_context& context() { return context_; }
  /// Starts a coroutine; an uncaught exception is logged with `name`.
  void Spawn(std::string name, boost::asio::awaitable<void> task);
  /// The same for a loop that others rely on: after an exception it is started
  /// again, `kRestartPause` later.
  void SpawnLoop(std::string name,
                 std::function<boost::asio::awaitable<void>()> loop);
  /// Runs until Stop is called; the calling thread is one of the workers.
  void Run();
  void Stop();

 private:
  int threads_;
  boost::asio::io_context context_;
};

/// Suspends the calling coroutine for `duration`.
boost::asio::awaitable<void> Sleep(base::Millis duration);

/// Calls `on_first` on the first SIGTERM or SIGINT; the second one stops the
/// pool.
void OnStopSignal(WorkerPool& pool, std::function<void()> on_first);

/// Calls `reload` on each SIGHUP, which would terminate the process by default.
void OnReloadSignal(WorkerPool& pool, std::function<void()> reload);

}  // namespace hemlockward::kernel
