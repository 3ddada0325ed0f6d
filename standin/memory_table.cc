#include "standin/memory_table.h"

#include <algorithm>

namespace hemlockward::standin {

using platform::Condition;
using platform::Row;
using platform::ScanPage;
using platform::ScanRequest;
using platform::Transaction;
using platform::TransactReply;
using platform::Write;

namespace {

constexpr std::size_t kRememberedNonces = 100'000;
constexpr int kMaxScanRows = 1000;

}  // namespace

TransactReply MemoryTable::Transact(const Transaction& transaction) {
  const std::lock_guard lock(mutex_);
  const auto seen = replies_.find(transaction.nonce);
  if (seen != replies_.end()) return seen->second;
  TransactReply reply;
  reply.conflicts = Conflicts(transaction.conditions);
  reply.committed = reply.conflicts.empty();
  if (reply.committed) {
    reply.version = ++version_;
    for (const Write& it : transaction.writes) {
      if (it.remove) {
        rows_.erase(it.key);
      } else {
        rows_[it.key] = Row{it.key, version_, it.value};
      }
    }
  }
  Remember(transaction.nonce, reply);
  return reply;
}

std::vector<std::string> MemoryTable::Conflicts(
    const std::vector<Condition>& conditions) const {
  std::vector<std::string> keys;
  for (const Condition& it : conditions) {
    const auto row = rows_.find(it.key);
    const platform::RowVersion version =
        row == rows_.end() ? 0 : row->second.version;
    if (version != it.version) keys.push_back(it.key);
  }
  return keys;
}

void MemoryTable::Remember(const std::string& nonce,
                           const TransactReply& reply) {
  replies_[nonce] = reply;
  nonces_.push_back(nonce);
  if (nonces_.size() <= kRememberedNonces) return;
  replies_.erase(nonces_.front());
  nonces_.pop_front();
}

std::vector<Row> MemoryTable::Read(const std::vector<std::string>& keys) const {
  const std::lock_guard lock(mutex_);
  std::vector<Row> rows;
  for (const std::string& it : keys) {
    const auto row = rows_.find(it);
    if (row != rows_.end()) rows.push_back(row->second);
  }
  return rows;
}

ScanPage MemoryTable::Scan(const ScanRequest& request) const {
  const std::lock_guard lock(mutex_);
  const int limit = std::clamp(request.limit, 1, kMaxScanRows);
  ScanPage page;
  auto it = request.after < request.prefix ? rows_.lower_bound(request.prefix)
                                           : rows_.upper_bound(request.after);
  for (; it != rows_.end() && it->first.starts_with(request.prefix); ++it) {
    if (static_cast<int>(page.rows.size()) == limit) {
      page.more = true;
      break;
    }
    page.rows.push_back(it->second);
  }
  return page;
}

}  // namespace hemlockward::standin
