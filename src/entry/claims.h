#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/types.h"
#include "entry/owner.h"

/// The records with which the owner of a key runs it at most once.
namespace hemlockward::entry {

/// The outcome of a request, as returned to every caller with its key.
struct StoredOutcome {
  base::Outcome outcome = base::Outcome::kUnknown;
  int status = 0;  ///< The target's HTTP status with kDone, else ours.
  std::string content_type;
  std::string body;
  std::string reason;
  std::string request_id;  ///< Of the call that ran.
};

using OutcomePtr = std::shared_ptr<const StoredOutcome>;

enum class ClaimState : std::uint8_t {
  kRun,        ///< The caller now holds the claim: run it, then call Finish.
  kJoin,       ///< Another call holds the claim; Finish returns the waiter.
  kFinished,   ///< `outcome` is the answer.
  kForgotten,  ///< Unknown: the key may have run; its record was dropped.
  kCancelled,  ///< Not-run: cancelled before it was sent; never runs.
  kTooOld,     ///< Not-run: never claimed here and past its lifetime.
  kFull,       ///< Not-run: too many claims; the key may be retried.
  kAbsent,     ///< Find only: there is no record and none was dropped.
};

std::string_view ToText(ClaimState value);

struct ClaimResult {
  ClaimState state = ClaimState::kRun;
  OutcomePtr outcome;  ///< With kFinished.
};

/// Identifies a call that waits for the outcome of another call's claim.
using Waiter = std::uint64_t;

enum class CancelState : std::uint8_t {
  kCancelled,  ///< The key never runs; answer `waiters` with not-run.
  kSent,       ///< Bytes may have reached a target; the run continues.
  kFinished,   ///< The run had already finished.
  kForgotten,  ///< The record was dropped.
  kFull,       ///< Not cancelled: no room for a record; retry later.
};

struct CancelResult {
  CancelState state = CancelState::kCancelled;
  bool was_claimed = false;  ///< A call holds the claim and must stop the run.
  std::vector<Waiter> waiters;
};

struct ClaimLimits {
  std::size_t max_claims = 500'000;
  /// Limit for all finished outcomes; the oldest are dropped first.
  std::size_t max_outcome_bytes = 256UL * 1024 * 1024;
};

/// The claims of one entry incarnation. Not thread-safe: the caller locks.
///
/// A key runs again only if its first run is known not to have run. Dropping a
/// record raises a watermark; no key with a timestamp at or below it runs. So
/// expiry, memory pressure or a wall clock set back never makes a key run
/// twice.
class Claims {
 public:
  Claims(ClaimLimits limits, KeyPolicy policy);

  /// Claims `key` for a call, or returns the state of its earlier claim. With
  /// kJoin, `waiter` is added to those that Finish or Cancel returns.
  ClaimResult Claim(const Key& key, Waiter waiter, base::WallMillis now);
  /// Records that bytes may now reach a target, so Cancel has no effect.
  /// False when the claim was cancelled: the request must not be sent.
  bool MarkSent(std::string_view key);
  /// Ends a claim and returns the waiters to answer. An outcome of kNotRun
  /// releases the key, so that it may be retried.
  std::vector<Waiter> Finish(std::string_view key, OutcomePtr outcome);
  /// Cancels a key that wasn't sent, even if it was never claimed.
  CancelResult Cancel(const Key& key, base::WallMillis now);
  /// The state of a key, without claiming it.
  [[nodiscard]] ClaimResult Find(const Key& key) const;
  /// Removes a waiter whose caller no longer waits.
  void RemoveWaiter(std::string_view key, Waiter waiter);
  /// Drops records past their lifetime; amortised constant per record.
  void Expire(base::WallMillis now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  [[nodiscard]] std::size_t outcome_bytes() const { return outcome_bytes_; }

 private:
  enum class State : std::uint8_t { kQueued, kSent, kFinished, kCancelled };

  /// Keys by timestamp; the views point into the keys of `records_`.
  using StampIndex = std::multimap<base::WallMillis, std::string_view>;

  struct Record {
    State state = State::kQueued;
    base::WallMillis timestamp{};
    OutcomePtr outcome;  ///< Null with kFinished: dropped to save memory.
    std::vector<Waiter> waiters;
    StampIndex::iterator expiry;  ///< In `expiry_`; its end: can't expire.
    StampIndex::iterator body;    ///< In `bodies_`; its end: no outcome.
  };

  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  using Records =
      std::unordered_map<std::string, Record, TextHash, std::equal_to<>>;

  void Insert(const Key& key, State state);
  void Erase(Records::iterator it);
  void DropOldestBodies();
  static std::size_t Bytes(const OutcomePtr& outcome);
  static ClaimResult Describe(const Record& record);

  ClaimLimits limits_;
  KeyPolicy policy_;
  Records records_;
  StampIndex expiry_;  ///< All records except those running past lifetime.
  StampIndex bodies_;  ///< Finished records with an outcome, oldest first.
  std::size_t outcome_bytes_ = 0;
  base::WallMillis watermark_{-1};
};

}  // namespace hemlockward::entry
