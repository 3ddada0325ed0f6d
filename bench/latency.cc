// bench-latency: the same requests sent straight to a target and through an
// entry, in alternating rounds of one run. Prints quantiles and one JSON line.
#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <string>
#include <vector>

#include "kernel/http.h"
#include "kernel/worker_pool.h"

namespace hemlockward::bench {
namespace {

namespace asio = boost::asio;

struct Options {
  std::string direct;  // IP:port of a target's VM.
  std::string entry;   // IP:port of an entry.
  std::string service;
  int requests = 0;  // In one round, over all connections.
  int connections = 0;
  int rounds = 0;
};

struct Way {
  std::string address;
  std::string path;
  std::vector<double> micros;
  double seconds = 0;
  int failed = 0;
};

// Sends requests one after the other until the round's count is used up.
asio::awaitable<void> Sender(kernel::HttpClient& http, Way& way,
                             std::atomic<int>& left, std::mutex& mutex) {
  while (left.fetch_sub(1) > 0) {
    kernel::HttpRequest request;
    request.method = "POST";
    request.target = way.path;
    request.headers = {{"Content-Type", "text/plain"},
                       {"Hemlockward-Request-Id", "bench"}};
    request.body = std::string(200, 'x');
    const auto start = std::chrono::steady_clock::now();
    const auto answer =
        co_await http.Call(way.address, std::move(request), {5000});
    const auto took = std::chrono::steady_clock::now() - start;
    const std::lock_guard lock(mutex);
    if (answer && answer->status == 200) {
      way.micros.push_back(
          std::chrono::duration<double, std::micro>(took).count());
    } else {
      ++way.failed;
    }
  }
}

asio::awaitable<void> Round(kernel::WorkerPool& pool, kernel::HttpClient& http,
                            Way& way, const Options& options) {
  std::atomic<int> left{options.requests};
  std::atomic<int> running{options.connections};
  std::mutex mutex;
  const auto start = std::chrono::steady_clock::now();
  auto sender = [&]() -> asio::awaitable<void> {
    co_await Sender(http, way, left, mutex);
    --running;
  };
  for (int i = 0; i < options.connections; ++i) pool.Spawn("sender", sender());
  while (running > 0) co_await kernel::Sleep({1});
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - start;
  way.seconds += took.count();
}

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto n =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(n),
                   values.end());
  return values[n];
}

void Print(const char* name, Way& way, int connections) {
  std::printf(
      "{\"way\":\"%s\",\"connections\":%d,\"requests\":%zu,\"failed\":%d,"
      "\"p50_us\":%.0f,\"p99_us\":%.0f,\"per_second\":%.0f}\n",
      name, connections, way.micros.size(), way.failed,
      Quantile(way.micros, 0.5), Quantile(way.micros, 0.99),
      static_cast<double>(way.micros.size()) / way.seconds);
}

asio::awaitable<void> Compare(kernel::WorkerPool& pool,
                              kernel::HttpClient& http,
                              const Options& options) {
  Way direct{options.direct, "/run/" + options.service, {}, 0, 0};
  Way entry{
      options.entry, "/v1/services/" + options.service + "/requests", {}, 0, 0};
  for (int i = 0; i < options.rounds; ++i) {
    if (!options.direct.empty()) co_await Round(pool, http, direct, options);
    if (!options.entry.empty()) co_await Round(pool, http, entry, options);
  }
  if (!options.direct.empty()) Print("direct", direct, options.connections);
  if (!options.entry.empty()) Print("entry", entry, options.connections);
  pool.Stop();
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  Options options;
  po::options_description description("bench-latency");
  description.add_options()("help", "print this help")(
      "direct", po::value(&options.direct), "IP:port of a worker")(
      "entry", po::value(&options.entry), "IP:port of an entry")(
      "service", po::value(&options.service)->default_value("fitting"),
      "service")("requests", po::value(&options.requests)->default_value(2000),
                 "requests a round")(
      "connections", po::value(&options.connections)->default_value(1),
      "at once")("rounds", po::value(&options.rounds)->default_value(5),
                 "rounds of each way");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  kernel::WorkerPool pool(2);
  kernel::HttpClient http(pool);
  pool.Spawn("compare", Compare(pool, http, options));
  pool.Run();
  return 0;
}

}  // namespace
}  // namespace hemlockward::bench

int main(int argc, char** argv) {
  try {
    return hemlockward::bench::Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "bench-latency: " << e.what() << '\n';
    return 2;
  }
}
