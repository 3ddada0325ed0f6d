#include "control/shard_lease.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <exception>
#include <utility>

#include "base/random.h"

namespace hemlockward::control {

namespace json = boost::json;

namespace {

std::string Text(const json::object& object, std::string_view key) {
  return json::value_to<std::string>(object.at(key));
}

std::uint64_t Number(const json::object& object, std::string_view key) {
  return object.at(key).to_number<std::uint64_t>();
}

const std::string& ValueOf(const platform::Transaction& transaction,
                           const std::string& key) {
  static const std::string none;
  for (const platform::Write& it : transaction.writes) {
    if (it.key == key) return it.value;
  }
  return none;
}

}  // namespace

std::string Encode(const LeaseRecord& record) {
  return json::serialize(json::value{{"holder", record.holder},
                                     {"epoch", record.epoch},
                                     {"nonce", record.nonce}});
}

tl::expected<LeaseRecord, base::CodecError> DecodeLeaseRecord(
    std::string_view text) {
  try {
    const json::value value = json::parse(text);
    const json::object& object = value.as_object();
    return LeaseRecord{Text(object, "holder"), Number(object, "epoch"),
                       Text(object, "nonce")};
  } catch (const std::exception& e) {
    return tl::unexpected(base::CodecError{e.what()});
  }
}

std::string ShardKey(int shard) { return "shard/" + std::to_string(shard); }
std::string EpochKey(int shard) { return "epoch/" + std::to_string(shard); }

int ShardOf(const base::PoolId& pool, int shard_count) {
  const auto n = static_cast<std::uint64_t>(shard_count);
  return static_cast<int>(base::StableHash(pool.value) % n);
}

ShardLease::ShardLease(int shard, std::string holder, base::Millis lease)
    : shard_(shard), holder_(std::move(holder)), lease_(lease) {}

// A changed version restarts the wait before a claim. The nonce in the row
// shows whether a write with a lost reply has committed.
void ShardLease::Observe(base::Millis now, const platform::Row& row) {
  if (!unchanged_since_ || row.version != version_) unchanged_since_ = now;
  version_ = row.version;
  seen_ = DecodeLeaseRecord(row.value).value_or(LeaseRecord{});
  version_known_ = true;
  const std::optional<UnconfirmedWrite> unconfirmed =
      std::exchange(unconfirmed_write_, {});
  const bool settled = unconfirmed && unconfirmed->nonce == seen_.nonce;
  if (settled) return ApplyOwnWrite(unconfirmed->sent);
  const bool still_mine =
      held_ && seen_.holder == holder_ && seen_.epoch == held_->epoch;
  if (!still_mine) Abandon();
}

// `seen_` is a record that this process wrote with a call sent at `sent`. A new
// epoch row was written in the same transaction, so it has the same version.
void ShardLease::ApplyOwnWrite(base::Millis sent) {
  if (seen_.holder != holder_) return Abandon();
  const bool renewed = held_ && held_->epoch == seen_.epoch;
  const platform::RowVersion epoch_version =
      renewed ? held_->epoch_version : version_;
  held_ = Fence{shard_, seen_.epoch, epoch_version,
                sent + base::Millis{lease_.count / 2}};
}

bool ShardLease::CanClaim(base::Millis now, bool preferred) const {
  if (seen_.holder.empty() && preferred) return true;
  const base::Millis wait = preferred ? lease_ : lease_ * 2;
  return unchanged_since_ && now - *unchanged_since_ >= wait;
}

platform::Transaction ShardLease::Build(const LeaseRecord& record,
                                        bool new_epoch) const {
  platform::Transaction transaction;
  transaction.nonce = record.nonce;
  transaction.conditions = {{ShardKey(shard_), version_}};
  transaction.writes = {{ShardKey(shard_), Encode(record)}};
  if (new_epoch) {
    transaction.writes.push_back(
        {EpochKey(shard_), std::to_string(record.epoch)});
  }
  return transaction;
}

std::optional<platform::Transaction> ShardLease::NextWrite(
    base::Millis now, bool preferred, std::string nonce) const {
  if (!version_known_) return std::nullopt;
  if (const auto fence = FenceIfHeld(now)) {
    return Build({holder_, fence->epoch, std::move(nonce)}, false);
  }
  if (!CanClaim(now, preferred)) return std::nullopt;
  return Build({holder_, seen_.epoch + 1, std::move(nonce)}, true);
}

std::optional<platform::Transaction> ShardLease::Release(
    base::Millis now, std::string nonce) const {
  const auto fence = FenceIfHeld(now);
  if (!fence || !version_known_) return std::nullopt;
  return Build({"", fence->epoch, std::move(nonce)}, false);
}

void ShardLease::Committed(base::Millis sent,
                           const platform::Transaction& transaction,
                           platform::RowVersion version) {
  const std::string& value = ValueOf(transaction, ShardKey(shard_));
  seen_ = DecodeLeaseRecord(value).value_or(LeaseRecord{});
  version_ = version;
  unchanged_since_ = sent;
  unconfirmed_write_.reset();
  ApplyOwnWrite(sent);
}

void ShardLease::Failed(base::Millis sent,
                        const platform::Transaction& transaction) {
  version_known_ = false;
  unconfirmed_write_ = UnconfirmedWrite{sent, transaction.nonce};
}

std::optional<Fence> ShardLease::FenceIfHeld(base::Millis now) const {
  if (!held_ || now >= held_->valid_until) return std::nullopt;
  return held_;
}

std::string Encode(const ControlRow& row) {
  return json::serialize(json::value{{"holder", row.holder},
                                     {"http_address", row.http_address},
                                     {"counter", row.counter}});
}

tl::expected<ControlRow, base::CodecError> DecodeControlRow(
    std::string_view text) {
  try {
    const json::value value = json::parse(text);
    const json::object& object = value.as_object();
    return ControlRow{Text(object, "holder"), Text(object, "http_address"),
                      Number(object, "counter")};
  } catch (const std::exception& e) {
    return tl::unexpected(base::CodecError{e.what()});
  }
}

void ControlWatch::Observe(base::Millis now,
                           const std::vector<platform::Row>& rows) {
  std::map<std::string, Seen> next;
  for (const platform::Row& it : rows) {
    const auto row = DecodeControlRow(it.value);
    if (!row) continue;
    const auto before = seen_.find(it.key);
    const bool same =
        before != seen_.end() && before->second.version == it.version;
    const base::Millis since = same ? before->second.since : now;
    next[it.key] = {it.version, since, row->holder};
  }
  seen_ = std::move(next);
}

std::vector<std::string> ControlWatch::Alive(base::Millis now) const {
  std::vector<std::string> alive;
  for (const auto& [key, it] : seen_) {
    if (now - it.since < lifetime_) alive.push_back(it.holder);
  }
  return alive;
}

std::string PreferredHolder(int shard, const std::vector<std::string>& alive) {
  std::string best;
  std::uint64_t best_score = 0;
  for (const std::string& it : alive) {
    const std::uint64_t score =
        base::StableHash(it, static_cast<std::uint64_t>(shard) + 1);
    if (!best.empty() && score <= best_score) continue;
    best = it;
    best_score = score;
  }
  return best;
}

}  // namespace hemlockward::control
