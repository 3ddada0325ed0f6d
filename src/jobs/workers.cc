// Which workers there are: registrations and the platform's listings of VMs.

#include <algorithm>

#include "base/log.h"
#include "jobs/rows.h"
#include "jobs/scheduler.h"

namespace hemlockward::jobs {

using base::LogLevel;
using base::LogLine;

namespace {

// A smaller capacity counts from 4.5 s after it shrank, and its registration
// may be a heartbeat (1.5 s) behind. A start takes 0.4 s at most.
constexpr Millis kRegistrationValidity{2600};
// Orders are carried out up to 12 s after they were sent.
constexpr Millis kLatestOrder = base::Seconds(15);

}  // namespace

bool Scheduler::UpsertWorker(const WorkerEntry& entry, Millis now) {
  if (const Worker* known = FindWorker(entry.id); known && known->ended) {
    const std::int64_t last =
        std::max(known->started_at_ms, known->entry.started_at_ms);
    if (last > 0 && entry.started_at_ms > last) {
      Forget(workers_.find(entry.id), now);
    }
  }
  const auto [it, fresh] = workers_.try_emplace(entry.id);
  Worker& worker = it->second;
  if (fresh) {
    worker.idle_since = worker.known_since = now;
    worker.left = {entry.started_at_ms, leaders_lost_};
    if (const auto it = former_workers_.find(entry.id);
        it != former_workers_.end()) {
      const FormerWorker& former = it->second;
      worker.fence = former.fence;
      worker.restarts = former.restarts;
      if (former.left.started_at_ms == entry.started_at_ms) {
        worker.left = former.left;
        worker.left.granted = 0;  // Its row was removed.
      }
      ExpectFormerCalls(worker, now);
    }
  }
  const bool restarted = entry.started_at_ms > 0 && worker.started_at_ms > 0 &&
                         entry.started_at_ms > worker.started_at_ms;
  if (restarted) {
    BeginIncarnation(worker, entry.started_at_ms, now);
    worker.adopted = false;
  }
  const bool moved = !fresh && worker.entry.service != entry.service;
  if (entry.version > worker.entry.version) worker.registered_at = now;
  worker.entry = entry;
  worker.listed = true;
  if (fresh || moved) {
    LogLine(LogLevel::kInfo, "worker_listed")
        .With("worker", entry.id)
        .With("machine", entry.vm)
        .With("service", entry.service)
        .With("address", entry.address);
  }
  if (fresh) EndPredecessors(entry, now);
  return restarted;
}

std::map<std::string, Worker, std::less<>>::iterator Scheduler::Forget(
    std::map<std::string, Worker, std::less<>>::iterator it, Millis now) {
  const Worker& worker = it->second;
  former_workers_[it->first] = {worker.fence, worker.restarts, worker.left,
                                now + kLatestOrder};
  return workers_.erase(it);
}

void Scheduler::ExpectFormerCalls(Worker& worker, Millis now) {
  ++worker.restarts;
  worker.fence_due = true;
  // They grant leases by the clock of the former incarnation.
  ExpectLongestLease(worker, now);
}

void Scheduler::ExpectLongestLease(Worker& worker, Millis now) const {
  worker.lease_expires_by =
      std::max(worker.lease_expires_by, now + LongestGrant(settings_));
}

bool Scheduler::OnLeaseCallEnded(std::string_view id, int restarts,
                                 Millis now) {
  Worker* worker = FindWorker(id);
  if (!worker || worker->restarts == restarts) return false;
  ExpectLongestLease(*worker, now);
  return true;
}

std::uint64_t Scheduler::FenceFor(Worker& worker, std::uint64_t term,
                                  std::uint64_t newest, Millis now) {
  worker.fence = std::max(worker.fence, term);
  if (worker.fence_due && newest > worker.fence) {
    ExpectLongestLease(worker, now);
    worker.fence = newest;
    worker.fence_due = false;
  }
  return worker.fence;
}

bool Scheduler::IsCapacityKnown(const Worker& worker, Millis now) const {
  const WorkerEntry& entry = worker.entry;
  const auto it = config_.services.find(entry.service);
  if (it != config_.services.end() && it->second.enforces_capacity) return true;
  const bool of_earlier_incarnation =
      entry.started_at_ms != 0 && entry.started_at_ms < worker.started_at_ms;
  return !of_earlier_incarnation && registrations_as_of_ &&
         now - *registrations_as_of_ <= kRegistrationValidity;
}

void Scheduler::EndPredecessors(const WorkerEntry& entry, Millis now) {
  if (entry.vm.empty()) return;
  for (auto& [id, worker] : workers_) {
    const bool answers = worker.adopted && !worker.unresponsive;
    const std::int64_t started_at_ms = worker.entry.started_at_ms;
    if (worker.entry.vm != entry.vm || worker.ended || answers ||
        started_at_ms == 0 || started_at_ms >= entry.started_at_ms) {
      continue;
    }
    const bool moved = worker.entry.service != entry.service;
    EndReplacedWorker(worker, entry.id, moved, now);
  }
}

void Scheduler::EndReplacedWorker(Worker& worker, std::string_view by,
                                  bool ordered, Millis now) {
  LogLine(LogLevel::kInfo, "worker_replaced")
      .With("worker", worker.entry.id)
      .With("machine", worker.entry.vm)
      .With("by", by)
      .With("runs", worker.runs.size());
  // A worker is reserved before the leader orders its VM away.
  const bool planned = ordered || worker.reserved;
  EndWorker(worker.entry.id,
            planned ? WorkerLoss::kPlanned : WorkerLoss::kCrashed, now);
}

void Scheduler::RemoveWorker(std::string_view id) {
  Worker* worker = FindWorker(id);
  if (worker) worker->listed = false;
}

void Scheduler::EndWorker(std::string_view id, WorkerLoss loss, Millis now) {
  Worker* worker = FindWorker(id);
  if (!worker || worker->ended) return;
  LoseRuns(*worker, loss, now, now);
  if (loss == WorkerLoss::kCrashed && !worker->entry.draining) {
    ConfirmCrash(id, now);
  }
  unexplained_losses_.erase(std::string(id));
  worker->ended = true;
  worker->ended_at = now;
  if (worker->stored)
    rows_.push_back({kWorkerTable, worker->entry.id, "", true});
  worker->stored = false;
}

bool Scheduler::HasReplacedWorker(const Vm& vm,
                                  const std::string& worker) const {
  if (!vm.worker.empty()) return vm.worker != worker;
  // Without a worker on the VM, only these states prove that it has ended;
  // otherwise it may just be unreachable.
  if (vm.state == VmState::kMoving) return true;
  if (vm.state == VmState::kUpkeep) return true;
  const auto it = config_.services.find(vm.pool);
  return it != config_.services.end() && it->second.headroom;
}

void Scheduler::TakeBack(Worker& worker) {
  LogLine(LogLevel::kInfo, "worker_taken_back")
      .With("worker", worker.entry.id)
      .With("machine", worker.entry.vm);
  worker.ended = worker.reserved = worker.adopted = false;
}

void Scheduler::OnVmsListed(std::span<const Vm> vms, Millis sent, Millis now) {
  std::map<std::string_view, const Vm*> by_name;
  for (const Vm& it : vms) {
    by_name[it.name] = &it;
    // An order is also confirmed if it was executed before: the worker that the
    // VM has now came after it.
    Worker* worker = FindWorker(it.worker);
    const bool up = worker && it.state == VmState::kUp;
    if (up && worker->ended && worker->ended_at < sent) TakeBack(*worker);
  }
  for (auto& [id, worker] : workers_) {
    const bool answers = worker.adopted && !worker.unresponsive;
    if (answers || worker.ended || worker.known_since >= sent) continue;
    const auto it = by_name.find(worker.entry.vm);
    if (it == by_name.end() || !HasReplacedWorker(*it->second, id)) continue;
    const Vm& vm = *it->second;
    // These states and another pool are due to an order, which may be that of
    // an earlier leader.
    const bool ordered = vm.state == VmState::kMoving ||
                         vm.state == VmState::kUpkeep ||
                         (!vm.pool.empty() && vm.pool != worker.entry.service);
    EndReplacedWorker(worker, vm.worker, ordered, now);
  }
}

Worker* Scheduler::FindWorker(std::string_view id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

}  // namespace hemlockward::jobs
