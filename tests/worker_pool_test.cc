#include "kernel/worker_pool.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace hemlockward::kernel {
namespace {

TEST(WorkerPoolTest, LoopThatThrewIsStartedAgain) {
  WorkerPool pool(1);
  int rounds = 0;
  pool.SpawnLoop("test", [&]() -> boost::asio::awaitable<void> {
    if (++rounds == 1) throw std::runtime_error("unexpected input");
    pool.Stop();
    co_return;
  });
  pool.Run();
  EXPECT_EQ(rounds, 2);
}

}  // namespace
}  // namespace hemlockward::kernel
