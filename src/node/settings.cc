#include "node/settings.h"

namespace hemlockward::node {

void Bind(NodeSettings& settings, base::SettingsReader& reader) {
  using Need = base::SettingsReader::Need;
  constexpr base::Millis kMaxDuration = base::Minutes(10);
  constexpr double kMaxCores = 1024;
  constexpr double kMaxMbps = 1e9;
  constexpr double kMaxSeconds = 3600;
  constexpr double kMaxOrdersPerSecond = 1e6;
  constexpr std::int64_t kMinDescriptors = 3000;
  constexpr std::int64_t kMaxDescriptors = 1'000'000;
  reader.Text("name", &settings.name, "name of this node", Need::kRequired);
  reader.Text("zone", &settings.zone, "availability zone of this node");
  reader.Address("listen.front", &settings.front, "IP:port for clients",
                 Need::kRequired);
  reader.Address("listen.readiness", &settings.readiness,
                 "IP:port for readiness and metrics", Need::kRequired);
  reader.Address("listen.peer", &settings.peer, "IP:port for other nodes",
                 Need::kRequired);
  reader.Address("platform.store", &settings.store, "IP:port of the store",
                 Need::kRequired);
  reader.Address("platform.machines", &settings.machines,
                 "IP:port of the VM service");
  reader.Text("platform.advice", &settings.advice,
              "IP:port of the advice service; empty: none");
  Bind(settings.limits, reader);
  reader.Duration("worker_lease", &settings.worker_lease,
                  "length of the lease that the leader grants to a worker",
                  {500}, kMaxDuration);
  reader.Duration("longest_lease", &settings.longest_lease,
                  "longest lease that workers accept", {500}, kMaxDuration);
  reader.Duration("grace", &settings.grace,
                  "time from the stop signal until the process is killed", {0},
                  kMaxDuration);
  reader.Duration("drain_notice", &settings.drain_notice,
                  "how long tasks may start on a worker after it registered as "
                  "draining",
                  {500}, kMaxDuration);
  reader.Duration("configuration_bound", &settings.configuration_bound,
                  "how soon a change by the operator must be in force", {500},
                  kMaxDuration);
  reader.Duration("machine_turn", &settings.machine_turn,
                  "minimum time between VM orders of two successive leaders",
                  {0}, kMaxDuration);
  reader.Integer("max_descriptors", &settings.max_descriptors,
                 "file descriptors that this process may open", kMinDescriptors,
                 kMaxDescriptors);
  reader.Real("cpu_share", &settings.cpu_share, "CPU of this node, in cores", 0,
              kMaxCores);
  reader.Real("link_mbps", &settings.link_mbps,
              "bandwidth of this node's link, Mbit/s", 0, kMaxMbps);
  reader.Real("move_s", &settings.move_s, "duration of a move, s", 0,
              kMaxSeconds);
  reader.Real("upkeep_s", &settings.upkeep_s, "duration of an upkeep, s", 0,
              kMaxSeconds);
  reader.Real("machine_orders_per_s", &settings.machine_orders_per_s,
              "moves and upkeeps per second that the platform accepts", 0,
              kMaxOrdersPerSecond);
}

}  // namespace hemlockward::node
