// How new connections are taken.

#include "kernel/accept.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <vector>

namespace hemlockward::kernel {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

TEST(AcceptTest, AllThatWaitAreTakenBeforeOtherHandlersRun) {
  constexpr int kWaiting = 50;
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  std::vector<tcp::socket> callers;
  for (int i = 0; i < kWaiting; ++i) {
    callers.emplace_back(context).connect(acceptor.local_endpoint());
  }
  const std::atomic<bool> closed{false};
  std::vector<tcp::socket> taken;
  asio::co_spawn(context,
                 AcceptLoop(context, acceptor, closed,
                            [&taken](tcp::socket socket) {
                              taken.push_back(std::move(socket));
                            }),
                 asio::detached);
  // The start of the coroutine, then the first connection's handler.
  for (int i = 0; i < 4; ++i) context.poll_one();
  EXPECT_EQ(taken.size(), static_cast<std::size_t>(kWaiting));
}

}  // namespace
}  // namespace hemlockward::kernel
