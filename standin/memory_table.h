#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "platform/platform.h"
#include "platform/wire.h"

namespace hemlockward::standin {

/// The transactional table in memory. Thread-safe; each call is atomic.
class MemoryTable {
 public:
  /// Writes all rows if every condition holds. A nonce seen before is answered
  /// as the first time and writes nothing.
  platform::TransactReply Transact(const platform::Transaction& transaction);
  [[nodiscard]] std::vector<platform::Row> Read(
      const std::vector<std::string>& keys) const;
  [[nodiscard]] platform::ScanPage Scan(
      const platform::ScanRequest& request) const;

 private:
  [[nodiscard]] std::vector<std::string> Conflicts(
      const std::vector<platform::Condition>& conditions) const;
  void Remember(const std::string& nonce, const platform::TransactReply& reply);

  mutable std::mutex mutex_;  // Guards the members below.
  platform::RowVersion version_ = 0;
  std::map<std::string, platform::Row, std::less<>> rows_;
  std::map<std::string, platform::TransactReply, std::less<>> replies_;
  std::deque<std::string> nonces_;  // Of replies_, oldest first.
};

}  // namespace hemlockward::standin
