#pragma once

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "control/shard_lease.h"
#include "platform/platform.h"

/// Maintains the shard leases of this process: announces the process, renews
/// held leases, claims the shards that it is preferred for and releases those
/// that another process is preferred for.
namespace hemlockward::control {

struct LeaseSettings {
  std::string holder;        ///< `<name>.<incarnation>` of this process.
  std::string name;          ///< Key of its row `control/<name>`.
  std::string http_address;  ///< Announced to other processes.
  int shards = 4;            ///< The same for all processes.
  base::Millis lease = base::Seconds(6);
};

/// Tick must not run concurrently with itself; FenceIfHeld is thread-safe.
template <platform::Table TableT, base::ClockSource Clock>
class LeaseKeeper {
 public:
  LeaseKeeper(TableT& table, const Clock& clock, LeaseSettings settings,
              std::uint64_t seed)
      : table_(table),
        clock_(clock),
        settings_(std::move(settings)),
        watch_(settings_.lease * 2),
        random_(seed) {
    for (int i = 0; i < settings_.shards; ++i) {
      leases_.emplace_back(i, settings_.holder, settings_.lease);
    }
  }

  /// Fence of `shard`; empty if this process doesn't hold it now.
  [[nodiscard]] std::optional<Fence> FenceIfHeld(int shard) const {
    const base::Millis now = clock_.Now();
    const std::lock_guard lock(mutex_);
    return leases_[static_cast<std::size_t>(shard)].FenceIfHeld(now);
  }

  [[nodiscard]] int HeldCount() const {
    int n = 0;
    for (int i = 0; i < settings_.shards; ++i) n += FenceIfHeld(i) ? 1 : 0;
    return n;
  }

  /// Renews, claims and releases. Calls must be at most a sixth of a lease
  /// apart.
  boost::asio::awaitable<void> Tick() {
    co_await RenewHeld();
    const base::Millis now = clock_.Now();
    if (last_read_ && now - *last_read_ < ReadInterval()) co_return;
    last_read_ = now;
    co_await Announce();
    co_await ReadRows();
    co_await RebalanceShards();
  }

  /// Releases all leases for a planned stop. Claims nothing afterwards.
  boost::asio::awaitable<void> ReleaseAll() {
    stopping_ = true;
    for (int i = 0; i < settings_.shards; ++i) co_await Release(i);
    platform::Transaction transaction;
    transaction.nonce = NewNonce();
    transaction.writes = {{AnnouncementKey(), {}, true}};
    co_await table_.Transact(std::move(transaction));
  }

 private:
  [[nodiscard]] base::Millis ReadInterval() const {
    return {settings_.lease.count / 3};
  }
  [[nodiscard]] std::string AnnouncementKey() const {
    return "control/" + settings_.name;
  }
  std::string NewNonce() { return base::RandomHex(random_); }

  boost::asio::awaitable<void> RenewHeld() {
    if (stopping_) co_return;
    for (int i = 0; i < settings_.shards; ++i) {
      if (FenceIfHeld(i)) co_await TryWrite(i, true);
    }
  }

  boost::asio::awaitable<void> Announce() {
    if (stopping_) co_return;
    ControlRow row{settings_.holder, settings_.http_address, ++counter_};
    platform::Transaction transaction;
    transaction.nonce = NewNonce();
    transaction.writes = {{AnnouncementKey(), Encode(row), false}};
    co_await table_.Transact(std::move(transaction));
  }

  // Reads all lease rows and all announcements.
  boost::asio::awaitable<void> ReadRows() {
    std::vector<std::string> keys;
    for (int i = 0; i < settings_.shards; ++i) keys.push_back(ShardKey(i));
    auto rows = co_await table_.Read(std::move(keys));
    if (rows) ObserveLeaseRows(*rows);
    auto page = co_await table_.Scan("control/", "", kMaxControlRows);
    if (page) watch_.Observe(clock_.Now(), page->rows);
  }

  void ObserveLeaseRows(const std::vector<platform::Row>& rows) {
    const base::Millis now = clock_.Now();
    const std::lock_guard lock(mutex_);
    for (ShardLease& lease : leases_) {
      platform::Row row{ShardKey(lease.shard()), 0, {}};
      for (const platform::Row& it : rows) {
        if (it.key == row.key) row = it;
      }
      lease.Observe(now, row);
    }
  }

  // Claims the shards this process is preferred for and releases the others.
  boost::asio::awaitable<void> RebalanceShards() {
    if (stopping_) co_return;
    const auto alive = watch_.Alive(clock_.Now());
    for (int i = 0; i < settings_.shards; ++i) {
      const std::string preferred = PreferredHolder(i, alive);
      const bool mine = preferred.empty() || preferred == settings_.holder;
      if (!FenceIfHeld(i)) {
        co_await TryWrite(i, mine);
      } else if (!mine) {
        co_await Release(i);
      }
    }
  }

  boost::asio::awaitable<void> TryWrite(int shard, bool preferred) {
    const base::Millis sent = clock_.Now();
    const bool held = FenceIfHeld(shard).has_value();
    auto transaction = Prepare(shard, preferred, sent);
    if (!transaction) co_return;
    auto committed = co_await table_.Transact(*transaction);
    RecordResult(shard, sent, *transaction, committed);
    if (held || !committed) co_return;
    base::LogLine(base::LogLevel::kInfo, "shard_claimed").With("shard", shard);
  }

  std::optional<platform::Transaction> Prepare(int shard, bool preferred,
                                               base::Millis sent) {
    const std::lock_guard lock(mutex_);
    return LeaseOf(shard).NextWrite(sent, preferred, NewNonce());
  }

  void RecordResult(int shard, base::Millis sent,
                    const platform::Transaction& transaction,
                    const tl::expected<platform::Committed,
                                       platform::TableError>& committed) {
    const std::lock_guard lock(mutex_);
    if (committed) {
      LeaseOf(shard).Committed(sent, transaction, committed->version);
    } else {
      LeaseOf(shard).Failed(sent, transaction);
      last_read_.reset();  // The row must be read before the next write.
    }
  }

  // Stops acting as holder before it writes the release.
  boost::asio::awaitable<void> Release(int shard) {
    const base::Millis sent = clock_.Now();
    auto transaction = PrepareRelease(shard, sent);
    if (!transaction) co_return;
    auto committed = co_await table_.Transact(*transaction);
    RecordResult(shard, sent, *transaction, committed);
    base::LogLine(base::LogLevel::kInfo, "shard_released").With("shard", shard);
  }

  std::optional<platform::Transaction> PrepareRelease(int shard,
                                                      base::Millis sent) {
    const std::lock_guard lock(mutex_);
    auto transaction = LeaseOf(shard).Release(sent, NewNonce());
    LeaseOf(shard).Abandon();
    return transaction;
  }

  ShardLease& LeaseOf(int shard) {
    return leases_[static_cast<std::size_t>(shard)];
  }

  static constexpr int kMaxControlRows = 64;

  TableT& table_;
  const Clock& clock_;
  LeaseSettings settings_;
  mutable std::mutex mutex_;  // Guards leases_.
  std::vector<ShardLease> leases_;
  ControlWatch watch_;
  base::Random random_;
  std::uint64_t counter_ = 0;
  std::optional<base::Millis> last_read_;
  bool stopping_ = false;
};

}  // namespace hemlockward::control
