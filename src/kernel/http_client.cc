#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <iterator>
#include <list>
#include <map>
#include <mutex>

#include "kernel/beast.h"
#include "kernel/endpoint.h"
#include "kernel/http.h"

namespace hemlockward::kernel {

namespace {

// A running VM accepts at once; one that is gone doesn't respond at all.
constexpr base::Millis kConnectTimeout = base::Seconds(1);

// A read fills the free space of its buffer, and at least 512 bytes; each waits
// for a turn of the event loop. Most responses are shorter than the first size.
constexpr std::size_t kFirstReadBytes = 4096;
constexpr std::uint64_t kMaxReadBytes = 65536;

// A connection of the client. Its operations and its timer run on one strand.
struct ClientConnection : std::enable_shared_from_this<ClientConnection> {
  explicit ClientConnection(asio::io_context& context)
      : stream(asio::make_strand(context)), timer(stream.get_executor()) {}

  // Cancels the operation in progress after `time`. Unlike the time-out of a
  // Beast stream, this doesn't close the socket.
  void ExpireAfter(base::Millis time) {
    expired = false;
    timer.expires_after(time.ToChrono());
    timer.async_wait([connection = weak_from_this(),
                      expiry = timer.expiry()](error_code ec) {
      const auto self = connection.lock();
      // The timer may have been set again when it had just expired.
      if (ec || !self || self->timer.expiry() != expiry) return;
      self->expired = true;
      self->stream.cancel();
    });
  }

  beast::tcp_stream stream;
  asio::steady_timer timer;
  bool expired = false;
  bool established = false;
  std::shared_ptr<std::atomic<int>> half_open;
};
using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

struct IdleConnection {
  std::string address;
  ClientConnectionPtr connection;
  base::Millis since;
};
using IdleConnections = std::list<IdleConnection>;

// A call that waits until a connection to its address is free.
struct WaitingCall {
  WaitingCall(asio::io_context& context, std::size_t max_open)
      : strand(asio::make_strand(context)), timer(strand), max_open(max_open) {}
  asio::strand<asio::io_context::executor_type> strand;
  asio::steady_timer timer;
  std::size_t max_open;
  bool admitted = false;  // Guarded by the client's mutex.
};

// Connections to one address that aren't idle.
struct ConnectionsInUse {
  [[nodiscard]] std::size_t count() const { return calls + closing; }

  std::size_t calls = 0;
  std::size_t closing = 0;
  std::deque<std::shared_ptr<WaitingCall>> waiting;
};

// True if the server has closed the connection or sent unexpected data.
bool IsStale(beast::tcp_stream& stream) {
  error_code ec;
  stream.socket().non_blocking(true, ec);
  char byte = 0;
  const std::size_t n = stream.socket().receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return n > 0 || ec != asio::error::would_block;
}

}  // namespace

struct HttpClient::State : std::enable_shared_from_this<State> {
  State(WorkerPool& pool, HttpClientLimits limits)
      : pool(pool), limits(limits) {}

  /// Counts a call to `address` as in progress, once fewer than `max_open`
  /// connections are in use. Returns false if it has to wait longer than
  /// `timeout`.
  asio::awaitable<bool> BeginCall(std::string address, base::Millis timeout,
                                  std::size_t max_open);
  void EndCall(const std::string& address);
  ClientConnectionPtr TakeIdleConnection(const std::string& address);
  void StoreIdleConnection(const std::string& address,
                           ClientConnectionPtr connection);
  /// Closes the idle connections to `address` that weren't used after `time`.
  void CloseIdleSince(const std::string& address, base::Millis time);
  asio::awaitable<tl::expected<HttpResponse, HttpError>> SendRequest(
      std::string address, HttpRequest request, base::Millis timeout,
      std::function<bool()> may_send, base::Millis header_timeout,
      ClientConnectionPtr connection);
  /// The same without what becomes of the connection; `reusable` tells.
  asio::awaitable<tl::expected<HttpResponse, HttpError>> Exchange(
      std::string address, HttpRequest request, base::Millis timeout,
      std::function<bool()> may_send, base::Millis header_timeout,
      ClientConnection& connection, bool* reusable);
  /// Waits until the server has closed its end, or gives up.
  asio::awaitable<void> AwaitClose(std::string address,
                                   ClientConnectionPtr connection);

  // The caller of these holds the mutex.
  void Close(const std::string& address, ClientConnectionPtr connection);
  /// Closes the least recently used connection to an address.
  void CloseIdle(IdleConnections::iterator connection);
  /// Admits waiting calls after a connection is no longer in use.
  void AdmitCalls(const std::string& address);

  WorkerPool& pool;
  base::SystemClock clock;
  HttpClientLimits limits;
  std::mutex mutex;      // Guards the members below.
  IdleConnections idle;  // Least recently used first, as those by address.
  std::map<std::string, std::deque<IdleConnections::iterator>> idle_by_address;
  // Calls are counted if their connections are limited. A call opens a
  // connection only if none is idle.
  std::map<std::string, ConnectionsInUse> in_use;
};

asio::awaitable<bool> HttpClient::State::BeginCall(std::string address,
                                                   base::Millis timeout,
                                                   std::size_t max_open) {
  std::shared_ptr<WaitingCall> self;
  {
    const std::lock_guard lock(mutex);
    ConnectionsInUse& connections = in_use[address];
    if (connections.count() < max_open) {
      ++connections.calls;
      co_return true;
    }
    self = std::make_shared<WaitingCall>(pool.context(), max_open);
    self->timer.expires_after(timeout.ToChrono());
    connections.waiting.push_back(self);
  }
  const auto wait = [self]() -> asio::awaitable<void> {
    error_code ec;
    co_await self->timer.async_wait(Redirect(ec));
  };
  co_await asio::co_spawn(self->strand, wait, asio::use_awaitable);
  const std::lock_guard lock(mutex);
  if (!self->admitted) {
    std::erase(in_use[address].waiting, self);
    AdmitCalls(address);
  }
  co_return self->admitted;
}

void HttpClient::State::EndCall(const std::string& address) {
  const std::lock_guard lock(mutex);
  --in_use[address].calls;
  AdmitCalls(address);
}

void HttpClient::State::AdmitCalls(const std::string& address) {
  const auto it = in_use.find(address);
  if (it == in_use.end()) return;
  ConnectionsInUse& connections = it->second;
  while (!connections.waiting.empty() &&
         connections.count() < connections.waiting.front()->max_open) {
    const std::shared_ptr<WaitingCall> next = connections.waiting.front();
    connections.waiting.pop_front();
    ++connections.calls;
    next->admitted = true;
    // Also ends a wait that hasn't begun yet, unlike a cancellation.
    asio::post(next->strand, [next] {
      next->timer.expires_at(asio::steady_timer::time_point::min());
    });
  }
  if (connections.count() == 0 && connections.waiting.empty()) in_use.erase(it);
}

ClientConnectionPtr HttpClient::State::TakeIdleConnection(
    const std::string& address) {
  const std::lock_guard lock(mutex);
  const auto it = idle_by_address.find(address);
  if (it == idle_by_address.end()) return nullptr;
  ClientConnectionPtr connection;
  while (!connection && !it->second.empty()) {
    const auto last = it->second.back();
    it->second.pop_back();
    const bool fresh = clock.Now() - last->since < limits.idle_time;
    if (fresh && !IsStale(last->connection->stream)) {
      connection = std::move(last->connection);
    } else {
      Close(address, std::move(last->connection));
    }
    idle.erase(last);
  }
  if (it->second.empty()) idle_by_address.erase(it);
  return connection;
}

void HttpClient::State::CloseIdle(IdleConnections::iterator connection) {
  const auto it = idle_by_address.find(connection->address);
  it->second.pop_front();
  if (it->second.empty()) idle_by_address.erase(it);
  Close(connection->address, std::move(connection->connection));
  idle.erase(connection);
}

void HttpClient::State::CloseIdleSince(const std::string& address,
                                       base::Millis time) {
  const std::lock_guard lock(mutex);
  auto it = idle_by_address.find(address);
  while (it != idle_by_address.end() && it->second.front()->since <= time) {
    CloseIdle(it->second.front());
    it = idle_by_address.find(address);
  }
}

void HttpClient::State::StoreIdleConnection(const std::string& address,
                                            ClientConnectionPtr connection) {
  const std::lock_guard lock(mutex);
  const base::Millis now = clock.Now();
  idle.push_back({address, std::move(connection), now});
  auto& of_address = idle_by_address[address];
  of_address.push_back(std::prev(idle.end()));
  if (of_address.size() > limits.idle_per_address) {
    CloseIdle(of_address.front());
  }
  while (idle.size() > limits.idle ||
         now - idle.front().since >= limits.idle_time) {
    CloseIdle(idle.begin());
  }
}

void HttpClient::State::Close(const std::string& address,
                              ClientConnectionPtr connection) {
  if (limits.close_timeout.count == 0 || !connection->established) return;
  ++in_use[address].closing;
  const auto executor = connection->stream.get_executor();
  // The coroutine takes the mutex, so it must not begin at once.
  asio::post(executor, [self = shared_from_this(), executor, address,
                        connection = std::move(connection)]() mutable {
    asio::co_spawn(executor, self->AwaitClose(address, std::move(connection)),
                   asio::detached);
  });
}

asio::awaitable<void> HttpClient::State::AwaitClose(
    std::string address, ClientConnectionPtr connection) {
  const auto self = shared_from_this();
  tcp::socket& socket = connection->stream.socket();
  error_code ec;
  socket.shutdown(tcp::socket::shutdown_send, ec);
  const auto closes_within = [&connection,
                              &ec](base::Millis time) -> asio::awaitable<bool> {
    beast::flat_buffer buffer;
    connection->ExpireAfter(time);
    while (!ec && !connection->expired) {
      buffer.clear();
      co_await connection->stream.async_read_some(
          buffer.prepare(kFirstReadBytes), Redirect(ec));
    }
    connection->timer.cancel();
    co_return !connection->expired && ec != asio::error::timed_out;
  };
  const bool closed = co_await closes_within(limits.close_timeout);
  const auto half_open = closed ? nullptr : connection->half_open;
  if (half_open) ++*half_open;
  {
    const std::lock_guard lock(mutex);
    --in_use[address].closing;
    AdmitCalls(address);
  }
  if (!half_open) co_return;
  ec = {};
  if (co_await closes_within(limits.late_close_timeout)) --*half_open;
}

asio::awaitable<tl::expected<HttpResponse, HttpError>>
HttpClient::State::SendRequest(std::string address, HttpRequest request,
                               base::Millis timeout,
                               std::function<bool()> may_send,
                               base::Millis header_timeout,
                               ClientConnectionPtr connection) {
  const base::Millis begin = clock.Now();
  const bool reused = connection->established;
  bool reusable = false;
  auto result = co_await Exchange(address, std::move(request), timeout,
                                  std::move(may_send), header_timeout,
                                  *connection, &reusable);
  connection->timer.cancel();
  if (reusable) {
    StoreIdleConnection(address, std::move(connection));
    co_return result;
  }
  // A path that lost the state of one connection usually lost that of all.
  const bool timed_out =
      !result && result.error().failure == HttpFailure::kTimeout;
  if (reused && timed_out) CloseIdleSince(address, begin);
  const std::lock_guard lock(mutex);
  Close(address, std::move(connection));
  co_return result;
}

// Sends a request and reads the response on the connection's strand.
asio::awaitable<tl::expected<HttpResponse, HttpError>>
HttpClient::State::Exchange(std::string address, HttpRequest request,
                            base::Millis timeout,
                            std::function<bool()> may_send,
                            base::Millis header_timeout,
                            ClientConnection& connection, bool* reusable) {
  error_code ec;
  beast::tcp_stream& stream = connection.stream;
  const base::Millis deadline = clock.Now() + timeout;
  const bool reused = connection.established;
  bool answered = false;
  const auto error = [&]() -> tl::unexpected<HttpError> {
    const bool timed_out = connection.expired;
    const bool refused = !reused && !answered && !timed_out;
    return tl::unexpected(
        HttpError{timed_out ? HttpFailure::kTimeout : HttpFailure::kBroken,
                  timed_out ? "timed out" : ec.message(), refused});
  };
  if (!reused) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      co_return tl::unexpected(
          HttpError{HttpFailure::kNotSent, endpoint.error()});
    }
    connection.ExpireAfter(std::min(timeout, kConnectTimeout));
    co_await stream.async_connect(*endpoint, Redirect(ec));
    if (ec) {
      const bool refused = ec == asio::error::connection_refused ||
                           ec == asio::error::connection_reset;
      co_return tl::unexpected(
          HttpError{HttpFailure::kNotSent, ec.message(), refused});
    }
    connection.established = true;
    stream.socket().set_option(tcp::no_delay(true), ec);
    ec = {};
  }

  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, address);
  for (const HttpHeader& it : request.headers) message.set(it.name, it.value);
  message.body() = std::move(request.body);
  message.prepare_payload();
  if (may_send && !may_send()) {
    co_return tl::unexpected(
        HttpError{HttpFailure::kNotSent, std::string(kNotAllowedToSend)});
  }
  connection.ExpireAfter(deadline - clock.Now());
  co_await http::async_write(stream, message, Redirect(ec));
  if (ec) co_return error();

  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(limits.body_bytes);
  parser.eager(true);
  buffer.reserve(kFirstReadBytes);
  if (header_timeout.count > 0) {
    connection.ExpireAfter(std::min(header_timeout, deadline - clock.Now()));
  }
  while (!ec && !parser.is_done()) {
    if (connection.expired) co_return error();
    co_await http::async_read_some(stream, buffer, parser, Redirect(ec));
    answered = answered || parser.got_some();
    if (!parser.is_header_done()) continue;
    if (header_timeout.count > 0) {
      header_timeout = {0};
      connection.ExpireAfter(deadline - clock.Now());
    }
    const std::uint64_t rest =
        parser.content_length_remaining().value_or(kMaxReadBytes);
    buffer.reserve(std::min(rest, kMaxReadBytes));
  }
  if (ec) co_return error();
  const bool length_known =
      parser.content_length().has_value() || parser.chunked() ||
      parser.get().result_int() == 204 || parser.get().result_int() == 304;
  if (!length_known) {
    co_return tl::unexpected(
        HttpError{HttpFailure::kBroken, "answer of unknown length"});
  }

  auto answer = parser.release();
  HttpResponse response;
  response.status = static_cast<int>(answer.result_int());
  response.headers = CopyHeaders(answer);
  response.body = std::move(answer.body());
  *reusable = message.keep_alive() && answer.keep_alive() && buffer.size() == 0;
  co_return response;
}

HttpClient::HttpClient(WorkerPool& pool, HttpClientLimits limits)
    : state_(std::make_shared<State>(pool, limits)) {}

HttpClient::~HttpClient() {
  const std::lock_guard lock(state_->mutex);
  state_->idle_by_address.clear();
  state_->idle.clear();
}

std::size_t HttpClient::idle_connections() const {
  const std::lock_guard lock(state_->mutex);
  return state_->idle.size();
}

void HttpClient::CloseIdle(std::size_t most) {
  const std::lock_guard lock(state_->mutex);
  for (; most > 0 && !state_->idle.empty(); --most) {
    state_->CloseIdle(state_->idle.begin());
  }
}

asio::awaitable<tl::expected<HttpResponse, HttpError>> HttpClient::Call(
    std::string address, HttpRequest request, base::Millis timeout,
    std::function<bool()> may_send, base::Millis header_timeout,
    ConnectionShare share) {
  auto state = state_;
  const bool limited = share.max_open > 0;
  if (limited && !co_await state->BeginCall(address, timeout, share.max_open)) {
    co_return tl::unexpected(
        HttpError{HttpFailure::kNoConnection, "all connections stayed in use"});
  }
  const auto end = [&state, &address](const bool* counted) {
    if (*counted) state->EndCall(address);
  };
  const std::unique_ptr<const bool, decltype(end)> in_progress(&limited, end);
  auto connection = state->TakeIdleConnection(address);
  if (!connection) {
    connection = std::make_shared<ClientConnection>(state->pool.context());
  }
  connection->half_open = std::move(share.half_open);
  const auto executor = connection->stream.get_executor();
  auto exchange = state->SendRequest(address, std::move(request), timeout,
                                     std::move(may_send), header_timeout,
                                     std::move(connection));
  co_return co_await asio::co_spawn(executor, std::move(exchange),
                                    asio::use_awaitable);
}

}  // namespace hemlockward::kernel
