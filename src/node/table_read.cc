#include "node/table_read.h"

#include <algorithm>

#include "base/log.h"
#include "kernel/worker_pool.h"

namespace hemlockward::node {

using base::LogLevel;
using base::LogLine;
using base::Millis;

namespace {

/// Delay between attempts when the store refuses or resets them immediately.
constexpr Millis kRetryPause{100};
/// A response of the store begins after 4 ms, or 240 ms when it is slowed down
/// sixtyfold, however long its page takes. The limit is doubled with each
/// attempt at a page that fails.
constexpr Millis kHeaderTimeout{500};

}  // namespace

boost::asio::awaitable<std::optional<std::uint64_t>> ReadTable(
    platform::PlatformClient& client, TableRead read) {
  std::string from;
  std::optional<std::uint64_t> version;
  Millis header_timeout = kHeaderTimeout;
  while (read.may_continue()) {
    auto page = co_await client.Read(read.table, read.part, from, kReadTimeout,
                                     header_timeout);
    if (!read.may_continue()) break;
    if (!page) {
      LogLine(LogLevel::kInfo, "page_not_read")
          .With("table", read.table)
          .With("from", from)
          .With("error", page.error().what);
      header_timeout = std::min(header_timeout * 2, kReadTimeout);
      co_await kernel::Sleep(kRetryPause);
      continue;
    }
    header_timeout = kHeaderTimeout;
    for (const platform::StoreRow& it : page->rows) read.apply(it);
    if (!version) version = page->version;
    if (!page->more || page->rows.empty()) co_return version;
    from = page->rows.back().key + '\0';
  }
  co_return std::nullopt;
}

}  // namespace hemlockward::node
