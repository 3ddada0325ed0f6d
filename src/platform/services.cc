#include "platform/services.h"

#include <utility>

#include "platform/wire.h"

namespace hemlockward::platform {

using kernel::HttpError;
using kernel::HttpFailure;
using kernel::HttpRequest;
using kernel::HttpResponse;

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kUnavailableStatus = 503;

HttpRequest Request(std::string method, std::string target,
                    std::string body = {}) {
  HttpRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = std::move(body);
  return request;
}

tl::unexpected<TableError> MakeError(TableFailure failure, std::string what) {
  return tl::unexpected(TableError{failure, std::move(what)});
}

// The error of a failed write: kUnknown if it may have taken effect.
tl::unexpected<TableError> ActionError(
    const tl::expected<HttpResponse, HttpError>& answer) {
  if (!answer) {
    const bool not_sent = answer.error().failure == HttpFailure::kNotSent;
    return MakeError(
        not_sent ? TableFailure::kUnavailable : TableFailure::kUnknown,
        answer.error().what);
  }
  const bool refused = answer->status == kUnavailableStatus ||
                       (answer->status >= 400 && answer->status < 500);
  return MakeError(
      refused ? TableFailure::kUnavailable : TableFailure::kUnknown,
      "status " + std::to_string(answer->status));
}

tl::unexpected<TableError> ReadError(
    const tl::expected<HttpResponse, HttpError>& answer) {
  const std::string what =
      answer ? "status " + std::to_string(answer->status) : answer.error().what;
  return MakeError(TableFailure::kUnavailable, what);
}

// Sends one GET and decodes the answer with `decode`.
template <class T>
Result<T> Get(kernel::HttpClient& http, ServiceSettings settings,
              std::string target, Decoded<T> (*decode)(std::string_view)) {
  HttpRequest request = Request("GET", std::move(target));
  const auto answer = co_await http.Call(settings.address, std::move(request),
                                         settings.timeout);
  if (!answer || answer->status != kOk) co_return ReadError(answer);
  auto decoded = decode(answer->body);
  if (!decoded) {
    co_return MakeError(TableFailure::kUnavailable, decoded.error().what);
  }
  co_return std::move(*decoded);
}

}  // namespace

ObjectClient::ObjectClient(kernel::HttpClient& http, ServiceSettings settings)
    : http_(http), settings_(std::move(settings)) {}

Result<bool> ObjectClient::PutIfAbsent(std::string key, std::string bytes) {
  HttpRequest request = Request("PUT", "/objects/" + key, bytes);
  request.headers.push_back({"If-None-Match", "*"});
  const auto answer = co_await http_.Call(settings_.address, std::move(request),
                                          settings_.timeout);
  if (!answer) co_return ActionError(answer);
  if (answer->status == kOk || answer->status == kCreated) co_return true;
  if (answer->status != kPreconditionFailed) co_return ActionError(answer);
  const auto stored = co_await Get(key);
  if (!stored) co_return tl::unexpected(stored.error());
  co_return *stored == bytes;
}

Result<std::string> ObjectClient::Get(std::string key) {
  HttpRequest request = Request("GET", "/objects/" + key);
  const auto answer = co_await http_.Call(settings_.address, std::move(request),
                                          settings_.timeout);
  if (answer && answer->status == kNotFound) {
    co_return MakeError(TableFailure::kConflict, "no object '" + key + "'");
  }
  if (!answer || answer->status != kOk) co_return ReadError(answer);
  co_return answer->body;
}

VmClient::VmClient(kernel::HttpClient& http, ServiceSettings settings)
    : http_(http), settings_(std::move(settings)) {}

Result<std::vector<ListedVm>> VmClient::List() {
  co_return co_await platform::Get<std::vector<ListedVm>>(http_, settings_,
                                                          "/vms", &DecodeVms);
}

Result<bool> VmClient::Drain(base::VmId vm, std::string nonce) {
  co_return co_await SendAction(std::move(vm), "drain", std::move(nonce));
}

Result<bool> VmClient::Reboot(base::VmId vm, std::string nonce) {
  co_return co_await SendAction(std::move(vm), "reboot", std::move(nonce));
}

Result<bool> VmClient::Checkpoint(base::VmId vm, std::string nonce) {
  co_return co_await SendAction(std::move(vm), "checkpoint", std::move(nonce));
}

Result<bool> VmClient::SendAction(base::VmId vm, std::string_view action,
                                  std::string nonce) {
  const std::string target = "/vms/" + vm.value + "/" + std::string(action);
  HttpRequest request = Request("POST", target, EncodeNonce(nonce));
  const auto answer = co_await http_.Call(settings_.address, std::move(request),
                                          settings_.timeout);
  if (answer && answer->status == kAccepted) co_return true;
  if (answer && answer->status == kNotFound) co_return false;
  co_return ActionError(answer);
}

MonitorClient::MonitorClient(kernel::HttpClient& http, ServiceSettings settings)
    : http_(http), settings_(std::move(settings)) {}

Result<std::vector<Verdict>> MonitorClient::Verdicts() {
  co_return co_await platform::Get<std::vector<Verdict>>(
      http_, settings_, "/verdicts", &DecodeVerdicts);
}

}  // namespace hemlockward::platform
