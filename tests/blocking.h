#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <utility>

#include "kernel/worker_pool.h"

namespace hemlockward::tests {

/// Runs a coroutine on a pool driven by other threads and waits for its result.
template <class T>
T RunBlocking(kernel::WorkerPool& pool, boost::asio::awaitable<T> task) {
  auto result = boost::asio::co_spawn(pool.context(), std::move(task),
                                      boost::asio::use_future);
  return result.get();
}

}  // namespace hemlockward::tests
