#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "entry/claims.h"
#include "platform/services.h"

namespace hemlockward::entry {

/// Outcomes of asynchronous requests in the platform's object store, under
/// `outcome/<key>`, where every entry can read them.
class OutcomeStore {
 public:
  explicit OutcomeStore(platform::ObjectClient& objects) : objects_(objects) {}

  /// Stores an outcome, retrying until `limit` has passed. False when it wasn't
  /// stored. A stored outcome is never replaced.
  boost::asio::awaitable<bool> Put(std::string key, OutcomePtr outcome,
                                   base::Millis limit);
  /// Null when there is none or the store can't be read.
  boost::asio::awaitable<OutcomePtr> Get(std::string key);

 private:
  platform::ObjectClient& objects_;
  base::SystemClock clock_;
};

/// One line of JSON, then the unmodified body.
std::string EncodeOutcome(const StoredOutcome& outcome);
/// Null when the bytes aren't a complete stored outcome.
OutcomePtr DecodeOutcome(std::string_view bytes);

}  // namespace hemlockward::entry
