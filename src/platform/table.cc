#include "platform/table.h"

#include <utility>

#include "platform/wire.h"

namespace hemlockward::platform {

using kernel::HttpError;
using kernel::HttpFailure;
using kernel::HttpRequest;
using kernel::HttpResponse;

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

HttpRequest Post(std::string target, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(target);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(body);
  return request;
}

tl::unexpected<TableError> Unavailable(std::string what) {
  return tl::unexpected(
      TableError{TableFailure::kUnavailable, std::move(what)});
}

std::string ConflictText(const std::vector<std::string>& keys) {
  std::string text = "changed by another writer:";
  for (const std::string& it : keys) text += " " + it;
  return text;
}

// The result of sending a transaction once.
struct Attempt {
  bool conclusive = false;    // The answer says whether it committed.
  bool may_have_run = false;  // The platform may have executed it.
  tl::expected<Committed, TableError> result;
};

Attempt ClassifyAnswer(const tl::expected<HttpResponse, HttpError>& answer) {
  Attempt attempt;
  if (!answer) {
    attempt.may_have_run = kernel::MayHaveArrived(answer.error().failure);
    attempt.result = Unavailable(answer.error().what);
    return attempt;
  }
  attempt.result = Unavailable("status " + std::to_string(answer->status));
  if (answer->status == kOk || answer->status == kConflict) {
    const auto reply = DecodeTransactReply(answer->body);
    attempt.conclusive = reply.has_value();
    attempt.may_have_run = !reply;
    if (!reply) return attempt;
    if (reply->committed) {
      attempt.result = Committed{reply->version};
    } else {
      attempt.result = tl::unexpected(
          TableError{TableFailure::kConflict, ConflictText(reply->conflicts)});
    }
    return attempt;
  }
  // The platform guarantees that nothing was written on a 4xx or a 503.
  const bool refused = answer->status >= 400 && answer->status < 500;
  attempt.may_have_run = !refused && answer->status != kUnavailable;
  return attempt;
}

}  // namespace

TableClient::TableClient(kernel::HttpClient& http, TableSettings settings)
    : http_(http), settings_(std::move(settings)) {}

Result<Committed> TableClient::Transact(Transaction transaction) {
  const std::string body = Encode(transaction);
  bool may_have_run = false;
  std::string what;
  base::Millis pause = settings_.resend_delay;
  for (int n = 0; n <= settings_.resend_attempts; ++n) {
    if (n > 0) {
      co_await kernel::Sleep(pause);
      pause = pause * 2;
    }
    HttpRequest request = Post("/table/transact", body);
    const auto answer = co_await http_.Call(
        settings_.address, std::move(request), settings_.timeout);
    const Attempt attempt = ClassifyAnswer(answer);
    if (attempt.conclusive) co_return attempt.result;
    may_have_run = may_have_run || attempt.may_have_run;
    what = attempt.result.error().what;
    if (!may_have_run) break;  // Not executed; the caller may retry.
  }
  const auto failure =
      may_have_run ? TableFailure::kUnknown : TableFailure::kUnavailable;
  co_return tl::unexpected(TableError{failure, what});
}

Result<std::vector<Row>> TableClient::Read(std::vector<std::string> keys) {
  HttpRequest request = Post("/table/read", EncodeKeys(keys));
  const auto answer = co_await http_.Call(settings_.address, std::move(request),
                                          settings_.timeout);
  if (!answer) co_return Unavailable(answer.error().what);
  if (answer->status != kOk) {
    co_return Unavailable("status " + std::to_string(answer->status));
  }
  auto page = DecodeScanPage(answer->body);
  if (!page) co_return Unavailable(page.error().what);
  co_return std::move(page->rows);
}

Result<ScanPage> TableClient::Scan(std::string prefix, std::string after,
                                   int limit) {
  const ScanRequest scan{std::move(prefix), std::move(after), limit};
  HttpRequest request = Post("/table/scan", Encode(scan));
  const auto answer = co_await http_.Call(settings_.address, std::move(request),
                                          settings_.timeout);
  if (!answer) co_return Unavailable(answer.error().what);
  if (answer->status != kOk) {
    co_return Unavailable("status " + std::to_string(answer->status));
  }
  auto page = DecodeScanPage(answer->body);
  if (!page) co_return Unavailable(page.error().what);
  co_return std::move(*page);
}

}  // namespace hemlockward::platform
