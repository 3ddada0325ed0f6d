#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "kernel/http.h"
#include "platform/platform.h"

namespace hemlockward::platform {

struct TableSettings {
  std::string address;                      ///< `IP:port` of the platform.
  base::Millis timeout = base::Seconds(2);  ///< For one HTTP call.
  /// How often a transaction without a clear answer is sent again with its
  /// nonce before it is reported as kUnknown.
  int resend_attempts = 2;
  base::Millis resend_delay{50};  ///< Before the first retry; then doubled.
};

/// HTTP client of the platform's table; satisfies the concept Table.
///
/// The client must outlive the coroutines that its functions return.
class TableClient {
 public:
  TableClient(kernel::HttpClient& http, TableSettings settings);

  /// Sends the transaction, and sends it again with the same nonce if the
  /// answer was lost. Fails with kUnavailable only if no attempt can have
  /// written anything.
  Result<Committed> Transact(Transaction transaction);
  /// Returns the rows that exist. One attempt; fails with kUnavailable.
  Result<std::vector<Row>> Read(std::vector<std::string> keys);
  /// At most `limit` rows whose key starts with `prefix` and is greater than
  /// `after`, ordered by key. One attempt; fails with kUnavailable.
  Result<ScanPage> Scan(std::string prefix, std::string after, int limit);

 private:
  kernel::HttpClient& http_;
  TableSettings settings_;
};

static_assert(Table<TableClient>);

}  // namespace hemlockward::platform
