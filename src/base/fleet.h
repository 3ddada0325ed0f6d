#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/clock.h"
#include "base/types.h"

/// The fleet as the platform's table records it, and how every process holds
/// it.
///
/// Rows are stored as JSON under these keys:
///   doc/<team>     ServiceDocument     vm/<vm>          VmRow
///   entry/<entry>  EntryRow            membership       Membership
///   wave/<wave>    WaveRow             log/<revision>   ChangeRecord
///   head           the newest Revision, as decimal text
namespace hemlockward::base {

/// Life of a VM with regard to its pool. Work is sent only in kMember.
enum class VmState : std::uint8_t {
  kMember,   ///< Serves its pool.
  kLeaving,  ///< Gets no new work; requests in progress end.
  kEmpty,    ///< Surely without work of ours; may change pools or be rebooted.
  kRebooting,  ///< The intent to reboot is committed.
  kReturning,  ///< Rebooted; waits for the monitor to call it up.
  kLost,       ///< Gone for good by the VM list's word; kept for the record.
};

/// Why a VM was taken out of service.
enum class VmPurpose : std::uint8_t { kNone, kMove, kMaintain };

struct VmRow {
  VmId vm;
  PoolId pool;  ///< The one pool it counts for; changed only from kEmpty.
  VmState state = VmState::kMember;
  VmPurpose purpose = VmPurpose::kNone;
  PoolId destination;  ///< With kMove: the pool it goes to.
  WaveId wave;  ///< With kMaintain: the wave that takes it; else the last one.
  ZoneId zone;
  RackId rack;
  std::string address;   ///< `IP:port` of its worker.
  WallMillis changed{};  ///< When its state last changed; 0: only listed.
  std::string reason;    ///< Why it is in this state, for operators.
};

/// One class's share of a team's capacity.
struct ClassLimit {
  int quota =
      0;  ///< Requests in progress at most, all entries together; 0 = no limit.
  int queue_length = 1000;  ///< Requests waiting at one entry at most.
};

/// How much below capacity a service may be, as the monitoring group counts it.
struct AvailabilityBudget {
  double least_healthy_share = 0.8;  ///< Of the pool's smallest size, 0 to 1.
  Millis below_allowed = Minutes(20);
  Millis window = Hours(24 * 30);
};

/// How a team weighs the three measures; only ratios matter.
struct Weights {
  double buffer = 1;
  double rollout = 1;
  double moves = 1;
};

/// One team's document, as checked.
struct ServiceDocument {
  TeamId team;
  ServiceId service;
  PoolId pool;
  int min_size = 1;
  int max_size = 1;
  AvailabilityBudget budget;
  bool movable = true;
  int maintenance_from_minute =
      0;  ///< Minute of the UTC day at which VMs may be taken down.
  int maintenance_to_minute =
      1440;  ///< End, exclusive; below `from` it wraps over midnight.
  Millis graceful_stop = Seconds(120);
  int spread_racks = 1;
  int spread_zones = 1;
  int slots_per_vm = 8;
  int connections_per_vm = 64;
  ClassLimit limits[kRequestClassCount];
  Weights weights;
  std::string source;  ///< The YAML text as accepted.
};

/// One entry process, as it registered itself.
struct EntryRow {
  EntryId entry;
  Incarnation incarnation = 0;
  std::string peer_address;  ///< `IP:port` for Thrift messages.
  std::string http_address;  ///< `IP:port` for callers.
  ZoneId zone;
};

/// Who owns which keys and slots. Changes one entry at a time.
struct Membership {
  std::uint64_t number = 0;  ///< Grows by one with each change.
  WallMillis
      effective_from{};  ///< Keys stamped at or after this belong to `entries`.
  std::vector<EntryRow> entries;  ///< Sorted by id.
  /// Earlier memberships that keys still in use may be stamped with, newest
  /// last.
  std::vector<std::pair<WallMillis, std::vector<EntryRow>>> earlier;
  /// The entry whose joining or removal is prepared but not in force, if any.
  EntryRow pending;
  bool pending_removal = false;
};

/// A maintenance wave as an operator started it.
struct WaveRow {
  WaveId wave;
  std::vector<PoolId> pools;  ///< Empty: all pools.
  bool stopped = false;
  bool finished = false;
  WallMillis started{};
  std::string reason;  ///< Why it was narrowed or stopped, if it was.
};

/// One row written or removed by a change.
struct RowChange {
  std::string key;
  std::string value;  ///< Empty: the row was removed.
};

/// One accepted change, as the log keeps it.
struct ChangeRecord {
  Revision revision = 0;
  std::vector<RowChange> rows;
  std::string nonce{};  ///< Of the writer's transaction; settles a lost answer.
};

/// Everything a process knows of the fleet, at one revision.
struct FleetView {
  Revision revision = 0;
  std::map<TeamId, ServiceDocument> documents;
  std::map<VmId, VmRow> vms;
  std::map<WaveId, WaveRow> waves;
  Membership membership;

  /// Applies the next record. Returns false and changes nothing unless
  /// `record.revision == revision + 1` (older ones are never reinstalled).
  bool Apply(const ChangeRecord& record);
  /// Installs one row under its key without touching the revision.
  void ApplyRow(std::string_view key, std::string_view value);
  [[nodiscard]] const ServiceDocument* FindService(
      const ServiceId& service) const;
};

/// A stored value that can't be read back; `what` says why.
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
