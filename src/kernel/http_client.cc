#include <boost/asio/co_spawn.hpp>
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

struct IdleConnection {
  std::string address;
  std::unique_ptr<beast::tcp_stream> stream;
  base::Millis since;
};
using IdleConnections = std::list<IdleConnection>;

// A call that waits until a connection to its address is free.
struct WaitingCall {
  explicit WaitingCall(asio::io_context& context)
      : strand(asio::make_strand(context)), timer(strand) {}
  asio::strand<asio::io_context::executor_type> strand;
  asio::steady_timer timer;
  bool admitted = false;  // Guarded by the client's mutex.
};

struct CallsInProgress {
  std::size_t count = 0;
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

  /// Counts a call to `address` as in progress, once there are fewer than
  /// `max_open`. Returns false if it has to wait longer than `timeout`.
  asio::awaitable<bool> BeginCall(std::string address, base::Millis timeout,
                                  std::size_t max_open);
  void EndCall(const std::string& address);
  std::unique_ptr<beast::tcp_stream> TakeIdleConnection(
      const std::string& address);
  void StoreIdleConnection(const std::string& address,
                           std::unique_ptr<beast::tcp_stream> stream);
  /// Closes the least recently used connection to an address. The caller holds
  /// the mutex.
  void CloseIdle(IdleConnections::iterator connection);
  /// Closes the idle connections to `address` that weren't used after `time`.
  void CloseIdleSince(const std::string& address, base::Millis time);
  asio::awaitable<tl::expected<HttpResponse, HttpError>> SendRequest(
      std::string address, HttpRequest request, base::Millis timeout,
      std::function<bool()> may_send, base::Millis header_timeout,
      std::unique_ptr<beast::tcp_stream> stream);

  WorkerPool& pool;
  base::SystemClock clock;
  HttpClientLimits limits;
  std::mutex mutex;      // Guards the members below.
  IdleConnections idle;  // Least recently used first, as those by address.
  std::map<std::string, std::deque<IdleConnections::iterator>> idle_by_address;
  // With `max_open` only. A call opens a connection only if none is idle, so
  // there are never more connections than calls were in progress.
  std::map<std::string, CallsInProgress> calls;
};

asio::awaitable<bool> HttpClient::State::BeginCall(std::string address,
                                                   base::Millis timeout,
                                                   std::size_t max_open) {
  std::shared_ptr<WaitingCall> self;
  {
    const std::lock_guard lock(mutex);
    CallsInProgress& in_progress = calls[address];
    if (in_progress.count < max_open) {
      ++in_progress.count;
      co_return true;
    }
    self = std::make_shared<WaitingCall>(pool.context());
    self->timer.expires_after(timeout.ToChrono());
    in_progress.waiting.push_back(self);
  }
  const auto wait = [self]() -> asio::awaitable<void> {
    error_code ec;
    co_await self->timer.async_wait(Redirect(ec));
  };
  co_await asio::co_spawn(self->strand, wait, asio::use_awaitable);
  const std::lock_guard lock(mutex);
  if (!self->admitted) std::erase(calls[address].waiting, self);
  co_return self->admitted;
}

void HttpClient::State::EndCall(const std::string& address) {
  const std::lock_guard lock(mutex);
  const auto it = calls.find(address);
  CallsInProgress& in_progress = it->second;
  if (in_progress.waiting.empty()) {
    if (--in_progress.count == 0) calls.erase(it);
    return;
  }
  // Its place passes to the call that has waited longest.
  const std::shared_ptr<WaitingCall> next = in_progress.waiting.front();
  in_progress.waiting.pop_front();
  next->admitted = true;
  // Also ends a wait that hasn't begun yet, unlike a cancellation.
  asio::post(next->strand, [next] {
    next->timer.expires_at(asio::steady_timer::time_point::min());
  });
}

std::unique_ptr<beast::tcp_stream> HttpClient::State::TakeIdleConnection(
    const std::string& address) {
  const std::lock_guard lock(mutex);
  const auto it = idle_by_address.find(address);
  if (it == idle_by_address.end()) return nullptr;
  std::unique_ptr<beast::tcp_stream> stream;
  while (!stream && !it->second.empty()) {
    const auto last = it->second.back();
    it->second.pop_back();
    const bool fresh = clock.Now() - last->since < limits.idle_time;
    if (fresh && !IsStale(*last->stream)) stream = std::move(last->stream);
    idle.erase(last);
  }
  if (it->second.empty()) idle_by_address.erase(it);
  return stream;
}

void HttpClient::State::CloseIdle(IdleConnections::iterator connection) {
  const auto it = idle_by_address.find(connection->address);
  it->second.pop_front();
  if (it->second.empty()) idle_by_address.erase(it);
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

void HttpClient::State::StoreIdleConnection(
    const std::string& address, std::unique_ptr<beast::tcp_stream> stream) {
  stream->expires_never();
  const std::lock_guard lock(mutex);
  const base::Millis now = clock.Now();
  idle.push_back({address, std::move(stream), now});
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

// Sends a request and reads the response on the stream's strand.
asio::awaitable<tl::expected<HttpResponse, HttpError>>
HttpClient::State::SendRequest(std::string address, HttpRequest request,
                               base::Millis timeout,
                               std::function<bool()> may_send,
                               base::Millis header_timeout,
                               std::unique_ptr<beast::tcp_stream> stream) {
  error_code ec;
  const bool connected = stream->socket().is_open();
  const base::Millis begin = clock.Now();
  const base::Millis deadline = begin + timeout;
  // A path that lost the state of one connection usually lost that of all.
  const auto failure_of = [&](error_code error) {
    if (error != beast::error::timeout) return HttpFailure::kBroken;
    if (connected) CloseIdleSince(address, begin);
    return HttpFailure::kTimeout;
  };
  if (!connected) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      co_return tl::unexpected(
          HttpError{HttpFailure::kNotSent, endpoint.error()});
    }
    stream->expires_after(std::min(timeout, kConnectTimeout).ToChrono());
    co_await stream->async_connect(*endpoint, Redirect(ec));
    if (ec) {
      co_return tl::unexpected(HttpError{HttpFailure::kNotSent, ec.message()});
    }
    stream->socket().set_option(tcp::no_delay(true), ec);
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
  stream->expires_after((deadline - clock.Now()).ToChrono());
  co_await http::async_write(*stream, message, Redirect(ec));
  if (ec) {
    co_return tl::unexpected(HttpError{failure_of(ec), ec.message()});
  }

  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(limits.body_bytes);
  parser.eager(true);
  buffer.reserve(kFirstReadBytes);
  if (header_timeout.count > 0) {
    const base::Millis left = deadline - clock.Now();
    stream->expires_after(std::min(header_timeout, left).ToChrono());
  }
  bool header_read = false;
  while (!ec && !parser.is_done()) {
    co_await http::async_read_some(*stream, buffer, parser, Redirect(ec));
    if (!parser.is_header_done()) continue;
    if (!std::exchange(header_read, true)) {
      stream->expires_after((deadline - clock.Now()).ToChrono());
    }
    const std::uint64_t rest =
        parser.content_length_remaining().value_or(kMaxReadBytes);
    buffer.reserve(std::min(rest, kMaxReadBytes));
  }
  if (ec) {
    co_return tl::unexpected(HttpError{failure_of(ec), ec.message()});
  }
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
  if (message.keep_alive() && answer.keep_alive() && buffer.size() == 0) {
    StoreIdleConnection(address, std::move(stream));
  }
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

asio::awaitable<tl::expected<HttpResponse, HttpError>> HttpClient::Call(
    std::string address, HttpRequest request, base::Millis timeout,
    std::function<bool()> may_send, base::Millis header_timeout,
    std::size_t max_open) {
  auto state = state_;
  const base::Millis begin = state->clock.Now();
  const bool limited = max_open > 0;
  if (limited && !co_await state->BeginCall(address, timeout, max_open)) {
    co_return tl::unexpected(
        HttpError{HttpFailure::kNoConnection, "all connections stayed in use"});
  }
  const auto end = [&state, &address](const bool* counted) {
    if (*counted) state->EndCall(address);
  };
  const std::unique_ptr<const bool, decltype(end)> in_progress(&limited, end);
  const base::Millis left = timeout - (state->clock.Now() - begin);
  auto stream = state->TakeIdleConnection(address);
  if (!stream) {
    stream = std::make_unique<beast::tcp_stream>(
        asio::make_strand(state->pool.context()));
  }
  const auto executor = stream->get_executor();
  auto exchange =
      state->SendRequest(address, std::move(request), left, std::move(may_send),
                         header_timeout, std::move(stream));
  co_return co_await asio::co_spawn(executor, std::move(exchange),
                                    asio::use_awaitable);
}

}  // namespace hemlockward::kernel
