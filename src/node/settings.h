#pragma once

#include <string>

#include "base/clock.h"
#include "base/settings.h"

namespace hemlockward::node {

/// Settings of one node, see deploy/node.yaml.template.
struct NodeSettings {
  std::string name;
  std::string zone;
  std::string front;      ///< Clients' requests.
  std::string readiness;  ///< Readiness and metrics.
  std::string peer;       ///< Other nodes.
  std::string store;
  std::string machines;
  std::string advice;
  base::Millis worker_lease{4000};   ///< Longest time a worker runs unheard.
  base::Millis longest_lease{6000};  ///< What workers accept.
  base::Millis grace{6000};          ///< From the stop signal to the kill.
  base::Millis machine_turn{3000};  ///< Least time between two holders' orders.
  double cpu_share = 0.25;          ///< Share of a core that this node has.
  double link_mbps = 1000;          ///< Of this node's own link.
  double move_s = 1.5;
  double upkeep_s = 2;
  double machine_orders_per_s = 64;
};

void Bind(NodeSettings& settings, base::SettingsReader& reader);

}  // namespace hemlockward::node
