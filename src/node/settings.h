#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/settings.h"
#include "platform/limits.h"

namespace hemlockward::node {

/// Settings of one node; see deploy/node.yaml.template.
struct NodeSettings {
  std::string name;
  std::string zone;
  std::string front;      ///< IP:port for client requests.
  std::string readiness;  ///< IP:port for readiness and metrics.
  std::string peer;       ///< IP:port for other nodes.
  std::string store;
  std::string machines;
  std::string advice;
  platform::Limits limits;
  base::Millis worker_lease{4000};   ///< Duration of a lease sent to workers.
  base::Millis longest_lease{6000};  ///< Longest lease that workers accept.
  base::Millis grace{6000};          ///< Time from stop signal to kill.
  /// How long tasks may start on a worker after it registered as draining.
  base::Millis drain_notice{2000};
  /// How soon a change by the operator must be in force on every node.
  base::Millis configuration_bound{2000};
  /// Minimum time between VM orders of two lease holders.
  base::Millis machine_turn{3000};
  std::int64_t max_descriptors = 4096;  ///< That this process may open.
  double cpu_share = 0.25;              ///< Cores available to this node.
  double link_mbps = 1000;  ///< Bandwidth of this node's link, Mbit/s.
  double move_s = 1.5;
  double upkeep_s = 2;
  double machine_orders_per_s = 64;
};

void Bind(NodeSettings& settings, base::SettingsReader& reader);

}  // namespace hemlockward::node
