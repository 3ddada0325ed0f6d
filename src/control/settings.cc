#include "control/settings.h"

namespace hemlockward::control {

namespace {

using base::Hours;
using base::Minutes;
using base::Seconds;
using base::SettingsReader;

void BindAddresses(ControlSettings& settings, SettingsReader& reader) {
  constexpr auto kRequired = SettingsReader::Need::kRequired;
  reader.Text("id", &settings.id, "unique name of this process", kRequired);
  reader.Text("zone", &settings.zone, "availability zone of this VM",
              kRequired);
  reader.Address("listen", &settings.listen, "IP:port for operators",
                 kRequired);
  reader.Address("peer_listen", &settings.peer_listen,
                 "IP:port for other hemlockward processes; empty: none");
  reader.Address("platform", &settings.platform, "IP:port of the platform",
                 kRequired);
  reader.Address("monitor", &settings.monitor,
                 "IP:port of the monitoring group", kRequired);
  reader.Text("spare_pool", &settings.spare_pool,
              "pool of VMs that no prefix matches");
  reader.TextList("initial_pools", &settings.initial_pools,
                  "list of vm-prefix=pool for VMs listed the first time");
}

void BindTimes(ControlSettings& settings, SettingsReader& reader) {
  reader.Duration("view.poll", &settings.view_poll,
                  "time between reads of the change log", {20}, Seconds(10));
  reader.Duration("view.lease", &settings.view_lease,
                  "view lease of the entries; the same for all processes",
                  {200}, Seconds(60));
  reader.Duration("heartbeat", &settings.heartbeat,
                  "time between heartbeats while a change is pending", {20},
                  Seconds(5));
  reader.Duration("idle_heartbeat", &settings.idle_heartbeat,
                  "time between heartbeats otherwise", {20}, Seconds(5));
  reader.Duration("shard_lease", &settings.shard_lease,
                  "lease on a shard of the pools", Seconds(1), Minutes(5));
  reader.Duration("platform_timeout", &settings.platform_timeout,
                  "limit of one call to the platform", {20}, Seconds(30));
  reader.Duration("step", &settings.step_interval,
                  "time between rounds of the control loop", {20}, Minutes(1));
  reader.Duration("plan", &settings.plan_interval,
                  "least time between two plans of moves and waves", {20},
                  Minutes(1));
  reader.Duration("verdict_poll", &settings.verdict_poll,
                  "time between polls of the monitor", {50}, Minutes(1));
  reader.Duration("list_poll", &settings.list_poll,
                  "time between reads of the VM list", {50}, Minutes(5));
  reader.Duration("list_lag", &settings.list_lag,
                  "how far the VM list may lag behind", {0}, Hours(1));
  reader.Duration("account_write", &settings.account_write_interval,
                  "time between writes of the budget accounts", {100},
                  Minutes(10));
  reader.Duration("max_skew", &settings.max_skew,
                  "largest difference between two wall clocks", {0},
                  Seconds(60));
  reader.Duration("key_lifetime", &settings.key_lifetime,
                  "age at which a key is no longer run", Seconds(1), Hours(24));
  reader.Duration("removal_silence", &settings.removal_silence,
                  "an entry silent so long is removed", Seconds(1), Hours(1));
}

void BindWaves(ControlSettings& settings, SettingsReader& reader) {
  reader.Duration("canary_soak", &settings.canary_soak,
                  "how long a wave's first VM must be up before others follow",
                  {0}, Hours(6));
  reader.Duration("return_limit", &settings.return_limit,
                  "a VM out so long counts as failed", Seconds(1), Hours(6));
  reader.Duration("replace_after", &settings.replace_after,
                  "a VM down so long is replaced", Seconds(1), Hours(24));
  reader.Duration("verdict_lifetime", &settings.verdict_lifetime,
                  "age at which a verdict expires", Seconds(1), Hours(1));
}

}  // namespace

void Bind(ControlSettings& settings, SettingsReader& reader) {
  BindAddresses(settings, reader);
  BindTimes(settings, reader);
  BindWaves(settings, reader);
  reader.Integer("shards", &settings.shards,
                 "shards of the pools; the same for all processes", 1, 64);
  reader.Integer("max_document_bytes", &settings.max_document_bytes,
                 "maximum size of a request from an operator", 1024,
                 1024 * 1024);
  reader.Integer("log_records", &settings.log_records,
                 "records kept in the change log", 100, 10'000'000);
}

RunnerSettings MakeRunnerSettings(const ControlSettings& settings,
                                  base::Findings& findings) {
  RunnerSettings runner;
  runner.shards = static_cast<int>(settings.shards);
  runner.vm_call_timeout = settings.platform_timeout;
  runner.list_lag = settings.list_lag;
  runner.spare_pool = base::PoolId(settings.spare_pool);
  for (const std::string& it : settings.initial_pools) {
    const std::size_t equals = it.find('=');
    if (equals == std::string::npos || equals + 1 == it.size()) {
      findings.Add({"initial_pools", 0, 0},
                   "'" + it + "' has no pool name after '='", "vm-prefix=pool");
      continue;
    }
    runner.initial_pools.emplace_back(it.substr(0, equals),
                                      base::PoolId(it.substr(equals + 1)));
  }
  HealthSettings health;
  health.verdict_lifetime = settings.verdict_lifetime;
  health.max_skew = settings.max_skew;
  runner.plan_interval = settings.plan_interval;
  runner.planner.health = health;
  runner.planner.reserve.spare_pool = runner.spare_pool;
  runner.planner.replace_after = settings.replace_after;
  runner.planner.return_limit = settings.return_limit;
  runner.wave.health = health;
  runner.wave.return_limit = settings.return_limit;
  runner.wave.canary_soak = settings.canary_soak;
  if (settings.shard_lease.count < settings.platform_timeout.count * 4) {
    findings.Add({"shard_lease", 0, 0},
                 "the lease is too short for calls to the platform",
                 "at least four times platform_timeout");
  }
  return runner;
}

}  // namespace hemlockward::control
