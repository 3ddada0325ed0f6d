#include "platform/wire.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <stdexcept>
#include <utility>

namespace hemlockward::platform {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxDepth = 8;

std::string StringField(const json::object& object, std::string_view key) {
  return std::string(object.at(key).as_string());
}

RowVersion VersionField(const json::object& object) {
  return object.at("version").to_number<RowVersion>();
}

// Parses `text` and passes its object to `read`; exceptions become errors.
template <class Read>
auto Decode(std::string_view text, Read read)
    -> Decoded<decltype(read(std::declval<const json::object&>()))> {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  try {
    const json::value value = json::parse(text, {}, options);
    return read(value.as_object());
  } catch (const std::exception& e) {
    return tl::unexpected(WireError{e.what()});
  }
}

// Reads the array in field `key`, each element with `read_one`.
template <class ReadOne>
auto ReadList(const json::object& object, std::string_view key,
              ReadOne read_one) {
  std::vector<decltype(read_one(std::declval<const json::value&>()))> items;
  for (const json::value& it : object.at(key).as_array()) {
    items.push_back(read_one(it));
  }
  return items;
}

std::string ReadString(const json::value& value) {
  return std::string(value.as_string());
}

Condition ReadCondition(const json::value& value) {
  const json::object& object = value.as_object();
  return {StringField(object, "key"), VersionField(object)};
}

Write ReadWrite(const json::value& value) {
  const json::object& object = value.as_object();
  Write write;
  write.key = StringField(object, "key");
  write.remove = object.at("value").is_null();
  if (!write.remove) write.value = StringField(object, "value");
  return write;
}

Row ReadRow(const json::value& value) {
  const json::object& object = value.as_object();
  return {StringField(object, "key"), VersionField(object),
          StringField(object, "value")};
}

ListedState ReadState(std::string_view text) {
  if (text == "live") return ListedState::kLive;
  if (text == "leaving") return ListedState::kLeaving;
  if (text == "gone") return ListedState::kGone;
  throw std::invalid_argument("unknown state " + std::string(text));
}

ListedVm ReadVm(const json::value& value) {
  const json::object& object = value.as_object();
  ListedVm vm;
  vm.vm = base::VmId(StringField(object, "vm"));
  vm.zone = base::ZoneId(StringField(object, "zone"));
  vm.rack = base::RackId(StringField(object, "rack"));
  vm.address = StringField(object, "address");
  vm.state = ReadState(StringField(object, "state"));
  return vm;
}

Verdict ReadVerdict(const json::value& value) {
  const json::object& object = value.as_object();
  Verdict verdict;
  verdict.vm = base::VmId(StringField(object, "vm"));
  verdict.up = object.at("up").as_bool();
  verdict.age = {object.at("age_ms").to_number<std::int64_t>()};
  return verdict;
}

json::array ToJson(const std::vector<std::string>& texts) {
  json::array array;
  for (const std::string& it : texts) array.emplace_back(it);
  return array;
}

}  // namespace

std::string Encode(const Transaction& transaction) {
  json::array conditions;
  for (const Condition& it : transaction.conditions) {
    conditions.push_back(
        json::object{{"key", it.key}, {"version", it.version}});
  }
  json::array writes;
  for (const Write& it : transaction.writes) {
    const json::value value = it.remove ? json::value() : json::value(it.value);
    writes.push_back(json::object{{"key", it.key}, {"value", value}});
  }
  json::object object;
  object["nonce"] = transaction.nonce;
  object["conditions"] = std::move(conditions);
  object["writes"] = std::move(writes);
  return json::serialize(object);
}

std::string Encode(const TransactReply& reply) {
  json::object object;
  object["committed"] = reply.committed;
  if (reply.committed) object["version"] = reply.version;
  if (!reply.committed) object["conflicts"] = ToJson(reply.conflicts);
  return json::serialize(object);
}

std::string Encode(const ScanRequest& request) {
  json::object object;
  object["prefix"] = request.prefix;
  object["after"] = request.after;
  object["limit"] = request.limit;
  return json::serialize(object);
}

std::string Encode(const ScanPage& page) {
  json::array rows;
  for (const Row& it : page.rows) {
    rows.push_back(json::object{
        {"key", it.key}, {"version", it.version}, {"value", it.value}});
  }
  json::object object;
  object["rows"] = std::move(rows);
  object["more"] = page.more;
  return json::serialize(object);
}

std::string Encode(const std::vector<ListedVm>& vms) {
  json::array list;
  for (const ListedVm& it : vms) {
    list.push_back(json::object{{"vm", it.vm.value},
                                {"zone", it.zone.value},
                                {"rack", it.rack.value},
                                {"address", it.address},
                                {"state", ToText(it.state)}});
  }
  json::object object;
  object["vms"] = std::move(list);
  return json::serialize(object);
}

std::string Encode(const std::vector<Verdict>& verdicts) {
  json::array list;
  for (const Verdict& it : verdicts) {
    list.push_back(json::object{
        {"vm", it.vm.value}, {"up", it.up}, {"age_ms", it.age.count}});
  }
  json::object object;
  object["verdicts"] = std::move(list);
  return json::serialize(object);
}

std::string EncodeKeys(const std::vector<std::string>& keys) {
  json::object object;
  object["keys"] = ToJson(keys);
  return json::serialize(object);
}

std::string EncodeNonce(std::string_view nonce) {
  json::object object;
  object["nonce"] = nonce;
  return json::serialize(object);
}

Decoded<Transaction> DecodeTransaction(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    Transaction transaction;
    transaction.nonce = StringField(object, "nonce");
    transaction.conditions = ReadList(object, "conditions", ReadCondition);
    transaction.writes = ReadList(object, "writes", ReadWrite);
    return transaction;
  });
}

Decoded<TransactReply> DecodeTransactReply(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    TransactReply reply;
    reply.committed = object.at("committed").as_bool();
    if (reply.committed) {
      reply.version = VersionField(object);
    } else {
      reply.conflicts = ReadList(object, "conflicts", ReadString);
    }
    return reply;
  });
}

Decoded<ScanRequest> DecodeScanRequest(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    ScanRequest request;
    request.prefix = StringField(object, "prefix");
    request.after = StringField(object, "after");
    request.limit = object.at("limit").to_number<int>();
    return request;
  });
}

Decoded<ScanPage> DecodeScanPage(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    ScanPage page;
    page.rows = ReadList(object, "rows", ReadRow);
    const json::value* more = object.if_contains("more");
    page.more = more != nullptr && more->as_bool();
    return page;
  });
}

Decoded<std::vector<ListedVm>> DecodeVms(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    return ReadList(object, "vms", ReadVm);
  });
}

Decoded<std::vector<Verdict>> DecodeVerdicts(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    return ReadList(object, "verdicts", ReadVerdict);
  });
}

Decoded<std::vector<std::string>> DecodeKeys(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    return ReadList(object, "keys", ReadString);
  });
}

Decoded<std::string> DecodeNonce(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    return StringField(object, "nonce");
  });
}

std::string_view ToText(ListedState value) {
  switch (value) {
    case ListedState::kLive:
      return "live";
    case ListedState::kLeaving:
      return "leaving";
    case ListedState::kGone:
      return "gone";
  }
  return "gone";
}

}  // namespace hemlockward::platform
