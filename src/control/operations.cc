#include "control/operations.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>

#include "base/random.h"

namespace hemlockward::control {

namespace json = boost::json;

std::string EtagOf(std::string_view source) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "\"%016llx\"",
                static_cast<unsigned long long>(base::StableHash(source)));
  return buf;
}

Refusal ToRefusal(const platform::TableError& error) {
  const bool unknown = error.failure == platform::TableFailure::kUnknown;
  Refusal refusal;
  refusal.kind = unknown ? RefusalKind::kUnknown : RefusalKind::kUnavailable;
  refusal.what = error.what;
  return refusal;
}

std::optional<Refusal> CheckIfMatch(const base::FleetView& view,
                                    const base::TeamId& team,
                                    std::string_view if_match) {
  const auto it = view.documents.find(team);
  const bool exists = it != view.documents.end();
  if (if_match.empty() || (if_match == "*" && exists)) return std::nullopt;
  const std::string stored = exists ? it->second.source : std::string();
  if (exists && EtagOf(stored) == if_match) return std::nullopt;
  Refusal refusal;
  refusal.kind = RefusalKind::kConflict;
  refusal.what = "the document in force is not the one that was edited";
  refusal.stored = stored;
  refusal.stored_etag = exists ? EtagOf(stored) : std::string();
  return refusal;
}

std::string ToJson(const base::Findings& findings) {
  json::array items;
  for (const base::Finding& it : findings.items()) {
    items.push_back(json::object{{"file", it.place.file},
                                 {"line", it.place.line},
                                 {"column", it.place.column},
                                 {"problem", it.problem},
                                 {"allowed", it.allowed}});
  }
  return json::serialize(items);
}

}  // namespace hemlockward::control
