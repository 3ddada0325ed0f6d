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

/// A slot of a VM, held by a request.
struct SlotHold {
  SlotIndex row = kNoSlot;
  SlotIndex quota_row = kNoSlot;  ///< kNoSlot if the class has no quota.
  base::ServiceId service;
  base::VmId vm;
  std::string address;
  RouteReason reason = RouteReason::kOwnZone;
  base::Revision revision = 0;
};

/// A request that waits for a slot. `hold` and `cancelled` may be read after
/// `signal` was notified or the request was withdrawn.
struct SlotWait {
  std::shared_ptr<Signal> signal;
  base::ServiceId service;
  base::RequestClass request_class = base::RequestClass::kNormal;
  std::vector<SlotIndex> avoid;
  std::optional<SlotHold> hold;
  bool cancelled = false;
};

/// A request to a peer for a loan of free tokens.
struct LoanCall {
  LoanTicket ticket;
  std::uint64_t membership_number = 0;
  int wanted = 0;
};

/// State shared by all requests of the entry, guarded by one mutex: slot
/// ledger, router, queues and statistics of each service. Functions are short
/// and hold the mutex without blocking calls.
class Scheduler {
 public:
  Scheduler(const base::EntryRow& self, base::Millis orphan_hold,
            std::uint64_t seed);

  /// Replaces the view on which routing is based; ignores a view that is not
  /// newer.
  void Install(std::shared_ptr<const base::FleetView> view, base::Millis now);
  [[nodiscard]] base::Revision revision() const;
  /// The status to send in heartbeats, consistent with one installed view.
  [[nodiscard]] EntryStatus Status();
  void OnPeerReport(const PeerStatus& status, base::Millis now);
  [[nodiscard]] std::uint64_t NextNumber();

  /// Queues a request for a slot; `wait->signal` is notified when it gets one.
  /// If the request is shed, returns an answer with outcome not-run. Retries
  /// bypass admission control.
  tl::expected<void, Answer> Enqueue(const Request& request,
                                     const std::shared_ptr<SlotWait>& wait,
                                     bool retry, base::Millis now);
  /// Removes a request from its queue; true if it had not got a slot.
  bool Withdraw(std::uint64_t number);
  /// Cancels a queued request and notifies its waiter; false if it is not
  /// queued.
  bool Cancel(std::uint64_t number);
  /// Ends an attempt and gives its slot to a waiting request.
  HealthChange Release(const SlotHold& hold, AttemptResult result,
                       double elapsed_ms, base::Millis now);
  /// True while the VM of `hold` is a member of the pool of its service.
  [[nodiscard]] bool IsMember(const SlotHold& hold) const;
  RetryDecision DecideOnRetry(const base::ServiceId& service,
                              const AttemptHistory& history,
                              AttemptFailure failure);

  /// True if the service has waiting requests and no loan loop is running; the
  /// caller must then run one.
  bool StartBorrowing(const base::ServiceId& service);
  /// The next request of the loan loop; empty if no more tokens are needed,
  /// which ends the loop.
  std::optional<LoanCall> NextLoan(const base::ServiceId& service);
  /// Handles the reply to a loan request; `granted` is empty if it failed.
  /// Returns the number of tokens accepted.
  int FinishLoan(const LoanCall& call, std::uint64_t number,
                 std::span<const SlotGrant> granted, base::Millis now);
  /// Lends free tokens to a peer that has requests waiting.
  std::vector<SlotGrant> Lend(const base::ServiceId& service,
                              std::uint64_t number, int wanted);
  /// Removes all free tokens from the ledger, to hand them to a peer at a
  /// planned shutdown. Also returns the membership number to which they belong.
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
    bool borrowing = false;  ///< A loan loop is running.
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
