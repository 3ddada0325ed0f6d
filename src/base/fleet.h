#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/clock.h"
#include "base/types.h"

/// The state of the fleet: its rows in the platform's table and the copy that
/// each process keeps in memory.
///
/// Rows are stored as JSON under these keys:
///   doc/<team>     ServiceDocument     vm/<vm>          VmRow
///   entry/<entry>  EntryRow            membership       Membership
///   wave/<wave>    WaveRow             log/<revision>   ChangeRecord
///   head           the newest Revision, as decimal text
namespace hemlockward::base {

/// State of a VM in its pool. Requests are sent only to VMs in kMember.
enum class VmState : std::uint8_t {
  kMember,     ///< Serves its pool.
  kLeaving,    ///< Draining: gets no new requests; those in progress finish.
  kEmpty,      ///< Known to have no requests; may change pools or reboot.
  kRebooting,  ///< The intent to reboot is committed.
  kReturning,  ///< Rebooted; the monitor does not report it as up yet.
  kLost,       ///< Permanently gone according to the VM list; the row is kept.
};

/// Why a VM was taken out of service.
enum class VmPurpose : std::uint8_t { kNone, kMove, kMaintain };

struct VmRow {
  VmId vm;
  PoolId pool;  ///< The only pool that counts it; changes only in kEmpty.
  VmState state = VmState::kMember;
  VmPurpose purpose = VmPurpose::kNone;
  PoolId destination;  ///< With kMove: the pool that it moves to.
  WaveId wave;         ///< With kMaintain: its current wave; else the last one.
  ZoneId zone;
  RackId rack;
  std::string address;   ///< `IP:port` of its worker.
  WallMillis changed{};  ///< Last change of state; 0: seen in the VM list only.
  std::string reason;    ///< Why it is in this state, for operators.
};

/// Limits of one request class within a team's capacity.
struct ClassLimit {
  int quota =
      0;  ///< Maximum requests in progress, over all entries; 0 = no limit.
  int queue_length = 1000;  ///< Maximum requests queued at one entry.
};

/// How long a service may be below capacity, as the monitoring group counts it.
struct AvailabilityBudget {
  double least_healthy_share = 0.8;    ///< Fraction of `min_size`, 0 to 1.
  Millis below_allowed = Minutes(20);  ///< Time below capacity per window.
  Millis window = Hours(24 * 30);
};

/// A team's weights of the three objectives; only their ratios matter.
struct Weights {
  double buffer = 1;
  double rollout = 1;
  double moves = 1;
};

/// A team's document after validation.
struct ServiceDocument {
  TeamId team;
  ServiceId service;
  PoolId pool;
  int min_size = 1;
  int max_size = 1;
  AvailabilityBudget budget;
  bool movable = true;
  int maintenance_from_minute =
      0;  ///< Start of the maintenance hours, in minutes of the UTC day.
  int maintenance_to_minute =
      1440;  ///< End, exclusive; if less than the start, the next day's.
  Millis graceful_stop = Seconds(120);
  int spread_racks = 1;
  int spread_zones = 1;
  int slots_per_vm = 8;
  int connections_per_vm = 64;
  ClassLimit limits[kRequestClassCount];
  Weights weights;
  std::string source;  ///< The accepted YAML text, unchanged.
};

/// The registration of one entry process.
struct EntryRow {
  EntryId entry;
  Incarnation incarnation = 0;
  std::string peer_address;  ///< `IP:port` for Thrift messages.
  std::string http_address;  ///< `IP:port` for callers.
  ZoneId zone;
};

/// The entries that own keys and slots. Each change adds or removes one entry.
struct Membership {
  std::uint64_t number = 0;     ///< Increases by one with each change.
  WallMillis effective_from{};  ///< `entries` own the keys with timestamps from
                                ///< here on.
  std::vector<EntryRow> entries;  ///< Sorted by id.
  /// Earlier memberships that own keys still in use, with the start of each;
  /// newest last.
  std::vector<std::pair<WallMillis, std::vector<EntryRow>>> earlier;
  /// The entry whose addition or removal is prepared but not yet in effect, if
  /// any.
  EntryRow pending;
  bool pending_removal = false;
};

/// A maintenance wave that an operator started.
struct WaveRow {
  WaveId wave;
  std::vector<PoolId> pools;  ///< Empty: all pools.
  bool stopped = false;
  bool finished = false;
  WallMillis started{};
  std::string
      reason;  ///< Why its limit was lowered or it was stopped; may be empty.
};

/// One row written or removed by a change.
struct RowChange {
  std::string key;
  std::string value;  ///< Empty: the row was removed.
};

/// One committed change in the change log.
struct ChangeRecord {
  Revision revision = 0;
  std::vector<RowChange> rows;
  std::string nonce{};  ///< Identifies the writer's transaction; shows
                        ///< whether it was committed if the reply is lost.
};

/// A process's copy of the fleet state at one revision.
struct FleetView {
  Revision revision = 0;
  std::map<TeamId, ServiceDocument> documents;
  std::map<VmId, VmRow> vms;
  std::map<WaveId, WaveRow> waves;
  Membership membership;

  /// Applies the next record. Returns false and changes nothing unless
  /// `record.revision == revision + 1`, so older records are never re-applied.
  bool Apply(const ChangeRecord& record);
  /// Writes or removes one row by its key; leaves the revision unchanged.
  void ApplyRow(std::string_view key, std::string_view value);
  [[nodiscard]] const ServiceDocument* FindService(
      const ServiceId& service) const;
};

/// A stored value that can't be decoded; `what` says why.
struct CodecError {
  std::string what;
};

std::string Encode(const VmRow& row);
std::string Encode(const ServiceDocument& document);
std::string Encode(const EntryRow& row);
std::string Encode(const Membership& membership);
std::string Encode(const WaveRow& row);
std::string Encode(const ChangeRecord& record);
tl::expected<VmRow, CodecError> DecodeVmRow(std::string_view text);
tl::expected<ServiceDocument, CodecError> DecodeServiceDocument(
    std::string_view text);
tl::expected<EntryRow, CodecError> DecodeEntryRow(std::string_view text);
tl::expected<Membership, CodecError> DecodeMembership(std::string_view text);
tl::expected<WaveRow, CodecError> DecodeWaveRow(std::string_view text);
tl::expected<ChangeRecord, CodecError> DecodeChangeRecord(
    std::string_view text);

std::string_view ToText(VmState value);
std::string_view ToText(VmPurpose value);
/// `log/` followed by the revision in 16 decimal digits, so that keys sort by
/// revision.
std::string LogKey(Revision revision);

}  // namespace hemlockward::base
