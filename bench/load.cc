// hemlockward-load: open-loop load through the entries; checks every answer.

#include <unistd.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <string_view>

#include "base/settings.h"
#include "bench/load_caller.h"
#include "bench/load_plan.h"
#include "bench/load_report.h"
#include "kernel/http.h"
#include "kernel/program.h"
#include "kernel/worker_pool.h"

namespace hemlockward::bench {
namespace {

namespace asio = boost::asio;
using base::Millis;

// One run of the tool; all coroutines end before Run does.
class Load {
 public:
  Load(kernel::WorkerPool& pool, const LoadSettings& settings)
      : pool_(pool),
        settings_(settings),
        http_(pool, kIdleConnections),
        caller_(http_, settings, report_) {}

  asio::awaitable<void> Run() {
    start_ = LoadClock::now();
    const int services = static_cast<int>(settings_.services.size());
    generators_ = services;
    for (int i = 0; i < services; ++i) pool_.Spawn("arrivals", Generate(i));
    while (generators_ > 0 || caller_.in_progress() > 0) {
      co_await kernel::Sleep(kProgressPause);
      if (isatty(STDERR_FILENO) != 0) {
        std::cerr << "\r" << report_.Progress() << "\033[K" << std::flush;
      }
    }
    if (isatty(STDERR_FILENO) != 0) std::cerr << "\n";
    const Millis elapsed{std::chrono::duration_cast<std::chrono::milliseconds>(
                             LoadClock::now() - start_)
                             .count()};
    if (!settings_.targets.empty()) {
      co_await kernel::Sleep(kSettlePause);
      const auto runs = co_await caller_.AskTargets();
      checked_ = runs.has_value();
      if (runs) report_.Compare(*runs);
    }
    std::cout << report_.Summary(elapsed) << std::endl;
    pool_.Stop();
  }

  [[nodiscard]] bool Clean() const { return checked_ && report_.Clean(); }

 private:
  static constexpr kernel::HttpClientLimits kIdleConnections{1024, 1024};
  static constexpr Millis kProgressPause{200};
  static constexpr Millis kSettlePause = base::Seconds(1);

  static asio::awaitable<void> SleepUntil(LoadClock::time_point at) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_at(at);
    co_await timer.async_wait(asio::use_awaitable);
  }

  // Sends one service's requests, each at its intended time.
  asio::awaitable<void> Generate(int service) {
    Arrivals arrivals(settings_, service);
    for (auto at = arrivals.Next(); at; at = arrivals.Next()) {
      const LoadClock::time_point intended = start_ + *at;
      co_await SleepUntil(intended);
      while (caller_.in_progress() >= settings_.max_in_progress) {
        co_await kernel::Sleep(Millis{1});
      }
      LoadRequest request = arrivals.Make();
      request.intended = intended;
      caller_.Begin();
      pool_.Spawn("request", caller_.Send(std::move(request)));
    }
    --generators_;
  }

  kernel::WorkerPool& pool_;
  const LoadSettings& settings_;
  LoadReport report_;
  kernel::HttpClient http_;
  LoadCaller caller_;
  LoadClock::time_point start_;
  std::atomic<int> generators_{0};
  bool checked_ = true;
};

int Main(int argc, char** argv) {
  constexpr std::string_view kProgram = "hemlockward-load";
  LoadSettings settings;
  kernel::CommonSettings common;
  base::SettingsReader reader;
  settings.Bind(reader);
  common.Bind(reader);
  const auto exit = kernel::ReadProgramSettings(argc, argv, kProgram, reader);
  if (exit) return *exit;
  if (!common.Apply(kProgram)) return 1;

  kernel::WorkerPool pool(common.threads());
  Load load(pool, settings);
  pool.Spawn("load", load.Run());
  kernel::OnStopSignal(pool, [&pool] { pool.Stop(); });
  pool.Run();
  return load.Clean() ? 0 : 1;
}

}  // namespace
}  // namespace hemlockward::bench

int main(int argc, char** argv) {
  return hemlockward::kernel::RunProgram("hemlockward-load", [argc, argv] {
    return hemlockward::bench::Main(argc, argv);
  });
}
