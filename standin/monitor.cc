// Stand-in for the monitoring group: polls the VMs' /healthz and publishes its
// verdicts with a lag.

#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "base/settings.h"
#include "kernel/http.h"
#include "kernel/program.h"
#include "kernel/worker_pool.h"
#include "platform/wire.h"
#include "standin/faults.h"
#include "standin/fleet_list.h"

namespace hemlockward::standin {
namespace {

namespace asio = boost::asio;
using base::Millis;
using base::VmId;
using kernel::HttpRequest;
using kernel::HttpResponse;

struct Settings {
  std::string listen;
  std::vector<std::string> vms;
  Millis poll{200};
  Millis poll_timeout{500};
  Millis lag{500};
  std::int64_t seed = 1;

  void Bind(base::SettingsReader& reader) {
    using Need = base::SettingsReader::Need;
    reader.Text("listen", &listen, "IP:port to serve", Need::kRequired);
    reader.TextList("vms", &vms, "list of: VM ZONE RACK IP:PORT");
    reader.Duration("poll", &poll, "time between two polls of a VM", {10},
                    base::Minutes(1));
    reader.Duration("poll_timeout", &poll_timeout, "time limit of a poll", {10},
                    base::Minutes(1));
    reader.Duration("lag", &lag, "age of the verdicts", {0}, base::Minutes(10));
    reader.Integer("seed", &seed, "seed of the faults' draws", 0, 1 << 30);
  }
};

class MonitorService {
 public:
  MonitorService(kernel::WorkerPool& pool, const Settings& settings)
      : settings_(settings),
        http_(pool),
        faults_(
            static_cast<std::uint64_t>(settings.seed),
            [this](HttpRequest request) { return Route(std::move(request)); }) {
  }

  asio::awaitable<HttpResponse> Handle(HttpRequest request) {
    return faults_.Handle(std::move(request));
  }

  // Polls one VM for ever.
  asio::awaitable<void> Watch(platform::ListedVm vm) {
    for (;;) {
      HttpRequest request;
      request.target = "/healthz";
      const auto answer = co_await http_.Call(vm.address, std::move(request),
                                              settings_.poll_timeout);
      Add(vm.vm, answer && answer->status == 200);
      co_await kernel::Sleep(settings_.poll);
    }
  }

 private:
  struct Sample {
    Millis at;
    bool up = false;
  };

  void Add(const VmId& vm, bool up) {
    const std::lock_guard lock(mutex_);
    const Millis now = clock_.Now();
    auto& samples = samples_[vm];
    samples.push_back({now, up});
    // The newest sample that is older than the lag is the one to publish.
    while (samples.size() > 1 && samples[1].at <= now - settings_.lag) {
      samples.pop_front();
    }
  }

  asio::awaitable<HttpResponse> Route(HttpRequest request) {
    if (request.Path() == "/healthz") {
      co_return kernel::JsonResponse(200, "{}");
    }
    if (request.Path() != "/verdicts") {
      co_return kernel::ProblemResponse(404, "unknown path", request.target);
    }
    co_return kernel::JsonResponse(200, platform::Encode(Verdicts()));
  }

  std::vector<platform::Verdict> Verdicts() {
    const std::lock_guard lock(mutex_);
    const Millis now = clock_.Now();
    std::vector<platform::Verdict> verdicts;
    for (const auto& [vm, samples] : samples_) {
      const Sample* newest = nullptr;
      for (const Sample& it : samples) {
        if (it.at <= now - settings_.lag) newest = &it;
      }
      if (newest == nullptr) continue;  // Not judged yet.
      verdicts.push_back({vm, newest->up, now - newest->at});
    }
    return verdicts;
  }

  Settings settings_;
  base::SystemClock clock_;
  kernel::HttpClient http_;
  std::mutex mutex_;  // Guards samples_.
  std::map<VmId, std::deque<Sample>> samples_;
  FaultInjector faults_;
};

int Main(int argc, char** argv) {
  constexpr std::string_view kProgram = "standin-monitor";
  Settings settings;
  kernel::CommonSettings common;
  base::SettingsReader reader;
  settings.Bind(reader);
  common.Bind(reader);
  const auto exit = kernel::ReadProgramSettings(argc, argv, kProgram, reader);
  if (exit) return *exit;
  base::Findings findings;
  const auto vms = ParseVms(settings.vms, findings);
  if (!findings.empty()) std::cerr << findings.ToText();
  if (!findings.empty() || !common.Apply(kProgram)) return 1;

  kernel::WorkerPool pool(common.threads());
  MonitorService service(pool, settings);
  for (const auto& it : vms) pool.Spawn("watch", service.Watch(it));
  kernel::HttpServer server(pool, settings.listen, kernel::HttpLimits{},
                            [&service](HttpRequest request) {
                              return service.Handle(std::move(request));
                            });
  kernel::OnStopSignal(pool, [&pool] { pool.Stop(); });
  pool.Run();
  return 0;
}

}  // namespace
}  // namespace hemlockward::standin

int main(int argc, char** argv) {
  return hemlockward::kernel::RunProgram("standin-monitor", [argc, argv] {
    return hemlockward::standin::Main(argc, argv);
  });
}
