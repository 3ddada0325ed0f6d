#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "platform/platform.h"

/// In-memory fakes of the interfaces that control uses, with fault injection.
namespace hemlockward::control {

/// Runs a coroutine to completion on its own context and returns its result.
template <class T>
T Await(boost::asio::awaitable<T> task) {
  boost::asio::io_context context;
  std::optional<T> result;
  std::exception_ptr error;
  boost::asio::co_spawn(context, std::move(task),
                        [&](std::exception_ptr e, T value) {
                          error = e;
                          result = std::move(value);
                        });
  context.run();
  if (error) std::rethrow_exception(error);
  return std::move(*result);
}

/// Fault of a table call. Reads and scans fail with kUnavailable for any fault.
enum class TableFault : std::uint8_t {
  kNone,
  kDown,         ///< Not executed; the caller gets kUnavailable.
  kReplyLost,    ///< Committed; the caller gets kUnknown.
  kRequestLost,  ///< Not committed; the caller gets kUnknown.
};

/// Transactional table; a transaction with a known nonce isn't executed again.
class FakeTable {
 public:
  std::map<std::string, platform::Row> rows;
  std::map<std::string, platform::RowVersion> nonces;
  platform::RowVersion newest = 0;
  TableFault next = TableFault::kNone;          ///< For the next call only.
  TableFault always = TableFault::kNone;        ///< For every call.
  TableFault on_transact = TableFault::kNone;   ///< Next transaction only.
  TableFault on_transacts = TableFault::kNone;  ///< Every transaction.
  bool forgets_nonces = false;
  std::function<void()>
      before_transact;  ///< Called once, to simulate a concurrent writer.

  platform::Result<platform::Committed> Transact(platform::Transaction t) {
    const auto other_writer = std::exchange(before_transact, nullptr);
    if (other_writer) other_writer();
    const TableFault fault = TakeTransactFault();
    if (fault == TableFault::kDown) co_return Failed(Kind::kUnavailable);
    if (fault == TableFault::kRequestLost) co_return Failed(Kind::kUnknown);
    if (const auto it = nonces.find(t.nonce); it != nonces.end()) {
      if (fault == TableFault::kReplyLost) co_return Failed(Kind::kUnknown);
      co_return platform::Committed{it->second};
    }
    for (const platform::Condition& it : t.conditions) {
      if (VersionOf(it.key) != it.version) co_return Failed(Kind::kConflict);
    }
    ++newest;
    for (platform::Write& it : t.writes) {
      if (it.remove) {
        rows.erase(it.key);
      } else {
        rows[it.key] = {it.key, newest, it.value};
      }
    }
    if (!forgets_nonces) nonces[t.nonce] = newest;
    if (fault == TableFault::kReplyLost) co_return Failed(Kind::kUnknown);
    co_return platform::Committed{newest};
  }

  platform::Result<std::vector<platform::Row>> Read(
      std::vector<std::string> keys) {
    if (TakeFault() != TableFault::kNone) co_return Failed(Kind::kUnavailable);
    std::vector<platform::Row> found;
    for (const std::string& key : keys) {
      const auto it = rows.find(key);
      if (it != rows.end()) found.push_back(it->second);
    }
    co_return found;
  }

  platform::Result<platform::ScanPage> Scan(std::string prefix,
                                            std::string after, int limit) {
    if (TakeFault() != TableFault::kNone) co_return Failed(Kind::kUnavailable);
    platform::ScanPage page;
    auto it =
        after.empty() ? rows.lower_bound(prefix) : rows.upper_bound(after);
    for (; it != rows.end() && it->first.starts_with(prefix); ++it) {
      if (static_cast<int>(page.rows.size()) == limit) {
        page.more = true;
        break;
      }
      page.rows.push_back(it->second);
    }
    co_return page;
  }

  [[nodiscard]] platform::RowVersion VersionOf(const std::string& key) const {
    const auto it = rows.find(key);
    return it == rows.end() ? 0 : it->second.version;
  }

 private:
  using Kind = platform::TableFailure;

  TableFault TakeFault() {
    const TableFault fault = always == TableFault::kNone ? next : always;
    next = TableFault::kNone;
    return fault;
  }
  TableFault TakeTransactFault() {
    const TableFault general = TakeFault();
    if (general != TableFault::kNone) return general;
    const TableFault once = std::exchange(on_transact, TableFault::kNone);
    return on_transacts == TableFault::kNone ? once : on_transacts;
  }
  static tl::unexpected<platform::TableError> Failed(Kind kind) {
    return tl::unexpected(platform::TableError{kind, "fault"});
  }
};

}  // namespace hemlockward::control
