#include "bench/load_caller.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <utility>

#include "kernel/worker_pool.h"
#include "standin/answer.h"

namespace hemlockward::bench {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Millis;
using kernel::HttpFailure;
using kernel::HttpRequest;
using kernel::HttpResponse;

namespace {

constexpr Millis kAnswerSlack = base::Seconds(2);  // Beyond the deadline.
constexpr Millis kPause{100};                      // Before asking again.
constexpr int kMostQuestions = 5;  // About a key whose outcome is unknown.
constexpr int kOk = 200;

bool IsRight(const LoadRequest& request, const HttpResponse& answer) {
  return answer.body == standin::ExpectedAnswer(request.service, request.body);
}

// What one answer shows; nothing when the outcome is still open.
std::optional<Verdict> Judge(const LoadRequest& request,
                             const HttpResponse& answer) {
  const auto outcome = base::ParseOutcome(answer.Header("Hemlockward-Outcome"));
  if (!outcome) {
    const bool accepted = answer.status == 202 || answer.status == 404;
    if (accepted) return std::nullopt;
    return Verdict::kWrong;
  }
  switch (*outcome) {
    case base::Outcome::kNotRun:
      return Verdict::kNotRun;
    case base::Outcome::kUnknown:
      return Verdict::kUnknown;
    case base::Outcome::kDone:
      break;
  }
  if (answer.status != kOk) return Verdict::kFailed;
  return IsRight(request, answer) ? Verdict::kDone : Verdict::kWrong;
}

// The same for an answer of a target called directly.
std::optional<Verdict> JudgeDirect(const LoadRequest& request,
                                   const HttpResponse& answer) {
  if (!answer.Header("Hemlockward-Refused").empty()) return Verdict::kNotRun;
  if (answer.status != kOk) return Verdict::kFailed;
  return IsRight(request, answer) ? Verdict::kDone : Verdict::kWrong;
}

void AddCounts(const json::object& counts, std::map<std::string, int>& sums) {
  for (const auto& it : counts) {
    sums[std::string(it.key())] += it.value().to_number<int>();
  }
}

// Adds what one target process says; false when it can't be read.
bool AddRuns(std::string_view text, TargetRuns& runs) {
  try {
    const json::value value = json::parse(text);
    const json::object& object = value.as_object();
    AddCounts(object.at("keys").as_object(), runs.keys);
    AddCounts(object.at("request_ids").as_object(), runs.request_ids);
    const int most = object.at("max_in_progress").to_number<int>();
    runs.max_in_progress = std::max(runs.max_in_progress, most);
    runs.cut_off += object.at("cut_off").to_number<std::int64_t>();
    runs.total += object.at("total").to_number<std::int64_t>();
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

LoadCaller::LoadCaller(kernel::HttpClient& http, const LoadSettings& settings,
                       LoadReport& report)
    : http_(http),
      settings_(settings),
      report_(report),
      random_(static_cast<std::uint64_t>(settings.seed)) {}

std::string LoadCaller::NextEntry() {
  return settings_.entries[next_entry_++ % settings_.entries.size()];
}

// One call; a connection that was refused is tried at each entry once.
asio::awaitable<LoadCaller::Answer> LoadCaller::Call(HttpRequest request) {
  const Millis timeout = settings_.timeout + kAnswerSlack;
  Answer answer;
  for (std::size_t n = 0; n < settings_.entries.size(); ++n) {
    HttpRequest copy = request;
    const std::string entry = NextEntry();
    answer = co_await http_.Call(entry, std::move(copy), timeout);
    if (answer || answer.error().failure != HttpFailure::kNotSent) break;
  }
  co_return answer;
}

asio::awaitable<LoadCaller::Answer> LoadCaller::Post(
    const LoadRequest& request) {
  HttpRequest post;
  post.method = "POST";
  post.target = settings_.direct
                    ? "/run/" + request.service
                    : "/v1/services/" + request.service + "/requests";
  post.body = request.body;
  const std::string timeout = std::to_string(settings_.timeout.count);
  const std::string request_class(base::ToText(request.request_class));
  post.headers = {
      {"Content-Type", "application/octet-stream"},
      {"Hemlockward-Class", request_class},
      {"Hemlockward-Timeout-Ms", timeout},
      {"Hemlockward-Repeatable", request.repeatable ? "true" : "false"}};
  if (!request.key.empty()) {
    post.headers.push_back({"Idempotency-Key", request.key});
  }
  if (settings_.direct) {
    const std::lock_guard lock(mutex_);
    post.headers.push_back(
        {"Hemlockward-Request-Id", base::RandomHex(random_)});
  }
  co_return co_await Call(std::move(post));
}

asio::awaitable<bool> LoadCaller::AddKey(LoadRequest& request) {
  if (request.repeatable) co_return true;
  if (settings_.keys != "minted") {
    const std::lock_guard lock(mutex_);
    request.key = MakeUuid7(clock_.Wall(), random_);
    co_return true;
  }
  {
    const std::lock_guard lock(mutex_);
    if (!minted_.empty()) {
      request.key = std::move(minted_.back());
      minted_.pop_back();
      co_return true;
    }
  }
  HttpRequest post;
  post.method = "POST";
  post.target = "/v1/keys";
  post.body = R"({"count":64})";
  const auto answer = co_await Call(std::move(post));
  if (!answer || answer->status / 100 != 2) co_return false;
  try {
    const json::value value = json::parse(answer->body);
    const std::lock_guard lock(mutex_);
    for (const json::value& it : value.as_object().at("keys").as_array()) {
      minted_.emplace_back(it.as_string());
    }
    if (minted_.empty()) co_return false;
    request.key = std::move(minted_.back());
    minted_.pop_back();
  } catch (const std::exception&) {
    co_return false;
  }
  co_return true;
}

void LoadCaller::Begin() {
  ++in_progress_;
  report_.Sent();
}

asio::awaitable<void> LoadCaller::Send(LoadRequest request) {
  std::string request_id;
  Verdict verdict = Verdict::kLost;
  for (std::int64_t n = 0; n <= settings_.not_run_retries; ++n) {
    request.key.clear();
    request_id.clear();
    if (!co_await AddKey(request)) {
      verdict = Verdict::kNotRun;  // Never sent.
    } else {
      verdict = co_await Settle(request, request_id);
    }
    if (verdict != Verdict::kNotRun) break;
    const bool keyed = !request.key.empty();
    report_.SaidNotRun(keyed ? request.key : request_id, keyed);
    if (n < settings_.not_run_retries) co_await kernel::Sleep(kPause);
  }
  const auto latency =
      std::chrono::duration_cast<Micros>(LoadClock::now() - request.intended);
  const bool has_key = !request.key.empty();
  const std::string& name = has_key ? request.key : request_id;
  report_.Finished(request.request_class, verdict, latency, name, has_key);
  --in_progress_;
}

// Sends the request under its key until an outcome is known or the caller's
// patience ends. `request_id` is the one of the last answer.
asio::awaitable<Verdict> LoadCaller::Settle(const LoadRequest& request,
                                            std::string& request_id) {
  const Millis deadline = clock_.Now() + settings_.patience;
  Verdict last = Verdict::kLost;
  bool first = true;
  while (clock_.Now() < deadline) {
    if (!first) {
      report_.Retried();
      co_await kernel::Sleep(kPause);
    }
    first = false;
    const auto answer = co_await Post(request);
    if (!answer) continue;
    request_id = std::string(answer->Header("Hemlockward-Request-Id"));
    const auto verdict = settings_.direct ? JudgeDirect(request, *answer)
                                          : Judge(request, *answer);
    const bool open = !verdict || *verdict == Verdict::kUnknown;
    if (!open) co_return *verdict;
    if (!request.key.empty()) co_return co_await AskAgain(request, deadline);
    if (verdict) last = *verdict;  // Repeatable: sent again.
  }
  co_return last;
}

asio::awaitable<Verdict> LoadCaller::AskAgain(const LoadRequest& request,
                                              Millis deadline) {
  Verdict last = Verdict::kLost;
  int questions = 0;
  while (clock_.Now() < deadline && questions < kMostQuestions) {
    co_await kernel::Sleep(kPause);
    HttpRequest question;
    question.target = "/v1/requests/" + request.key;
    const auto answer = co_await Call(std::move(question));
    if (!answer) continue;
    const auto verdict = Judge(request, *answer);
    if (!verdict) continue;  // Still in progress.
    last = *verdict;
    if (last != Verdict::kUnknown) break;
    ++questions;
  }
  co_return last;
}

asio::awaitable<std::optional<TargetRuns>> LoadCaller::AskTargets() {
  const Millis timeout = base::Seconds(10);
  TargetRuns runs;
  for (const std::string& address : settings_.targets) {
    HttpRequest question;
    question.target = "/runs?request_ids=true";
    const auto answer =
        co_await http_.Call(address, std::move(question), timeout);
    if (!answer || answer->status != kOk) co_return std::nullopt;
    if (!AddRuns(answer->body, runs)) co_return std::nullopt;
  }
  co_return runs;
}

}  // namespace hemlockward::bench
