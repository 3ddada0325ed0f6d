#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/settings.h"
#include "peer/freshness.h"

namespace hemlockward::entry {

/// Settings of an entry process, read at its start.
struct EntrySettings {
  std::string id;           ///< Unique among the entries; no dots.
  std::string zone;         ///< Availability zone of this VM.
  std::string listen;       ///< `IP:port` for callers.
  std::string peer_listen;  ///< `IP:port` for other Hemlockward processes.
  std::string platform;     ///< `IP:port` of the platform.
  std::vector<std::string>
      peers;  ///< Peer addresses used before the table is read.

  base::Millis view_poll{500};          ///< Between reads of the change log.
  base::Millis view_lease{2500};        ///< Age from which a view isn't used.
  base::Millis heartbeat{250};          ///< Between heartbeats to each peer.
  base::Millis platform_timeout{2000};  ///< For one call to the platform.
  base::Millis peer_timeout{1000};      ///< For one heartbeat or delta call.
  base::Millis max_skew{500};  ///< Between wall clocks of two processes.
  /// How long an orphaned request is assumed to keep running on a VM.
  base::Millis orphan_hold = base::Seconds(30);
  base::Millis key_lifetime = base::Minutes(10);
  base::Millis request_timeout = base::Seconds(30);  ///< Default timeout.
  base::Millis max_request_timeout = base::Hours(6);
  base::Millis stop_notice{
      1000};  ///< `/readyz` fails this long before closing.
  base::Millis stop_limit = base::Hours(6);
  std::int64_t max_body_bytes = 8 * 1024 * 1024;
  std::int64_t max_connections = 4096;
  std::int64_t outcome_bytes = 32 * 1024 * 1024;  ///< Outcomes in memory.
};

/// Binds every key of an entry's settings file.
void Bind(EntrySettings& settings, base::SettingsReader& reader);

}  // namespace hemlockward::entry
