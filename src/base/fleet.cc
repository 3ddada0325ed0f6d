#include "base/fleet.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <charconv>
#include <cstdio>
#include <exception>
#include <utility>

namespace hemlockward::base {

namespace json = boost::json;

namespace {

constexpr std::string_view kVmStateTexts[] = {"member",    "leaving",   "empty",
                                              "rebooting", "returning", "lost"};
constexpr std::string_view kVmPurposeTexts[] = {"none", "move", "maintain"};

// 64-bit numbers are stored as text: other JSON parsers keep only 53 bits.
std::string U64ToText(std::uint64_t n) { return std::to_string(n); }

std::uint64_t ReadU64(const json::value& value) {
  const json::string& text = value.as_string();
  std::uint64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    throw std::invalid_argument("not a decimal number");
  }
  return n;
}

std::string ReadText(const json::object& object, std::string_view key) {
  return json::value_to<std::string>(object.at(key));
}

int ReadInt(const json::object& object, std::string_view key) {
  return object.at(key).to_number<int>();
}

std::int64_t ReadI64(const json::object& object, std::string_view key) {
  return object.at(key).to_number<std::int64_t>();
}

double ReadReal(const json::object& object, std::string_view key) {
  return object.at(key).to_number<double>();
}

template <std::size_t n>
std::size_t ReadEnum(const json::object& object, std::string_view key,
                     const std::string_view (&texts)[n]) {
  const json::string& text = object.at(key).as_string();
  const auto it = std::find(std::begin(texts), std::end(texts),
                            std::string_view(text.data(), text.size()));
  if (it == std::end(texts)) {
    throw std::invalid_argument("unknown " + std::string(key));
  }
  return static_cast<std::size_t>(it - std::begin(texts));
}

// Runs `decode` on the parsed text; any exception becomes a CodecError.
template <class Row, class Decode>
tl::expected<Row, CodecError> DecodeGuarded(std::string_view text,
                                            Decode decode) {
  try {
    return decode(json::parse(text).as_object());
  } catch (const std::exception& e) {
    return tl::unexpected(CodecError{e.what()});
  }
}

json::object ToJson(const EntryRow& row) {
  return {{"entry", row.entry.value},
          {"incarnation", U64ToText(row.incarnation)},
          {"peer_address", row.peer_address},
          {"http_address", row.http_address},
          {"zone", row.zone.value}};
}

EntryRow ReadEntryRow(const json::object& object) {
  EntryRow row;
  row.entry = EntryId(ReadText(object, "entry"));
  row.incarnation = ReadU64(object.at("incarnation"));
  row.peer_address = ReadText(object, "peer_address");
  row.http_address = ReadText(object, "http_address");
  row.zone = ZoneId(ReadText(object, "zone"));
  return row;
}

json::array ToJson(const std::vector<EntryRow>& rows) {
  json::array array;
  for (const EntryRow& it : rows) array.push_back(ToJson(it));
  return array;
}

std::vector<EntryRow> ReadEntryRows(const json::value& value) {
  std::vector<EntryRow> rows;
  for (const json::value& it : value.as_array()) {
    rows.push_back(ReadEntryRow(it.as_object()));
  }
  return rows;
}

json::array LimitsToJson(const ServiceDocument& document) {
  json::array limits;
  for (const ClassLimit& it : document.limits) {
    limits.push_back(
        json::object{{"quota", it.quota}, {"queue_length", it.queue_length}});
  }
  return limits;
}

ServiceDocument ReadServiceDocument(const json::object& object) {
  ServiceDocument document;
  document.team = TeamId(ReadText(object, "team"));
  document.service = ServiceId(ReadText(object, "service"));
  document.pool = PoolId(ReadText(object, "pool"));
  document.min_size = ReadInt(object, "min_size");
  document.max_size = ReadInt(object, "max_size");
  document.budget.least_healthy_share = ReadReal(object, "least_healthy_share");
  document.budget.below_allowed = {ReadI64(object, "below_allowed_ms")};
  document.budget.window = {ReadI64(object, "window_ms")};
  document.movable = object.at("movable").as_bool();
  document.maintenance_from_minute = ReadInt(object, "maintenance_from_minute");
  document.maintenance_to_minute = ReadInt(object, "maintenance_to_minute");
  document.graceful_stop = {ReadI64(object, "graceful_stop_ms")};
  document.spread_racks = ReadInt(object, "spread_racks");
  document.spread_zones = ReadInt(object, "spread_zones");
  document.slots_per_vm = ReadInt(object, "slots_per_vm");
  document.connections_per_vm = ReadInt(object, "connections_per_vm");
  const json::array& limits = object.at("limits").as_array();
  for (std::size_t i = 0; i < kRequestClassCount; ++i) {
    const json::object& limit = limits.at(i).as_object();
    document.limits[i] = {ReadInt(limit, "quota"),
                          ReadInt(limit, "queue_length")};
  }
  document.weights = {ReadReal(object, "weight_buffer"),
                      ReadReal(object, "weight_rollout"),
                      ReadReal(object, "weight_moves")};
  document.source = ReadText(object, "source");
  return document;
}

bool StripPrefix(std::string_view& key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return false;
  key.remove_prefix(prefix.size());
  return true;
}

// Writes the row of `id` in `rows`, or removes it if `value` is empty. If the
// new value can't be decoded, the old row stays.
template <class Key, class Row, class Decoded>
void Install(std::map<Key, Row>& rows, std::string_view id,
             std::string_view value, Decoded&& decoded) {
  const Key key{std::string(id)};
  if (value.empty()) {
    rows.erase(key);
  } else if (decoded) {
    rows.insert_or_assign(key, *std::forward<Decoded>(decoded));
  }
}

}  // namespace

std::string_view ToText(VmState value) {
  return kVmStateTexts[static_cast<std::size_t>(value)];
}

std::string_view ToText(VmPurpose value) {
  return kVmPurposeTexts[static_cast<std::size_t>(value)];
}

std::string LogKey(Revision revision) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "log/%016llu",
                static_cast<unsigned long long>(revision));
  return buf;
}

bool FleetView::Apply(const ChangeRecord& record) {
  if (record.revision != revision + 1) return false;
  for (const RowChange& it : record.rows) ApplyRow(it.key, it.value);
  revision = record.revision;
  return true;
}

void FleetView::ApplyRow(std::string_view key, std::string_view value) {
  std::string_view id = key;
  if (StripPrefix(id, "vm/")) {
    Install(vms, id, value, DecodeVmRow(value));
  } else if (StripPrefix(id, "doc/")) {
    Install(documents, id, value, DecodeServiceDocument(value));
  } else if (StripPrefix(id, "wave/")) {
    Install(waves, id, value, DecodeWaveRow(value));
  } else if (key == "membership") {
    if (auto decoded = DecodeMembership(value)) {
      membership = std::move(*decoded);
    }
  }
}

const ServiceDocument* FleetView::FindService(const ServiceId& service) const {
  const auto it = std::find_if(
      documents.begin(), documents.end(),
      [&](const auto& item) { return item.second.service == service; });
  return it == documents.end() ? nullptr : &it->second;
}

std::string Encode(const VmRow& row) {
  return json::serialize(json::value{{"vm", row.vm.value},
                                     {"pool", row.pool.value},
                                     {"state", ToText(row.state)},
                                     {"purpose", ToText(row.purpose)},
                                     {"destination", row.destination.value},
                                     {"wave", row.wave.value},
                                     {"zone", row.zone.value},
                                     {"rack", row.rack.value},
                                     {"address", row.address},
                                     {"changed_ms", row.changed.count},
                                     {"reason", row.reason}});
}

tl::expected<VmRow, CodecError> DecodeVmRow(std::string_view text) {
  return DecodeGuarded<VmRow>(text, [](const json::object& object) {
    VmRow row;
    row.vm = VmId(ReadText(object, "vm"));
    row.pool = PoolId(ReadText(object, "pool"));
    row.state = static_cast<VmState>(ReadEnum(object, "state", kVmStateTexts));
    row.purpose =
        static_cast<VmPurpose>(ReadEnum(object, "purpose", kVmPurposeTexts));
    row.destination = PoolId(ReadText(object, "destination"));
    row.wave = WaveId(ReadText(object, "wave"));
    row.zone = ZoneId(ReadText(object, "zone"));
    row.rack = RackId(ReadText(object, "rack"));
    row.address = ReadText(object, "address");
    row.changed = {ReadI64(object, "changed_ms")};
    if (object.contains("reason")) row.reason = ReadText(object, "reason");
    return row;
  });
}

std::string Encode(const ServiceDocument& document) {
  return json::serialize(
      json::value{{"team", document.team.value},
                  {"service", document.service.value},
                  {"pool", document.pool.value},
                  {"min_size", document.min_size},
                  {"max_size", document.max_size},
                  {"least_healthy_share", document.budget.least_healthy_share},
                  {"below_allowed_ms", document.budget.below_allowed.count},
                  {"window_ms", document.budget.window.count},
                  {"movable", document.movable},
                  {"maintenance_from_minute", document.maintenance_from_minute},
                  {"maintenance_to_minute", document.maintenance_to_minute},
                  {"graceful_stop_ms", document.graceful_stop.count},
                  {"spread_racks", document.spread_racks},
                  {"spread_zones", document.spread_zones},
                  {"slots_per_vm", document.slots_per_vm},
                  {"connections_per_vm", document.connections_per_vm},
                  {"limits", LimitsToJson(document)},
                  {"weight_buffer", document.weights.buffer},
                  {"weight_rollout", document.weights.rollout},
                  {"weight_moves", document.weights.moves},
                  {"source", document.source}});
}

tl::expected<ServiceDocument, CodecError> DecodeServiceDocument(
    std::string_view text) {
  return DecodeGuarded<ServiceDocument>(text, ReadServiceDocument);
}

std::string Encode(const EntryRow& row) { return json::serialize(ToJson(row)); }

tl::expected<EntryRow, CodecError> DecodeEntryRow(std::string_view text) {
  return DecodeGuarded<EntryRow>(text, ReadEntryRow);
}

std::string Encode(const Membership& membership) {
  json::array earlier;
  for (const auto& [from, entries] : membership.earlier) {
    earlier.push_back(
        json::object{{"from_ms", from.count}, {"entries", ToJson(entries)}});
  }
  return json::serialize(
      json::value{{"number", U64ToText(membership.number)},
                  {"effective_from_ms", membership.effective_from.count},
                  {"entries", ToJson(membership.entries)},
                  {"earlier", std::move(earlier)},
                  {"pending", ToJson(membership.pending)},
                  {"pending_removal", membership.pending_removal}});
}

tl::expected<Membership, CodecError> DecodeMembership(std::string_view text) {
  return DecodeGuarded<Membership>(text, [](const json::object& object) {
    Membership membership;
    membership.number = ReadU64(object.at("number"));
    membership.effective_from = {ReadI64(object, "effective_from_ms")};
    membership.entries = ReadEntryRows(object.at("entries"));
    for (const json::value& it : object.at("earlier").as_array()) {
      const json::object& item = it.as_object();
      membership.earlier.emplace_back(WallMillis{ReadI64(item, "from_ms")},
                                      ReadEntryRows(item.at("entries")));
    }
    membership.pending = ReadEntryRow(object.at("pending").as_object());
    membership.pending_removal = object.at("pending_removal").as_bool();
    return membership;
  });
}

std::string Encode(const WaveRow& row) {
  json::array pools;
  for (const PoolId& it : row.pools) pools.push_back(json::value(it.value));
  return json::serialize(json::value{{"wave", row.wave.value},
                                     {"pools", std::move(pools)},
                                     {"stopped", row.stopped},
                                     {"finished", row.finished},
                                     {"started_ms", row.started.count},
                                     {"reason", row.reason}});
}

tl::expected<WaveRow, CodecError> DecodeWaveRow(std::string_view text) {
  return DecodeGuarded<WaveRow>(text, [](const json::object& object) {
    WaveRow row;
    row.wave = WaveId(ReadText(object, "wave"));
    for (const json::value& it : object.at("pools").as_array()) {
      row.pools.emplace_back(json::value_to<std::string>(it));
    }
    row.stopped = object.at("stopped").as_bool();
    row.finished = object.at("finished").as_bool();
    row.started = {ReadI64(object, "started_ms")};
    row.reason = ReadText(object, "reason");
    return row;
  });
}

std::string Encode(const ChangeRecord& record) {
  json::array rows;
  for (const RowChange& it : record.rows) {
    rows.push_back(json::object{{"key", it.key}, {"value", it.value}});
  }
  return json::serialize(json::value{{"revision", U64ToText(record.revision)},
                                     {"rows", std::move(rows)},
                                     {"nonce", record.nonce}});
}

tl::expected<ChangeRecord, CodecError> DecodeChangeRecord(
    std::string_view text) {
  return DecodeGuarded<ChangeRecord>(text, [](const json::object& object) {
    ChangeRecord record;
    record.revision = ReadU64(object.at("revision"));
    if (object.contains("nonce")) record.nonce = ReadText(object, "nonce");
    for (const json::value& it : object.at("rows").as_array()) {
      const json::object& row = it.as_object();
      record.rows.push_back({ReadText(row, "key"), ReadText(row, "value")});
    }
    return record;
  });
}

}  // namespace hemlockward::base
