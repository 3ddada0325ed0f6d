#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "kernel/worker_pool.h"

/// HTTP/1.1 server and client over Boost.Beast, which stays out of this header.
namespace hemlockward::kernel {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  ///< Path and query as sent.
  std::vector<HttpHeader> headers;
  std::string body;

  /// Empty when absent. Names compare without regard to case.
  [[nodiscard]] std::string_view Header(std::string_view name) const;
  /// The path without the query.
  [[nodiscard]] std::string_view Path() const;
  /// Decoded value of a query parameter; empty when absent.
  [[nodiscard]] std::string Query(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Ends the connection without a whole answer after this many body bytes; for
  /// stand-ins.
  std::int64_t cut_after = -1;

  [[nodiscard]] std::string_view Header(std::string_view name) const;
  HttpResponse& With(std::string name, std::string value) {
    headers.push_back({std::move(name), std::move(value)});
    return *this;
  }
};

HttpResponse JsonResponse(int status, std::string json);
/// An `application/problem+json` answer (RFC 9457).
HttpResponse ProblemResponse(int status, std::string_view title,
                             std::string_view detail);
/// Splits a path at '/', without empty parts.
std::vector<std::string_view> SplitPath(std::string_view path);

struct HttpLimits {
  std::uint64_t max_body_bytes = 8 * 1024 * 1024;
  std::uint32_t max_header_bytes = 16 * 1024;
  base::Millis read_timeout = base::Seconds(10);  ///< For one whole request.
  base::Millis idle_timeout = base::Seconds(60);  ///< Between requests.
  int max_connections = 4096;
};

using HttpHandler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// Serves one address. Requests too large, malformed or too slow are answered
/// with 413, 400 or 408 and never reach the handler.
class HttpServer {
 public:
  /// Throws boost::system::system_error when the address can't be bound.
  HttpServer(WorkerPool& pool, std::string_view address, HttpLimits limits,
             HttpHandler handler);
  ~HttpServer();
  /// From now on every answer carries `Connection: close`; requests are still
  /// served.
  void AnnounceStop();
  /// Accepts no more connections and closes those without a request in
  /// progress.
  void CloseIdle();
  [[nodiscard]] int requests_in_progress() const;
  /// The bound port; useful when the address ended in `:0`.
  [[nodiscard]] int port() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// How far a failed call got; decides whether it may be repeated.
enum class HttpFailure : std::uint8_t {
  kNotSent,  ///< No byte of the request left this process.
  kTimeout,  ///< Some bytes may have been received.
  kBroken,   ///< The connection ended before a whole answer.
};

struct HttpError {
  HttpFailure failure = HttpFailure::kNotSent;
  std::string what;
};

/// What HttpError says when `may_send` ended a call.
inline constexpr std::string_view kNotAllowedToSend =
    "no longer allowed to be sent";

/// Keep-alive connections to any number of addresses.
class HttpClient {
 public:
  explicit HttpClient(WorkerPool& pool, int max_idle_per_address = 64,
                      std::uint64_t max_body_bytes = 64 * 1024 * 1024);
  ~HttpClient();
  /// Sends one request and returns the whole answer, its length checked. A
  /// kept connection that turns out closed before any byte was sent is
  /// replaced once. `may_send`, if given, is asked after the connection stands
  /// and right before the first byte; false ends the call with kNotSent.
  boost::asio::awaitable<tl::expected<HttpResponse, HttpError>> Call(
      std::string address, HttpRequest request, base::Millis timeout,
      std::function<bool()> may_send = {});

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace hemlockward::kernel
