// Accepting connections. If a busy process accepted one connection per turn of
// the event loop, its listen queue would overflow and callers would retry only
// after a second.

#include "kernel/accept.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "kernel/endpoint.h"

namespace hemlockward::kernel {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

TEST(AcceptTest, AcceptsAllPendingConnectionsBeforeOtherHandlers) {
  constexpr int kPendingConnections = 50;
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  std::vector<tcp::socket> callers;
  for (int i = 0; i < kPendingConnections; ++i) {
    callers.emplace_back(context).connect(acceptor.local_endpoint());
  }
  const std::atomic<bool> closed{false};
  std::vector<tcp::socket> accepted;
  asio::co_spawn(context,
                 AcceptLoop(context, acceptor, closed,
                            [&accepted](tcp::socket socket) {
                              accepted.push_back(std::move(socket));
                            }),
                 asio::detached);
  // Runs the start of the coroutine and the handler of the first connection.
  for (int i = 0; i < 4; ++i) context.poll_one();
  EXPECT_EQ(accepted.size(), static_cast<std::size_t>(kPendingConnections));
}

TEST(AcceptTest, ListenErrorNamesTheAddressInUse) {
  asio::io_context context;
  tcp::acceptor first(context);
  Listen(first, "127.0.0.1:0");
  const std::string address =
      "127.0.0.1:" + std::to_string(first.local_endpoint().port());
  tcp::acceptor second(context);
  try {
    Listen(second, address);
    FAIL() << "listens twice";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find(address), std::string::npos);
  }
}

}  // namespace
}  // namespace hemlockward::kernel
