// Connections that the client has closed and the server hasn't: a path that
// loses their state passes no end, so that they take up the server's limit.

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <thread>
#include <utility>

#include "blocking.h"
#include "kernel/http.h"

namespace hemlockward::kernel {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Never sees that a connection has ended; answers if it is told to.
class DeafServer {
 public:
  DeafServer()
      : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Run(); }) {}
  ~DeafServer() {
    stopping_ = true;
    tcp::socket socket(context_);
    socket.connect(acceptor_.local_endpoint());
  }
  std::string Address() {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  void Answer() { answers_ = true; }
  void CloseAll() {
    const std::lock_guard lock(mutex_);
    open_.clear();
  }

 private:
  void Run() {
    while (true) {
      tcp::socket socket = acceptor_.accept();
      if (stopping_) return;
      boost::system::error_code ec;
      std::string request(1000, '\0');
      socket.read_some(asio::buffer(request), ec);
      if (answers_) {
        asio::write(socket,
                    asio::buffer(std::string_view(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                    ec);
      }
      const std::lock_guard lock(mutex_);
      open_.push_back(std::move(socket));
    }
  }

  std::atomic<bool> stopping_{false};
  std::atomic<bool> answers_{false};
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::mutex mutex_;  // Guards open_.
  std::vector<tcp::socket> open_;
  std::jthread thread_;
};

class HalfOpenTest : public testing::Test {
 protected:
  ~HalfOpenTest() override { pool_.Stop(); }

  void Start(base::Millis close_timeout) {
    HttpClientLimits limits;
    limits.close_timeout = close_timeout;
    client_ = std::make_unique<HttpClient>(pool_, limits);
    thread_ = std::jthread([this] { pool_.Run(); });
  }

  tl::expected<HttpResponse, HttpError> Call(base::Millis timeout,
                                             std::size_t max_open) {
    return tests::RunBlocking(
        pool_, client_->Call(server_.Address(), {}, timeout, {}, {0},
                             {max_open, half_open_}));
  }

  // Fails by the time limit of the test.
  void AwaitHalfOpen(int n) const {
    while (*half_open_ != n) std::this_thread::sleep_for(kPause);
  }

  static constexpr std::chrono::milliseconds kPause{1};

  WorkerPool pool_{2};
  DeafServer server_;
  std::unique_ptr<HttpClient> client_;
  std::jthread thread_;
  std::shared_ptr<std::atomic<int>> half_open_ =
      std::make_shared<std::atomic<int>>(0);
};

TEST_F(HalfOpenTest, ConnectionCountsUntilTheServerClosesItToo) {
  Start({20});
  const auto answer = Call({20}, 8);
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().failure, HttpFailure::kTimeout);
  AwaitHalfOpen(1);
  server_.CloseAll();
  AwaitHalfOpen(0);
}

TEST_F(HalfOpenTest, IdleConnectionThatIsClosedCounts) {
  Start({20});
  server_.Answer();
  ASSERT_TRUE(Call(base::Seconds(10), 8));
  ASSERT_EQ(client_->idle_connections(), 1U);
  EXPECT_EQ(*half_open_, 0);
  client_->CloseIdle(8);
  EXPECT_EQ(client_->idle_connections(), 0U);
  AwaitHalfOpen(1);
}

// The node led before, and the connection wasn't closed meanwhile.
TEST_F(HalfOpenTest, ConnectionCountsWithItsNewestCall) {
  Start({20});
  server_.Answer();
  ASSERT_TRUE(Call(base::Seconds(10), 8));
  const auto first =
      std::exchange(half_open_, std::make_shared<std::atomic<int>>(0));
  EXPECT_FALSE(Call({20}, 8));  // On the same connection: read no further.
  AwaitHalfOpen(1);
  EXPECT_EQ(*first, 0);
}

// It may still be open at a server that allows no further one.
TEST_F(HalfOpenTest, ConnectionThatIsBeingClosedIsInUse) {
  Start(base::Seconds(100));
  ASSERT_FALSE(Call({20}, 1));
  server_.Answer();
  const auto answer = Call({20}, 1);
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().failure, HttpFailure::kNoConnection);
  server_.CloseAll();
  EXPECT_TRUE(Call(base::Seconds(10), 1));
  EXPECT_EQ(*half_open_, 0);
}

TEST_F(HalfOpenTest, ServerThatRefusesConnectionsIsToldFromASilentOne) {
  Start({20});
  const auto silent = Call({20}, 8);
  ASSERT_FALSE(silent);
  EXPECT_FALSE(silent.error().refused);
  tcp::acceptor acceptor(pool_.context(),
                         {asio::ip::address_v4::loopback(), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  const auto call = [&] {
    return tests::RunBlocking(
        pool_, client_->Call(address, {}, base::Seconds(10), {}, {0}, {8}));
  };
  const std::jthread reset([&acceptor] {
    tcp::socket socket = acceptor.accept();
    socket.set_option(asio::socket_base::linger(true, 0));
  });
  const auto broken = call();
  ASSERT_FALSE(broken);
  EXPECT_TRUE(broken.error().refused);
  acceptor.close();
  const auto refused = call();
  ASSERT_FALSE(refused);
  EXPECT_TRUE(refused.error().refused);
}

}  // namespace
}  // namespace hemlockward::kernel
