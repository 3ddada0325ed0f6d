#include "entry/settings.h"

namespace hemlockward::entry {

namespace {

using base::Hours;
using base::Millis;
using base::Minutes;
using base::Seconds;
using base::SettingsReader;

void BindAddresses(EntrySettings& settings, SettingsReader& reader) {
  constexpr auto kRequired = SettingsReader::Need::kRequired;
  reader.Text("id", &settings.id, "unique name of this entry, without dots",
              kRequired);
  reader.Text("zone", &settings.zone, "availability zone of this VM",
              kRequired);
  reader.Address("listen", &settings.listen, "IP:port for callers", kRequired);
  reader.Address("peer_listen", &settings.peer_listen,
                 "IP:port for hemlockward's own processes", kRequired);
  reader.Address("platform", &settings.platform, "IP:port of the platform",
                 kRequired);
  reader.TextList("peers", &settings.peers,
                  "IP:port of peers known before the table is read");
}

void BindTimes(EntrySettings& settings, SettingsReader& reader) {
  reader.Duration("view.poll", &settings.view_poll,
                  "time between reads of the change log", {20}, Seconds(10));
  reader.Duration("view.lease", &settings.view_lease,
                  "age at which a view may no longer be routed by", {200},
                  Seconds(60));
  reader.Duration("heartbeat", &settings.heartbeat,
                  "time between heartbeats to a peer", {20}, Seconds(5));
  reader.Duration("platform_timeout", &settings.platform_timeout,
                  "limit of one call to the platform", {20}, Seconds(30));
  reader.Duration("peer_timeout", &settings.peer_timeout,
                  "limit of one heartbeat to a peer", {20}, Seconds(30));
  reader.Duration("max_skew", &settings.max_skew,
                  "largest difference between two wall clocks", {0},
                  Seconds(60));
  reader.Duration("orphan_hold", &settings.orphan_hold,
                  "how long a slot is held for a request given up on", {0},
                  Minutes(60));
  reader.Duration("key_lifetime", &settings.key_lifetime,
                  "age at which a key is no longer run", Seconds(1), Hours(24));
  reader.Duration("request_timeout", &settings.request_timeout,
                  "limit of a request that states none", {10}, Hours(6));
  reader.Duration("max_request_timeout", &settings.max_request_timeout,
                  "longest limit a request may state", {10}, Hours(24));
  reader.Duration("stop.notice", &settings.stop_notice,
                  "how long /readyz fails before connections are closed", {0},
                  Minutes(5));
  reader.Duration("stop.limit", &settings.stop_limit,
                  "longest wait for requests in progress at a stop", {0},
                  Hours(6));
}

}  // namespace

void Bind(EntrySettings& settings, SettingsReader& reader) {
  BindAddresses(settings, reader);
  BindTimes(settings, reader);
  reader.Integer("max_body_bytes", &settings.max_body_bytes,
                 "largest request or answer, in bytes", 1024, 12 * 1024 * 1024);
  reader.Integer("max_connections", &settings.max_connections,
                 "callers' connections at most", 1, 100'000);
  reader.Integer("outcome_bytes", &settings.outcome_bytes,
                 "memory for kept outcomes, in bytes", 1024 * 1024,
                 std::int64_t{4} * 1024 * 1024 * 1024);
}

}  // namespace hemlockward::entry
