#include "kernel/http.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <mutex>
#include <sstream>

#include "kernel/accept.h"
#include "kernel/beast.h"
#include "kernel/endpoint.h"

namespace hemlockward::kernel {

// One accepted connection. Its coroutine and timers run on one strand.
struct Connection {
  explicit Connection(tcp::socket socket) : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool idle = true;
};

struct HttpServer::State : std::enable_shared_from_this<State> {
  State(WorkerPool& pool, HttpLimits limits, HttpHandler handler)
      : pool(pool),
        limits(limits),
        handler(std::move(handler)),
        acceptor(asio::make_strand(pool.context())) {}

  void StartConnection(tcp::socket socket);
  asio::awaitable<void> Serve(std::shared_ptr<Connection> connection);
  asio::awaitable<bool> ServeOne(Connection& connection);
  asio::awaitable<void> RejectRequest(Connection& connection, error_code ec);
  asio::awaitable<bool> WriteResponse(Connection& connection,
                                      HttpResponse response, unsigned version,
                                      bool keep_alive);
  void RemoveConnection(const std::shared_ptr<Connection>& connection);

  WorkerPool& pool;
  HttpLimits limits;
  HttpHandler handler;
  tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::atomic<bool> closed{false};
  std::atomic<int> in_progress{0};
  std::mutex mutex;  // Guards connections.
  std::list<std::shared_ptr<Connection>> connections;
};

void HttpServer::State::StartConnection(tcp::socket socket) {
  auto connection = std::make_shared<Connection>(std::move(socket));
  {
    const std::lock_guard lock(mutex);
    if (static_cast<int>(connections.size()) >= limits.max_connections) return;
    connections.push_back(connection);
  }
  const auto self = shared_from_this();
  asio::co_spawn(
      connection->stream.get_executor(),
      [self, connection] { return self->Serve(connection); },
      [self, connection](const std::exception_ptr&) {
        self->RemoveConnection(connection);
      });
}

void HttpServer::State::RemoveConnection(
    const std::shared_ptr<Connection>& connection) {
  const std::lock_guard lock(mutex);
  connections.remove(connection);
}

asio::awaitable<void> HttpServer::State::Serve(
    std::shared_ptr<Connection> connection) {
  error_code ec;
  connection->stream.socket().set_option(tcp::no_delay(true), ec);
  while (co_await ServeOne(*connection)) {
  }
  connection->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

// Serves one request. Returns false if the connection must be closed.
asio::awaitable<bool> HttpServer::State::ServeOne(Connection& connection) {
  http::request_parser<http::string_body> parser;
  parser.body_limit(limits.max_body_bytes);
  parser.header_limit(limits.max_header_bytes);

  error_code ec;
  connection.idle = connection.buffer.size() == 0;
  if (connection.idle) {
    if (closed) co_return false;
    connection.stream.expires_after(limits.idle_timeout.ToChrono());
    const std::size_t n = co_await connection.stream.async_read_some(
        connection.buffer.prepare(4096), Redirect(ec));
    if (ec) co_return false;
    connection.buffer.commit(n);
    connection.idle = false;
  }

  connection.stream.expires_after(limits.read_timeout.ToChrono());
  co_await http::async_read(connection.stream, connection.buffer, parser,
                            Redirect(ec));
  connection.stream.expires_never();
  if (ec) {
    co_await RejectRequest(connection, ec);
    co_return false;
  }

  auto message = parser.release();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = CopyHeaders(message);
  request.body = std::move(message.body());

  ++in_progress;
  HttpResponse response;
  try {
    response = co_await handler(std::move(request));
  } catch (const std::exception& e) {
    response = ProblemResponse(500, "internal error", e.what());
  }
  const bool keep_alive = message.keep_alive() && !stopping;
  const bool keeps_open = co_await WriteResponse(
      connection, std::move(response), message.version(), keep_alive);
  --in_progress;
  co_return keeps_open;
}

// Reports why a request could not be read, if the connection is still open.
asio::awaitable<void> HttpServer::State::RejectRequest(Connection& connection,
                                                       error_code ec) {
  int status = 400;
  if (ec == beast::error::timeout) {
    status = 408;
  } else if (ec == http::error::body_limit) {
    status = 413;
  } else if (ec == http::error::header_limit) {
    status = 431;
  } else if (ec == http::error::end_of_stream ||
             ec.category() !=
                 make_error_code(http::error::end_of_stream).category()) {
    co_return;  // The connection is gone.
  }
  HttpResponse rejection =
      ProblemResponse(status, "request not read", ec.message());
  rejection.With("Hemlockward-Outcome", "not-run");
  co_await WriteResponse(connection, std::move(rejection), 11, false);
}

asio::awaitable<bool> HttpServer::State::WriteResponse(Connection& connection,
                                                       HttpResponse response,
                                                       unsigned version,
                                                       bool keep_alive) {
  http::response<http::string_body> message;
  message.version(version);
  message.result(static_cast<unsigned>(response.status));
  for (const HttpHeader& it : response.headers) message.set(it.name, it.value);
  message.body() = std::move(response.body);
  message.keep_alive(keep_alive);
  message.prepare_payload();

  error_code ec;
  connection.stream.expires_after(limits.read_timeout.ToChrono());
  if (response.cut_after >= 0) {
    std::ostringstream head;
    head << message.base();
    const std::string truncated =
        head.str() + message.body().substr(0, response.cut_after);
    co_await asio::async_write(connection.stream, asio::buffer(truncated),
                               Redirect(ec));
    co_return false;
  }
  co_await http::async_write(connection.stream, message, Redirect(ec));
  co_return !ec && keep_alive;
}

HttpServer::HttpServer(WorkerPool& pool, std::string_view address,
                       HttpLimits limits, HttpHandler handler)
    : state_(std::make_shared<State>(pool, limits, std::move(handler))) {
  Listen(state_->acceptor, address);
  asio::co_spawn(
      state_->acceptor.get_executor(),
      [state = state_] {
        return AcceptLoop(state->pool.context(), state->acceptor, state->closed,
                          [state](tcp::socket socket) {
                            state->StartConnection(std::move(socket));
                          });
      },
      [](const std::exception_ptr&) {});
}

HttpServer::~HttpServer() { CloseIdle(); }

void HttpServer::AnnounceStop() { state_->stopping = true; }

void HttpServer::CloseIdle() {
  state_->stopping = true;
  state_->closed = true;
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    error_code ec;
    state->acceptor.close(ec);
  });
  const std::lock_guard lock(state_->mutex);
  for (const auto& connection : state_->connections) {
    asio::post(connection->stream.get_executor(), [connection] {
      if (connection->idle) connection->stream.close();
    });
  }
}

int HttpServer::requests_in_progress() const { return state_->in_progress; }

int HttpServer::port() const {
  return state_->acceptor.local_endpoint().port();
}

}  // namespace hemlockward::kernel
