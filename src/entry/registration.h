#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "base/fleet.h"
#include "base/random.h"
#include "platform/table.h"

namespace hemlockward::entry {

/// Registers this process under `entry/<id>` with its new incarnation and
/// reads the other registered entries.
class Registration {
 public:
  Registration(platform::TableClient& table, base::EntryRow self);

  /// Writes this entry's row if it isn't registered yet, then returns every
  /// entry's row; empty when the table couldn't be read.
  boost::asio::awaitable<std::vector<base::EntryRow>> Refresh();
  [[nodiscard]] bool registered() const { return registered_; }
  /// True once another process has registered under the same id: this process
  /// must stop.
  [[nodiscard]] bool replaced() const { return replaced_; }

 private:
  boost::asio::awaitable<void> Write();

  platform::TableClient& table_;
  base::EntryRow self_;
  base::Random random_;
  bool registered_ = false;
  bool replaced_ = false;
};

}  // namespace hemlockward::entry
