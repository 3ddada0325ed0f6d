#include "node/settings.h"

namespace hemlockward::node {

void Bind(NodeSettings& settings, base::SettingsReader& reader) {
  using Need = base::SettingsReader::Need;
  constexpr base::Millis kMaxDuration = base::Minutes(10);
  constexpr double kMaxCores = 1024;
  constexpr double kMaxMbps = 1e9;
  constexpr double kMaxSeconds = 3600;
  constexpr double kMaxOrdersPerSecond = 1e6;
  reader.Text("name", &settings.name, "this node's name", Need::kRequired);
  reader.Text("zone", &settings.zone, "its availability zone");
  reader.Address("listen.front", &settings.front, "IP:port for clients",
                 Need::kRequired);
  reader.Address("listen.readiness", &settings.readiness,
                 "IP:port for readiness and metrics", Need::kRequired);
  reader.Address("listen.peer", &settings.peer, "IP:port for other nodes",
                 Need::kRequired);
  reader.Address("platform.store", &settings.store, "IP:port of the store",
                 Need::kRequired);
  reader.Address("platform.machines", &settings.machines,
                 "IP:port of the machines' service");
  reader.Text("platform.advice", &settings.advice,
              "IP:port of the advice service; empty: none");
  reader.Duration("worker_lease", &settings.worker_lease,
                  "how long a worker runs on without word from the leader",
                  {500}, kMaxDuration);
  reader.Duration("longest_lease", &settings.longest_lease,
                  "longest lease that workers accept", {500}, kMaxDuration);
  reader.Duration("grace", &settings.grace,
                  "time between the stop signal and the kill", {0},
                  kMaxDuration);
  reader.Duration("machine_turn", &settings.machine_turn,
                  "least time between machine orders of two holders", {0},
                  kMaxDuration);
  reader.Real("cpu_share", &settings.cpu_share,
              "share of a core that this node has", 0, kMaxCores);
  reader.Real("link_mbps", &settings.link_mbps,
              "bandwidth of this node's link, Mbit/s", 0, kMaxMbps);
  reader.Real("move_s", &settings.move_s, "seconds that a move takes", 0,
              kMaxSeconds);
  reader.Real("upkeep_s", &settings.upkeep_s, "seconds that an upkeep takes", 0,
              kMaxSeconds);
  reader.Real("machine_orders_per_s", &settings.machine_orders_per_s,
              "moves and upkeeps that the platform accepts a second", 0,
              kMaxOrdersPerSecond);
}

}  // namespace hemlockward::node
