// Following the rows that the operator writes: the configuration and the waves.

#include "node/operator_rows.h"

#include <algorithm>

#include "base/log.h"
#include "node/process.h"

namespace hemlockward::node {

using base::LogLevel;
using base::LogLine;

namespace {

constexpr Millis kFeedWait = base::Seconds(10);
constexpr Millis kRetryPause{200};
/// An answer that doesn't wait for changes takes 4 ms, or 240 ms when the store
/// is slowed down sixtyfold. The limit is doubled with each failed attempt.
constexpr Millis kConfirmTimeout{500};

}  // namespace

// Reads all rows of the operator table.
Awaitable<void> NodeProcess::ReadOperatorRows() {
  TableRead read;
  read.table = platform::kOperatorTable;
  read.apply = [this](const platform::StoreRow& row) {
    ApplyOperatorRow(row, "read");
  };
  read.may_continue = [] { return true; };
  const Millis asked = clock_.Now();
  const auto version = co_await ReadTable(platform_, std::move(read));
  operator_version_ = std::max(operator_version_, version.value_or(0));
  operator_rows_as_of_ = std::max(operator_rows_as_of_, asked);
}

void NodeProcess::ApplyOperatorRows(const platform::StorePage& page,
                                    Millis asked, std::string_view source) {
  for (const platform::StoreRow& it : page.rows) ApplyOperatorRow(it, source);
  operator_version_ = std::max(operator_version_, page.version);
  // More changes may follow those of a full page.
  if (page.full) return;
  operator_rows_as_of_ = std::max(operator_rows_as_of_, asked);
}

void NodeProcess::ApplyOperatorRow(const platform::StoreRow& row,
                                   std::string_view source) {
  // An answer may have been overtaken by a newer one. Peers send no version.
  std::uint64_t& applied = operator_row_versions_[row.key];
  if (row.version != 0 && row.version < applied) return;
  applied = std::max(applied, row.version);
  const std::string_view key = row.key;
  if (key == platform::kConfigKey) {
    auto config = platform::DecodeConfiguration(row.value);
    if (!config) {
      LogLine(LogLevel::kError, "configuration_unreadable")
          .With("row_version", row.version)
          .With("error", config.error().what);
      return;
    }
    if (config->version <= config_.version) return;
    LogLine(LogLevel::kInfo, "configuration")
        .With("version", config->version)
        .With("before", config_.version)
        .With("queues", config->queues.size())
        .With("source", source)
        .With("row_version", row.version);
    config_ = *std::move(config);
    config_source_ = row.value;
    config_received_ = clock_.Now();
    scheduler_.SetConfiguration(config_);
    config_signal_.Notify();
    RequestPlan();
    return;
  }
  if (!key.starts_with(platform::kWavePrefix) || row.removed) return;
  auto wave = platform::DecodeWave(row.value);
  if (!wave) {
    LogLine(LogLevel::kError, "wave_unreadable")
        .With("key", key)
        .With("error", wave.error().what);
    return;
  }
  if (!waves_.contains(wave->number)) {
    LogLine(LogLevel::kInfo, "wave_ordered")
        .With("wave", wave->number)
        .With("machines", wave->vms.size())
        .With("cap", wave->cap)
        .With("duration_ms", wave->duration.count);
  }
  const int number = wave->number;
  waves_[number] = *std::move(wave);
}

Awaitable<void> NodeProcess::FollowOperatorRows() {
  bool read = false;
  while (true) {
    if (!read) {
      co_await ReadOperatorRows();
      read = true;
      continue;
    }
    const Millis asked = clock_.Now();
    auto page = co_await platform_.Changes(platform::kOperatorTable,
                                           operator_version_, kFeedWait);
    if (page) {
      ApplyOperatorRows(*page, asked, "feed");
      continue;
    }
    const bool lost =
        page.error().failure == platform::CallFailure::kHistoryLost;
    LogLine(LogLevel::kWarning, "operator_feed_lost")
        .With("after", operator_version_)
        .With("ms", (clock_.Now() - asked).count)
        .With("error", page.error().what);
    read = false;
    if (!lost) co_await kernel::Sleep(kRetryPause);
  }
}

// Asks for changes that the long poll should have brought.
Awaitable<void> NodeProcess::ConfirmOperatorRows() {
  Millis timeout = kConfirmTimeout;
  while (true) {
    const Millis asked = clock_.Now();
    const Millis due =
        operator_rows_as_of_ +
        MaxOperatorRowsAge(settings_.configuration_bound, leads_);
    if (asked < due && !operator_rows_behind_) {
      co_await operator_rows_signal_.Wait(due - asked);
      continue;
    }
    operator_rows_behind_ = false;
    auto page = co_await platform_.Changes(
        platform::kOperatorTable, operator_version_, Millis{0}, timeout);
    if (page) {
      timeout = kConfirmTimeout;
      ApplyOperatorRows(*page, asked, "confirmation");
      continue;
    }
    LogLine(LogLevel::kInfo, "operator_rows_not_confirmed")
        .With("age_ms", (asked - operator_rows_as_of_).count)
        .With("ms", (clock_.Now() - asked).count)
        .With("error", page.error().what);
    timeout = std::min(timeout * 2, kReadTimeout);
    if (page.error().failure == platform::CallFailure::kHistoryLost) {
      co_await ReadOperatorRows();
    } else {
      co_await kernel::Sleep(kRetryPause);
    }
  }
}

void NodeProcess::OnConfigurationSeen(std::uint64_t version) {
  if (version <= config_.version) return;
  operator_rows_behind_ = true;
  operator_rows_signal_.Notify();
}

Awaitable<bool> NodeProcess::AwaitConfiguration(std::uint64_t version,
                                                Millis limit) {
  while (config_.version < version) {
    const Millis now = clock_.Now();
    if (now >= limit) co_return false;
    OnConfigurationSeen(version);
    co_await config_signal_.Wait(std::min(limit - now, kRetryPause));
  }
  co_return true;
}

}  // namespace hemlockward::node
