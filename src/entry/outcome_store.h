#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "entry/claims.h"
#include "platform/services.h"

namespace hemlockward::entry {

/// Outcomes of long requests in the platform's object store, under
/// `outcome/<key>`, where every entry finds them.
class OutcomeStore {
 public:
  explicit OutcomeStore(platform::ObjectClient& objects) : objects_(objects) {}

  /// Stores an outcome, trying again until `limit` has passed. False when the
  /// store never took it. An outcome once stored is never replaced.
  boost::asio::awaitable<bool> Put(std::string key, OutcomePtr outcome,
                                   base::Millis limit);
  /// Empty when there is none or the store can't be asked.
  boost::asio::awaitable<OutcomePtr> Get(std::string key);

 private:
  platform::ObjectClient& objects_;
  base::SystemClock clock_;
};

/// One line of JSON, then the body as it is.
std::string EncodeOutcome(const StoredOutcome& outcome);
/// Null when the bytes aren't a whole stored outcome.
OutcomePtr DecodeOutcome(std::string_view bytes);

}  // namespace hemlockward::entry
