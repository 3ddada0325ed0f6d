#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <memory>
#include <optional>
#include <thread>

#include "blocking.h"
#include "peer/gen/peer_types.h"
#include "peer/transport.h"

namespace hemlockward::peer {
namespace {

namespace asio = boost::asio;

gen::Message Outcome(const std::string& key) {
  gen::OutcomeRequest request;
  request.__set_key(key);
  gen::Message message;
  message.__set_outcome_request(request);
  return message;
}

// A server that echoes the key as an error's reason, and a client.
class TransportTest : public testing::Test {
 protected:
  TransportTest() : pool_(2), client_(pool_) {
    server_ = std::make_unique<PeerServer>(
        pool_, "127.0.0.1:0",
        [this](gen::Message call) { return Handle(std::move(call)); });
    thread_ = std::jthread([this] { pool_.Run(); });
  }
  ~TransportTest() override { pool_.Stop(); }

  asio::awaitable<gen::Message> Handle(gen::Message call) {
    ++handled_;
    if (call.outcome_request.key == "slow") co_await kernel::Sleep({300});
    co_return ErrorMessage(call.outcome_request.key);
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(server_->port());
  }

  tl::expected<gen::Message, PeerError> Call(std::string address,
                                             const gen::Message& message) {
    return tests::RunBlocking(pool_,
                              client_.Call(std::move(address), message, {200}));
  }

  kernel::WorkerPool pool_;
  PeerClient client_;
  std::unique_ptr<PeerServer> server_;
  std::atomic<int> handled_{0};
  std::jthread thread_;
};

TEST_F(TransportTest, AnswersOverAKeptConnection) {
  for (const std::string key : {"a", "b", "c"}) {
    const auto reply = Call(Address(), Outcome(key));
    ASSERT_TRUE(reply) << reply.error().what;
    EXPECT_EQ(reply->error.reason, key);
  }
}

TEST_F(TransportTest, SaysHowFarAFailedCallGot) {
  const auto slow = Call(Address(), Outcome("slow"));
  ASSERT_FALSE(slow);
  EXPECT_EQ(slow.error().failure, PeerFailure::kTimeout);

  const auto invalid = Call("127.0.0.1:70000", Outcome("a"));
  ASSERT_FALSE(invalid);
  EXPECT_EQ(invalid.error().failure, PeerFailure::kNotSent);

  const auto refused = Call("127.0.0.1:1", Outcome("a"));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().failure, PeerFailure::kNotSent);

  const auto huge =
      Call(Address(), Outcome(std::string(kMaxFrameBytes + 1, 'x')));
  ASSERT_FALSE(huge);
  EXPECT_EQ(huge.error().failure, PeerFailure::kNotSent);
}

TEST_F(TransportTest, KeptConnectionClosedByThePeerIsReplaced) {
  ASSERT_TRUE(Call(Address(), Outcome("a")));
  const std::string address = Address();
  server_.reset();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  server_ = std::make_unique<PeerServer>(
      pool_, address,
      [this](gen::Message call) { return Handle(std::move(call)); });
  const auto reply = Call(address, Outcome("b"));
  ASSERT_TRUE(reply) << reply.error().what;
}

// Forwards connections to the server until they are silenced.
class Relay {
 public:
  explicit Relay(std::uint16_t target)
      : target_(asio::ip::address_v4::loopback(), target),
        acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(context_, Accept(), asio::detached);
    thread_ = std::jthread([this] { context_.run(); });
  }
  ~Relay() { context_.stop(); }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  void SilenceOpenConnections() { silent_up_to_ = accepted_.load(); }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto from = std::make_shared<asio::ip::tcp::socket>(
          co_await acceptor_.async_accept(asio::use_awaitable));
      auto to = std::make_shared<asio::ip::tcp::socket>(context_);
      co_await to->async_connect(target_, asio::use_awaitable);
      const int number = ++accepted_;
      asio::co_spawn(context_, Pump(from, to, number), asio::detached);
      asio::co_spawn(context_, Pump(to, from, number), asio::detached);
    }
  }
  asio::awaitable<void> Pump(std::shared_ptr<asio::ip::tcp::socket> from,
                             std::shared_ptr<asio::ip::tcp::socket> to,
                             int number) {
    std::array<char, 4096> buffer{};
    while (true) {
      const std::size_t n = co_await from->async_read_some(asio::buffer(buffer),
                                                           asio::use_awaitable);
      if (number <= silent_up_to_) continue;
      co_await asio::async_write(*to, asio::buffer(buffer.data(), n),
                                 asio::use_awaitable);
    }
  }

  asio::io_context context_{1};
  asio::ip::tcp::endpoint target_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> accepted_{0};
  std::atomic<int> silent_up_to_{0};
  std::jthread thread_;
};

TEST_F(TransportTest, OnlyOneCallIsLostOnConnectionsThatWentSilentTogether) {
  Relay relay(static_cast<std::uint16_t>(server_->port()));
  std::vector<std::future<tl::expected<gen::Message, PeerError>>> first;
  for (int i = 0; i < 4; ++i) {
    first.push_back(asio::co_spawn(
        pool_.context(),
        client_.Call(relay.Address(), Outcome("slow"), base::Seconds(10)),
        asio::use_future));
  }
  for (auto& it : first) ASSERT_TRUE(it.get());
  relay.SilenceOpenConnections();
  EXPECT_FALSE(Call(relay.Address(), Outcome("a")));
  EXPECT_TRUE(Call(relay.Address(), Outcome("b")));
}

// Each malformed frame closes its connection and reaches no handler.
TEST_F(TransportTest, MalformedFramesCloseTheConnection) {
  const std::string valid = EncodeMessage(Outcome("key"));
  const struct {
    const char* name;
    std::string bytes;
  } cases[] = {
      {"empty frame", std::string(4, '\0')},
      {"announces 4 GiB", std::string(4, '\xff')},
      {"not thrift", std::string("\0\0\0\4zzzz", 8)},
      {"bytes after the message", std::string("\0\0\0", 3) +
                                      static_cast<char>(valid.size() + 1) +
                                      valid + "x"},
  };
  for (const auto& it : cases) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(server_->port())});
    asio::write(socket, asio::buffer(it.bytes));
    char byte = 0;
    boost::system::error_code ec;
    asio::read(socket, asio::buffer(&byte, 1), ec);
    EXPECT_TRUE(ec) << it.name;
  }
  EXPECT_EQ(handled_, 0);
}

RC_GTEST_PROP(MessageProperty, AnyBytesAreReadOrRefused, (std::string bytes)) {
  const auto message = DecodeMessage(bytes);
  if (message) RC_ASSERT(!EncodeMessage(*message).empty());
}

RC_GTEST_PROP(MessageProperty, DamagedMessagesAreReadOrRefused,
              (std::string key, std::size_t at, char byte)) {
  std::string bytes = EncodeMessage(Outcome(key));
  bytes[at % bytes.size()] = byte;
  const auto message = DecodeMessage(bytes);
  if (message) RC_ASSERT(!EncodeMessage(*message).empty());
  RC_ASSERT(!DecodeMessage(bytes.substr(0, at % bytes.size())).has_value());
}

RC_GTEST_PROP(MessageProperty, RoundTrip, (std::string key, bool cancel)) {
  gen::Message message = Outcome(key);
  message.outcome_request.__set_cancel(cancel);
  const auto read = DecodeMessage(EncodeMessage(message));
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == message);
}

}  // namespace
}  // namespace hemlockward::peer
