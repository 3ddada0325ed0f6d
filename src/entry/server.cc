#include "entry/server.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <exception>
#include <utility>

#include "base/random.h"

namespace hemlockward::entry {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Millis;
using base::Outcome;
using kernel::HttpRequest;
using kernel::HttpResponse;

namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::int64_t kMaxMintedKeys = 1000;
constexpr int kAccepted = 202;

std::string NewRequestId() {
  thread_local base::Random random(base::SystemSeed());
  return base::RandomHex(random);
}

// Printable ASCII without spaces, so that a value is safe in headers and logs.
bool IsToken(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

// Parses `Hemlockward-Timeout-Ms`, in milliseconds; -1 when it isn't a number.
std::int64_t ParseCount(std::string_view text) {
  std::int64_t value = -1;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = ec == std::errc() && end == text.data() + text.size();
  return whole ? value : -1;
}

std::string SecondsRoundedUp(Millis time) {
  return std::to_string((time.count + 999) / 1000);
}

}  // namespace

tl::expected<Request, std::string> ParseRequest(const HttpRequest& message,
                                                std::string_view service,
                                                const EntrySettings& settings,
                                                Millis now) {
  Request request;
  request.service = base::ServiceId(std::string(service));
  request.id = std::string(message.Header("Hemlockward-Request-Id"));
  if (request.id.empty()) request.id = NewRequestId();
  if (request.id.size() > kMaxRequestIdBytes || !IsToken(request.id)) {
    return tl::unexpected(std::string(
        "Hemlockward-Request-Id: at most 128 printable characters"));
  }

  const std::string_view repeatable = message.Header("Hemlockward-Repeatable");
  if (!repeatable.empty() && repeatable != "true" && repeatable != "false") {
    return tl::unexpected(std::string("Hemlockward-Repeatable: true or false"));
  }
  request.repeatable = repeatable != "false";

  const std::string_view text = message.Header("Hemlockward-Class");
  if (!text.empty()) {
    const auto request_class = base::ParseRequestClass(text);
    if (!request_class) {
      return tl::unexpected(
          std::string("Hemlockward-Class: urgent, normal or batch"));
    }
    request.request_class = *request_class;
  }

  Millis timeout = settings.request_timeout;
  const std::string_view limit = message.Header("Hemlockward-Timeout-Ms");
  if (!limit.empty()) {
    timeout = {ParseCount(limit)};
    if (timeout.count < 1 || timeout > settings.max_request_timeout) {
      return tl::unexpected("Hemlockward-Timeout-Ms: 1 to " +
                            std::to_string(settings.max_request_timeout.count));
    }
  }
  request.deadline = now + timeout;

  request.key = std::string(message.Header("Idempotency-Key"));
  if (request.key.size() > kMaxKeyBytes || !IsToken(request.key)) {
    return tl::unexpected(
        std::string("Idempotency-Key: at most 256 printable characters"));
  }
  if (!request.repeatable && request.key.empty()) {
    return tl::unexpected(std::string(
        "Idempotency-Key: required when Hemlockward-Repeatable is false"));
  }
  request.content_type = std::string(message.Header("Content-Type"));
  request.body = message.body;
  return request;
}

HttpResponse ToHttp(const Answer& answer, std::string_view request_id) {
  HttpResponse response;
  if (answer.outcome == Outcome::kDone) {
    response.status = answer.status;
    response.body = answer.body;
    if (!answer.content_type.empty()) {
      response.With("Content-Type", answer.content_type);
    }
  } else {
    response = kernel::ProblemResponse(
        answer.status,
        answer.outcome == Outcome::kNotRun ? "not run" : "outcome unknown",
        answer.reason);
  }
  response.With("Hemlockward-Request-Id", std::string(request_id));
  response.With("Hemlockward-Outcome",
                std::string(base::ToText(answer.outcome)));
  if (answer.retry_after > Millis{0}) {
    response.With("Retry-After", SecondsRoundedUp(answer.retry_after));
  }
  return response;
}

CallerApi::CallerApi(const EntrySettings& settings,
                     const base::SystemClock& clock, Dispatcher& dispatcher,
                     KeyedRequests& keyed, DecisionLog& decisions,
                     base::Metrics& metrics, std::function<void()> fill_metrics,
                     std::function<std::string()> cannot_serve,
                     std::function<std::string()> not_ready)
    : settings_(settings),
      clock_(clock),
      dispatcher_(dispatcher),
      keyed_(keyed),
      decisions_(decisions),
      metrics_(metrics),
      fill_metrics_(std::move(fill_metrics)),
      cannot_serve_(std::move(cannot_serve)),
      not_ready_(std::move(not_ready)) {}

asio::awaitable<HttpResponse> CallerApi::Handle(HttpRequest request) {
  std::string problem;
  try {
    co_return co_await Route(std::move(request));
  } catch (const std::exception& e) {
    problem = e.what();
  }
  co_return ToHttp(Refusal(Outcome::kUnknown, 500, std::move(problem)),
                   NewRequestId());
}

asio::awaitable<HttpResponse> CallerApi::Route(HttpRequest request) {
  const std::string path(request.Path());
  const auto parts = kernel::SplitPath(path);
  const bool get = request.method == "GET";
  if (get && path == "/healthz") co_return kernel::JsonResponse(200, "{}");
  if (get && path == "/readyz") co_return HandleReady();
  if (get && path == "/metrics") {
    HttpResponse response;
    fill_metrics_();
    response.body = metrics_.ToPrometheus();
    response.With("Content-Type", "text/plain; version=0.0.4");
    co_return response;
  }
  if (get && parts.size() == 4 && parts[1] == "why" && parts[2] == "request") {
    co_return HandleWhy(parts[3]);
  }
  if (parts.size() == 3 && parts[0] == "v1" && parts[1] == "requests" &&
      (get || request.method == "DELETE")) {
    co_return co_await HandleKey(request, parts[2]);
  }
  if (request.method == "POST" && path == "/v1/keys") {
    co_return HandleMint(request);
  }
  if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "services" &&
      parts[3] == "requests") {
    if (request.method == "POST") {
      co_return co_await HandleRequest(std::move(request), parts[2]);
    }
    co_return ToHttp(Refusal(Outcome::kNotRun, 405, "use POST"),
                     NewRequestId());
  }
  co_return ToHttp(Refusal(Outcome::kNotRun, 404, "no such resource: " + path),
                   NewRequestId());
}

asio::awaitable<HttpResponse> CallerApi::HandleRequest(
    HttpRequest message, std::string_view service) {
  auto request = ParseRequest(message, service, settings_, clock_.Now());
  if (!request) {
    co_return ToHttp(Refusal(Outcome::kNotRun, 400, request.error()),
                     NewRequestId());
  }
  const std::string id = request->id;
  const bool respond_async =
      message.Header("Prefer").find("respond-async") != std::string_view::npos;
  if (respond_async && request->key.empty()) {
    request->key = keyed_.Mint(1).front();
  }
  if (respond_async && message.Header("Hemlockward-Timeout-Ms").empty()) {
    request->deadline = clock_.Now() + settings_.max_request_timeout;
  }
  const std::string key = request->key;
  const Answer answer = co_await Run(std::move(*request), respond_async);
  HttpResponse response = ToHttp(answer, id);
  if (answer.status == kAccepted && answer.outcome == Outcome::kUnknown) {
    response.With("Location", "/v1/requests/" + key);
  }
  co_return response;
}

// A repeatable request without a valid key runs without a claim.
asio::awaitable<Answer> CallerApi::Run(Request request, bool respond_async) {
  const bool owned = ParseKey(request.key).has_value();
  if (!request.repeatable || respond_async || owned) {
    co_return co_await keyed_.Run(std::move(request), respond_async);
  }
  co_return co_await dispatcher_.Run(std::move(request), Millis{0});
}

asio::awaitable<HttpResponse> CallerApi::HandleKey(const HttpRequest& request,
                                                   std::string_view key) {
  const bool cancel = request.method == "DELETE";
  const Answer answer = co_await keyed_.Query(std::string(key), cancel);
  HttpResponse response = ToHttp(answer, NewRequestId());
  if (answer.status == kAccepted) {
    response.With("Location", "/v1/requests/" + std::string(key));
  }
  co_return response;
}

// Body: {"count": n}; an empty body requests one key.
HttpResponse CallerApi::HandleMint(const HttpRequest& request) {
  int n = 1;
  if (!request.body.empty()) {
    boost::system::error_code ec;
    const json::value body = json::parse(request.body, ec);
    const json::value* count = !ec && body.is_object()
                                   ? body.as_object().if_contains("count")
                                   : nullptr;
    const bool valid = count != nullptr && count->is_int64() &&
                       count->as_int64() >= 1 &&
                       count->as_int64() <= kMaxMintedKeys;
    if (!valid) {
      return ToHttp(
          Refusal(Outcome::kNotRun, 400, "body: {\"count\": 1 to 1000}"),
          NewRequestId());
    }
    n = static_cast<int>(count->as_int64());
  }
  const std::string reason = cannot_serve_();
  if (!reason.empty()) {
    return ToHttp(Refusal(Outcome::kNotRun, 503, reason), NewRequestId());
  }
  json::array keys;
  for (const std::string& it : keyed_.Mint(n)) keys.emplace_back(it);
  HttpResponse response = kernel::JsonResponse(
      200, json::serialize(json::value{
               {"keys", keys}, {"lifetime_ms", settings_.key_lifetime.count}}));
  response.With("Hemlockward-Request-Id", NewRequestId());
  return response;
}

HttpResponse CallerApi::HandleReady() const {
  const std::string reason = not_ready_();
  if (reason.empty()) return kernel::JsonResponse(200, "{}");
  return kernel::ProblemResponse(503, "not ready", reason);
}

HttpResponse CallerApi::HandleWhy(std::string_view request_id) const {
  json::array decisions;
  for (const RoutingDecision& it : decisions_.Find(request_id)) {
    decisions.push_back(json::object{{"action", it.action},
                                     {"vm", it.vm.value},
                                     {"reason", it.reason},
                                     {"revision", it.revision},
                                     {"at_ms", it.at.count}});
  }
  const int status = decisions.empty() ? 404 : 200;
  return kernel::JsonResponse(
      status, json::serialize(json::value{{"request", request_id},
                                          {"decisions", decisions}}));
}

}  // namespace hemlockward::entry
