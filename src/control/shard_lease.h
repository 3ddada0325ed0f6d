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

/// The lease on one shard of the pools, and the choice of its holder.
///
/// Two rows per shard: each renewal rewrites `shard/<n>`; a claim also writes
/// `epoch/<n>`. The version of `epoch/<n>` is the fencing token: the holder's
/// writes are conditional on it. Clocks of different processes are never
/// compared: a claimant must see `shard/<n>` unchanged for a full lease, and
/// the holder stops acting half a lease after it sent its last successful
/// renewal.
namespace hemlockward::control {

/// The value of `shard/<n>`.
struct LeaseRecord {
  std::string holder;  ///< Empty: released.
  base::Epoch epoch = 0;
  std::string nonce;  ///< Of the write; identifies it after a lost reply.
};

std::string Encode(const LeaseRecord& record);
tl::expected<LeaseRecord, base::CodecError> DecodeLeaseRecord(
    std::string_view text);

std::string ShardKey(int shard);
std::string EpochKey(int shard);

/// Shard of a pool, in 0..shard_count-1, by a stable hash of the pool's id.
int ShardOf(const base::PoolId& pool, int shard_count);

/// Fencing token of a held shard. It is obtained before a decision and becomes
/// a condition of the resulting write.
struct Fence {
  int shard = 0;
  base::Epoch epoch = 0;
  platform::RowVersion epoch_version = 0;
  base::Millis valid_until{};  ///< On the holder's monotonic clock.

  /// Whether a call outside the table, sent at `now` and taking at most
  /// `timeout`, ends within the lease.
  [[nodiscard]] bool Covers(base::Millis now, base::Millis timeout) const {
    return now + timeout < valid_until;
  }
  [[nodiscard]] platform::Condition condition() const {
    return {EpochKey(shard), epoch_version};
  }
};

/// One process's state of the lease on one shard. Does no I/O: the caller reads
/// and writes the rows and reports the results. The state doesn't survive a
/// restart; `holder` identifies one incarnation of a process.
class ShardLease {
 public:
  ShardLease(int shard, std::string holder, base::Millis lease);

  /// Reports a read of the row `shard/<n>`; version 0 means absent. `now` is
  /// the arrival time of the reply.
  void Observe(base::Millis now, const platform::Row& row);

  /// The renewal or claim to send now, if any. A process that isn't `preferred`
  /// waits one lease longer before it claims.
  [[nodiscard]] std::optional<platform::Transaction> NextWrite(
      base::Millis now, bool preferred, std::string nonce) const;
  /// The write that releases the lease; empty if it isn't held.
  [[nodiscard]] std::optional<platform::Transaction> Release(
      base::Millis now, std::string nonce) const;

  /// Reports that the write sent at `sent` committed at `version`.
  void Committed(base::Millis sent, const platform::Transaction& transaction,
                 platform::RowVersion version);
  /// Reports that the write sent at `sent` failed or its reply was lost. The
  /// row must then be read before the next write.
  void Failed(base::Millis sent, const platform::Transaction& transaction);
  /// Stops acting as holder immediately, regardless of the rows.
  void Abandon() { held_.reset(); }

  /// Fence of the held lease. Empty if the lease isn't held or half of its
  /// duration has passed since the last successful renewal was sent.
  [[nodiscard]] std::optional<Fence> FenceIfHeld(base::Millis now) const;
  /// Holder as of the newest read or write; empty if the shard is free.
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
  bool version_known_ = false;  // False until the row is read.
  LeaseRecord seen_;            // The newest record read or written.
  platform::RowVersion version_ = 0;
  std::optional<base::Millis> unchanged_since_;
  std::optional<Fence> held_;
  std::optional<UnconfirmedWrite> unconfirmed_write_;  // Failed, or reply lost.
};

/// Value of `control/<name>`: the announcement of a control process.
struct ControlRow {
  std::string holder;  ///< Name and incarnation, as in LeaseRecord.
  std::string http_address;
  std::uint64_t counter = 0;  ///< Incremented by each announcement.
};

std::string Encode(const ControlRow& row);
tl::expected<ControlRow, base::CodecError> DecodeControlRow(
    std::string_view text);

/// Detects live control processes: a live one keeps changing its row.
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

/// The process that should hold `shard`, chosen among `alive` by rendezvous
/// hashing. Empty if `alive` is empty.
std::string PreferredHolder(int shard, const std::vector<std::string>& alive);

}  // namespace hemlockward::control
