#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
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

/// HTTP/1.1 server and client. Boost.Beast is used in the implementation only.
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

  /// Value of a header, empty if absent. Names are case-insensitive.
  [[nodiscard]] std::string_view Header(std::string_view name) const;
  /// The path without the query.
  [[nodiscard]] std::string_view Path() const;
  /// Decoded value of a query parameter, empty if absent.
  [[nodiscard]] std::string Query(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Closes the connection after this many body bytes, which truncates the
  /// response; -1: disabled. For stand-ins.
  std::int64_t cut_after = -1;

  [[nodiscard]] std::string_view Header(std::string_view name) const;
  HttpResponse& With(std::string name, std::string value) {
    headers.push_back({std::move(name), std::move(value)});
    return *this;
  }
};

HttpResponse JsonResponse(int status, std::string json);
/// An `application/problem+json` response (RFC 9457).
HttpResponse ProblemResponse(int status, std::string_view title,
                             std::string_view detail);
/// Splits a path at '/' and skips empty parts.
std::vector<std::string_view> SplitPath(std::string_view path);

struct HttpLimits {
  std::uint64_t max_body_bytes = 8 * 1024 * 1024;
  std::uint32_t max_header_bytes = 16 * 1024;
  base::Millis read_timeout = base::Seconds(10);  ///< For one complete request.
  base::Millis idle_timeout = base::Seconds(60);  ///< Between requests.
  int max_connections = 4096;
};

using HttpHandler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// Serves HTTP on one address. Requests that are too large, malformed or too
/// slow get 413 (431 for headers), 400 or 408 and never reach the handler.
class HttpServer {
 public:
  /// Throws std::runtime_error if it can't listen on the address.
  HttpServer(WorkerPool& pool, std::string_view address, HttpLimits limits,
             HttpHandler handler);
  ~HttpServer();
  /// Sends `Connection: close` with each response from now on; requests are
  /// still served.
  void AnnounceStop();
  /// Stops accepting connections and closes the idle ones.
  void CloseIdle();
  [[nodiscard]] int requests_in_progress() const;
  /// The bound port, for addresses that end in `:0`.
  [[nodiscard]] int port() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// How far a failed call got; decides whether a retry is safe.
enum class HttpFailure : std::uint8_t {
  kNotSent,  ///< No byte of the request was sent.
  /// The same: all connections that the address allows stayed in use.
  kNoConnection,
  kTimeout,  ///< Timed out; the server may have received some bytes.
  kBroken,   ///< The connection ended before a complete response.
};

/// Whether the server may have received a part of the request.
inline bool MayHaveArrived(HttpFailure failure) {
  return failure != HttpFailure::kNotSent &&
         failure != HttpFailure::kNoConnection;
}

struct HttpError {
  HttpFailure failure = HttpFailure::kNotSent;
  std::string what;
  /// The server refused a new connection, or reset it before any response.
  bool refused = false;
};

/// Text of the HttpError of a call that `may_send` cancelled.
inline constexpr std::string_view kNotAllowedToSend =
    "no longer allowed to be sent";

struct HttpClientLimits {
  std::size_t idle_per_address = 64;  ///< Connections; at least 1.
  std::size_t idle = 1024;            ///< Connections to all addresses.
  std::uint64_t body_bytes = 64 * 1024 * 1024;  ///< Longest response.
  /// An idle connection is closed after this time. Shorter than the server's
  /// idle timeout, so that this side closes first.
  base::Millis idle_time = base::Seconds(20);
  /// If not 0, a closed connection counts as in use until the server closes its
  /// end, and as half-open if it doesn't within this time.
  base::Millis close_timeout{0};
  /// A connection that is half-open for this long stays so: its path has lost
  /// its state.
  base::Millis late_close_timeout = base::Seconds(60);
};

/// A client's share of the connections that a server accepts.
struct ConnectionShare {
  std::size_t max_open = 0;  ///< 0: any number.
  /// Counts connections that the client has closed and the server hasn't, each
  /// with the counter of its newest call. May be null.
  std::shared_ptr<std::atomic<int>> half_open;
};

/// HTTP client with a pool of keep-alive connections per address.
class HttpClient {
 public:
  explicit HttpClient(WorkerPool& pool, HttpClientLimits limits = {});
  ~HttpClient();
  [[nodiscard]] std::size_t idle_connections() const;
  /// Closes up to `most` idle connections, those unused for longest first.
  void CloseIdle(std::size_t most);
  /// Sends one request and returns the complete response; a response of unknown
  /// length is an error. The call may take `timeout` from when it gets a
  /// connection, and waits as long for one at most.
  /// Idle connections that the server has closed are discarded before use, and
  /// those to an address where a call on such a connection has timed out,
  /// unless they were used after it was sent. A request with the header
  /// `Connection: close` ends its connection. `may_send`, if given, is called
  /// once the connection is established, right before the first byte is sent;
  /// if it returns false, the call fails with kNotSent. If `header_timeout`
  /// isn't 0, the header of the response must arrive within that time after the
  /// request was sent.
  /// If `share.max_open` isn't 0, the call waits while so many connections to
  /// the address are used by calls or being closed.
  boost::asio::awaitable<tl::expected<HttpResponse, HttpError>> Call(
      std::string address, HttpRequest request, base::Millis timeout,
      std::function<bool()> may_send = {}, base::Millis header_timeout = {0},
      ConnectionShare share = {});

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace hemlockward::kernel
