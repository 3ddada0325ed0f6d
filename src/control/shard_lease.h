#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/types.h"
#include "platform/platform.h"

/// The lease on one shard of the pools, and which process should hold it.
///
/// Two rows per shard: `shard/<n>` is rewritten by every renewal, `epoch/<n>`
/// only when the lease changes hands. Control's writes carry the condition
/// that `epoch/<n>` still has the version that the holder wrote. Clocks of two
/// processes are never compared: a taker watches the row stay unchanged for a
/// full lease; the holder stops at half a lease after it sent its last
/// successful renewal.
namespace hemlockward::control {

/// The value of `shard/<n>`.
struct LeaseRecord {
  std::string holder;  ///< Empty: given back.
  base::Epoch epoch = 0;
  std::string nonce;  ///< Of the renewal; settles a lost answer.
};

std::string Encode(const LeaseRecord& record);
tl::expected<LeaseRecord, base::CodecError> DecodeLeaseRecord(
    std::string_view text);

std::string ShardKey(int shard);
std::string EpochKey(int shard);

/// What a pool's changes are written under. The order of shards is stable.
int ShardOf(const base::PoolId& pool, int shard_count);

/// Proof of holding a shard, taken before a decision and put into its write.
struct Fence {
  int shard = 0;
  base::Epoch epoch = 0;
  platform::RowVersion epoch_version = 0;
  base::Millis valid_until{};  ///< On the holder's monotonic clock.

  /// True when a call outside the table of at most `timeout`, sent at `now`,
  /// ends within the lease.
  [[nodiscard]] bool Covers(base::Millis now, base::Millis timeout) const {
    return now + timeout < valid_until;
  }
  [[nodiscard]] platform::Condition condition() const {
    return {EpochKey(shard), epoch_version};
  }
};

/// One process's part in the lease of one shard. Pure: the caller reads,
/// writes and reports. Nothing of it survives a restart: `holder` names one
/// incarnation of a process.
class ShardLease {
 public:
  ShardLease(int shard, std::string holder, base::Millis lease);

  /// Reports the row `shard/<n>` as read, version 0 when absent; `now` is when
  /// the answer arrived.
  void Observe(base::Millis now, const platform::Row& row);

  /// The write to try now, if any. `preferred` tells whether this process is
  /// the one that should hold the shard; others wait a lease longer.
  [[nodiscard]] std::optional<platform::Transaction> NextWrite(
      base::Millis now, bool preferred, std::string nonce) const;
  /// Gives a held lease back; empty when it isn't held.
  [[nodiscard]] std::optional<platform::Transaction> Release(
      base::Millis now, std::string nonce) const;

  /// Reports that the write sent at `sent` committed at `version`.
  void Committed(base::Millis sent, const platform::Transaction& transaction,
                 platform::RowVersion version);
  /// Reports that the write sent at `sent` failed or its answer was lost: the
  /// rows must be read before the next write.
  void Failed(base::Millis sent, const platform::Transaction& transaction);
  /// Stops acting as holder at once, whatever the rows say.
  void Abandon() { held_.reset(); }

  /// Empty when the lease isn't held or has run half its time.
  [[nodiscard]] std::optional<Fence> Held(base::Millis now) const;
  /// The holder by the newest read; empty when free.
  [[nodiscard]] const std::string& seen_holder() const { return seen_.holder; }
  [[nodiscard]] int shard() const { return shard_; }

 private:
  [[nodiscard]] bool CanClaim(base::Millis now, bool preferred) const;
  void ApplyOwnWrite(base::Millis sent);
  [[nodiscard]] platform::Transaction Build(const LeaseRecord& record,
                                            bool new_epoch) const;

  struct UnconfirmedWrite {
    base::Millis sent;
    std::string nonce;
  };

  int shard_;
  std::string holder_;
  base::Millis lease_;
  bool version_known_ =
      false;          // `version_` is believed to be that of the table.
  LeaseRecord seen_;  // The newest record read or written.
  platform::RowVersion version_ = 0;
  std::optional<base::Millis> unchanged_since_;
  std::optional<Fence> held_;
  std::optional<UnconfirmedWrite>
      unconfirmed_write_;  // A write whose answer was lost.
};

/// One control process as it announces itself under `control/<name>`.
struct ControlRow {
  std::string holder;  ///< Name and incarnation, as in LeaseRecord.
  std::string http_address;
  std::uint64_t counter = 0;  ///< Grows with each announcement.
};

std::string Encode(const ControlRow& row);
tl::expected<ControlRow, base::CodecError> DecodeControlRow(
    std::string_view text);

/// Which control processes are alive, by their rows changing.
class ControlWatch {
 public:
  explicit ControlWatch(base::Millis lifetime) : lifetime_(lifetime) {}
  void Observe(base::Millis now, const std::vector<platform::Row>& rows);
  /// Holders whose row changed within the lifetime, sorted.
  [[nodiscard]] std::vector<std::string> Alive(base::Millis now) const;

 private:
  struct Seen {
    platform::RowVersion version = 0;
    base::Millis since{};
    std::string holder;
  };
  base::Millis lifetime_;
  std::map<std::string, Seen> seen_;
};

/// The process that should hold `shard`: the rendezvous winner among `alive`.
/// Empty when none is alive.
std::string PreferredHolder(int shard, const std::vector<std::string>& alive);

}  // namespace hemlockward::control
