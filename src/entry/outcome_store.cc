#include "entry/outcome_store.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <exception>
#include <utility>

#include "base/log.h"
#include "kernel/worker_pool.h"

namespace hemlockward::entry {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr base::Millis kRetryDelay{500};

std::string ObjectKey(std::string_view key) {
  return "outcome/" + std::string(key);
}

}  // namespace

std::string EncodeOutcome(const StoredOutcome& outcome) {
  const json::value head{{"outcome", base::ToText(outcome.outcome)},
                         {"status", outcome.status},
                         {"content_type", outcome.content_type},
                         {"reason", outcome.reason},
                         {"request_id", outcome.request_id},
                         {"body_bytes", outcome.body.size()}};
  return json::serialize(head) + "\n" + outcome.body;
}

OutcomePtr DecodeOutcome(std::string_view bytes) {
  const std::size_t end = bytes.find('\n');
  if (end == std::string_view::npos) return nullptr;
  try {
    const json::value head = json::parse(std::string(bytes.substr(0, end)));
    auto stored = std::make_shared<StoredOutcome>();
    const auto outcome =
        base::ParseOutcome(json::value_to<std::string>(head.at("outcome")));
    if (!outcome) return nullptr;
    stored->outcome = *outcome;
    stored->status = json::value_to<int>(head.at("status"));
    stored->content_type = json::value_to<std::string>(head.at("content_type"));
    stored->reason = json::value_to<std::string>(head.at("reason"));
    stored->request_id = json::value_to<std::string>(head.at("request_id"));
    stored->body = std::string(bytes.substr(end + 1));
    const auto size = json::value_to<std::size_t>(head.at("body_bytes"));
    if (stored->body.size() != size) return nullptr;
    return stored;
  } catch (const std::exception&) {
    return nullptr;
  }
}

asio::awaitable<bool> OutcomeStore::Put(std::string key, OutcomePtr outcome,
                                        base::Millis limit) {
  const std::string bytes = EncodeOutcome(*outcome);
  const base::Millis until = clock_.Now() + limit;
  while (true) {
    const auto stored = co_await objects_.PutIfAbsent(ObjectKey(key), bytes);
    if (stored) co_return *stored;
    if (clock_.Now() >= until) break;
    co_await kernel::Sleep(kRetryDelay);
  }
  base::LogLine(base::LogLevel::kError, "outcome_not_stored").With("key", key);
  co_return false;
}

asio::awaitable<OutcomePtr> OutcomeStore::Get(std::string key) {
  const auto bytes = co_await objects_.Get(ObjectKey(key));
  if (!bytes) co_return nullptr;
  co_return DecodeOutcome(*bytes);
}

}  // namespace hemlockward::entry
