#include "standin/faults.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "kernel/worker_pool.h"

namespace hemlockward::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using kernel::HttpRequest;
using kernel::HttpResponse;

namespace {

constexpr base::Millis kThawPoll{10};
constexpr base::Millis kForEver{std::numeric_limits<std::int64_t>::max()};

struct Reading {
  Faults faults;
  base::Millis lasts{0};  // 0: until the next POST.
  std::string problem;

  void Set(std::string_view key, const json::value& value) {
    if (key == "down") {
      faults.down = value.as_bool();
    } else if (key == "freeze") {
      faults.freeze = value.as_bool();
    } else if (key == "fail_everything") {
      faults.fail_everything = value.as_bool();
    } else if (key == "slow_ms") {
      faults.slow = Duration(value);
    } else if (key == "late_ms") {
      faults.late = Duration(value);
    } else if (key == "list_lag_ms") {
      faults.list_lag = Duration(value);
    } else if (key == "for_ms") {
      lasts = Duration(value);
    } else if (key == "error_share") {
      faults.error_share = value.to_number<double>();
    } else if (key == "lost_share") {
      faults.lost_share = value.to_number<double>();
    } else if (key == "cut_share") {
      faults.cut_share = value.to_number<double>();
    } else if (key == "cut_after") {
      faults.cut_after = value.to_number<std::int64_t>();
    } else if (key == "wrong_id_share") {
      faults.wrong_id_share = value.to_number<double>();
    } else {
      problem += "unknown fault '" + std::string(key) + "'; ";
    }
  }

  static base::Millis Duration(const json::value& value) {
    return {value.to_number<std::int64_t>()};
  }
};

Reading Read(std::string_view text) {
  Reading reading;
  try {
    const json::value value = json::parse(text);
    for (const auto& it : value.as_object()) reading.Set(it.key(), it.value());
  } catch (const std::exception& e) {
    reading.problem += e.what();
  }
  return reading;
}

}  // namespace

HttpResponse LostAnswer() {
  HttpResponse response;
  response.body = "lost";
  response.cut_after = 0;
  return response;
}

FaultInjector::FaultInjector(std::uint64_t seed, kernel::HttpHandler handler)
    : handler_(std::move(handler)), random_(seed) {}

Faults FaultInjector::Current() const {
  const std::lock_guard lock(mutex_);
  return clock_.Now() < until_ ? faults_ : Faults();
}

bool FaultInjector::Draw(double share) {
  if (share <= 0) return false;
  const std::lock_guard lock(mutex_);
  return std::uniform_real_distribution<>(0, 1)(random_) < share;
}

HttpResponse FaultInjector::Configure(const HttpRequest& request) {
  if (request.method != "POST") {
    return kernel::ProblemResponse(405, "not allowed", "POST /faults");
  }
  const Reading reading = Read(request.body);
  if (!reading.problem.empty()) {
    return kernel::ProblemResponse(400, "faults not set", reading.problem);
  }
  const std::lock_guard lock(mutex_);
  faults_ = reading.faults;
  until_ = reading.lasts.count > 0 ? clock_.Now() + reading.lasts : kForEver;
  return kernel::JsonResponse(200, "{}");
}

asio::awaitable<HttpResponse> FaultInjector::Handle(HttpRequest request) {
  if (request.Path() == "/faults") co_return Configure(request);
  Faults faults = Current();
  while (faults.freeze) {
    co_await kernel::Sleep(kThawPoll);
    faults = Current();
  }
  if (faults.down) co_return LostAnswer();
  if (Draw(faults.error_share)) {
    co_return kernel::ProblemResponse(503, "unavailable", "fault: error_share");
  }
  if (faults.slow.count > 0) co_await kernel::Sleep(faults.slow);
  HttpResponse response = co_await handler_(std::move(request));
  if (faults.late.count > 0) co_await kernel::Sleep(faults.late);
  if (Draw(faults.lost_share)) co_return LostAnswer();
  if (Draw(faults.cut_share)) response.cut_after = faults.cut_after;
  co_return response;
}

}  // namespace hemlockward::standin
