#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/random.h"
#include "base/types.h"
#include "entry/ejection.h"
#include "entry/slots.h"

/// Chooses a worker with a free token for a request.
namespace hemlockward::entry {

/// Routing data of a worker, identified by its row in the slot ledger.
struct Worker {
  base::VmId vm;
  std::string address;  ///< `IP:port`
  base::ZoneId zone;
  /// Mean latency of the worker divided by the pool's mean; 1 if unknown.
  double latency_ratio = 1;
};

enum class RouteReason : std::uint8_t {
  kOwnZone,      ///< Best worker in the entry's own zone.
  kFaster,       ///< A worker in another zone is expected to answer earlier.
  kOwnZoneFull,  ///< The entry's own zone has no free slot.
  kTrial,        ///< Single trial request for an ejected worker.
  kSample,       ///< Sample of another zone to measure its latency.
};
std::string_view ToText(RouteReason value);

struct Route {
  SlotIndex row = kNoSlot;
  /// Valid until the next Install.
  const Worker* worker = nullptr;
  RouteReason reason = RouteReason::kOwnZone;
  double expected_ms = 0;
};

enum class RouteError : std::uint8_t {
  kUnknownService,
  kNoWorkers,   ///< The pool has no member.
  kNoFreeSlot,  ///< The request must wait or tokens be borrowed.
};
std::string_view ToText(RouteError value);

/// Result of one attempt on a worker.
enum class AttemptResult : std::uint8_t {
  kOk,          ///< A complete answer.
  kFailed,      ///< Connection broken, timeout or server error.
  kNotStarted,  ///< Certainly not run: refused, not sent or cancelled.
};

/// Routing tables for the rows of one slot ledger. Not thread-safe: the owner
/// must lock the ledger and the router together. Pick does not allocate memory
/// and takes O(zones).
class Router {
 public:
  Router(base::ZoneId own_zone, SlotLedger& slots, EjectionPolicy ejection);

  /// Updates the members of every service's pool from a view. Keeps the
  /// statistics of workers that remain. Workers that are not members get no new
  /// requests.
  void Install(const base::FleetView& view);

  /// Chooses a worker and acquires one of its free tokens. `avoid` lists
  /// workers on which this request has already failed; such a worker is chosen
  /// only if no other is free.
  tl::expected<Route, RouteError> Pick(const base::ServiceId& service,
                                       std::span<const SlotIndex> avoid,
                                       base::Millis now, base::Random& random);
  /// Releases the token and updates the statistics with the attempt.
  /// `elapsed_ms` is the time from the start of the call to the complete
  /// answer.
  HealthChange FinishAttempt(SlotIndex row, AttemptResult result,
                             double elapsed_ms, base::Millis now);
  /// Records a measured network round trip to a zone.
  void OnRoundTrip(const base::ZoneId& zone, double millis);

  /// The ledger rows of a service's workers; empty if the service is unknown.
  [[nodiscard]] std::span<const SlotIndex> Rows(
      const base::ServiceId& service) const;
  /// Free tokens of this entry for the members of a service that are not
  /// ejected. Takes constant time plus the rows changed since the last call.
  [[nodiscard]] int FreeSlots(const base::ServiceId& service);
  /// Tokens of this entry for the members of a service, in use or free.
  [[nodiscard]] int HeldSlots(const base::ServiceId& service) const;
  /// VMs of workers that are no longer members but still run requests of this
  /// entry; sent as Heartbeat.busy_vms.
  [[nodiscard]] std::vector<std::string> BusyFormerMembers() const;
  [[nodiscard]] HealthState Health(SlotIndex row) const;
  /// Workers of a service that are ejected or on trial.
  [[nodiscard]] int Ejected(const base::ServiceId& service) const;

 private:
  static constexpr std::uint32_t kNone = ~std::uint32_t{0};

  struct WorkerRecord {
    Worker worker;
    std::uint32_t pool = kNone;  ///< Index in `pools_`; kNone: not a member.
    std::uint32_t group = 0;     ///< Index in the pool's groups.
    /// Index in the group's `available`; kNone: not listed.
    std::uint32_t available_index = kNone;
    int answers = 0;  ///< Number of answers in `latency_ratio`.
    int free = 0;     ///< Its tokens in the pool's `free`.
  };

  /// The workers of one pool in one zone.
  struct Group {
    std::uint32_t zone = 0;            ///< Index in `zones_`.
    std::vector<SlotIndex> available;  ///< With a free token, not ejected.
  };

  struct Pool {
    base::ServiceId service;
    std::vector<SlotIndex> rows;
    std::vector<Group> groups;  ///< The entry's own zone is first.
    PoolHealth health;
    double mean_ms = 0;  ///< Mean latency; 0 before the first answer.
    std::uint64_t picks = 0;
    int free = 0;  ///< Free tokens of the available workers.
  };

  struct Zone {
    base::ZoneId zone;
    double round_trip_ms = 0;
  };

  struct Candidate {
    SlotIndex row = kNoSlot;
    double expected_ms = 0;
    bool avoided = false;
  };

  std::uint32_t ZoneIndex(const base::ZoneId& zone);
  std::uint32_t GroupIndex(Pool& pool, std::uint32_t zone);
  void AddMember(std::uint32_t pool, const base::VmRow& row, int slots);
  void RemoveMember(SlotIndex row);
  void Refresh();
  void RefreshRow(SlotIndex row);
  Pool* FindPool(const base::ServiceId& service);
  [[nodiscard]] const Pool* FindPool(const base::ServiceId& service) const;
  [[nodiscard]] double ExpectedMillis(const Pool& pool, SlotIndex row) const;
  Candidate PickBestOfTwo(const Pool& pool, const Group& group,
                          std::span<const SlotIndex> avoid,
                          base::Random& random);
  Candidate PickTrial(Pool& pool, base::Millis now);
  Candidate PickSample(Pool& pool, std::span<const SlotIndex> avoid,
                       base::Random& random);
  Route PickBestZone(const Pool& pool, std::span<const SlotIndex> avoid,
                     base::Random& random);

  base::ZoneId own_zone_;
  SlotLedger& slots_;
  EjectionPolicy ejection_;
  std::vector<WorkerRecord> records_;  ///< Indexed by ledger row.
  std::vector<Pool> pools_;
  std::map<base::ServiceId, std::uint32_t> pool_index_;
  std::vector<Zone> zones_;  ///< zones_[0] is the entry's own zone.
};

}  // namespace hemlockward::entry
