#include "entry/registration.h"

#include <utility>

#include "base/log.h"

namespace hemlockward::entry {

namespace asio = boost::asio;

namespace {

constexpr int kRowsPerScan = 500;
constexpr std::string_view kPrefix = "entry/";

}  // namespace

Registration::Registration(platform::TableClient& table, base::EntryRow self)
    : table_(table), self_(std::move(self)), random_(base::SystemSeed()) {}

// Overwrites the row of an earlier process with the same id. If that process
// still runs, it sees that it was replaced and stops.
asio::awaitable<void> Registration::Write() {
  std::vector<std::string> keys{std::string(kPrefix) + self_.entry.value};
  const std::string key = keys.front();
  const auto rows = co_await table_.Read(std::move(keys));
  if (!rows) co_return;

  platform::Transaction transaction;
  transaction.nonce = base::RandomHex(random_);
  const platform::RowVersion version =
      rows->empty() ? 0 : rows->front().version;
  transaction.conditions.push_back({key, version});
  transaction.writes.push_back({key, base::Encode(self_), false});
  const auto committed = co_await table_.Transact(std::move(transaction));
  if (!committed) {
    base::LogLine(base::LogLevel::kWarning, "registration_failed")
        .With("error", committed.error().what);
    co_return;
  }
  registered_ = true;
  base::LogLine(base::LogLevel::kInfo, "registered")
      .With("entry", self_.entry.value)
      .With("incarnation", self_.incarnation);
}

asio::awaitable<std::vector<base::EntryRow>> Registration::Refresh() {
  if (!registered_) co_await Write();
  std::vector<base::EntryRow> entries;
  const auto page =
      co_await table_.Scan(std::string(kPrefix), "", kRowsPerScan);
  if (!page) co_return entries;
  for (const platform::Row& it : page->rows) {
    auto entry = base::DecodeEntryRow(it.value);
    if (!entry) continue;
    if (entry->entry == self_.entry) {
      const bool own = entry->incarnation == self_.incarnation;
      if (own) registered_ = true;  // A write whose reply was lost.
      if (!own && registered_) replaced_ = true;
    }
    entries.push_back(std::move(*entry));
  }
  co_return entries;
}

}  // namespace hemlockward::entry
