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

/// What the owner of a key remembers of it, so that it runs at most once.
namespace hemlockward::entry {

/// How a request ended, as every caller under its key is told.
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
  kJoin,       ///< Another call holds it; the waiter is told at Finish.
  kFinished,   ///< `outcome` is the answer.
  kForgotten,  ///< Unknown: it may have run, its record is no longer held.
  kCancelled,  ///< Not-run: cancelled before it was sent, and stays so.
  kTooOld,     ///< Not-run: never claimed here and past its lifetime.
  kFull,       ///< Not-run: too many claims; the key may be tried again.
  kAbsent,     ///< Find only: no record, and none was dropped.
};

std::string_view ToText(ClaimState value);

struct ClaimResult {
  ClaimState state = ClaimState::kRun;
  OutcomePtr outcome;  ///< With kFinished.
};

/// Names a call that waits for a claim of another call.
using Waiter = std::uint64_t;

enum class CancelState : std::uint8_t {
  kCancelled,  ///< Won't run; `waiters` are to be answered not-run.
  kSent,       ///< Bytes may have reached a target; it goes on.
  kFinished,   ///< It had ended already.
  kForgotten,  ///< Its record is no longer held.
  kFull,       ///< Not cancelled: no room to remember it; try again later.
};

struct CancelResult {
  CancelState state = CancelState::kCancelled;
  bool was_claimed = false;  ///< A call holds the claim and must stop it.
  std::vector<Waiter> waiters;
};

struct ClaimLimits {
  std::size_t max_claims = 500'000;
  /// Bodies of finished outcomes; the oldest are dropped first.
  std::size_t max_outcome_bytes = 256UL * 1024 * 1024;
};

/// The claims of one incarnation. Not thread-safe: the owner of the table
/// locks.
///
/// A key runs again only if its first run ended as surely not-run. Dropped
/// records raise a watermark of key stamps at or below which nothing runs, so
/// that expiry, pressure or a wall clock set back never lets a key run twice.
class Claims {
 public:
  Claims(ClaimLimits limits, KeyPolicy policy);

  /// Claims `key` for a call, or says what became of it. With kJoin `waiter`
  /// is added to those that Finish or Cancel return.
  ClaimResult Claim(const Key& key, Waiter waiter, base::WallMillis now);
  /// From here on bytes may reach a target and Cancel can't take it back.
  /// False when the claim was cancelled meanwhile: it must not be sent.
  bool MarkSent(std::string_view key);
  /// Ends a claim and returns the waiters to answer. An outcome of kNotRun
  /// releases the key, so that it may be tried again.
  std::vector<Waiter> Finish(std::string_view key, OutcomePtr outcome);
  /// Cancels a key that wasn't sent; also one not seen yet.
  CancelResult Cancel(const Key& key, base::WallMillis now);
  /// Says what is known of a key without claiming it.
  [[nodiscard]] ClaimResult Find(const Key& key) const;
  /// Takes a waiter back whose caller has gone.
  void RemoveWaiter(std::string_view key, Waiter waiter);
  /// Drops records past their lifetime; amortised constant per record.
  void Expire(base::WallMillis now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  [[nodiscard]] std::size_t outcome_bytes() const { return outcome_bytes_; }

 private:
  enum class State : std::uint8_t { kQueued, kSent, kFinished, kCancelled };

  /// Keys by stamp; the views point into the keys of `records_`.
  using StampIndex = std::multimap<base::WallMillis, std::string_view>;

  struct Record {
    State state = State::kQueued;
    base::WallMillis timestamp{};
    OutcomePtr outcome;  ///< Null with kFinished: dropped under pressure.
    std::vector<Waiter> waiters;
    StampIndex::iterator expiry;  ///< In `expiry_`, or its end: can't expire.
    StampIndex::iterator body;    ///< In `bodies_`, or its end.
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
  StampIndex expiry_;  ///< All records but those found running past lifetime.
  StampIndex bodies_;  ///< Finished records with a body, oldest first.
  std::size_t outcome_bytes_ = 0;
  base::WallMillis watermark_{-1};
};

}  // namespace hemlockward::entry
