#pragma once

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/log.h"
#include "control/change_writer.h"
#include "control/entry_contacts.h"
#include "control/fleet_state.h"
#include "control/lease_keeper.h"
#include "control/planner.h"
#include "control/shard_lease.h"
#include "control/vm_steps.h"
#include "control/wave.h"
#include "peer/view_sync.h"
#include "platform/platform.h"

/// Executes the decisions of the pure planning functions for the shards that
/// this process holds.
namespace hemlockward::control {

/// Tick must not run concurrently with itself. Each tick decides on the newest
/// rows of the table. A write whose decision depends on the whole view commits
/// only if the view's revision is still current. No VM is taken out while the
/// table can't be read.
template <platform::Table TableT, platform::VmService VmsT,
          base::ClockSource Clock>
class FleetRunner {
 public:
  FleetRunner(TableT& table, VmsT& vms, const Clock& clock,
              peer::ViewStore& store, ChangeWriter<TableT>& writer,
              LeaseKeeper<TableT, Clock>& leases, EntryContacts& contacts,
              FleetState& state, RunnerSettings settings)
      : table_(table),
        vms_(vms),
        clock_(clock),
        store_(store),
        writer_(writer),
        leases_(leases),
        contacts_(contacts),
        state_(state),
        settings_(std::move(settings)) {}

  /// Poll the view just before. Returns true if a change was committed; the
  /// caller may then tick again without delay.
  boost::asio::awaitable<bool> Tick() {
    progressed_ = false;
    CollectFences();
    if (fences_.empty()) co_return false;
    co_await AdvanceVms();
    co_await AddListedVms();
    if (IsPlanDue()) {
      co_await ExecutePlan();
      co_await ExecuteWaves();
    }
    co_return progressed_;
  }

 private:
  // What this process knows of a VM under one version of its row.
  struct VmProgress {
    platform::RowVersion version = 0;
    base::Revision revision = 0;  // At or after the row's own revision.
    bool drained = false;
    bool rebooted = false;
  };

  struct PendingWrite {
    VmStep step;
    platform::Row row;
    Fence fence;
  };

  // Collects the leases for this tick. A lease claimed later in the tick isn't
  // used, because rows read before the claim may be stale.
  void CollectFences() {
    fences_.clear();
    for (int i = 0; i < settings_.shards; ++i) {
      if (const auto fence = leases_.FenceIfHeld(i)) fences_.emplace(i, *fence);
    }
  }

  // Planning scans the whole fleet, so it runs less often than the VM steps.
  bool IsPlanDue() {
    const base::Millis now = clock_.Now();
    if (planned_at_ && now - *planned_at_ < settings_.plan_interval) {
      return false;
    }
    planned_at_ = now;
    return true;
  }

  [[nodiscard]] const Fence* FenceOf(const base::PoolId& pool) const {
    const auto it = fences_.find(ShardOf(pool, settings_.shards));
    return it == fences_.end() ? nullptr : &it->second;
  }

  // VMs of held pools that may need a step, at most `most_rows`.
  std::vector<base::VmId> VmsInTransition(const base::FleetView& view) {
    std::vector<base::VmId> found;
    for (const auto& [id, row] : view.vms) {
      if (FenceOf(row.pool) == nullptr) continue;
      if (NextVmStep(row, FactsOf(row, nullptr), clock_.Wall()).operation ==
              VmOperation::kNone &&
          row.state != base::VmState::kLeaving) {
        continue;
      }
      found.push_back(id);
      if (found.size() >= settings_.max_rows_per_transaction) break;
    }
    return found;
  }

  [[nodiscard]] VmFacts FactsOf(const base::VmRow& row,
                                const VmProgress* progress) {
    VmFacts facts;
    facts.listed = state_.Listed(row.vm);
    facts.list_lag = settings_.list_lag;
    if (progress == nullptr) return facts;
    facts.drained = progress->drained;
    facts.rebooted = progress->rebooted;
    if (row.state != base::VmState::kLeaving) return facts;
    const auto view = store_.Snapshot();
    const auto gate = contacts_.VmState(
        view->membership.entries, progress->revision, row.vm, clock_.Now());
    facts.is_idle = gate == peer::GateState::kPassed;
    state_.RecordWaitReason(row.vm, peer::ToText(gate));
    return facts;
  }

  // Advances each VM in transition by one step.
  boost::asio::awaitable<void> AdvanceVms() {
    const auto view = store_.Snapshot();
    std::vector<std::string> keys;
    for (const base::VmId& it : VmsInTransition(*view)) {
      keys.push_back("vm/" + it.value);
    }
    if (keys.empty()) vm_progress_.clear();
    if (keys.empty()) co_return;
    auto rows = co_await table_.Read(std::move(keys));
    if (!rows) co_return;
    UpdateVmProgress(*view, *rows);
    AwaitRevisions(*view);
    std::vector<PendingWrite> writes;
    for (const platform::Row& it : *rows) {
      co_await AdvanceVm(it, writes);
    }
    co_await WriteSteps(std::move(writes));
  }

  // Skips rows that the view doesn't hold yet: without their revision it can't
  // be checked whether the entries have acknowledged them.
  void UpdateVmProgress(const base::FleetView& view,
                        const std::vector<platform::Row>& rows) {
    std::map<base::VmId, VmProgress> next;
    for (const platform::Row& it : rows) {
      const auto row = base::DecodeVmRow(it.value);
      if (!row) continue;
      const auto known = vm_progress_.find(row->vm);
      if (known != vm_progress_.end() && known->second.version == it.version) {
        next.emplace(row->vm, known->second);
        continue;
      }
      const auto seen = view.vms.find(row->vm);
      const bool same =
          seen != view.vms.end() && base::Encode(seen->second) == it.value;
      if (same) next.emplace(row->vm, VmProgress{it.version, view.revision});
    }
    vm_progress_ = std::move(next);
  }

  void AwaitRevisions(const base::FleetView& view) {
    std::vector<base::Revision> awaited;
    for (const auto& [vm, progress] : vm_progress_)
      awaited.push_back(progress.revision);
    state_.SetAwaitedRevisions("vms", std::move(awaited));
    contacts_.Tick(view.membership.entries, state_.AwaitedRevisions(),
                   clock_.Now());
  }

  boost::asio::awaitable<void> AdvanceVm(platform::Row row,
                                         std::vector<PendingWrite>& writes) {
    const auto decoded = base::DecodeVmRow(row.value);
    if (!decoded) co_return;
    const auto progress = vm_progress_.find(decoded->vm);
    const Fence* fence = FenceOf(decoded->pool);
    if (progress == vm_progress_.end() || fence == nullptr) co_return;
    const Fence held = *fence;
    VmStep step = NextStep(*decoded, progress->second);
    const bool calls_platform = step.operation == VmOperation::kDrain ||
                                step.operation == VmOperation::kReboot;
    if (calls_platform) {
      co_await CallPlatform(step, decoded->vm, row.version, held,
                            progress->second);
      step = NextStep(*decoded, progress->second);
    }
    if (step.operation != VmOperation::kWrite) co_return;
    writes.push_back({std::move(step), std::move(row), held});
  }

  VmStep NextStep(const base::VmRow& row, const VmProgress& progress) {
    return NextVmStep(row, FactsOf(row, &progress), clock_.Wall());
  }

  // Calls the platform only if the call is certain to end within the lease.
  boost::asio::awaitable<void> CallPlatform(VmStep step, base::VmId vm,
                                            platform::RowVersion version,
                                            Fence fence, VmProgress& progress) {
    if (!fence.Covers(clock_.Now(), settings_.vm_call_timeout)) co_return;
    const bool reboot = step.operation == VmOperation::kReboot;
    const std::string_view act = reboot ? "reboot" : "drain";
    std::string nonce = OperationNonce(act, vm, version);
    base::LogLine(base::LogLevel::kInfo, "vm_act")
        .With("vm", vm.value)
        .With("act", act)
        .With("epoch", fence.epoch)
        .With("reason", step.reason);
    if (reboot) {
      auto done = co_await vms_.Reboot(vm, std::move(nonce));
      progress.rebooted = done && *done;
    } else {
      auto done = co_await vms_.Drain(vm, std::move(nonce));
      progress.drained = done && *done;
    }
  }

  boost::asio::awaitable<void> WriteSteps(std::vector<PendingWrite> writes) {
    if (writes.empty()) co_return;
    Change change;
    std::map<int, Fence> fences;
    for (const PendingWrite& it : writes) {
      change.conditions.push_back({it.row.key, it.row.version});
      change.rows.push_back({it.row.key, base::Encode(it.step.next)});
      fences.emplace(it.fence.shard, it.fence);
    }
    AddFences(change, fences);
    auto accepted = co_await writer_.Write(std::move(change));
    if (!accepted) co_return LogRefused("vm_steps", accepted.error());
    for (const PendingWrite& it : writes)
      LogVm(it.step.next, accepted->revision);
  }

  static void AddFences(Change& change, const std::map<int, Fence>& fences) {
    for (const auto& [shard, fence] : fences) {
      change.conditions.push_back(fence.condition());
    }
  }

  // Adds VMs that the platform lists and the table lacks to their first pool.
  boost::asio::awaitable<void> AddListedVms() {
    const auto view = store_.Snapshot();
    Change change;
    std::map<int, Fence> fences;
    std::vector<base::VmRow> added;
    for (const platform::ListedVm& it : state_.AllListed()) {
      if (it.state != platform::ListedState::kLive) continue;
      if (view->vms.contains(it.vm)) continue;
      const base::PoolId pool = settings_.FirstPool(it.vm);
      const Fence* fence = FenceOf(pool);
      if (fence == nullptr) continue;
      added.push_back(NewVmRow(it, pool));
      fences.emplace(fence->shard, *fence);
      const std::string key = "vm/" + it.vm.value;
      change.conditions.push_back({key, 0});
      change.rows.push_back({key, base::Encode(added.back())});
      if (added.size() >= settings_.max_rows_per_transaction) break;
    }
    if (added.empty()) co_return;
    AddFences(change, fences);
    auto accepted = co_await writer_.Write(std::move(change));
    if (!accepted) co_return LogRefused("new_vms", accepted.error());
    for (const base::VmRow& it : added) LogVm(it, accepted->revision);
  }

  boost::asio::awaitable<void> ExecutePlan() {
    const auto view = store_.Snapshot();
    const auto decisions = Plan(*view, state_.verdicts(), state_.demand(),
                                settings_.planner, clock_.Wall());
    co_await CommitDecisions(*view, decisions);
  }

  boost::asio::awaitable<void> ExecuteWaves() {
    const auto view = store_.Snapshot();
    const auto steps =
        NextWaveSteps(*view, state_.verdicts(), state_.demand(),
                      state_.accounts(), settings_.wave, clock_.Wall());
    for (const WaveStep& it : steps) state_.RecordWaveStep(it);
    for (const WaveStep& it : steps) {
      co_await WriteWaveVerdict(*view, it);
      co_await CommitDecisions(*view, it.take_out);
    }
  }

  // Only the holder of the first shard writes wave rows.
  boost::asio::awaitable<void> WriteWaveVerdict(const base::FleetView& view,
                                                WaveStep step) {
    const auto first = fences_.find(0);
    const auto wave = view.waves.find(step.wave);
    if (first == fences_.end() || wave == view.waves.end()) co_return;
    base::WaveRow row = wave->second;
    if (step.action == WaveAction::kFinish) row.finished = true;
    if (step.action == WaveAction::kStop) row.stopped = true;
    if (step.action == WaveAction::kContinue) co_return;
    row.reason = step.reason;
    if (base::Encode(row) == base::Encode(wave->second)) co_return;
    Change change;
    change.required_revision = view.revision;
    change.conditions = {first->second.condition()};
    change.rows = {{"wave/" + step.wave.value, base::Encode(row)}};
    auto accepted = co_await writer_.Write(std::move(change));
    if (!accepted) co_return LogRefused("wave", accepted.error());
    base::LogLine(base::LogLevel::kInfo, "wave_verdict")
        .With("wave", step.wave.value)
        .With("finished", row.finished)
        .With("stopped", row.stopped)
        .With("reason", row.reason)
        .With("revision", accepted->revision);
  }

  // Commits decisions made on `view` only as its direct successor, so that none
  // is based on an outdated state of the fleet.
  boost::asio::awaitable<void> CommitDecisions(
      const base::FleetView& view, std::vector<Decision> decisions) {
    Change change;
    change.required_revision = view.revision;
    std::map<int, Fence> fences;
    std::vector<base::VmRow> rows;
    for (const Decision& it : decisions) {
      const auto row = view.vms.find(it.vm);
      if (row == view.vms.end()) continue;
      const Fence* fence = FenceOf(row->second.pool);
      const auto next = ApplyDecision(it, row->second, clock_.Wall());
      if (fence == nullptr || !next) continue;
      fences.emplace(fence->shard, *fence);
      change.rows.push_back({"vm/" + it.vm.value, base::Encode(*next)});
      rows.push_back(*next);
      if (rows.size() >= settings_.max_rows_per_transaction) break;
    }
    if (rows.empty()) co_return;
    AddFences(change, fences);
    auto accepted = co_await writer_.Write(std::move(change));
    if (!accepted) co_return LogRefused("decisions", accepted.error());
    for (const base::VmRow& it : rows) LogVm(it, accepted->revision);
  }

  void LogVm(const base::VmRow& row, base::Revision revision) {
    progressed_ = true;
    base::LogLine(base::LogLevel::kInfo, "vm_state")
        .With("vm", row.vm.value)
        .With("state", base::ToText(row.state))
        .With("pool", row.pool.value)
        .With("destination", row.destination.value)
        .With("wave", row.wave.value)
        .With("revision", revision)
        .With("reason", row.reason);
  }

  static void LogRefused(std::string_view what,
                         const platform::TableError& error) {
    base::LogLine(base::LogLevel::kInfo, "change_refused")
        .With("change", what)
        .With("reason", error.what);
  }

  TableT& table_;
  VmsT& vms_;
  const Clock& clock_;
  peer::ViewStore& store_;
  ChangeWriter<TableT>& writer_;
  LeaseKeeper<TableT, Clock>& leases_;
  EntryContacts& contacts_;
  FleetState& state_;
  RunnerSettings settings_;
  bool progressed_ = false;
  std::map<int, Fence> fences_;
  std::map<base::VmId, VmProgress> vm_progress_;
  std::optional<base::Millis> planned_at_;
};

}  // namespace hemlockward::control
