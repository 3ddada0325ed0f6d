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
  /// How often a transaction whose answer was lost is sent again under its
  /// nonce before it is reported as kUnknown.
  int resend_attempts = 2;
  base::Millis resend_delay{50};  ///< Before the first of them; then doubled.
};

/// The platform's table over HTTP; fulfils the concept Table.
///
/// The client must outlive the coroutines that its functions return.
class TableClient {
 public:
  TableClient(kernel::HttpClient& http, TableSettings settings);

  /// Sends the transaction. A lost answer is settled by sending the same nonce
  /// again. kUnavailable is reported only when no attempt can have written.
  Result<Committed> Transact(Transaction transaction);
  /// Absent rows are left out. One attempt; fails with kUnavailable.
  Result<std::vector<Row>> Read(std::vector<std::string> keys);
  /// Rows whose key starts with `prefix` and lies after `after`, by key.
  Result<ScanPage> Scan(std::string prefix, std::string after, int limit);

 private:
  kernel::HttpClient& http_;
  TableSettings settings_;
};

static_assert(Table<TableClient>);

}  // namespace hemlockward::platform
