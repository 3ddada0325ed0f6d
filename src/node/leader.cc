// The leader's work: it follows the workers, renews their leases and sends
// orders.

#include <algorithm>

#include "base/log.h"
#include "node/process.h"
#include "node/renewal.h"

namespace hemlockward::node {

using base::LogLevel;
using base::LogLine;
using platform::CallFailure;

namespace {

/// No tasks start on registrations that were read long ago, so a feed without
/// an answer must be noticed soon.
constexpr Millis kFeedWait{1000};
/// Registrations that take longer to arrive are logged; normally it is 10 ms.
constexpr Millis kSlowFeed{500};
/// A turn of the event loop that takes longer is logged. Under full load it
/// takes 30 ms.
constexpr Millis kSlowTurn{300};
constexpr Millis kRetryPause{150};
/// Timeout of a start or stop order: workers respond in 5 ms, and a busy leader
/// processes the response within 100 ms.
constexpr Millis kOrderTimeout{400};
/// Interval of the reports of a worker that isn't asked to wait for an end.
constexpr Millis kBriefReportInterval{250};
constexpr Millis kSilentWorkerRetryPause{300};
/// Longest wait for a commit. Ends of runs are acknowledged with the next
/// report request after they are committed.
constexpr Millis kCommitWait{300};
/// Delay before planning, so that responses that arrive together share one
/// plan.
constexpr Millis kPlanDelay{2};
constexpr Millis kNextMillisecond{1};
constexpr Millis kPlanInterval{250};
constexpr Millis kFleetInterval{100};
constexpr Millis kVmCallTimeout{1500};
constexpr Millis kIdleCheck = base::Seconds(1);

}  // namespace

Awaitable<bool> NodeProcess::ReadWorkers(std::uint64_t term) {
  std::set<std::string> seen;
  const Millis sent = clock_.Now();
  TableRead read;
  read.table = platform::kWorkerEntryTable;
  read.apply = [this, term, &seen](const platform::StoreRow& row) {
    seen.insert(row.key);
    ApplyWorkerRow(term, row);
  };
  read.may_continue = [this, term] { return IsLeading(term); };
  const auto version = co_await ReadTable(platform_, std::move(read));
  if (!version) co_return false;
  workers_version_ = std::max(workers_version_, *version);
  std::vector<std::string> removed;
  for (const auto& [id, worker] : scheduler_.workers()) {
    if (!seen.contains(id)) removed.push_back(id);
  }
  for (const std::string& id : removed) {
    scheduler_.RemoveWorker(id);
  }
  scheduler_.OnRegistrationsRead(sent);
  WatchAllWorkers(term);
  co_return true;
}

void NodeProcess::ApplyWorkerRow(std::uint64_t term,
                                 const platform::StoreRow& row) {
  const Millis now = clock_.Now();
  if (row.removed) {
    scheduler_.RemoveWorker(row.key);
    return;
  }
  auto entry = platform::DecodeWorker(row.key, row.value);
  if (!entry) {
    LogLine(LogLevel::kDebug, "worker_entry_unreadable")
        .With("key", row.key)
        .With("error", entry.error().what);
    scheduler_.RemoveWorker(row.key);
    return;
  }
  entry->version = row.version;
  if (scheduler_.UpsertWorker(*entry, now)) {
    pool_.Spawn("fence_off", FenceOffFormerOrders(term, row.key));
  }
}

Awaitable<void> NodeProcess::FenceOffFormerOrders(std::uint64_t term,
                                                  std::string id) {
  constexpr int kAttempts = 3;
  for (int i = 0; i < kAttempts && IsLeading(term); ++i) {
    const jobs::Worker* worker = scheduler_.FindWorker(id);
    if (!worker || worker->ended || (worker->adopted && !worker->fence_due)) {
      co_return;
    }
    if (i > 0) {
      // A higher token is the version of another commit.
      renewal_wanted_since_ = clock_.Now();
      commit_signal_.Notify();
      co_await committed_signal_.Wait(kRetryPause);
      if (!IsLeading(term)) co_return;
    }
    co_await RenewWorker(term, id, false);
  }
}

// Starts a coroutine for the worker if it is known and has none.
void NodeProcess::WatchWorker(std::uint64_t term, const std::string& id) {
  if (!scheduler_.FindWorker(id) || !watched_workers_.insert(id).second) return;
  auto& signal = worker_signals_[id];
  if (!signal) signal = std::make_unique<kernel::Signal>(pool_.context());
  pool_.SpawnLoop("hold",
                  [this, term, id] { return RenewWorkerLoop(term, id); });
}

void NodeProcess::WatchAllWorkers(std::uint64_t term) {
  for (const auto& [id, worker] : scheduler_.workers()) WatchWorker(term, id);
}

Awaitable<void> NodeProcess::FollowWorkers(std::uint64_t term) {
  bool read = false;
  WatchAllWorkers(term);
  while (IsLeading(term)) {
    if (!read) {
      if (!co_await ReadWorkers(term)) co_return;
      read = true;
      RequestPlan();
      continue;
    }
    const Millis sent = clock_.Now();
    auto page = co_await platform_.Changes(platform::kWorkerEntryTable,
                                           workers_version_, kFeedWait);
    if (!IsLeading(term)) co_return;
    const Millis took = clock_.Now() - sent;
    if (!page) {
      LogLine(LogLevel::kWarning, "worker_feed_lost")
          .With("after", workers_version_)
          .With("ms", took.count)
          .With("error", page.error().what);
      read = false;
      if (page.error().failure != CallFailure::kHistoryLost) {
        co_await kernel::Sleep(kRetryPause);
      }
      continue;
    }
    if (page->store_ms > 0) RecordFeed(*page);
    for (const platform::StoreRow& it : page->rows) {
      ApplyWorkerRow(term, it);
      WatchWorker(term, it.key);
    }
    workers_version_ = std::max(workers_version_, page->version);
    // More changes may follow those of a full page.
    if (!page->full) {
      // Without changes, the store has answered at the end of the wait.
      const bool waited = page->rows.empty() && took >= kFeedWait;
      scheduler_.OnRegistrationsRead(waited ? sent + kFeedWait : sent);
    }
    RequestPlan();
  }
}

Awaitable<void> NodeProcess::RenewWorkerLoop(std::uint64_t term,
                                             std::string id) {
  Millis commit_wait_ends = clock_.Now() + kCommitWait;
  while (IsLeading(term)) {
    jobs::Worker* worker = scheduler_.FindWorker(id);
    if (!worker) break;
    kernel::Signal& signal = *worker_signals_.at(id);
    const Millis now = clock_.Now();
    switch (NextRenewalStep(*worker, CanSendOrders(), commit_wait_ends, now)) {
      case RenewalStep::kRest:
        co_await signal.Wait(kIdleCheck);
        break;
      case RenewalStep::kAwaitPermission:
        co_await signal.Wait(kRetryPause);
        break;
      case RenewalStep::kAwaitCommit:
        commit_signal_.Notify();
        co_await signal.Wait(commit_wait_ends - now);
        break;
      case RenewalStep::kRequest:
        co_await RenewWorker(term, id, true);
        commit_wait_ends = clock_.Now() + kCommitWait;
        break;
    }
  }
  if (IsLeading(term)) {
    watched_workers_.erase(id);
    worker_signals_.erase(id);
  }
}

Awaitable<void> NodeProcess::RenewWorker(std::uint64_t term, std::string id,
                                         bool may_wait) {
  jobs::Worker* worker = scheduler_.FindWorker(id);
  if (!worker || worker->ended || !CanSendOrders()) co_return;
  const Millis sent = clock_.Now();
  const jobs::WorkerEntry entry = scheduler_.EntryForCalls(*worker);
  const bool wait = may_wait && !entry.brief_connections && worker->adopted &&
                    !worker->unresponsive &&
                    (!worker->runs.empty() || worker->unknown_runs > 0) &&
                    worker->reported_end_number == worker->committed_end_number;
  // After a silence the worker may have restarted, and then numbers its ends
  // from the start again.
  const std::int64_t acknowledged =
      worker->unresponsive ? 0 : worker->committed_end_number;
  // A worker that doesn't respond may still receive requests. Its lease isn't
  // extended, so that its runs are certain to end.
  const std::int64_t deadline =
      worker->unresponsive ? 0 : scheduler_.LeaseEnd(*worker, sent);
  const Millis report_wait = wait ? kReportWait : Millis{0};
  if (deadline > 0) scheduler_.RecordLease(*worker, sent);
  const std::uint64_t fence = FenceFor(*worker);
  std::string body =
      platform::EncodeHold(fence, acknowledged, deadline, report_wait);
  const std::int64_t started_at_ms = worker->started_at_ms;
  const int restarts = worker->restarts;
  auto report = co_await platform_.Hold(entry, std::move(body),
                                        report_wait + kReportTimeoutSlack,
                                        OrderPermission(term));
  if (!IsLeading(term)) co_return;
  worker = scheduler_.FindWorker(id);
  if (!worker) co_return;
  const Millis now = clock_.Now();
  const bool restarted = scheduler_.OnLeaseCallEnded(id, restarts, now);
  if (!report && report.error().failure == CallFailure::kOverload) co_return;
  // The former incarnation's silence tells nothing of the present one.
  if (!report && restarted) co_return;
  if (!report) {
    if (!worker->unresponsive) {
      LogLine(LogLevel::kWarning, "worker_silent")
          .With("worker", id)
          .With("address", entry.address)
          .With("runs", worker->runs.size())
          .With("error", report.error().what);
    }
    worker->unresponsive = true;
    jobs::RecordContact(*worker, report.error().refused, now);
    if (report.error().failure == CallFailure::kConflict &&
        !IsOutdated(id, fence)) {
      StepDown("a worker has accepted a newer fencing token");
      co_return;
    }
    if (may_wait)
      co_await worker_signals_.at(id)->Wait(kSilentWorkerRetryPause);
    co_return;
  }
  const bool first = !worker->adopted;
  scheduler_.OnReport(id, *report, sent, now);
  if (worker->started_at_ms == started_at_ms || started_at_ms == 0) {
    worker->confirmed_end_number =
        std::max(worker->confirmed_end_number, acknowledged);
  }
  if (first || scheduler_.HasChanges()) commit_signal_.Notify();
  RequestPlan();
  if (worker->fence_due && may_wait) {
    renewal_wanted_since_ = now;
    commit_signal_.Notify();
    co_await committed_signal_.Wait(kRetryPause);
    co_return;
  }
  if (entry.brief_connections && may_wait) {
    co_await kernel::Sleep(kBriefReportInterval);
    co_return;
  }
  // Delays the next request: while the store is unavailable the worker would
  // report the unacknowledged ends again immediately.
  if (worker->reported_end_number > worker->committed_end_number && !wait &&
      may_wait) {
    co_await worker_signals_.at(id)->Wait(kRetryPause);
  }
}

Awaitable<void> NodeProcess::PlanLoop(std::uint64_t term) {
  bool starts_held = false;
  while (IsLeading(term)) {
    if (!plan_due_) co_await plan_signal_.Wait(kPlanInterval);
    const Millis begin = clock_.Now();
    co_await kernel::Sleep(kPlanDelay);
    plan_due_ = false;
    if (!IsLeading(term)) co_return;
    const Millis now = clock_.Now();
    RecordTurn(now - begin - kPlanDelay);
    const int room = start_window_.Room(starts_in_flight_);
    const bool may_start = CanSendOrders() && KnowsDrainingWorkers(now);
    const auto max_starts = static_cast<std::size_t>(may_start ? room : 0);
    if (CanSendOrders() && !may_start && !starts_held) {
      LogLine(LogLevel::kWarning, "starts_held")
          .With("registrations_ms_old", RegistrationsAge(now).count);
    }
    starts_held = !may_start;
    jobs::Orders orders = scheduler_.Plan(now, clock_.Wall(), max_starts);
    if (!orders.starts.empty()) {
      metrics_.Observe("hemlockward_registrations_age_ms", "",
                       static_cast<double>(RegistrationsAge(now).count));
    }
    if (orders.needs_renewal) {
      plan_awaits_renewal_ = true;
      renewal_wanted_since_ = std::max(renewal_wanted_since_, now);
    }
    const bool commit_due = orders.needs_renewal || scheduler_.HasChanges();
    Execute(term, std::move(orders));
    if (commit_due) commit_signal_.Notify();
  }
}

bool NodeProcess::KnowsDrainingWorkers(Millis now) const {
  if (commit_failed_ || IsStoreStalled(now)) return true;
  return RegistrationsAge(now) + kOrderTimeout <= settings_.drain_notice;
}

Millis NodeProcess::RegistrationsAge(Millis now) const {
  return now - scheduler_.registrations_as_of().value_or(lease_taken_);
}

void NodeProcess::RecordFeed(const platform::StorePage& page) {
  const Millis transit{StoreTime() - page.store_ms};
  metrics_.Observe("hemlockward_worker_feed_ms", "",
                   static_cast<double>(transit.count));
  if (transit > kSlowFeed) {
    LogLine(LogLevel::kWarning, "worker_feed_slow")
        .With("ms", transit.count)
        .With("rows", page.rows.size())
        .With("starts_in_flight", starts_in_flight_);
  }
}

void NodeProcess::RecordTurn(Millis turn) {
  metrics_.Observe("hemlockward_event_loop_turn_ms", "",
                   static_cast<double>(turn.count));
  if (turn > kSlowTurn) {
    LogLine(LogLevel::kWarning, "event_loop_slow")
        .With("ms", turn.count)
        .With("starts_in_flight", starts_in_flight_);
  }
}

void NodeProcess::Execute(std::uint64_t term, jobs::Orders orders) {
  std::set<std::string> started;
  for (jobs::StartOrder& it : orders.starts) {
    started.insert(it.worker);
    pool_.Spawn("start", ExecuteStart(term, std::move(it)));
  }
  for (const std::string& id : started) {
    const auto it = worker_signals_.find(id);
    if (it != worker_signals_.end()) it->second->Notify();
  }
  for (jobs::StopOrder& it : orders.stops) {
    pool_.Spawn("stop_run", ExecuteStop(term, std::move(it)));
  }
  for (jobs::PaceOrder& it : orders.paces) {
    pool_.Spawn("pace", ExecutePace(term, std::move(it)));
  }
  for (auto& [step, workers] : orders.advice) {
    pool_.Spawn("advice", ExecuteAdvice(term, step, std::move(workers)));
  }
}

Awaitable<void> NodeProcess::ExecuteStart(std::uint64_t term,
                                          jobs::StartOrder order) {
  jobs::Worker* worker = scheduler_.FindWorker(order.worker);
  const jobs::Job* job = scheduler_.FindJob(order.task.job);
  const Millis sent = clock_.Now();
  if (!worker || !job || !CanSendOrders()) {
    scheduler_.OnStart(order, jobs::StartAnswer::kRefused, sent);
    co_return;
  }
  const jobs::WorkerEntry entry = scheduler_.EntryForCalls(*worker);
  const std::string payload = job->spec.payload;
  const int restarts = worker->restarts;
  const std::uint64_t fence = FenceFor(*worker);
  platform::StartRequest request{order.task,        order.run, payload,
                                 order.deadline_ms, fence,     order.checkpoint,
                                 order.ticket};
  platform::OrderReply reply;
  ++starts_in_flight_;
  // The worker may have begun to drain, or be smaller, since it was chosen.
  bool too_late = false;
  std::optional<Millis> connected;
  const auto may_send = [this, term, sent, &too_late, &connected] {
    connected = clock_.Now();
    too_late = *connected - sent > kOrderTimeout;
    return !too_late && IsLeading(term) && CanSendOrders();
  };
  auto answer =
      co_await platform_.Start(entry, request, kOrderTimeout, &reply, may_send);
  if (too_late) answer = jobs::StartAnswer::kNoConnection;
  const Millis now = clock_.Now();
  // Tasks may be waiting for room in the window.
  if (start_window_.Room(starts_in_flight_--) == 0) RequestPlan();
  // A wait for a connection tells nothing of the leader's link.
  if (connected) start_window_.OnAnswer(now - *connected, now);
  metrics_.Observe("hemlockward_start_ms", "",
                   static_cast<double>((now - sent).count));
  metrics_.Count("hemlockward_starts_total",
                 "answer=\"" + std::string(jobs::ToText(answer)) + "\"");
  LogLine(LogLevel::kInfo, "run_started")
      .With("task", order.task.ToText())
      .With("run", order.run)
      .With("worker", order.worker)
      .With("fence", fence)
      .With("answer", jobs::ToText(answer))
      .With("reason", reply.reason)
      .With("ms", (now - sent).count);
  if (!IsLeading(term)) co_return;
  const bool fenced = answer == jobs::StartAnswer::kFenced;
  if (fenced && !IsOutdated(order.worker, fence)) {
    StepDown("a worker has accepted a newer fencing token");
    co_return;
  }
  scheduler_.OnStart(order, answer, now);
  scheduler_.OnLeaseCallEnded(order.worker, restarts, now);
  const bool restarted =
      scheduler_.OnClock(order.worker, reply.clock_ms, sent, now);
  if (restarted || answer == jobs::StartAnswer::kUnknown) {
    co_await RenewWorker(term, order.worker, false);
  }
  if (restarted || answer != jobs::StartAnswer::kStarted) RequestPlan();
}

Awaitable<void> NodeProcess::ExecuteStop(std::uint64_t term,
                                         jobs::StopOrder order) {
  jobs::Worker* worker = scheduler_.FindWorker(order.worker);
  bool answered = false;
  if (worker && CanSendOrders()) {
    const jobs::WorkerEntry entry = scheduler_.EntryForCalls(*worker);
    std::string body =
        platform::EncodeStop(order.task, order.run, FenceFor(*worker));
    answered = co_await platform_.Stop(entry, std::move(body), kOrderTimeout,
                                       OrderPermission(term));
  }
  LogLine(LogLevel::kInfo, "run_stopped")
      .With("task", order.task.ToText())
      .With("run", order.run)
      .With("worker", order.worker)
      .With("answered", answered);
  if (!IsLeading(term)) co_return;
  // Only a report requested after the stop shows whether the run existed.
  if (scheduler_.OnStop(order, answered, clock_.Now())) {
    co_await kernel::Sleep(kNextMillisecond);
    co_await RenewWorker(term, order.worker, false);
    RequestPlan();
  }
}

Awaitable<void> NodeProcess::ExecutePace(std::uint64_t term,
                                         jobs::PaceOrder order) {
  jobs::Worker* worker = scheduler_.FindWorker(order.worker);
  if (!worker || !CanSendOrders() || !IsLeading(term)) co_return;
  const jobs::WorkerEntry entry = scheduler_.EntryForCalls(*worker);
  std::string body = platform::EncodePace(order.task, order.run, order.percent,
                                          FenceFor(*worker));
  const bool done = co_await platform_.Pace(
      entry, std::move(body), kOrderTimeout, OrderPermission(term));
  LogLine(LogLevel::kInfo, "run_paced")
      .With("task", order.task.ToText())
      .With("worker", order.worker)
      .With("percent", order.percent)
      .With("answered", done);
}

Awaitable<void> NodeProcess::ExecuteAdvice(std::uint64_t term, std::string step,
                                           std::vector<std::string> workers) {
  constexpr Millis kAdviceTimeout = base::Seconds(5);
  const Millis sent = clock_.Now();
  auto advice = co_await platform_.Advise(step, workers, kAdviceTimeout);
  if (!IsLeading(term)) co_return;
  if (!advice) {
    LogLine(LogLevel::kWarning, "advice_failed")
        .With("step", step)
        .With("error", advice.error().what);
    co_await kernel::Sleep(kRetryPause);
    if (IsLeading(term)) {
      const Millis now = clock_.Now();
      scheduler_.OnAdvice(step, workers, {}, {0}, now, now);
    }
  } else {
    scheduler_.OnAdvice(step, workers, advice->tickets, advice->valid, sent,
                        clock_.Now());
  }
  RequestPlan();
}

Awaitable<void> NodeProcess::FleetLoop(std::uint64_t term) {
  while (IsLeading(term)) {
    co_await kernel::Sleep(kFleetInterval);
    if (!IsLeading(term) || !CanSendOrders() || settings_.machines.empty())
      continue;
    const Millis sent = clock_.Now();
    if (fleet_.IsListingDue(sent)) {
      fleet_.RecordListing(sent);
      auto vms = co_await platform_.Machines(kVmCallTimeout);
      if (!IsLeading(term)) co_return;
      if (!vms) {
        LogLine(LogLevel::kWarning, "machines_not_listed")
            .With("error", vms.error().what);
      } else {
        fleet_.OnVms(*vms, sent);
        scheduler_.OnVmsListed(*vms, sent, clock_.Now());
        RequestPlan();
      }
    }
    if (!CanSendVmOrders()) continue;
    auto orders = fleet_.Plan(waves_, scheduler_, clock_.Now());
    if (!orders.empty()) {
      // Commits the orders before they are sent, so that the next leader knows
      // them.
      const std::uint64_t row =
          scheduler_.WriteRow(fleet_.RecentOrders(clock_.Now(), StoreOffset()));
      commit_signal_.Notify();
      while (IsLeading(term) && scheduler_.rows_committed() < row) {
        co_await committed_signal_.Wait(kCommitWait);
      }
      if (!IsLeading(term)) co_return;
    }
    for (auto& it : orders) {
      pool_.Spawn("machine", ExecuteVmOrder(term, std::move(it)));
    }
    co_await WriteWaveStates(term);
  }
}

Awaitable<void> NodeProcess::ExecuteVmOrder(std::uint64_t term,
                                            jobs::VmOrder order) {
  using jobs::VmAnswer;
  const platform::Authority authority{settings_.name, fence_};
  tl::expected<bool, platform::CallError> done;
  if (!CanSendVmOrders()) {
    if (!IsLeading(term)) co_return;
    LogLine(LogLevel::kInfo, "machine_order_not_sent")
        .With("machine", order.vm)
        .With("renewed_ms_ago", (clock_.Now() - renewed_).count);
    fleet_.OnAnswer(order, VmAnswer::kBusy, scheduler_, clock_.Now());
    co_return;
  }
  last_vm_order_ = clock_.Now();
  if (order.wave > 0) {
    done = co_await platform_.Upkeep(authority, order.vm, order.wave,
                                     kVmCallTimeout, VmOrderPermission(term));
  } else {
    done = co_await platform_.Move(authority, order.vm, order.pool,
                                   kVmCallTimeout, VmOrderPermission(term));
  }
  if (!IsLeading(term)) co_return;
  VmAnswer answer = VmAnswer::kDone;
  if (!done) {
    LogLine(LogLevel::kWarning, "machine_order_failed")
        .With("machine", order.vm)
        .With("error", done.error().what);
    answer = done.error().failure == CallFailure::kUnknown ? VmAnswer::kUnknown
                                                           : VmAnswer::kBusy;
  }
  metrics_.Count("hemlockward_machine_orders_total",
                 std::string("kind=\"") + (order.wave > 0 ? "upkeep" : "move") +
                     "\",answer=\"" + std::string(ToText(answer)) + "\"");
  fleet_.OnAnswer(order, answer, scheduler_, clock_.Now());
  commit_signal_.Notify();
  RequestPlan();
}

Awaitable<void> NodeProcess::WriteWaveStates(std::uint64_t term) {
  for (const auto& [number, wave] : waves_) {
    if (!IsLeading(term) || !CanSendOrders()) co_return;
    const bool complete = fleet_.IsComplete(wave);
    const auto it = written_wave_states_.find(number);
    if (it != written_wave_states_.end() && it->second == complete) continue;
    if (it != written_wave_states_.end() && it->second) continue;
    platform::StoreTransaction transaction;
    const std::string key =
        std::string(platform::kWavePrefix) + std::to_string(number);
    transaction.writes.push_back(
        {platform::kStatusTable, key, platform::EncodeWaveState(complete)});
    // A write of an earlier leader that takes effect late must not replace a
    // newer state.
    if (!complete) {
      transaction.conditions.push_back({platform::kStatusTable, key, 0});
    }
    auto done = co_await platform_.Commit(transaction, kReadTimeout);
    if (!IsLeading(term)) co_return;
    const bool exists = !done && done.error().failure == CallFailure::kConflict;
    if (!done && !exists) co_return;
    written_wave_states_[number] = complete;
    LogLine(LogLevel::kInfo, "wave_state")
        .With("wave", number)
        .With("completed", complete);
  }
}

}  // namespace hemlockward::node
