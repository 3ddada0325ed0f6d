#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "platform/client.h"

namespace hemlockward::node {

/// Timeout of one store read, which takes 4 ms, or 240 ms when the store is
/// slowed down sixtyfold.
inline constexpr base::Millis kReadTimeout{1500};

/// All rows of one partition are read page by page.
struct TableRead {
  std::string table;
  std::string part;
  /// Called for each row, in key order.
  std::function<void(const platform::StoreRow&)> apply;
  /// Asked before each page is requested and before its rows are applied.
  std::function<bool()> may_continue;
};

/// Returns the version of the first page, after which changes may be missing
/// from what was read; nullopt if `may_continue` returned false. A page without
/// a usable answer is requested again.
boost::asio::awaitable<std::optional<std::uint64_t>> ReadTable(
    platform::PlatformClient& client, TableRead read);

}  // namespace hemlockward::node
