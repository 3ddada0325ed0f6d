#include "node/table_read.h"

#include "base/log.h"
#include "kernel/worker_pool.h"

namespace hemlockward::node {

using base::LogLevel;
using base::LogLine;
using base::Millis;

namespace {

/// Delay between attempts when the store refuses or resets them immediately.
constexpr Millis kRetryPause{100};

}  // namespace

boost::asio::awaitable<std::optional<std::uint64_t>> ReadTable(
    platform::PlatformClient& client, TableRead read) {
  std::string from;
  std::optional<std::uint64_t> version;
  while (read.may_continue()) {
    auto page = co_await client.Read(read.table, read.part, from, kReadTimeout);
    if (!read.may_continue()) break;
    if (!page) {
      LogLine(LogLevel::kInfo, "page_not_read")
          .With("table", read.table)
          .With("from", from)
          .With("error", page.error().what);
      co_await kernel::Sleep(kRetryPause);
      continue;
    }
    for (const platform::StoreRow& it : page->rows) read.apply(it);
    if (!version) version = page->version;
    if (!page->more || page->rows.empty()) co_return version;
    from = page->rows.back().key + '\0';
  }
  co_return std::nullopt;
}

}  // namespace hemlockward::node
