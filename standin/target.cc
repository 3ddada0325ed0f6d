// Stand-in for the workers' targets: one process serves many VMs on
// consecutive ports and counts what ran.

#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "base/settings.h"
#include "kernel/http.h"
#include "kernel/program.h"
#include "kernel/worker_pool.h"
#include "standin/answer.h"
#include "standin/faults.h"

namespace hemlockward::standin {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Millis;
using kernel::HttpRequest;
using kernel::HttpResponse;

struct Settings {
  std::string host = "127.0.0.1";
  std::int64_t first_port = 0;
  std::int64_t count = 1;
  std::int64_t slots = 8;
  std::int64_t connections = 64;
  Millis service_time{20};
  std::int64_t seed = 1;

  void Bind(base::SettingsReader& reader) {
    constexpr std::int64_t kMostPort = 65535;
    constexpr std::int64_t kMostVms = 1000;
    reader.Text("host", &host, "IP to serve");
    reader.Integer("first_port", &first_port, "port of the first VM", 1,
                   kMostPort);
    reader.Integer("count", &count, "VMs, on consecutive ports", 1, kMostVms);
    reader.Integer("slots", &slots, "requests at once per VM", 1, kMostVms);
    reader.Integer("connections", &connections, "connections per VM", 1,
                   kMostPort);
    reader.Duration("service_time", &service_time,
                    "mean time of a run; uniform from half to 1.5 times", {0},
                    base::Hours(1));
    reader.Integer("seed", &seed, "seed of run times and faults", 0, 1 << 30);
  }
};

// What ran, over all VMs of the process. Thread-safe.
class RunLog {
 public:
  void Begin(const std::string& key, const std::string& request_id) {
    const std::lock_guard lock(mutex_);
    ++total_;
    if (!key.empty()) ++keys_[key];
    if (!request_id.empty()) ++request_ids_[request_id];
  }
  void CutOff() { ++cut_off_; }
  void Refused() { ++refused_; }
  void SawInProgress(int n) {
    int most = most_in_progress_;
    while (n > most && !most_in_progress_.compare_exchange_weak(most, n)) {
    }
  }

  json::object ToJson(bool with_request_ids) const {
    const std::lock_guard lock(mutex_);
    json::object object;
    object["total"] = total_;
    object["refused"] = refused_.load();
    object["cut_off"] = cut_off_.load();
    object["max_in_progress"] = most_in_progress_.load();
    object["keys"] = Counts(keys_);
    if (with_request_ids) object["request_ids"] = Counts(request_ids_);
    return object;
  }

 private:
  static json::object Counts(const std::map<std::string, int>& counts) {
    json::object object;
    for (const auto& [name, n] : counts) object[name] = n;
    return object;
  }

  mutable std::mutex mutex_;  // Guards the next three.
  std::uint64_t total_ = 0;
  std::map<std::string, int> keys_;
  std::map<std::string, int> request_ids_;
  std::atomic<int> cut_off_{0};
  std::atomic<int> refused_{0};
  std::atomic<int> most_in_progress_{0};
};

// Time that a body of the form `work=120ms ...` asks for; -1 without one.
Millis AskedTime(std::string_view body) {
  constexpr std::string_view kPrefix = "work=";
  if (!body.starts_with(kPrefix)) return {-1};
  body.remove_prefix(kPrefix.size());
  std::int64_t n = -1;
  std::from_chars(body.data(), body.data() + body.size(), n);
  return {n};
}

HttpResponse Refusal(std::string_view reason) {
  HttpResponse response =
      kernel::ProblemResponse(503, "request not run", reason);
  response.With("Hemlockward-Refused", std::string(reason));
  return response;
}

// One VM.
class Target {
 public:
  Target(kernel::WorkerPool& pool, const Settings& settings, RunLog& log,
         int index)
      : settings_(settings),
        log_(log),
        random_(static_cast<std::uint64_t>(settings.seed + index)),
        faults_(
            static_cast<std::uint64_t>(settings.seed + index),
            [this](HttpRequest request) { return Route(std::move(request)); }) {
    kernel::HttpLimits limits;
    limits.max_connections = static_cast<int>(settings.connections);
    const std::string address =
        settings.host + ":" + std::to_string(settings.first_port + index);
    server_ = std::make_unique<kernel::HttpServer>(
        pool, address, limits, [this](HttpRequest request) {
          return faults_.Handle(std::move(request));
        });
  }

 private:
  asio::awaitable<HttpResponse> Route(HttpRequest request) {
    const auto parts = kernel::SplitPath(request.Path());
    if (parts.size() == 2 && parts[0] == "run") {
      co_return co_await Run(std::string(parts[1]), std::move(request));
    }
    if (request.Path() == "/healthz") {
      co_return Down() ? Refusal("rebooting") : kernel::JsonResponse(200, "{}");
    }
    if (request.Path() == "/reboot") co_return Reboot(request.body);
    if (request.Path() == "/runs") {
      const bool with_ids = request.Query("request_ids") == "true";
      co_return kernel::JsonResponse(200,
                                     json::serialize(log_.ToJson(with_ids)));
    }
    co_return kernel::ProblemResponse(404, "unknown path", request.target);
  }

  asio::awaitable<HttpResponse> Run(std::string service, HttpRequest request) {
    if (Down()) co_return Refusal("rebooting");
    const int in_progress = ++in_progress_;
    if (in_progress > settings_.slots) {
      --in_progress_;
      log_.Refused();
      co_return Refusal("slots");
    }
    log_.SawInProgress(in_progress);
    const std::string request_id(request.Header("Hemlockward-Request-Id"));
    log_.Begin(std::string(request.Header("Idempotency-Key")), request_id);
    const Faults faults = faults_.Current();
    bool whole = true;
    if (!faults.fail_everything) whole = co_await Work(RunTime(request.body));
    --in_progress_;
    if (!whole) {
      log_.CutOff();
      co_return LostAnswer();
    }
    HttpResponse response;
    if (faults.fail_everything) {
      response = kernel::ProblemResponse(500, "run failed", "fail_everything");
    } else {
      response.body = ExpectedAnswer(service, request.body);
      response.With("Content-Type", "text/plain");
    }
    const bool wrong_id = faults_.Draw(faults.wrong_id_share);
    response.With("Hemlockward-Request-Id", wrong_id ? "another" : request_id);
    co_return response;
  }

  // Returns false when a reboot cut the run off.
  asio::awaitable<bool> Work(Millis duration) {
    constexpr Millis kStep{50};  // How soon a reboot is noticed.
    const int boots = boots_;
    const Millis end = clock_.Now() + duration;
    for (;;) {
      const Millis left = end - clock_.Now();
      if (boots_ != boots) co_return false;
      if (left.count <= 0) co_return true;
      co_await kernel::Sleep(left < kStep ? left : kStep);
    }
  }

  Millis RunTime(std::string_view body) {
    const Millis asked = AskedTime(body);
    if (asked.count >= 0) return asked;
    const std::int64_t mean = settings_.service_time.count;
    const std::lock_guard lock(mutex_);
    std::uniform_int_distribution<std::int64_t> spread(mean / 2, mean * 3 / 2);
    return {spread(random_)};
  }

  HttpResponse Reboot(const std::string& body) {
    boost::system::error_code ec;
    const json::value value = json::parse(body, ec);
    std::int64_t down_ms = 2000;
    if (!ec && value.is_object()) {
      const json::value* it = value.as_object().if_contains("down_ms");
      if (it != nullptr) down_ms = it->to_number<std::int64_t>();
    }
    ++boots_;
    down_until_ = clock_.Now().count + down_ms;
    return kernel::JsonResponse(202, "{}");
  }

  [[nodiscard]] bool Down() const {
    return clock_.Now().count < down_until_.load();
  }

  Settings settings_;
  RunLog& log_;
  base::SystemClock clock_;
  std::atomic<int> in_progress_{0};
  std::atomic<int> boots_{0};
  std::atomic<std::int64_t> down_until_{0};
  std::mutex mutex_;  // Guards random_.
  base::Random random_;
  FaultInjector faults_;
  std::unique_ptr<kernel::HttpServer> server_;
};

int Main(int argc, char** argv) {
  constexpr std::string_view kProgram = "standin-target";
  Settings settings;
  kernel::CommonSettings common;
  base::SettingsReader reader;
  settings.Bind(reader);
  common.Bind(reader);
  const auto exit = kernel::ReadProgramSettings(argc, argv, kProgram, reader);
  if (exit) return *exit;
  if (!common.Apply(kProgram)) return 1;

  kernel::WorkerPool pool(common.threads());
  RunLog log;
  std::vector<std::unique_ptr<Target>> targets;
  targets.reserve(static_cast<std::size_t>(settings.count));
  for (int i = 0; i < settings.count; ++i) {
    targets.push_back(std::make_unique<Target>(pool, settings, log, i));
  }
  kernel::OnStopSignal(pool, [&pool] { pool.Stop(); });
  pool.Run();
  return 0;
}

}  // namespace
}  // namespace hemlockward::standin

int main(int argc, char** argv) {
  return hemlockward::kernel::RunProgram("standin-target", [argc, argv] {
    return hemlockward::standin::Main(argc, argv);
  });
}
