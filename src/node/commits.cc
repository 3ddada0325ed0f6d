// The leader's commits: each names the lease, renews it, and is settled before
// the next one is sent.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "node/process.h"

namespace hemlockward::node {

using base::LogLevel;
using base::LogLine;
using platform::CallFailure;

namespace {

/// Commits are gathered for this long: each is a priced call, and jobs take
/// seconds.
constexpr Millis kCommitInterval{20};
/// Sends of one transaction that may be under way at once: a part of the store
/// does them one after another.
constexpr int kMostSends = 3;
/// The same while the store reads fast: it loses calls or answers, and copies
/// don't wait for one another.
constexpr int kMostSendsToFast = 8;
/// Readings that may be under way while a commit is unanswered.
constexpr int kMostReadings = 2;
/// A commit unanswered for so long is read back: a store that is well answers
/// in 9 ms.
constexpr Millis kReadBackInterval{150};
/// Between two tries at a store that answers or resets at once.
constexpr Millis kRetryPause{100};

}  // namespace

Awaitable<void> NodeProcess::CommitLoop(std::uint64_t term) {
  while (Leads(term) && !handing_over_) {
    const Millis now = clock_.Now();
    const Millis due = renewed_ + kRenewInterval - now;
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

// Sends one transaction of `flight`; several may be under way.
Awaitable<void> NodeProcess::SendCommit(std::shared_ptr<CommitFlight> flight) {
  const Millis sent = clock_.Now();
  auto result = co_await platform_.Commit(flight->transaction, kCommitTimeout);
  --flight->in_flight;
  flight->answers.push_back({std::move(result), clock_.Now() - sent});
  flight->answered.Notify();
}

// Reads what an unanswered commit would have changed.
Awaitable<void> NodeProcess::ReadBack(std::shared_ptr<CommitFlight> flight) {
  const Millis asked = clock_.Now();
  auto page = co_await platform_.Read(kLeaseTable, kPart, "", kReadTimeout);
  --flight->readings;
  if (!page) co_return;  // The commit's own answer or time-out tells.
  NoteStoreTime(page->store_ms);
  flight->read_back.emplace_back(ReadLease(page->rows), clock_.Now() - asked);
  flight->answered.Notify();
}

// Commits one batch: sends its transaction, again while no answer comes, until
// it is known to be done, surely not done, or the lease is lost. All sends
// carry the same conditions, so that at most one takes effect.
Awaitable<bool> NodeProcess::CommitOnce(std::uint64_t term, bool release) {
  const jobs::Batch batch = loaded_ ? scheduler_.TakeBatch() : jobs::Batch{};
  const std::string beat = EncodeBeat(term, ++beat_number_, StoreTime());
  auto flight = std::make_shared<CommitFlight>(pool_.context());
  flight->transaction = ToTransaction(batch, beat, release);
  committing_ = true;
  const Millis sent = commit_started_ = clock_.Now();
  const CommitEnd end = co_await AwaitCommit(term, beat, release, flight);
  committing_ = false;
  if (end == CommitEnd::kNotDone && Leads(term) && !release) {
    // Its new jobs are refused, the rest goes into the next transaction.
    scheduler_.OnCommitFailed(batch);
    scheduler_.WithdrawUnstored();
    stored_signal_.Notify();
    co_await kernel::Sleep(kRetryPause);
    co_return true;
  }
  if (end != CommitEnd::kDone) {
    stored_signal_.Notify();
    co_return false;
  }
  renewed_ = std::max(renewed_, sent);
  metrics_.Observe("hemlockward_commit_ms", "",
                   static_cast<double>((clock_.Now() - sent).count));
  scheduler_.OnCommitted(batch);
  stored_signal_.Notify();
  if (!batch.shown.empty() || !batch.workers.empty()) Kick();
  for (const jobs::EndMark& mark : batch.ends) {
    const auto it = hold_signals_.find(mark.worker);
    if (it != hold_signals_.end()) it->second->Notify();
  }
  co_return true;
}

platform::StoreTransaction NodeProcess::ToTransaction(const jobs::Batch& batch,
                                                      const std::string& beat,
                                                      bool release) const {
  platform::StoreTransaction transaction;
  transaction.part = kPart;
  for (const jobs::RowWrite& it : batch.rows) {
    transaction.writes.push_back({it.table, it.key, it.value, it.remove});
  }
  transaction.conditions.push_back({kLeaseTable, kLeaseKey, fence_});
  transaction.conditions.push_back({kLeaseTable, kBeatKey, beat_version_});
  transaction.writes.push_back({kLeaseTable, kBeatKey, beat});
  if (release) {
    const LeaseRow row{settings_.name, settings_.peer,
                       incarnation_,   term_,
                       true,           clock_.Now() - machine_ordered_};
    transaction.writes.push_back({kLeaseTable, kLeaseKey, EncodeLease(row)});
  }
  return transaction;
}

Awaitable<CommitEnd> NodeProcess::AwaitCommit(
    std::uint64_t term, std::string beat, bool release,
    std::shared_ptr<CommitFlight> flight) {
  Millis next_send = clock_.Now();
  Millis next_reading = next_send + kReadBackInterval;
  bool unknown = false;  // A send without an answer may still take effect.
  while (Leads(term)) {
    const Millis now = clock_.Now();
    if (now >= next_reading && flight->readings < kMostReadings) {
      ++flight->readings;
      pool_.Spawn("read_back", ReadBack(flight));
      next_reading = now + kReadBackInterval;
    }
    if (now >= next_send && flight->in_flight < kMostSends) {
      if (flight->in_flight > 0) commit_timeout_.OnSilence();
      ++flight->in_flight;
      pool_.Spawn("send_commit", SendCommit(flight));
      next_send = now + commit_timeout_.value();
    }
    if (!flight->read_back.empty()) {
      const auto [view, reading] = std::move(flight->read_back.back());
      flight->read_back.pop_back();
      const CommitNews news = JudgeReadBack(view, beat, fence_, reading);
      if (news == CommitNews::kDone) {
        beat_version_ = view.beat_version;
        co_return CommitEnd::kDone;
      }
      if (news == CommitNews::kLeaseLost) {
        StepDown("lease lost");
        break;
      }
      const bool again = news == CommitNews::kNotReceived;
      if (again && flight->in_flight < kMostSendsToFast) {
        ++flight->in_flight;
        pool_.Spawn("send_commit", SendCommit(flight));
      }
      continue;
    }
    if (flight->answers.empty()) {
      const Millis due = std::min(next_send, next_reading);
      co_await flight->answered.Wait(std::max(due - now, kRetryPause));
      continue;
    }
    const auto [result, took] = std::move(flight->answers.back());
    flight->answers.pop_back();
    if (result) {
      commit_timeout_.OnAnswer(took);
      beat_version_ = result->version;
      NoteStoreTime(result->store_ms);
      co_return CommitEnd::kDone;
    }
    const platform::CallError& error = result.error();
    metrics_.Count("hemlockward_commit_failures_total",
                   "failure=\"" + std::string(ToText(error.failure)) + "\"");
    if (error.failure == CallFailure::kConflict) {
      // Either an earlier send was done, or the lease is another's.
      commit_timeout_.OnAnswer(took);
      const LeaseView view = ReadLease(error.rows);
      if (view.beat == beat && view.lease_version == fence_) {
        beat_version_ = view.beat_version;
        co_return CommitEnd::kDone;
      }
      LogLine(LogLevel::kWarning, "commit_refused")
          .With("beat", beat)
          .With("found", view.beat)
          .With("lease_version", view.lease_version)
          .With("fence", fence_);
      StepDown("lease lost");
      break;
    }
    LogLine(LogLevel::kWarning, "commit_failed")
        .With("beat", beat)
        .With("rows", flight->transaction.writes.size())
        .With("in_flight", flight->in_flight)
        .With("error", error.what);
    if (release) break;
    unknown = unknown || error.failure == CallFailure::kUnknown;
    if (!unknown && flight->in_flight == 0) co_return CommitEnd::kNotDone;
    // A store that answers or resets at once isn't asked at once again.
    const Millis soon = clock_.Now() + kRetryPause;
    next_send = flight->in_flight > 0 ? std::max(next_send, soon) : soon;
  }
  co_return CommitEnd::kLost;
}

// Commits what is left together with the end of the lease.
Awaitable<void> NodeProcess::HandOver(std::string_view reason, Millis limit) {
  const std::uint64_t term = term_;
  handing_over_ = true;
  while (committing_ && clock_.Now() < limit) {
    co_await stored_signal_.Wait(kRetryPause);
  }
  if (!Leads(term)) co_return;
  releasing_ = true;
  co_await CommitOnce(term, true);
  if (Leads(term)) StepDown(reason);
}

}  // namespace hemlockward::node
