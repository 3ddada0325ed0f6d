#include "entry/scheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/log.h"

namespace hemlockward::entry {

using base::Millis;
using base::Outcome;
using base::ServiceId;

namespace {

// Prior of the run time estimate; a few complete answers outweigh it.
constexpr double kDeclaredRunMs = 200;
constexpr Millis kRetryAfter = base::Seconds(1);
// Maximum number of tokens requested in one loan.
constexpr int kMaxTokensPerLoan = 64;

Answer ShedAnswer(std::string_view reason, Millis retry_after) {
  Answer answer = Refusal(Outcome::kNotRun, 503, std::string(reason));
  answer.retry_after = retry_after;
  return answer;
}

}  // namespace

Scheduler::Service::Service()
    : run_times(kDeclaredRunMs), budget(RetryPolicy{}) {
  quota_rows.fill(kNoSlot);
}

Scheduler::Scheduler(const base::EntryRow& self, Millis orphan_hold,
                     std::uint64_t seed)
    : self_(self),
      random_(seed),
      slots_(self.entry, self.incarnation, orphan_hold),
      router_(self.zone, slots_, EjectionPolicy{}),
      view_(std::make_shared<base::FleetView>()) {}

void Scheduler::Install(std::shared_ptr<const base::FleetView> view,
                        Millis now) {
  const std::lock_guard lock(mutex_);
  if (view->revision <= view_->revision) return;
  view_ = std::move(view);
  slots_.InstallMembership(view_->membership, now);
  router_.Install(*view_);
  for (const auto& [team, document] : view_->documents) {
    InstallService(document);
  }
  GrantAllFreeSlots(now);
}

void Scheduler::InstallService(const base::ServiceDocument& document) {
  Service& service = services_[document.service];
  QueueLimits limits;
  for (std::size_t i = 0; i < base::kRequestClassCount; ++i) {
    const base::ClassLimit& limit = document.limits[i];
    limits.lengths[i] = limit.queue_length;
    const auto value = static_cast<base::RequestClass>(i);
    service.quota_rows[i] =
        limit.quota > 0
            ? slots_.Add(QuotaRow(document.service, value), limit.quota)
            : kNoSlot;
  }
  service.queue.SetLimits(limits);
  const auto workers = router_.Rows(document.service).size();
  service.pool_slots = static_cast<int>(workers) * document.slots_per_vm;
}

base::Revision Scheduler::revision() const {
  const std::lock_guard lock(mutex_);
  return view_->revision;
}

// Requests that wait while tokens are free wait for quota. They need no more
// workers, so they do not count as demand, and the free tokens can be lent.
EntryStatus Scheduler::Status() {
  EntryStatus status;
  const std::lock_guard lock(mutex_);
  status.revision = view_->revision;
  status.busy_vms = router_.BusyFormerMembers();
  status.slots = slots_.Report();
  for (const auto& [id, service] : services_) {
    const auto waiting = static_cast<std::int32_t>(service.queue.size());
    if (waiting == 0 || router_.FreeSlots(id) > 0) continue;
    status.demand[id.value] = waiting;
  }
  return status;
}

void Scheduler::OnPeerReport(const PeerStatus& status, Millis now) {
  const std::lock_guard lock(mutex_);
  const bool all_claimed = slots_.HasClaimedAll();
  slots_.OnReport(status.entry, status.incarnation, status.slots, now);
  if (!all_claimed) GrantAllFreeSlots(now);
}

std::uint64_t Scheduler::NextNumber() {
  const std::lock_guard lock(mutex_);
  return next_number_++;
}

AdmissionInput Scheduler::MakeAdmissionInput(const ServiceId& id,
                                             const Service& service,
                                             base::RequestClass value) {
  const auto members = view_->membership.entries.size();
  const int share =
      service.pool_slots / static_cast<int>(std::max<std::size_t>(members, 1));
  AdmissionInput view;
  view.waiting_ahead = service.queue.CountAhead(value);
  view.free_slots = router_.FreeSlots(id);
  view.slots = std::max(router_.HeldSlots(id), share);
  view.pool_workers = static_cast<int>(router_.Rows(id).size());
  view.mean_run_ms = service.run_times.MeanMillis();
  view.median_run_ms = service.run_times.QuantileMillis(0.5);
  return view;
}

tl::expected<void, Answer> Scheduler::Enqueue(
    const Request& request, const std::shared_ptr<SlotWait>& wait, bool retry,
    Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = services_.find(request.service);
  if (it == services_.end()) {
    return tl::unexpected(
        Refusal(Outcome::kNotRun, 404, "no such service is known here"));
  }
  Service& service = it->second;
  if (!retry) {
    const AdmissionInput view =
        MakeAdmissionInput(request.service, service, request.request_class);
    const auto admitted = Admit(view, request.deadline - now);
    if (!admitted) {
      const Shed& shed = admitted.error();
      return tl::unexpected(ShedAnswer(ToText(shed.reason), shed.retry_after));
    }
  }
  QueuedRequest queued;
  queued.id = request.number;
  queued.request_class = request.request_class;
  queued.enqueued = now;
  queued.deadline = request.deadline;
  queued.bytes = request.body.size() + sizeof(Request);
  const auto pushed = service.queue.Push(queued, now);
  if (!pushed) {
    return tl::unexpected(ShedAnswer(ToText(pushed.error()), kRetryAfter));
  }
  waits_[request.number] = wait;
  GrantFreeSlots(request.service, service, now);
  return {};
}

ClassMask Scheduler::AllowedClasses(const Service& service) const {
  ClassMask mask = 0;
  for (std::size_t i = 0; i < base::kRequestClassCount; ++i) {
    const SlotIndex row = service.quota_rows[i];
    if (row != kNoSlot && slots_.Free(row) <= 0) continue;
    mask |= MaskOf(static_cast<base::RequestClass>(i));
  }
  return mask;
}

// Assigns free slots to waiting requests in queue order.
void Scheduler::GrantFreeSlots(const ServiceId& id, Service& service,
                               Millis now) {
  while (service.queue.size() > 0 && router_.FreeSlots(id) > 0) {
    const auto next = service.queue.Pop(now, AllowedClasses(service));
    if (!next) return;
    const auto found = waits_.find(next->id);
    if (found == waits_.end()) continue;
    const std::shared_ptr<SlotWait> wait = found->second;
    const auto route = router_.Pick(id, wait->avoid, now, random_);
    if (!route) {
      (void)service.queue.Push(*next, now);  // The waiter's timeout removes it.
      return;
    }
    SlotHold hold;
    hold.row = route->row;
    hold.quota_row =
        service.quota_rows[static_cast<std::size_t>(wait->request_class)];
    if (hold.quota_row != kNoSlot) slots_.Acquire(hold.quota_row);
    hold.service = id;
    hold.vm = route->worker->vm;
    hold.address = route->worker->address;
    hold.reason = route->reason;
    hold.revision = view_->revision;
    waits_.erase(found);
    wait->hold = std::move(hold);
    wait->signal->Notify();
  }
}

void Scheduler::GrantAllFreeSlots(Millis now) {
  for (auto& [id, service] : services_) GrantFreeSlots(id, service, now);
}

bool Scheduler::Withdraw(std::uint64_t number) {
  const std::lock_guard lock(mutex_);
  const auto it = waits_.find(number);
  if (it == waits_.end()) return false;
  services_.at(it->second->service).queue.Cancel(number);
  waits_.erase(it);
  return true;
}

bool Scheduler::Cancel(std::uint64_t number) {
  const std::lock_guard lock(mutex_);
  const auto it = waits_.find(number);
  if (it == waits_.end()) return false;
  const std::shared_ptr<SlotWait> wait = it->second;
  services_.at(wait->service).queue.Cancel(number);
  waits_.erase(it);
  wait->cancelled = true;
  wait->signal->Notify();
  return true;
}

HealthChange Scheduler::Release(const SlotHold& hold, AttemptResult result,
                                double elapsed_ms, Millis now) {
  const std::lock_guard lock(mutex_);
  const HealthChange change =
      router_.FinishAttempt(hold.row, result, elapsed_ms, now);
  if (hold.quota_row != kNoSlot) slots_.Release(hold.quota_row);
  Service& service = services_.at(hold.service);
  if (result == AttemptResult::kOk) {
    service.run_times.Observe(elapsed_ms);
    service.budget.OnSuccess();
  }
  GrantFreeSlots(hold.service, service, now);
  return change;
}

bool Scheduler::IsMember(const SlotHold& hold) const {
  std::shared_ptr<const base::FleetView> view;
  {
    const std::lock_guard lock(mutex_);
    view = view_;
  }
  if (view->revision == hold.revision) return true;
  const auto vm = view->vms.find(hold.vm);
  if (vm == view->vms.end()) return false;
  const base::ServiceDocument* document = view->FindService(hold.service);
  return document != nullptr && vm->second.pool == document->pool &&
         vm->second.state == base::VmState::kMember;
}

RetryDecision Scheduler::DecideOnRetry(const ServiceId& service,
                                       const AttemptHistory& history,
                                       AttemptFailure failure) {
  const std::lock_guard lock(mutex_);
  return DecideRetry(history, failure, retry_policy_,
                     services_.at(service).budget, random_);
}

bool Scheduler::StartBorrowing(const ServiceId& service) {
  const std::lock_guard lock(mutex_);
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.borrowing) return false;
  if (it->second.queue.size() == 0) return false;
  it->second.borrowing = true;
  return true;
}

std::optional<LoanCall> Scheduler::NextLoan(const ServiceId& service) {
  const std::lock_guard lock(mutex_);
  const auto it = services_.find(service);
  if (it == services_.end()) return std::nullopt;
  if (it->second.queue.size() == 0) {
    it->second.borrowing = false;
    return std::nullopt;
  }
  LoanCall call;
  call.ticket = slots_.BeginLoan();
  call.membership_number = slots_.membership_number();
  call.wanted = static_cast<int>(
      std::min<std::size_t>(it->second.queue.size(), kMaxTokensPerLoan));
  return call;
}

int Scheduler::FinishLoan(const LoanCall& call, std::uint64_t number,
                          std::span<const SlotGrant> granted, Millis now) {
  const std::lock_guard lock(mutex_);
  const int taken = slots_.AcceptLoan(call.ticket, number, granted);
  if (taken > 0) GrantAllFreeSlots(now);
  return taken;
}

std::vector<SlotIndex> Scheduler::QuotaRows(const Service& service) const {
  std::vector<SlotIndex> rows;
  for (const SlotIndex row : service.quota_rows) {
    if (row != kNoSlot) rows.push_back(row);
  }
  return rows;
}

std::vector<SlotGrant> Scheduler::Lend(const ServiceId& id,
                                       std::uint64_t number, int wanted) {
  const std::lock_guard lock(mutex_);
  const auto it = services_.find(id);
  if (it == services_.end()) return {};
  const Service& service = it->second;
  // Requests that wait here while workers have free tokens wait for quota and
  // cannot use those tokens. Lending them prevents a deadlock between two
  // entries.
  LoanInput view;
  view.own_free = router_.FreeSlots(id);
  view.peer_waiting = wanted;
  auto grants =
      slots_.Lend(number, router_.Rows(id), wanted, TokensToKeep(view));
  view.own_waiting = static_cast<int>(service.queue.size());
  for (const SlotIndex row : QuotaRows(service)) {
    view.own_free = slots_.Free(row);
    const auto quota =
        slots_.Lend(number, std::span(&row, 1), wanted, TokensToKeep(view));
    grants.insert(grants.end(), quota.begin(), quota.end());
  }
  return grants;
}

std::pair<std::uint64_t, std::vector<SlotGrant>>
Scheduler::TakeAllFreeTokens() {
  const std::lock_guard lock(mutex_);
  std::vector<SlotIndex> rows(slots_.size());
  for (SlotIndex i = 0; i < rows.size(); ++i) rows[i] = i;
  const std::uint64_t number = slots_.membership_number();
  return {number,
          slots_.Lend(number, rows, std::numeric_limits<int>::max(), 0)};
}

void Scheduler::AcceptReturned(std::uint64_t number,
                               std::span<const SlotGrant> returned,
                               Millis now) {
  const std::lock_guard lock(mutex_);
  slots_.AcceptReturned(number, returned);
  GrantAllFreeSlots(now);
}

void Scheduler::FillMetrics(base::Metrics& metrics) const {
  const std::lock_guard lock(mutex_);
  metrics.Set("hemlockward_revision", "", static_cast<double>(view_->revision));
  metrics.Set("hemlockward_membership_number", "",
              static_cast<double>(slots_.membership_number()));
  std::map<base::VmState, int> states;
  for (const auto& [id, vm] : view_->vms) ++states[vm.state];
  for (const auto& [state, n] : states) {
    metrics.Set("hemlockward_vms",
                "state=\"" + std::string(base::ToText(state)) + "\"", n);
  }
  for (const auto& [id, service] : services_) {
    const std::string label = "service=\"" + id.value + "\"";
    int in_use = 0;
    for (const SlotIndex row : router_.Rows(id)) in_use += slots_.InUse(row);
    metrics.Set("hemlockward_slots_in_use", label, in_use);
    metrics.Set("hemlockward_slots_held", label, router_.HeldSlots(id));
    metrics.Set("hemlockward_vms_ejected", label, router_.Ejected(id));
    for (std::size_t i = 0; i < base::kRequestClassCount; ++i) {
      const auto value = static_cast<base::RequestClass>(i);
      metrics.Set("hemlockward_queue_length",
                  label + ",class=\"" + std::string(base::ToText(value)) + "\"",
                  service.queue.CountWaiting(value));
    }
  }
}

}  // namespace hemlockward::entry
