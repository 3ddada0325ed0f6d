// The leader's commits. Each is conditional on the lease and renews it, and its
// outcome is known before the next one is sent.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "node/process.h"

namespace hemlockward::node {

using base::LogLevel;
using base::LogLine;
using platform::CallFailure;

namespace {

/// Minimum time between commits, to batch changes: each call is billed, and
/// jobs take seconds.
constexpr Millis kCommitInterval{20};
/// Maximum number of concurrent sends of one transaction: the store processes
/// the transactions of one partition sequentially.
constexpr int kMaxSends = 3;
/// The same while reads are fast: then the store loses requests or responses,
/// and duplicates don't queue behind each other.
constexpr int kMaxSendsToFastStore = 8;
/// Maximum number of concurrent reads while a commit is unanswered.
constexpr int kMaxReads = 2;
/// A commit without a response for this long is read back: a healthy store
/// responds in 9 ms.
constexpr Millis kReadBackInterval{150};
/// Delay between attempts when the store fails or resets them immediately.
constexpr Millis kRetryPause{100};

}  // namespace

Awaitable<void> NodeProcess::CommitLoop(std::uint64_t term) {
  while (IsLeading(term) && !handing_over_) {
    const Millis now = clock_.Now();
    const Millis due = renewed_ > renewal_wanted_since_
                           ? renewed_ + kRenewInterval - now
                           : Millis{0};
    const Millis pause = commit_started_ + kCommitInterval - now;
    if (pause.count > 0) {
      co_await kernel::Sleep(pause);
      continue;
    }
    const bool changes = loaded_ && scheduler_.HasChanges();
    if (!changes && due.count > 0) {
      co_await commit_signal_.Wait(due);
      continue;
    }
    if (!co_await CommitOnce(term, false)) co_return;
  }
}

// Sends the transaction of `pending` once; several sends may run concurrently.
Awaitable<void> NodeProcess::SendCommit(
    std::shared_ptr<PendingCommit> pending) {
  const Millis sent = clock_.Now();
  auto result = co_await platform_.Commit(pending->transaction, kCommitTimeout);
  const bool refused =
      !result && (result.error().failure == CallFailure::kNothingDone ||
                  result.error().failure == CallFailure::kOverload);
  pending->sends.OnEnd(refused);
  pending->answers.push_back({std::move(result), clock_.Now() - sent});
  pending->answered.Notify();
}

// Reads the lease rows, which an unanswered commit would have changed.
Awaitable<void> NodeProcess::ReadBack(std::shared_ptr<PendingCommit> pending) {
  const Millis asked = clock_.Now();
  auto page = co_await platform_.Read(kLeaseTable, kPart, "", kReadTimeout);
  --pending->readings;
  if (!page) co_return;  // The commit's own response or timeout decides.
  UpdateStoreTime(page->store_ms);
  pending->read_back.emplace_back(ReadLease(page->rows), clock_.Now() - asked);
  pending->answered.Notify();
}

// Commits one batch: resends its transaction until it is known to be applied or
// not applied, or the lease is lost. All sends carry the same conditions, so
// that at most one takes effect.
Awaitable<bool> NodeProcess::CommitOnce(std::uint64_t term, bool release) {
  const jobs::Batch batch = loaded_ ? scheduler_.TakeBatch() : jobs::Batch{};
  const std::string heartbeat =
      EncodeHeartbeat(term, ++heartbeat_number_, StoreTime());
  auto pending = std::make_shared<PendingCommit>(pool_.context());
  pending->transaction = ToTransaction(batch, heartbeat, release);
  committing_ = true;
  const Millis sent = commit_started_ = clock_.Now();
  const CommitOutcome end =
      co_await AwaitCommit(term, heartbeat, release, pending);
  committing_ = false;
  commit_failed_ = end == CommitOutcome::kNotDone;
  if (end == CommitOutcome::kNotDone && IsLeading(term) && !release) {
    // The batch's new jobs are rejected; its other changes go into the next
    // transaction.
    scheduler_.OnCommitFailed(batch);
    scheduler_.WithdrawUnstored();
    committed_signal_.Notify();
    co_await kernel::Sleep(kRetryPause);
    co_return true;
  }
  if (end != CommitOutcome::kDone) {
    committed_signal_.Notify();
    co_return false;
  }
  renewed_ = std::max(renewed_, sent);
  scheduler_.OnRenewed(renewed_);
  metrics_.Observe("hemlockward_commit_ms", "",
                   static_cast<double>((clock_.Now() - sent).count));
  scheduler_.OnCommitted(batch);
  committed_signal_.Notify();
  const bool awaited = std::exchange(plan_awaits_renewal_, false);
  if (awaited || !batch.jobs.empty() || !batch.workers.empty()) RequestPlan();
  for (const jobs::EndMark& mark : batch.ends) {
    const auto it = worker_signals_.find(mark.worker);
    if (it != worker_signals_.end()) it->second->Notify();
  }
  co_return true;
}

platform::StoreTransaction NodeProcess::ToTransaction(
    const jobs::Batch& batch, const std::string& heartbeat,
    bool release) const {
  platform::StoreTransaction transaction;
  transaction.part = kPart;
  for (const jobs::RowWrite& it : batch.rows) {
    transaction.writes.push_back({it.table, it.key, it.value, it.remove});
  }
  transaction.conditions.push_back({kLeaseTable, kLeaseKey, fence_});
  transaction.conditions.push_back(
      {kLeaseTable, kHeartbeatKey, heartbeat_version_});
  transaction.writes.push_back({kLeaseTable, kHeartbeatKey, heartbeat});
  if (release) {
    LeaseRow row = own_lease_;
    row.released = true;
    row.vm_order_age = clock_.Now() - last_vm_order_;
    transaction.writes.push_back({kLeaseTable, kLeaseKey, EncodeLease(row)});
  }
  return transaction;
}

Awaitable<CommitOutcome> NodeProcess::AwaitCommit(
    std::uint64_t term, std::string heartbeat, bool release,
    std::shared_ptr<PendingCommit> pending) {
  Millis next_send = clock_.Now();
  Millis next_reading = next_send + kReadBackInterval;
  while (IsLeading(term)) {
    const Millis now = clock_.Now();
    if (now >= next_reading && pending->readings < kMaxReads) {
      ++pending->readings;
      pool_.Spawn("read_back", ReadBack(pending));
      next_reading = now + kReadBackInterval;
    }
    if (now >= next_send && pending->sends.in_flight() < kMaxSends) {
      if (pending->sends.in_flight() > 0) commit_timeout_.OnTimeout();
      pending->sends.OnSend();
      pool_.Spawn("send_commit", SendCommit(pending));
      next_send = now + commit_timeout_.value();
    }
    if (!pending->read_back.empty()) {
      const auto [view, reading] = std::move(pending->read_back.back());
      pending->read_back.pop_back();
      const CommitStatus status =
          ClassifyReadBack(view, heartbeat, fence_, reading);
      if (status == CommitStatus::kDone) {
        heartbeat_version_ = view.heartbeat_version;
        co_return CommitOutcome::kDone;
      }
      if (status == CommitStatus::kLeaseLost) {
        StepDown("lease lost");
        break;
      }
      const bool again = status == CommitStatus::kNotReceived;
      if (again && pending->sends.in_flight() < kMaxSendsToFastStore) {
        pending->sends.OnSend();
        pool_.Spawn("send_commit", SendCommit(pending));
      }
      continue;
    }
    if (pending->answers.empty()) {
      const Millis due = std::min(next_send, next_reading);
      co_await pending->answered.Wait(std::max(due - now, kRetryPause));
      continue;
    }
    const auto [result, latency] = std::move(pending->answers.back());
    pending->answers.pop_back();
    if (result) {
      commit_timeout_.OnAnswer(latency);
      heartbeat_version_ = result->version;
      UpdateStoreTime(result->store_ms);
      co_return CommitOutcome::kDone;
    }
    const platform::CallError& error = result.error();
    metrics_.Count("hemlockward_commit_failures_total",
                   "failure=\"" + std::string(ToText(error.failure)) + "\"");
    if (error.failure == CallFailure::kConflict) {
      // Either an earlier send was applied, or another node holds the lease.
      commit_timeout_.OnAnswer(latency);
      const LeaseView view = ReadLease(error.rows);
      if (view.heartbeat == heartbeat && view.lease_version == fence_) {
        heartbeat_version_ = view.heartbeat_version;
        co_return CommitOutcome::kDone;
      }
      LogLine(LogLevel::kWarning, "commit_refused")
          .With("beat", heartbeat)
          .With("found", view.heartbeat)
          .With("lease_version", view.lease_version)
          .With("fence", fence_);
      StepDown("lease lost");
      break;
    }
    LogLine(LogLevel::kWarning, "commit_failed")
        .With("beat", heartbeat)
        .With("rows", pending->transaction.writes.size())
        .With("in_flight", pending->sends.in_flight())
        .With("error", error.what);
    if (release) break;
    if (pending->sends.AllRefused()) co_return CommitOutcome::kNotDone;
    // Delays the retry when the store fails or resets calls immediately.
    const Millis soon = clock_.Now() + kRetryPause;
    next_send =
        pending->sends.in_flight() > 0 ? std::max(next_send, soon) : soon;
  }
  co_return CommitOutcome::kLost;
}

// Commits the remaining changes and releases the lease in one transaction.
Awaitable<void> NodeProcess::HandOver(std::string_view reason, Millis limit) {
  const std::uint64_t term = term_;
  handing_over_ = true;
  while (committing_ && clock_.Now() < limit) {
    co_await committed_signal_.Wait(kRetryPause);
  }
  if (!IsLeading(term)) co_return;
  releasing_ = true;
  co_await CommitOnce(term, true);
  if (IsLeading(term)) StepDown(reason);
}

}  // namespace hemlockward::node
