#include "peer/transport.h"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "kernel/accept.h"
#include "kernel/endpoint.h"
#include "peer/gen/peer_types.h"

namespace hemlockward::peer {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::Millis;
using boost::system::error_code;

namespace {

// Time limit for reading or writing one frame.
constexpr Millis kFrameTimeout = base::Seconds(10);
// The server closes a connection that was idle for this long.
constexpr Millis kServerIdleTimeout = base::Seconds(60);
// The client discards an idle connection before the server closes it.
constexpr Millis kClientIdleTimeout = base::Seconds(20);
constexpr std::size_t kMaxConnections = 1024;
constexpr std::size_t kMaxIdlePerPeer = 64;
// Reading in chunks lets memory grow with the bytes received, not with the
// announced length.
constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr std::size_t kLengthBytes = 4;

auto Redirect(error_code& ec) {
  return asio::redirect_error(asio::use_awaitable, ec);
}

std::array<std::uint8_t, kLengthBytes> LengthPrefix(std::size_t n) {
  return {static_cast<std::uint8_t>(n >> 24),
          static_cast<std::uint8_t>(n >> 16), static_cast<std::uint8_t>(n >> 8),
          static_cast<std::uint8_t>(n)};
}

std::size_t FrameLength(const std::array<std::uint8_t, kLengthBytes>& prefix) {
  return (std::size_t{prefix[0]} << 24) | (std::size_t{prefix[1]} << 16) |
         (std::size_t{prefix[2]} << 8) | std::size_t{prefix[3]};
}

// A socket with a deadline; all its handlers run on the socket's strand.
struct Connection : std::enable_shared_from_this<Connection> {
  explicit Connection(tcp::socket socket)
      : socket(std::move(socket)), timer(this->socket.get_executor()) {}

  // Closes the socket after `limit` unless the deadline is replaced or cleared
  // before.
  void SetDeadline(Millis limit) {
    const std::uint64_t n = ++deadline_number;
    timer.expires_after(limit.ToChrono());
    timer.async_wait([self = shared_from_this(), n](error_code ec) {
      if (ec || self->deadline_number != n) return;
      self->expired = true;
      error_code ignored;
      self->socket.close(ignored);
    });
  }

  void ClearDeadline() {
    ++deadline_number;
    timer.cancel();
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::uint64_t deadline_number = 0;
  bool expired = false;
  Millis idle_since;
};

using ConnectionPtr = std::shared_ptr<Connection>;

// Reads the bytes of one frame. On failure sets `ec` and returns an empty
// string.
asio::awaitable<std::string> ReadFrame(Connection& connection, error_code& ec) {
  std::array<std::uint8_t, kLengthBytes> prefix{};
  co_await asio::async_read(connection.socket, asio::buffer(prefix),
                            Redirect(ec));
  if (ec) co_return std::string();
  const std::size_t length = FrameLength(prefix);
  if (length == 0 || length > kMaxFrameBytes) {
    ec = asio::error::message_size;
    co_return std::string();
  }

  std::string frame;
  while (frame.size() < length) {
    const std::size_t begin = frame.size();
    const std::size_t n = std::min(kReadChunkBytes, length - begin);
    frame.resize(begin + n);
    co_await asio::async_read(
        connection.socket, asio::buffer(frame.data() + begin, n), Redirect(ec));
    if (ec) co_return std::string();
  }
  co_return frame;
}

asio::awaitable<void> WriteFrame(Connection& connection,
                                 const std::string& frame, error_code& ec) {
  const auto prefix = LengthPrefix(frame.size());
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(prefix),
                                                     asio::buffer(frame)};
  co_await asio::async_write(connection.socket, buffers, Redirect(ec));
}

// True when the peer closed the connection or sent bytes that no call expects.
bool IsStale(tcp::socket& socket) {
  error_code ec;
  socket.non_blocking(true, ec);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec != asio::error::would_block;
}

}  // namespace

std::string_view ToText(PeerFailure failure) {
  switch (failure) {
    case PeerFailure::kNotSent:
      return "not_sent";
    case PeerFailure::kTimeout:
      return "timeout";
    case PeerFailure::kBroken:
      return "broken";
    case PeerFailure::kBadReply:
      return "bad_reply";
  }
  return "broken";
}

struct PeerServer::State : std::enable_shared_from_this<State> {
  State(kernel::WorkerPool& pool, PeerHandler handler)
      : pool(pool),
        handler(std::move(handler)),
        acceptor(asio::make_strand(pool.context())) {}

  void StartConnection(tcp::socket socket);
  asio::awaitable<void> Serve(ConnectionPtr connection);
  asio::awaitable<bool> ServeCall(Connection& connection);
  void RemoveConnection(const ConnectionPtr& connection);

  kernel::WorkerPool& pool;
  PeerHandler handler;
  tcp::acceptor acceptor;
  std::atomic<bool> closed{false};
  std::mutex mutex;  // Guards connections.
  std::list<ConnectionPtr> connections;
};

void PeerServer::State::StartConnection(tcp::socket socket) {
  auto connection = std::make_shared<Connection>(std::move(socket));
  {
    const std::lock_guard lock(mutex);
    if (closed || connections.size() >= kMaxConnections) return;
    connections.push_back(connection);
  }
  const auto self = shared_from_this();
  asio::co_spawn(
      connection->socket.get_executor(),
      [self, connection] { return self->Serve(connection); },
      [self, connection](const std::exception_ptr&) {
        connection->ClearDeadline();
        self->RemoveConnection(connection);
      });
}

void PeerServer::State::RemoveConnection(const ConnectionPtr& connection) {
  const std::lock_guard lock(mutex);
  connections.remove(connection);
}

asio::awaitable<void> PeerServer::State::Serve(ConnectionPtr connection) {
  error_code ec;
  connection->socket.set_option(tcp::no_delay(true), ec);
  while (co_await ServeCall(*connection)) {
  }
  connection->socket.close(ec);
}

// Answers one call. Returns false when the connection must be closed.
asio::awaitable<bool> PeerServer::State::ServeCall(Connection& connection) {
  error_code ec;
  connection.SetDeadline(kServerIdleTimeout);
  co_await connection.socket.async_wait(tcp::socket::wait_read, Redirect(ec));
  if (ec) co_return false;

  connection.SetDeadline(kFrameTimeout);
  const std::string frame = co_await ReadFrame(connection, ec);
  if (ec) co_return false;
  connection.ClearDeadline();

  const auto call = DecodeMessage(frame);
  if (!call) {
    base::LogLine(base::LogLevel::kWarning, "peer_frame_malformed")
        .With("error", call.error());
    co_return false;
  }
  gen::Message reply;
  try {
    reply = co_await handler(*call);
  } catch (const std::exception& e) {
    reply = ErrorMessage(e.what());
  }

  const std::string bytes = EncodeMessage(reply);
  if (bytes.size() > kMaxFrameBytes) co_return false;
  connection.SetDeadline(kFrameTimeout);
  co_await WriteFrame(connection, bytes, ec);
  co_return !ec;
}

PeerServer::PeerServer(kernel::WorkerPool& pool, std::string_view address,
                       PeerHandler handler)
    : state_(std::make_shared<State>(pool, std::move(handler))) {
  kernel::Listen(state_->acceptor, address);
  asio::co_spawn(
      state_->acceptor.get_executor(),
      [state = state_] {
        return kernel::AcceptLoop(state->pool.context(), state->acceptor,
                                  state->closed, [state](tcp::socket socket) {
                                    state->StartConnection(std::move(socket));
                                  });
      },
      [](const std::exception_ptr&) {});
}

PeerServer::~PeerServer() { Close(); }

void PeerServer::Close() {
  state_->closed = true;
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    error_code ec;
    state->acceptor.close(ec);
  });
  const std::lock_guard lock(state_->mutex);
  for (const ConnectionPtr& it : state_->connections) {
    asio::post(it->socket.get_executor(), [it] {
      error_code ec;
      it->socket.close(ec);
    });
  }
}

int PeerServer::port() const {
  return state_->acceptor.local_endpoint().port();
}

struct PeerClient::State : std::enable_shared_from_this<State> {
  explicit State(kernel::WorkerPool& pool) : pool(pool) {}

  ConnectionPtr TakeIdle(const std::string& address);
  void ReturnIdle(const std::string& address, ConnectionPtr connection);
  /// Closes the idle connections to `address` that weren't used after `time`.
  void CloseIdleSince(const std::string& address, Millis time);
  asio::awaitable<tl::expected<gen::Message, PeerError>> Exchange(
      std::string address, std::string frame, Millis timeout,
      ConnectionPtr connection);

  kernel::WorkerPool& pool;
  base::SystemClock clock;
  std::mutex mutex;  // Guards idle.
  std::map<std::string, std::deque<ConnectionPtr>> idle;
};

ConnectionPtr PeerClient::State::TakeIdle(const std::string& address) {
  const std::lock_guard lock(mutex);
  auto& list = idle[address];
  while (!list.empty()) {
    ConnectionPtr last = std::move(list.back());
    list.pop_back();
    const bool fresh = clock.Now() - last->idle_since < kClientIdleTimeout;
    if (fresh && !IsStale(last->socket)) return last;
  }
  return nullptr;
}

void PeerClient::State::ReturnIdle(const std::string& address,
                                   ConnectionPtr connection) {
  connection->idle_since = clock.Now();
  const std::lock_guard lock(mutex);
  auto& list = idle[address];
  if (list.size() >= kMaxIdlePerPeer) list.pop_front();
  list.push_back(std::move(connection));
}

void PeerClient::State::CloseIdleSince(const std::string& address,
                                       Millis time) {
  const std::lock_guard lock(mutex);
  std::erase_if(idle[address], [time](const ConnectionPtr& it) {
    return it->idle_since <= time;
  });
}

// Sends one call and reads its reply, on the strand of the connection.
asio::awaitable<tl::expected<gen::Message, PeerError>>
PeerClient::State::Exchange(std::string address, std::string frame,
                            Millis timeout, ConnectionPtr connection) {
  error_code ec;
  const auto endpoint = kernel::ParseEndpoint(address);
  if (!endpoint) {
    co_return tl::unexpected(
        PeerError{PeerFailure::kNotSent, endpoint.error()});
  }
  const Millis begin = clock.Now();
  const bool connected = connection->socket.is_open();
  connection->SetDeadline(timeout);
  if (!connected) {
    co_await connection->socket.async_connect(*endpoint, Redirect(ec));
    if (ec) {
      connection->ClearDeadline();
      const bool refused = ec == asio::error::connection_refused;
      co_return tl::unexpected(
          PeerError{PeerFailure::kNotSent, ec.message(), refused});
    }
    connection->socket.set_option(tcp::no_delay(true), ec);
  }

  std::string reply;
  co_await WriteFrame(*connection, frame, ec);
  if (!ec) reply = co_await ReadFrame(*connection, ec);
  connection->ClearDeadline();
  if (ec) {
    const PeerFailure failure =
        connection->expired ? PeerFailure::kTimeout : PeerFailure::kBroken;
    // A path that lost the state of one connection usually lost that of all.
    if (connection->expired && connected) CloseIdleSince(address, begin);
    co_return tl::unexpected(PeerError{failure, ec.message()});
  }

  auto message = DecodeMessage(reply);
  if (!message) {
    co_return tl::unexpected(
        PeerError{PeerFailure::kBadReply, message.error()});
  }
  ReturnIdle(address, std::move(connection));
  co_return std::move(*message);
}

PeerClient::PeerClient(kernel::WorkerPool& pool)
    : state_(std::make_shared<State>(pool)) {}

PeerClient::~PeerClient() = default;

asio::awaitable<tl::expected<gen::Message, PeerError>> PeerClient::Call(
    std::string address, gen::Message message, Millis timeout) {
  const auto state = state_;
  std::string frame = EncodeMessage(message);
  if (frame.size() > kMaxFrameBytes) {
    co_return tl::unexpected(
        PeerError{PeerFailure::kNotSent, "message too long"});
  }
  ConnectionPtr connection = state->TakeIdle(address);
  if (!connection) {
    connection = std::make_shared<Connection>(
        tcp::socket(asio::make_strand(state->pool.context())));
  }
  const auto executor = connection->socket.get_executor();
  auto exchange = state->Exchange(std::move(address), std::move(frame), timeout,
                                  std::move(connection));
  co_return co_await asio::co_spawn(executor, std::move(exchange),
                                    asio::use_awaitable);
}

}  // namespace hemlockward::peer
