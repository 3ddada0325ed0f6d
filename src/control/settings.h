#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/findings.h"
#include "base/settings.h"
#include "control/fleet_state.h"

namespace hemlockward::control {

/// Settings of one hemlockward-control process; see examples/control.yaml.
struct ControlSettings {
  std::string id;
  std::string zone;
  std::string listen;       ///< `IP:port` for operators.
  std::string peer_listen;  ///< `IP:port` for other hemlockward processes.
  std::string platform;     ///< `IP:port`.
  std::string monitor;      ///< `IP:port`.
  std::string spare_pool = "spare";
  std::vector<std::string> initial_pools;  ///< `vm-prefix=pool`.
  std::int64_t shards = 4;
  std::int64_t max_document_bytes = std::int64_t{64} * 1024;
  std::int64_t log_records = 10'000;
  base::Millis view_poll{500};
  base::Millis view_lease{2500};
  base::Millis heartbeat{250};
  base::Millis idle_heartbeat{1000};
  base::Millis shard_lease = base::Seconds(6);
  base::Millis platform_timeout = base::Seconds(1);
  base::Millis step_interval{500};
  base::Millis plan_interval =
      base::Seconds(3);  ///< Minimum time between plans.
  base::Millis verdict_poll = base::Seconds(1);
  base::Millis list_poll = base::Seconds(2);
  base::Millis list_lag = base::Seconds(30);
  base::Millis account_write_interval = base::Seconds(30);
  base::Millis max_skew{500};
  base::Millis key_lifetime = base::Minutes(10);
  base::Millis removal_silence = base::Seconds(8);
  base::Millis canary_soak = base::Seconds(30);
  base::Millis return_limit = base::Minutes(15);
  base::Millis replace_after = base::Minutes(5);
  base::Millis verdict_lifetime = base::Minutes(2);
};

void Bind(ControlSettings& settings, base::SettingsReader& reader);

/// The settings that FleetRunner, AccountKeeper and the reports use. Adds
/// errors in `initial_pools` and `shard_lease` to `findings`.
RunnerSettings MakeRunnerSettings(const ControlSettings& settings,
                                  base::Findings& findings);

}  // namespace hemlockward::control
