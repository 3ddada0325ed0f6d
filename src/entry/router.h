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

/// Picks a worker for a request among those with a free token.
namespace hemlockward::entry {

/// A worker as routing sees it; its handle is its row in the slot ledger.
struct Worker {
  base::VmId vm;
  std::string address;  ///< `IP:port`
  base::ZoneId zone;
  /// Mean time of an answer over the pool's mean; 1 when nothing is known.
  double latency_ratio = 1;
};

enum class RouteReason : std::uint8_t {
  kOwnZone,      ///< Best of the entry's own zone.
  kFaster,       ///< Another zone is expected to answer earlier.
  kOwnZoneFull,  ///< The own zone has no free slot.
  kTrial,        ///< An ejected worker gets its single trial.
  kSample,       ///< One pick in many goes to another zone to learn its speed.
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
  kNoFreeSlot,  ///< Wait, or ask peers for a loan.
};
std::string_view ToText(RouteError value);

/// How one attempt on a worker went.
enum class AttemptResult : std::uint8_t {
  kOk,          ///< A whole answer.
  kFailed,      ///< Broke off, timed out or answered with a server error.
  kNotStarted,  ///< Surely not run: refused, not sent or cancelled.
};

/// Routing tables over one slot ledger. Not thread-safe: the owner locks the
/// ledger and the router together. Pick allocates nothing and costs O(zones).
class Router {
 public:
  Router(base::ZoneId own_zone, SlotLedger& slots, EjectionPolicy ejection);

  /// Takes the members of every service's pool from a view. What was learned of
  /// workers that stay is kept. A worker that isn't a member gets no new work.
  void Install(const base::FleetView& view);

  /// Picks a worker and takes one of its free tokens. `avoid` names workers on
  /// which this request has failed already; a worker in it is taken only if
  /// no other is free.
  tl::expected<Route, RouteError> Pick(const base::ServiceId& service,
                                       std::span<const SlotIndex> avoid,
                                       base::Millis now, base::Random& random);
  /// Gives the token back and learns from the attempt. `elapsed_ms` is from
  /// the first byte sent to the whole answer.
  HealthChange FinishAttempt(SlotIndex row, AttemptResult result,
                             double elapsed_ms, base::Millis now);
  /// Learns the network round trip to a zone.
  void OnRoundTrip(const base::ZoneId& zone, double millis);

  /// The ledger rows of a service's workers; empty when unknown.
  [[nodiscard]] std::span<const SlotIndex> Rows(
      const base::ServiceId& service) const;
  /// Free tokens held here for a service's members that aren't ejected;
  /// constant cost but for rows changed since the last call.
  [[nodiscard]] int FreeSlots(const base::ServiceId& service);
  /// Tokens held here for a service's members, in use or free.
  [[nodiscard]] int HeldSlots(const base::ServiceId& service) const;
  /// Rows of workers that aren't members any more but still have requests of
  /// ours in progress; goes into Heartbeat.busy_vms.
  [[nodiscard]] std::vector<std::string> BusyFormerMembers() const;
  [[nodiscard]] HealthState Health(SlotIndex row) const;
  /// Workers of a service that are ejected or on trial.
  [[nodiscard]] int Ejected(const base::ServiceId& service) const;

 private:
  static constexpr std::uint32_t kNone = ~std::uint32_t{0};

  struct WorkerRecord {
    Worker worker;
    std::uint32_t pool = kNone;  ///< In `pools_`; kNone: not a member.
    std::uint32_t group = 0;     ///< In the pool's groups.
    std::uint32_t available_index = kNone;  ///< In the group's `available`.
    int answers = 0;  ///< That `latency_ratio` was learned from.
    int free = 0;     ///< Its part of the pool's `free`.
  };

  /// The workers of one pool in one zone.
  struct Group {
    std::uint32_t zone = 0;            ///< In `zones_`.
    std::vector<SlotIndex> available;  ///< With a free token, not ejected.
  };

  struct Pool {
    base::ServiceId service;
    std::vector<SlotIndex> rows;
    std::vector<Group> groups;  ///< Own zone first if it has workers.
    PoolHealth health;
    double mean_ms = 0;  ///< Of an answer; 0 when none was seen.
    std::uint64_t picks = 0;
    int free = 0;  ///< Free tokens of workers that are available.
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
  std::vector<WorkerRecord> records_;  ///< By ledger row.
  std::vector<Pool> pools_;
  std::map<base::ServiceId, std::uint32_t> pool_index_;
  std::vector<Zone> zones_;  ///< zones_[0] is the entry's own.
};

}  // namespace hemlockward::entry
