#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "base/fleet.h"
#include "base/random.h"
#include "peer/view_sync.h"
#include "platform/platform.h"

/// The one way in which rows of the fleet are changed.
namespace hemlockward::control {

/// What is to be written, and the row versions on which it was decided.
struct Change {
  std::vector<platform::Condition> conditions;
  std::vector<base::RowChange> rows;
  /// When set, the change is refused as a conflict unless it directly follows
  /// this revision: for decisions that depend on the whole view.
  std::optional<base::Revision> required_revision;
};

/// A confirmed change. Every row in it now has `version`.
struct Accepted {
  base::Revision revision = 0;
  platform::RowVersion version = 0;
};

/// The transaction that makes `change` the record after `head`: the rows, the
/// log record and the new head, on the condition that none of them moved.
platform::Transaction MakeTransaction(const Change& change,
                                      const platform::Row& head,
                                      std::string nonce,
                                      base::ChangeRecord& record);

/// Commits changes: each is one transaction that takes the next revision.
/// Thread-safe; concurrent writers race on the head and retry.
template <platform::Table TableT>
class ChangeWriter {
 public:
  ChangeWriter(TableT& table, peer::ViewStore& store, std::uint64_t seed)
      : table_(table), store_(store), random_(seed) {}

  /// Returns only what is known: `Accepted` after the commit was confirmed,
  /// kConflict when a condition of `change` fails, kUnavailable when surely
  /// nothing was written, kUnknown when that couldn't be settled.
  platform::Result<Accepted> Write(Change change) {
    for (int i = 0; i < kMaxCommitAttempts; ++i) {
      auto head = co_await ReadHead(change, i > 0);
      if (!head) co_return tl::unexpected(head.error());
      base::ChangeRecord record;
      platform::Transaction transaction =
          MakeTransaction(change, *head, NewNonce(), record);
      auto committed =
          co_await TransactUntilKnown(std::move(transaction), record);
      if (committed) {
        store_.Apply(std::vector<base::ChangeRecord>{record});
        co_return Accepted{record.revision, committed->version};
      }
      if (committed.error().failure != platform::TableFailure::kConflict) {
        co_return tl::unexpected(committed.error());
      }
    }
    co_return Failed(platform::TableFailure::kUnavailable,
                     "too many writers race for the head");
  }

 private:
  static constexpr int kMaxCommitAttempts = 16;
  static constexpr int kMaxSendAttempts = 4;

  static tl::unexpected<platform::TableError> Failed(
      platform::TableFailure failure, std::string what) {
    return tl::unexpected(platform::TableError{failure, std::move(what)});
  }

  std::string NewNonce() {
    const std::lock_guard lock(mutex_);
    return base::RandomHex(random_);
  }

  // The head row. After a conflict the conditions are read as well: if one of
  // them fails the change is refused, otherwise another writer took the
  // revision and this one tries the next.
  platform::Result<platform::Row> ReadHead(const Change& change,
                                           bool check_conditions) {
    std::vector<std::string> keys{"head"};
    if (check_conditions) {
      for (const platform::Condition& it : change.conditions) {
        keys.push_back(it.key);
      }
    }
    auto rows = co_await table_.Read(std::move(keys));
    if (!rows) co_return tl::unexpected(rows.error());
    const platform::Row head = FindRow(*rows, "head");
    if (change.required_revision &&
        *change.required_revision != peer::ParseHead(head.value)) {
      co_return Failed(platform::TableFailure::kConflict,
                       "the fleet has changed");
    }
    if (check_conditions) {
      for (const platform::Condition& it : change.conditions) {
        if (FindRow(*rows, it.key).version == it.version) continue;
        co_return Failed(platform::TableFailure::kConflict,
                         "row " + it.key + " has changed");
      }
    }
    co_return head;
  }

  static platform::Row FindRow(const std::vector<platform::Row>& rows,
                               const std::string& key) {
    for (const platform::Row& it : rows) {
      if (it.key == key) return it;
    }
    return {key, 0, {}};
  }

  // Sends the transaction until its fate is known. Sending it again is safe:
  // it has one nonce, and its condition on the head lets it commit only once.
  platform::Result<platform::Committed> TransactUntilKnown(
      platform::Transaction transaction, base::ChangeRecord record) {
    bool maybe_written = false;
    platform::TableError error;
    for (int i = 0; i < kMaxSendAttempts; ++i) {
      auto committed = co_await table_.Transact(transaction);
      if (committed) co_return committed;
      error = committed.error();
      if (error.failure == platform::TableFailure::kUnknown) {
        maybe_written = true;
        continue;
      }
      if (!maybe_written) co_return tl::unexpected(error);
      if (error.failure == platform::TableFailure::kUnavailable) continue;
      co_return co_await ReadBack(record);
    }
    co_return Failed(platform::TableFailure::kUnknown, error.what);
  }

  // The head has moved past this record's revision. Whose record holds the
  // revision tells whether the lost answer was a commit.
  platform::Result<platform::Committed> ReadBack(base::ChangeRecord record) {
    std::vector<std::string> keys{base::LogKey(record.revision)};
    auto rows = co_await table_.Read(std::move(keys));
    if (!rows || rows->empty()) {
      co_return Failed(platform::TableFailure::kUnknown, "not read back");
    }
    const auto stored = base::DecodeChangeRecord(rows->front().value);
    if (stored && stored->nonce == record.nonce) {
      co_return platform::Committed{rows->front().version};
    }
    co_return Failed(platform::TableFailure::kConflict, "another commit won");
  }

  TableT& table_;
  peer::ViewStore& store_;
  std::mutex mutex_;  // Guards random_.
  base::Random random_;
};

}  // namespace hemlockward::control
