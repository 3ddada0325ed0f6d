#include "kernel/http.h"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

#include "blocking.h"

namespace hemlockward::kernel {
namespace {

namespace asio = boost::asio;

// Runs a server and a client on one worker pool; Call blocks until the reply.
class HttpTest : public testing::Test {
 protected:
  HttpTest() : pool_(2), client_(pool_) {
    HttpLimits limits;
    limits.max_body_bytes = 1000;
    limits.read_timeout = base::Millis{300};
    server_ =
        std::make_unique<HttpServer>(pool_, "127.0.0.1:0", limits, Handle);
    thread_ = std::jthread([this] { pool_.Run(); });
  }
  ~HttpTest() override {
    server_->CloseIdle();
    pool_.Stop();
  }

  static asio::awaitable<HttpResponse> Handle(HttpRequest request) {
    HttpResponse response;
    response.body = request.body;
    if (request.Path() == "/cut") {
      response.body = "0123456789";
      response.cut_after = 4;
    }
    if (request.Path() == "/slow") co_await Sleep({500});
    co_return response;
  }

  tl::expected<HttpResponse, HttpError> Call(HttpRequest request) {
    return tests::RunBlocking(
        pool_, client_.Call("127.0.0.1:" + std::to_string(server_->port()),
                            std::move(request), {200}));
  }

  // The response must begin within 100 ms and end within 2 s.
  tl::expected<HttpResponse, HttpError> CallWithHeaderTimeout(
      std::string address, HttpRequest request) {
    return tests::RunBlocking(
        pool_, client_.Call(std::move(address), std::move(request), {2000}, {},
                            {100}));
  }

  WorkerPool pool_;
  HttpClient client_;
  std::unique_ptr<HttpServer> server_;
  std::jthread thread_;
};

TEST_F(HttpTest, EchoesOverAKeepAliveConnection) {
  for (int i = 0; i < 3; ++i) {
    HttpRequest request{"POST", "/echo", {}, "body" + std::to_string(i)};
    const auto answer = Call(request);
    ASSERT_TRUE(answer) << answer.error().what;
    EXPECT_EQ(answer->body, request.body);
  }
}

TEST_F(HttpTest, TruncatedResponseIsAnError) {
  const auto answer = Call({"GET", "/cut", {}, ""});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().failure, HttpFailure::kBroken);
}

TEST_F(HttpTest, SlowAnswerTimesOut) {
  const auto answer = Call({"GET", "/slow", {}, ""});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().failure, HttpFailure::kTimeout);
}

TEST_F(HttpTest, HeaderThatIsLateTimesOut) {
  const auto answer = CallWithHeaderTimeout(
      "127.0.0.1:" + std::to_string(server_->port()), {"GET", "/slow", {}, ""});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().failure, HttpFailure::kTimeout);
}

TEST_F(HttpTest, BodyMayTakeLongerThanTheHeader) {
  asio::ip::tcp::acceptor acceptor(pool_.context(),
                                   {asio::ip::address_v4::loopback(), 0});
  const std::jthread server([&acceptor] {
    asio::ip::tcp::socket socket = acceptor.accept();
    std::string request(1000, '\0');
    socket.read_some(asio::buffer(request));
    asio::write(socket, asio::buffer(std::string_view(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    asio::write(socket, asio::buffer(std::string_view("ok")));
  });
  const auto answer = CallWithHeaderTimeout(
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), {});
  ASSERT_TRUE(answer) << answer.error().what;
  EXPECT_EQ(answer->body, "ok");
}

TEST_F(HttpTest, OversizedRequestNeverReachesTheHandler) {
  const auto answer = Call({"POST", "/echo", {}, std::string(2000, 'x')});
  ASSERT_TRUE(answer) << answer.error().what;
  EXPECT_EQ(answer->status, 413);
}

TEST_F(HttpTest, SendsNothingAfterMaySendReturnsFalse) {
  const std::string address = "127.0.0.1:" + std::to_string(server_->port());
  const auto answer = tests::RunBlocking(
      pool_, client_.Call(address, {"POST", "/echo", {}, "x"}, {200},
                          [] { return false; }));
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().failure, HttpFailure::kNotSent);
  EXPECT_EQ(answer.error().what, kNotAllowedToSend);
}

TEST_F(HttpTest, RefusedConnectionReportsNotSent) {
  const auto result =
      tests::RunBlocking(pool_, client_.Call("127.0.0.1:1", {}, {200}));
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().failure, HttpFailure::kNotSent);
}

TEST_F(HttpTest, CallToAnInvalidAddressFailsInsteadOfThrowing) {
  for (const char* it : {"127.0.0.1:70000", "127.0.0.1:-1", "host:80", ""}) {
    const auto result = tests::RunBlocking(pool_, client_.Call(it, {}, {200}));
    ASSERT_FALSE(result) << it;
    EXPECT_EQ(result.error().failure, HttpFailure::kNotSent) << it;
  }
}

// Answers one request on each connection; then those connections are silent and
// new ones are answered in full.
class SilencedServer {
 public:
  explicit SilencedServer(std::size_t silenced)
      : silenced_(silenced),
        acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Run(); }) {}
  ~SilencedServer() {
    stopping_ = true;
    asio::ip::tcp::socket socket(context_);
    socket.connect(acceptor_.local_endpoint());
  }
  std::string Address() {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Run() {
    std::vector<asio::ip::tcp::socket> open;
    while (true) {
      open.push_back(acceptor_.accept());
      if (stopping_) return;
      std::string request(1000, '\0');
      open.back().read_some(asio::buffer(request));
      // The first ones are answered together, so that none is used twice.
      if (open.size() < silenced_) continue;
      const std::size_t first = open.size() == silenced_ ? 0 : open.size() - 1;
      for (std::size_t i = first; i < open.size(); ++i) {
        asio::write(open[i],
                    asio::buffer(std::string_view(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
      }
    }
  }

  std::size_t silenced_;
  std::atomic<bool> stopping_{false};
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::jthread thread_;
};

TEST_F(HttpTest, OnlyOneCallIsLostOnConnectionsThatWentSilentTogether) {
  constexpr std::size_t kIdle = 4;
  SilencedServer server(kIdle);
  std::vector<std::future<tl::expected<HttpResponse, HttpError>>> first;
  for (std::size_t i = 0; i < kIdle; ++i) {
    first.push_back(asio::co_spawn(
        pool_.context(),
        client_.Call(server.Address(), HttpRequest{}, base::Seconds(10)),
        asio::use_future));
  }
  for (auto& it : first) ASSERT_TRUE(it.get());
  ASSERT_EQ(client_.idle_connections(), kIdle);
  const auto call = [&] {
    return tests::RunBlocking(
        pool_, client_.Call(server.Address(), HttpRequest{}, {200}));
  };
  EXPECT_FALSE(call());
  EXPECT_TRUE(call());
}

// Workers come and go, each with an address of its own.
TEST(HttpClientTest, IdleConnectionsToManyAddressesAreLimited) {
  constexpr std::size_t kAddresses = 5;
  constexpr std::size_t kMaxIdle = 3;
  WorkerPool pool(2);
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (std::size_t i = 0; i < kAddresses; ++i) {
    servers.push_back(std::make_unique<HttpServer>(
        pool, "127.0.0.1:0", HttpLimits{},
        [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
          co_return JsonResponse(200, "{}");
        }));
  }
  HttpClient client(pool, {.idle = kMaxIdle});
  const std::jthread thread([&pool] { pool.Run(); });
  for (const auto& it : servers) {
    const auto answer = tests::RunBlocking(
        pool, client.Call("127.0.0.1:" + std::to_string(it->port()),
                          HttpRequest{}, base::Seconds(10)));
    EXPECT_TRUE(answer);
    EXPECT_LE(client.idle_connections(), kMaxIdle);
  }
  EXPECT_EQ(client.idle_connections(), kMaxIdle);
  pool.Stop();
}

// Counts the requests that it serves at the same time; each takes 20 ms.
class CountingServer {
 public:
  explicit CountingServer(WorkerPool& pool)
      : server_(pool, "127.0.0.1:0", HttpLimits{},
                [this](const HttpRequest&) { return Handle(); }) {}
  std::string Address() {
    return "127.0.0.1:" + std::to_string(server_.port());
  }
  [[nodiscard]] int most() const { return most_; }

 private:
  asio::awaitable<HttpResponse> Handle() {
    most_ = std::max(most_.load(), ++in_progress_);
    co_await Sleep({20});
    --in_progress_;
    co_return JsonResponse(200, "{}");
  }

  std::atomic<int> in_progress_{0};
  std::atomic<int> most_{0};
  HttpServer server_;
};

// A leader once opened a connection for each start, up to all those that a
// worker accepts, and left them there when its VM lost power.
TEST(HttpClientTest, CallsShareTheConnectionsThatAnAddressAllows) {
  constexpr int kCalls = 30;
  constexpr std::size_t kLimit = 3;
  WorkerPool pool(1);
  CountingServer server(pool);
  HttpClient client(pool);
  const std::jthread thread([&pool] { pool.Run(); });
  std::vector<std::future<tl::expected<HttpResponse, HttpError>>> calls;
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(
        asio::co_spawn(pool.context(),
                       client.Call(server.Address(), HttpRequest{},
                                   base::Seconds(10), {}, {0}, {kLimit}),
                       asio::use_future));
  }
  for (auto& it : calls) EXPECT_TRUE(it.get());
  EXPECT_EQ(server.most(), kLimit);
  EXPECT_LE(client.idle_connections(), kLimit);
  pool.Stop();
}

TEST(HttpClientTest, ConnectionIsClosedAfterACallThatAsksForIt) {
  WorkerPool pool(1);
  CountingServer server(pool);
  HttpClient client(pool);
  const std::jthread thread([&pool] { pool.Run(); });
  HttpRequest request;
  request.headers.push_back({"Connection", "close"});
  EXPECT_TRUE(tests::RunBlocking(
      pool, client.Call(server.Address(), request, base::Seconds(10))));
  EXPECT_EQ(client.idle_connections(), 0U);
  EXPECT_TRUE(tests::RunBlocking(
      pool, client.Call(server.Address(), {}, base::Seconds(10))));
  EXPECT_EQ(client.idle_connections(), 1U);
  pool.Stop();
}

TEST(HttpClientTest, CallThatGetsNoConnectionInTimeIsNotSent) {
  WorkerPool pool(1);
  CountingServer server(pool);
  HttpClient client(pool);
  const std::jthread thread([&pool] { pool.Run(); });
  auto first = asio::co_spawn(
      pool.context(),
      client.Call(server.Address(), {}, base::Seconds(10), {}, {0}, {1}),
      asio::use_future);
  const auto second = tests::RunBlocking(
      pool, client.Call(server.Address(), {}, base::Millis{1}, {}, {0}, {1}));
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().failure, HttpFailure::kNoConnection);
  EXPECT_TRUE(first.get());
  // Its place isn't lost.
  EXPECT_TRUE(tests::RunBlocking(
      pool,
      client.Call(server.Address(), {}, base::Seconds(10), {}, {0}, {1})));
  pool.Stop();
}

// A leader that starts tasks reads the registrations of all workers.
TEST(HttpClientTest, LargeAnswerIsReadInFewTurnsOfABusyLoop) {
  WorkerPool server_pool(1);
  const HttpServer server(
      server_pool, "127.0.0.1:0", {},
      [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
        co_return JsonResponse(200, std::string(256 * 1024, 'x'));
      });
  const std::jthread server_thread([&server_pool] { server_pool.Run(); });
  WorkerPool pool(1);
  HttpClient client(pool);
  int turns = 0;
  std::size_t bytes = 0;
  pool.Spawn("turns", [](int* n) -> asio::awaitable<void> {
    while (true) {
      ++*n;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      co_await asio::post(co_await asio::this_coro::executor,
                          asio::use_awaitable);
    }
  }(&turns));
  pool.Spawn(
      "call",
      [](HttpClient* to, std::string address, std::size_t* n,
         WorkerPool* loop) -> asio::awaitable<void> {
        HttpRequest request;
        const auto answer = co_await to->Call(
            std::move(address), std::move(request), base::Seconds(10));
        if (answer) *n = answer->body.size();
        loop->Stop();
      }(&client, "127.0.0.1:" + std::to_string(server.port()), &bytes, &pool));
  pool.Run();
  server_pool.Stop();
  EXPECT_EQ(bytes, 256U * 1024U);
  EXPECT_LT(turns, 100);
}

}  // namespace
}  // namespace hemlockward::kernel
