#pragma once

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <charconv>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "platform/platform.h"

/// Keeps the fleet view of a process up to date: from the change log in the
/// table, or from peers while the table can't be reached.
namespace hemlockward::peer {

namespace gen {
class DeltaRequest;
class DeltaReply;
}  // namespace gen

/// The newest view that this process has. Its revision never decreases.
/// Thread-safe.
class ViewStore {
 public:
  /// The current view. The returned object is immutable.
  [[nodiscard]] std::shared_ptr<const base::FleetView> Snapshot() const;
  [[nodiscard]] base::Revision revision() const;

  /// When the newest complete table read was sent, on the monotonic clock of
  /// this process; empty before the first one.
  [[nodiscard]] std::optional<base::Millis> table_read_sent() const;
  /// Records a table read that was sent at `sent` and returned the revision
  /// `head`. Ignored unless the view has reached that revision.
  void RecordTableRead(base::Millis sent, base::Revision head);

  /// Applies those of `records` that follow the current revision without a gap
  /// and returns their number.
  std::size_t Apply(std::span<const base::ChangeRecord> records);
  /// Replaces the view by `view` if that has a higher revision; otherwise
  /// returns false.
  bool Install(base::FleetView view);

  /// At most `limit` records after `revision`, in order; nullopt when they are
  /// no longer in memory, so that a snapshot has to be sent instead.
  [[nodiscard]] std::optional<std::vector<base::ChangeRecord>> RecordsSince(
      base::Revision revision, std::size_t limit) const;

 private:
  mutable std::mutex mutex_;  // First in the lock order ("view").
  std::shared_ptr<const base::FleetView> view_ =
      std::make_shared<base::FleetView>();
  std::deque<base::ChangeRecord> recent_;  // The last one is view_->revision.
  std::optional<base::Millis> table_read_sent_;
};

/// Fills the reply to a peer's request for changes from `store`.
void FillDeltaReply(const ViewStore& store, const gen::DeltaRequest& request,
                    gen::DeltaReply& reply);
/// Applies a peer's reply. Returns true when the revision of the view
/// increased. A record that can't be decoded is ignored, and so are all after
/// it.
bool ApplyDeltaReply(ViewStore& store, const gen::DeltaReply& reply);

/// Parses the value of the `head` row; 0 when it is not a number.
base::Revision ParseHeadRevision(std::string_view text);

/// Brings a ViewStore up to the head revision of the table. At most one
/// PollOnce may run at a time.
template <platform::Table TableT, base::ClockSource Clock>
class ViewPoller {
 public:
  ViewPoller(TableT& table, const Clock& clock, ViewStore& store)
      : table_(table), clock_(clock), store_(store) {}

  /// Reads the head, applies every record after the store's revision, and
  /// returns the head.
  platform::Result<base::Revision> PollOnce() {
    const base::Millis sent = clock_.Now();
    auto head = co_await ReadHead();
    if (!head) co_return tl::unexpected(head.error());
    auto reached = co_await Advance(*head);
    if (!reached) co_return tl::unexpected(reached.error());
    store_.RecordTableRead(sent, *head);
    co_return *head;
  }

 private:
  // A process with more records to catch up on scans all rows instead.
  static constexpr base::Revision kMaxReplayedRecords = 2000;
  static constexpr base::Revision kRecordsPerRead = 64;
  static constexpr int kRowsPerScan = 500;

  platform::Result<base::Revision> ReadHead() {
    std::vector<std::string> keys{"head"};
    auto rows = co_await table_.Read(std::move(keys));
    if (!rows) co_return tl::unexpected(rows.error());
    co_return rows->empty() ? 0 : ParseHeadRevision(rows->front().value);
  }

  platform::Result<bool> Advance(base::Revision head) {
    const base::Revision held = store_.revision();
    if (head <= held) co_return true;
    if (head - held <= kMaxReplayedRecords) {
      auto records = co_await ReadRecords(held, head);
      if (!records) co_return tl::unexpected(records.error());
      store_.Apply(*records);
      if (store_.revision() >= head) co_return true;
    }
    co_return co_await LoadSnapshot(head);
  }

  // The records in (from, to], up to the first missing one.
  platform::Result<std::vector<base::ChangeRecord>> ReadRecords(
      base::Revision from, base::Revision to) {
    std::vector<base::ChangeRecord> records;
    while (from < to) {
      const base::Revision last = std::min(to, from + kRecordsPerRead);
      std::vector<std::string> keys;
      for (base::Revision it = from + 1; it <= last; ++it) {
        keys.push_back(base::LogKey(it));
      }
      auto rows = co_await table_.Read(std::move(keys));
      if (!rows) co_return tl::unexpected(rows.error());
      std::sort(rows->begin(), rows->end(),
                [](const auto& a, const auto& b) { return a.key < b.key; });
      for (const platform::Row& row : *rows) {
        auto record = base::DecodeChangeRecord(row.value);
        if (!record || record->revision != from + 1) co_return records;
        records.push_back(std::move(*record));
        ++from;
      }
      if (from != last) co_return records;
    }
    co_return records;
  }

  // Scans all rows, then replays the records committed during the scan. A
  // scanned row may be newer than `before`, but not newer than `after`, which
  // is read last, and the records in between set every row that changed.
  platform::Result<bool> LoadSnapshot(base::Revision before) {
    base::FleetView view;
    for (const std::string_view prefix :
         {"doc/", "membership", "vm/", "wave/"}) {
      auto scanned = co_await ScanInto(std::string(prefix), view);
      if (!scanned) co_return tl::unexpected(scanned.error());
    }
    auto after = co_await ReadHead();
    if (!after) co_return tl::unexpected(after.error());
    auto records = co_await ReadRecords(before, *after);
    if (!records) co_return tl::unexpected(records.error());
    view.revision = before;
    for (const base::ChangeRecord& it : *records) view.Apply(it);
    if (view.revision != *after) co_return GapError();
    store_.Install(std::move(view));
    co_return true;
  }

  platform::Result<bool> ScanInto(std::string prefix, base::FleetView& view) {
    std::string after;
    for (;;) {
      auto page = co_await table_.Scan(prefix, after, kRowsPerScan);
      if (!page) co_return tl::unexpected(page.error());
      for (const platform::Row& it : page->rows) {
        view.ApplyRow(it.key, it.value);
      }
      if (!page->more || page->rows.empty()) co_return true;
      after = page->rows.back().key;
    }
  }

  static tl::unexpected<platform::TableError> GapError() {
    return tl::unexpected(platform::TableError{
        platform::TableFailure::kUnavailable, "the change log has a gap"});
  }

  TableT& table_;
  const Clock& clock_;
  ViewStore& store_;
};

}  // namespace hemlockward::peer
