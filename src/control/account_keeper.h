#pragma once

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/fleet.h"
#include "base/random.h"
#include "control/budget.h"
#include "control/fleet_state.h"
#include "control/lease_keeper.h"
#include "control/shard_lease.h"
#include "peer/view_sync.h"
#include "platform/platform.h"

/// Persists budget accounts in the table, so that the next holder of a shard
/// can load them, and trims old records of the change log.
namespace hemlockward::control {

/// Row key of a service's account. Account rows aren't in the change log.
inline std::string AccountKey(const base::ServiceId& service) {
  return "account/" + service.value;
}

template <platform::Table TableT, base::ClockSource Clock>
class AccountKeeper {
 public:
  AccountKeeper(TableT& table, const peer::ViewStore& store,
                const LeaseKeeper<TableT, Clock>& leases, FleetState& state,
                const RunnerSettings& settings, std::int64_t log_records,
                std::uint64_t seed)
      : table_(table),
        store_(store),
        leases_(leases),
        state_(state),
        settings_(settings),
        log_records_(static_cast<base::Revision>(log_records)),
        random_(seed) {}

  /// Loads the accounts of shards claimed since the last call, writes those of
  /// all held shards, and trims the log if the first shard is held.
  boost::asio::awaitable<void> Tick() {
    for (int i = 0; i < settings_.shards; ++i) {
      const auto fence = leases_.FenceIfHeld(i);
      if (!fence) {
        loaded_epochs_.erase(i);
        continue;
      }
      if (loaded_epochs_[i] != fence->epoch && !co_await LoadAccounts(i))
        continue;
      loaded_epochs_[i] = fence->epoch;
      co_await StoreAccounts(*fence);
      if (i == 0) co_await TrimLog(*fence);
    }
  }

 private:
  static constexpr base::Revision kMaxTrimmedRecords = 200;

  // Services whose pools belong to `shard`.
  std::vector<base::ServiceId> ServicesOf(int shard) const {
    std::vector<base::ServiceId> services;
    const auto view = store_.Snapshot();
    for (const auto& [team, document] : view->documents) {
      if (ShardOf(document.pool, settings_.shards) != shard) continue;
      services.push_back(document.service);
    }
    return services;
  }

  boost::asio::awaitable<bool> LoadAccounts(int shard) {
    std::vector<std::string> keys;
    for (const base::ServiceId& it : ServicesOf(shard)) {
      keys.push_back(AccountKey(it));
    }
    if (keys.empty()) co_return true;
    auto rows = co_await table_.Read(std::move(keys));
    if (!rows) co_return false;
    for (const platform::Row& it : *rows) {
      auto account = DecodeBudgetAccount(it.value);
      if (!account) continue;
      base::ServiceId service(it.key.substr(std::string("account/").size()));
      state_.MergeAccount(service, std::move(*account));
    }
    co_return true;
  }

  boost::asio::awaitable<void> StoreAccounts(Fence fence) {
    const Accounts accounts = state_.accounts();
    platform::Transaction transaction;
    transaction.nonce = base::RandomHex(random_);
    transaction.conditions = {fence.condition()};
    for (const base::ServiceId& it : ServicesOf(fence.shard)) {
      const auto account = accounts.find(it);
      if (account == accounts.end()) continue;
      transaction.writes.push_back(
          {AccountKey(it), Encode(account->second), false});
    }
    if (transaction.writes.empty()) co_return;
    co_await table_.Transact(std::move(transaction));
  }

  // Deletes by consecutive keys from the oldest record, which is looked up only
  // once.
  boost::asio::awaitable<void> TrimLog(Fence fence) {
    const base::Revision head = store_.revision();
    if (head <= log_records_) co_return;
    if (!oldest_record_) {
      auto page = co_await table_.Scan("log/", "", 1);
      if (!page || page->rows.empty()) co_return;
      const auto record = base::DecodeChangeRecord(page->rows.front().value);
      if (!record) co_return;
      oldest_record_ = record->revision;
    }
    const base::Revision keep = head - log_records_;
    if (*oldest_record_ >= keep) co_return;
    const base::Revision to =
        std::min(keep, *oldest_record_ + kMaxTrimmedRecords);
    platform::Transaction transaction;
    transaction.nonce = base::RandomHex(random_);
    transaction.conditions = {fence.condition()};
    for (base::Revision it = *oldest_record_; it < to; ++it) {
      transaction.writes.push_back({base::LogKey(it), {}, true});
    }
    auto done = co_await table_.Transact(std::move(transaction));
    if (done) oldest_record_ = to;
    if (!done) oldest_record_.reset();
  }

  TableT& table_;
  const peer::ViewStore& store_;
  const LeaseKeeper<TableT, Clock>& leases_;
  FleetState& state_;
  const RunnerSettings& settings_;
  base::Revision log_records_;
  base::Random random_;
  std::map<int, base::Epoch> loaded_epochs_;  // Shard -> epoch of the load.
  std::optional<base::Revision> oldest_record_;
};

}  // namespace hemlockward::control
