#pragma once

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/metrics.h"
#include "base/random.h"
#include "entry/admission.h"
#include "entry/peers.h"
#include "entry/queue.h"
#include "entry/request.h"
#include "entry/retry.h"
#include "entry/router.h"
#include "entry/signal.h"
#include "entry/slots.h"

namespace hemlockward::entry {

/// A slot of a VM that a request holds.
struct SlotHold {
  SlotIndex row = kNoSlot;
  SlotIndex quota_row = kNoSlot;  ///< kNoSlot: the class has no quota.
  base::ServiceId service;
  base::VmId vm;
  std::string address;
  RouteReason reason = RouteReason::kOwnZone;
  base::Revision revision = 0;
};

/// A request that waits for a slot. `hold` and `cancelled` may be read once
/// `signal` was notified or the request was withdrawn.
struct SlotWait {
  std::shared_ptr<Signal> signal;
  base::ServiceId service;
  base::RequestClass request_class = base::RequestClass::kNormal;
  std::vector<SlotIndex> avoid;
  std::optional<SlotHold> hold;
  bool cancelled = false;
};

/// Free tokens that a peer is asked for.
struct LoanCall {
  LoanTicket ticket;
  std::uint64_t number = 0;
  int wanted = 0;
};

/// The entry's shared tables behind one mutex: slot ledger, router, queues and
/// what was learned of each service. Every function is short; none blocks.
class Scheduler {
 public:
  Scheduler(const base::EntryRow& self, base::Millis orphan_hold,
            std::uint64_t seed);

  /// From now on only `view` is routed by.
  void Install(std::shared_ptr<const base::FleetView> view, base::Millis now);
  [[nodiscard]] base::Revision revision() const;
  /// What heartbeats say: consistent with one installed view.
  [[nodiscard]] EntryStatus Status();
  void OnPeerReport(const PeerStatus& status, base::Millis now);
  [[nodiscard]] std::uint64_t NextNumber();

  /// Queues a request for a slot; `wait->signal` is notified once it has one.
  /// Fails, as surely not run, when it is shed. Retries aren't shed again.
  tl::expected<void, Answer> Enqueue(const Request& request,
                                     const std::shared_ptr<SlotWait>& wait,
                                     bool retry, base::Millis now);
  /// Takes a request out of its queue: true when it got no slot.
  bool Withdraw(std::uint64_t number);
  /// Wakes a queued request as cancelled; false when it isn't queued.
  bool Cancel(std::uint64_t number);
  /// Ends an attempt and hands its slot on.
  HealthChange Release(const SlotHold& hold, AttemptResult result,
                       double elapsed_ms, base::Millis now);
  /// True while the VM of a hold serves the pool of its service.
  [[nodiscard]] bool IsMember(const SlotHold& hold) const;
  RetryDecision DecideOnRetry(const base::ServiceId& service,
                              const AttemptHistory& history,
                              AttemptFailure failure);

  /// True when the service has requests waiting and no loan loop yet; the
  /// caller then runs one.
  bool StartBorrowing(const base::ServiceId& service);
  /// The next call of the loan loop; empty when none is needed: the loop ends.
  std::optional<LoanCall> NextLoan(const base::ServiceId& service);
  /// Takes a reply, or its failure when `granted` is empty. Returns the tokens.
  int FinishLoan(const LoanCall& call, std::uint64_t number,
                 std::span<const SlotGrant> granted, base::Millis now);
  /// Gives free tokens to a peer that waits for them.
  std::vector<SlotGrant> Lend(const base::ServiceId& service,
                              std::uint64_t number, int wanted);
  /// Takes all free tokens out of the ledger, for a peer at a planned stop.
  /// With the membership number that they belong to.
  std::pair<std::uint64_t, std::vector<SlotGrant>> TakeAllFreeTokens();
  void AcceptReturned(std::uint64_t number, std::span<const SlotGrant> returned,
                      base::Millis now);

  void FillMetrics(base::Metrics& metrics) const;

 private:
  struct Service {
    RequestQueue queue{QueueLimits{}};
    RunTimes run_times;
    RetryBudget budget;
    std::array<SlotIndex, base::kRequestClassCount> quota_rows;
    int pool_slots = 0;
    bool borrowing = false;  ///< A loan loop runs.
    Service();
  };

  void InstallService(const base::ServiceDocument& document);
  [[nodiscard]] ClassMask AllowedClasses(const Service& service) const;
  [[nodiscard]] AdmissionInput MakeAdmissionInput(const base::ServiceId& id,
                                                  const Service& service,
                                                  base::RequestClass value);
  void GrantFreeSlots(const base::ServiceId& id, Service& service,
                      base::Millis now);
  void GrantAllFreeSlots(base::Millis now);
  std::vector<SlotIndex> QuotaRows(const Service& service) const;

  base::EntryRow self_;
  mutable std::mutex mutex_;  // Guards all below; "slots" in the lock order.
  base::Random random_;
  RetryPolicy retry_policy_;
  SlotLedger slots_;
  Router router_;
  std::shared_ptr<const base::FleetView> view_;
  std::map<base::ServiceId, Service> services_;
  std::unordered_map<std::uint64_t, std::shared_ptr<SlotWait>> waits_;
  std::uint64_t next_number_ = 1;
};

}  // namespace hemlockward::entry
