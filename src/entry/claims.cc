#include "entry/claims.h"

#include <algorithm>

namespace hemlockward::entry {

using base::WallMillis;

std::string_view ToText(ClaimState value) {
  switch (value) {
    case ClaimState::kRun:
      return "run";
    case ClaimState::kJoin:
      return "join";
    case ClaimState::kFinished:
      return "finished";
    case ClaimState::kForgotten:
      return "forgotten";
    case ClaimState::kCancelled:
      return "cancelled";
    case ClaimState::kTooOld:
      return "too old";
    case ClaimState::kFull:
      return "too many claims";
    case ClaimState::kAbsent:
      return "absent";
  }
  return "unknown";
}

Claims::Claims(ClaimLimits limits, KeyPolicy policy)
    : limits_(limits), policy_(policy) {}

// If the key's record is kQueued or kSent, the call waits for its outcome. The
// watermark (highest timestamp of a dropped record) is checked before the age:
// a key at or below it may have run, so its answer must not be not-run.
ClaimResult Claims::Claim(const Key& key, Waiter waiter, WallMillis now) {
  Expire(now);
  if (const auto it = records_.find(key.text); it != records_.end()) {
    ClaimResult result = Describe(it->second);
    if (result.state == ClaimState::kJoin) {
      it->second.waiters.push_back(waiter);
    }
    return result;
  }
  if (key.timestamp <= watermark_) return {ClaimState::kForgotten, nullptr};
  if (now - key.timestamp > policy_.key_lifetime) {
    return {ClaimState::kTooOld, nullptr};
  }
  if (records_.size() >= limits_.max_claims) {
    return {ClaimState::kFull, nullptr};
  }
  Insert(key, State::kQueued);
  return {ClaimState::kRun, nullptr};
}

bool Claims::MarkSent(std::string_view key) {
  const auto it = records_.find(key);
  if (it == records_.end()) return false;
  Record& record = it->second;
  if (record.state == State::kQueued) record.state = State::kSent;
  return record.state == State::kSent;
}

std::vector<Waiter> Claims::Finish(std::string_view key, OutcomePtr outcome) {
  const auto it = records_.find(key);
  if (it == records_.end()) return {};
  Record& record = it->second;
  std::vector<Waiter> waiters = std::move(record.waiters);
  record.waiters.clear();
  const bool open =
      record.state == State::kQueued || record.state == State::kSent;
  if (!open) return waiters;
  if (outcome->outcome == base::Outcome::kNotRun) {
    Erase(it);
    return waiters;
  }
  record.state = State::kFinished;
  record.outcome = std::move(outcome);
  outcome_bytes_ += Bytes(record.outcome);
  record.body = bodies_.emplace(record.timestamp, it->first);
  if (record.expiry == expiry_.end()) {
    record.expiry = expiry_.emplace(record.timestamp, it->first);
  }
  DropOldestBodies();
  return waiters;
}

CancelResult Claims::Cancel(const Key& key, WallMillis now) {
  Expire(now);
  const auto it = records_.find(key.text);
  if (it == records_.end()) {
    if (key.timestamp <= watermark_)
      return {CancelState::kForgotten, false, {}};
    if (records_.size() >= limits_.max_claims) {
      return {CancelState::kFull, false, {}};
    }
    Insert(key, State::kCancelled);
    return {};
  }
  Record& record = it->second;
  switch (record.state) {
    case State::kSent:
      return {CancelState::kSent, true, {}};
    case State::kFinished:
      return {CancelState::kFinished, false, {}};
    case State::kCancelled:
      return {};
    case State::kQueued:
      break;
  }
  record.state = State::kCancelled;
  CancelResult result;
  result.was_claimed = true;
  result.waiters = std::move(record.waiters);
  record.waiters.clear();
  return result;
}

ClaimResult Claims::Find(const Key& key) const {
  const auto it = records_.find(key.text);
  if (it != records_.end()) return Describe(it->second);
  const bool dropped = key.timestamp <= watermark_;
  return {dropped ? ClaimState::kForgotten : ClaimState::kAbsent, nullptr};
}

void Claims::RemoveWaiter(std::string_view key, Waiter waiter) {
  const auto it = records_.find(key);
  if (it != records_.end()) std::erase(it->second.waiters, waiter);
}

// Records in progress are kept at any age and leave the index until they
// finish. Twice the skew is added so that a record is dropped only after every
// entry refuses to run its key.
void Claims::Expire(WallMillis now) {
  const base::Millis kept = policy_.key_lifetime + policy_.max_skew * 2;
  while (!expiry_.empty() && now - expiry_.begin()->first > kept) {
    const auto it = records_.find(expiry_.begin()->second);
    Record& record = it->second;
    if (record.state == State::kQueued || record.state == State::kSent) {
      expiry_.erase(record.expiry);
      record.expiry = expiry_.end();
      continue;
    }
    watermark_ = std::max(watermark_, record.timestamp);
    Erase(it);
  }
}

void Claims::Insert(const Key& key, State state) {
  const auto it = records_.try_emplace(key.text).first;
  Record& record = it->second;
  record.state = state;
  record.timestamp = key.timestamp;
  record.expiry = expiry_.emplace(key.timestamp, it->first);
  record.body = bodies_.end();
}

void Claims::Erase(Records::iterator it) {
  Record& record = it->second;
  if (record.expiry != expiry_.end()) expiry_.erase(record.expiry);
  if (record.outcome != nullptr) outcome_bytes_ -= Bytes(record.outcome);
  if (record.body != bodies_.end()) bodies_.erase(record.body);
  records_.erase(it);
}

// Drops only the outcome; the record stays, so that the key can't run again.
void Claims::DropOldestBodies() {
  while (outcome_bytes_ > limits_.max_outcome_bytes && !bodies_.empty()) {
    const auto oldest = bodies_.begin();
    Record& record = records_.find(oldest->second)->second;
    outcome_bytes_ -= Bytes(record.outcome);
    record.outcome.reset();
    record.body = bodies_.end();
    bodies_.erase(oldest);
  }
}

std::size_t Claims::Bytes(const OutcomePtr& outcome) {
  return sizeof(StoredOutcome) + outcome->body.size() +
         outcome->content_type.size() + outcome->reason.size() +
         outcome->request_id.size();
}

ClaimResult Claims::Describe(const Record& record) {
  switch (record.state) {
    case State::kQueued:
    case State::kSent:
      return {ClaimState::kJoin, nullptr};
    case State::kCancelled:
      return {ClaimState::kCancelled, nullptr};
    case State::kFinished:
      break;
  }
  if (record.outcome == nullptr) return {ClaimState::kForgotten, nullptr};
  return {ClaimState::kFinished, record.outcome};
}

}  // namespace hemlockward::entry
