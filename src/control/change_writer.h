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

/// All changes of fleet rows are committed here.
namespace hemlockward::control {

/// Rows to write, and the row versions that the decision was based on.
struct Change {
  std::vector<platform::Condition> conditions;
  std::vector<base::RowChange> rows;
  /// When set, the change fails with a conflict unless this is the current
  /// revision. For decisions that depend on the whole view.
  std::optional<base::Revision> required_revision;
};

/// A committed change. Every row in it has `version` now.
struct Accepted {
  base::Revision revision = 0;
  platform::RowVersion version = 0;
};

/// Builds the transaction that commits `change` as the revision after `head`.
/// It writes the rows, the log record and the new head, on condition that the
/// head and the rows named in `change` are unmodified. Fills `record`.
platform::Transaction MakeTransaction(const Change& change,
                                      const platform::Row& head,
                                      std::string nonce,
                                      base::ChangeRecord& record);

/// Commits each change as one transaction with the next revision. Thread-safe;
/// a writer that loses the race for the head row retries.
template <platform::Table TableT>
class ChangeWriter {
 public:
  ChangeWriter(TableT& table, peer::ViewStore& store, std::uint64_t seed)
      : table_(table), store_(store), random_(seed) {}

  /// Returns `Accepted` if the commit is confirmed, kConflict if a condition of
  /// `change` fails, kUnavailable if certainly nothing was written, and
  /// kUnknown if the outcome could not be determined.
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

  // Reads the head row. After a conflict it also reads the conditions: if one
  // fails, the change is rejected; otherwise another writer took the revision
  // and this writer tries the next one.
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
        *change.required_revision != peer::ParseHeadRevision(head.value)) {
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

  // Resends the transaction until its outcome is known. This is safe: the nonce
  // stays the same and the condition on the head allows only one commit.
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

  // Called when the head has passed this record's revision. If the log holds
  // this record at that revision, the transaction had committed.
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
