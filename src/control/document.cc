#include "control/document.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/settings.h"
#include "control/budget.h"

namespace hemlockward::control {

using base::Findings;
using base::Millis;
using base::Place;
using base::ServiceDocument;

namespace {

constexpr int kMaxDepth = 8;
constexpr int kMaxNodes = 512;
constexpr std::size_t kMaxNameBytes = 64;
constexpr int kMaxPoolSize = 100'000;
constexpr int kMaxQuota = 1'000'000;
constexpr int kMaxSlots = 1024;
constexpr int kMaxConnections = 65536;
constexpr int kMinutesOfDay = 24 * 60;
constexpr double kMaxWeight = 1000;
constexpr std::string_view kNameForm =
    "1 to 64 letters, digits, '-', '_' or '.', first a letter or digit";

bool IsNameChar(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || c == '-' || c == '_' || c == '.';
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  if (text[0] == '-' || text[0] == '_' || text[0] == '.') return false;
  return std::all_of(text.begin(), text.end(), IsNameChar);
}

// Parses the whole text as a number; empty when it is not one.
template <class T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) return {};
  return value;
}

// Minute of the day written `HH:MM`; 24:00 is the end of the day.
std::optional<int> ParseTimeOfDay(std::string_view text) {
  if (text.size() != 5 || text[2] != ':') return {};
  const auto hour = ParseNumber<unsigned>(text.substr(0, 2));
  const auto minute = ParseNumber<unsigned>(text.substr(3, 2));
  if (!hour || !minute || *minute > 59 || *hour > 24) return {};
  const int value = static_cast<int>(*hour * 60 + *minute);
  return value <= kMinutesOfDay ? std::optional(value) : std::nullopt;
}

// Reads a YAML map. Keys that were never requested are reported as unknown.
class DocumentReader {
 public:
  DocumentReader(std::string_view file, Findings& findings)
      : file_(file), findings_(findings) {}

  /// Flattens `root` to dotted keys; rejects aliases, lists and deep nesting.
  void Flatten(const YAML::Node& root) { FlattenNode(root, "", 0); }

  void ReadName(const std::string& key, std::string& target);
  void ReadInt(const std::string& key, int& target, int least, int most);
  void ReadDouble(const std::string& key, double& target, double least,
                  double most);
  void ReadBool(const std::string& key, bool& target);
  void ReadDuration(const std::string& key, Millis& target, Millis least,
                    Millis most);
  void Hours(const std::string& key, int& from, int& to);
  void RequireKey(const std::string& key, std::string_view form);
  void RejectUnknownKeys();

  [[nodiscard]] Place PlaceOf(const std::string& key) const;
  [[nodiscard]] bool HasKey(const std::string& key) const;

 private:
  struct Scalar {
    std::string key;
    std::string text;
    Place place;
    bool known = false;
  };

  void FlattenNode(const YAML::Node& node, const std::string& key, int depth);
  [[nodiscard]] Place At(const YAML::Mark& mark) const;
  Scalar* Find(const std::string& key);
  void Reject(const Scalar& scalar, std::string allowed);

  std::string file_;
  Findings& findings_;
  std::vector<Scalar> scalars_;
  std::vector<std::string> known_keys_;
  int nodes_ = 0;
};

Place DocumentReader::At(const YAML::Mark& mark) const {
  return {file_, mark.line + 1, mark.column + 1};
}

void DocumentReader::FlattenNode(const YAML::Node& node, const std::string& key,
                                 int depth) {
  const Place place = At(node.Mark());
  if (++nodes_ > kMaxNodes || depth > kMaxDepth) {
    if (nodes_ == kMaxNodes + 1 || depth > kMaxDepth) {
      findings_.Add(place, "the document has too many or too deep keys",
                    "at most 512 nodes, 8 deep");
    }
    return;
  }
  if (!node.IsMap()) {
    if (node.IsScalar()) {
      scalars_.push_back({key, node.Scalar(), place});
    } else {
      findings_.Add(place, "'" + key + "' has the wrong form", "one value");
    }
    return;
  }
  for (const auto& it : node) {
    if (!it.first.IsScalar()) {
      findings_.Add(At(it.first.Mark()), "a key is not a word", "a word");
      continue;
    }
    const std::string& part = it.first.Scalar();
    std::string name = key;
    if (!name.empty()) name += '.';
    name += part;
    FlattenNode(it.second, name, depth + 1);
  }
}

DocumentReader::Scalar* DocumentReader::Find(const std::string& key) {
  known_keys_.push_back(key);
  Scalar* found = nullptr;
  for (Scalar& it : scalars_) {
    if (it.key != key) continue;
    if (found != nullptr) {
      findings_.Add(it.place, "'" + key + "' is given twice", "once");
    } else {
      found = &it;
    }
    it.known = true;
  }
  return found;
}

bool DocumentReader::HasKey(const std::string& key) const {
  return std::any_of(scalars_.begin(), scalars_.end(),
                     [&](const Scalar& it) { return it.key == key; });
}

Place DocumentReader::PlaceOf(const std::string& key) const {
  for (const Scalar& it : scalars_) {
    if (it.key == key) return it.place;
  }
  return {file_, 1, 1};
}

void DocumentReader::Reject(const Scalar& scalar, std::string allowed) {
  findings_.Add(scalar.place,
                "'" + scalar.key + "' can't be '" + scalar.text + "'",
                std::move(allowed));
}

void DocumentReader::ReadName(const std::string& key, std::string& target) {
  const Scalar* scalar = Find(key);
  if (scalar == nullptr) return;
  if (!IsName(scalar->text)) return Reject(*scalar, std::string(kNameForm));
  target = scalar->text;
}

void DocumentReader::ReadInt(const std::string& key, int& target, int least,
                             int most) {
  const Scalar* scalar = Find(key);
  if (scalar == nullptr) return;
  const auto value = ParseNumber<int>(scalar->text);
  if (!value || *value < least || *value > most) {
    return Reject(*scalar, "a whole number, " + std::to_string(least) + " to " +
                               std::to_string(most));
  }
  target = *value;
}

void DocumentReader::ReadDouble(const std::string& key, double& target,
                                double least, double most) {
  const Scalar* scalar = Find(key);
  if (scalar == nullptr) return;
  const auto value = ParseNumber<double>(scalar->text);
  // This form of the condition rejects NaN as well.
  const bool in_range = value && *value >= least && *value <= most;
  if (!in_range) {
    return Reject(*scalar, "a number, " + std::to_string(least) + " to " +
                               std::to_string(most));
  }
  target = *value;
}

void DocumentReader::ReadBool(const std::string& key, bool& target) {
  const Scalar* scalar = Find(key);
  if (scalar == nullptr) return;
  if (scalar->text != "true" && scalar->text != "false") {
    return Reject(*scalar, "true or false");
  }
  target = scalar->text == "true";
}

void DocumentReader::ReadDuration(const std::string& key, Millis& target,
                                  Millis least, Millis most) {
  const Scalar* scalar = Find(key);
  if (scalar == nullptr) return;
  const auto value = base::ParseDuration(scalar->text);
  if (!value || *value < least || *value > most) {
    return Reject(*scalar, "a duration such as 250ms, 7s, 20m or 6h, " +
                               std::to_string(least.count) + " to " +
                               std::to_string(most.count) + " ms");
  }
  target = *value;
}

void DocumentReader::Hours(const std::string& key, int& from, int& to) {
  const Scalar* scalar = Find(key);
  if (scalar == nullptr) return;
  const std::string_view text = scalar->text;
  const std::size_t dash = text.find('-');
  const bool split = dash != std::string_view::npos;
  const auto first = ParseTimeOfDay(text.substr(0, split ? dash : 0));
  const auto second = ParseTimeOfDay(split ? text.substr(dash + 1) : "");
  const bool good =
      first && second && *first != *second && *first < kMinutesOfDay;
  if (!good) return Reject(*scalar, "HH:MM-HH:MM in UTC, as 22:00-06:00");
  from = *first;
  to = *second;
}

void DocumentReader::RequireKey(const std::string& key, std::string_view form) {
  if (HasKey(key)) return;
  findings_.Add({file_, 1, 1}, "key '" + key + "' is missing",
                std::string(form));
}

void DocumentReader::RejectUnknownKeys() {
  std::string known;
  for (const std::string& it : known_keys_)
    known += (known.empty() ? "" : ", ") + it;
  for (const Scalar& it : scalars_) {
    if (it.known) continue;
    findings_.Add(it.place, "unknown key '" + it.key + "'", known);
  }
}

void ReadBudget(DocumentReader& reader, base::AvailabilityBudget& budget) {
  reader.ReadDouble("budget.healthy_share", budget.least_healthy_share, 0, 1);
  reader.ReadDuration("budget.below", budget.below_allowed, {0},
                      base::Hours(24 * 30));
  constexpr std::int64_t kMinute = base::Minutes(1).count;
  int minutes = static_cast<int>(budget.below_allowed.count / kMinute);
  reader.ReadInt("budget.minutes_below", minutes, 0, 30 * kMinutesOfDay);
  if (reader.HasKey("budget.minutes_below")) {
    budget.below_allowed = base::Minutes(minutes);
  }
  reader.ReadDuration("budget.window", budget.window, base::Hours(1),
                      base::Hours(24 * 90));
}

void ReadVms(DocumentReader& reader, ServiceDocument& document) {
  reader.ReadBool("vms.movable", document.movable);
  reader.Hours("vms.maintenance_hours", document.maintenance_from_minute,
               document.maintenance_to_minute);
  reader.ReadDuration("vms.graceful_stop", document.graceful_stop, {0},
                      base::Hours(24));
  reader.ReadInt("vms.spread.racks", document.spread_racks, 1, kMaxPoolSize);
  reader.ReadInt("vms.spread.zones", document.spread_zones, 1, kMaxPoolSize);
}

void ReadLimits(DocumentReader& reader, ServiceDocument& document) {
  reader.ReadInt("limits.slots", document.slots_per_vm, 1, kMaxSlots);
  reader.ReadInt("limits.connections", document.connections_per_vm, 1,
                 kMaxConnections);
  for (std::size_t i = 0; i < base::kRequestClassCount; ++i) {
    const auto name = ToText(static_cast<base::RequestClass>(i));
    const std::string prefix = "classes." + std::string(name);
    reader.ReadInt(prefix + ".quota", document.limits[i].quota, 0, kMaxQuota);
    reader.ReadInt(prefix + ".queue", document.limits[i].queue_length, 0,
                   kMaxQuota);
  }
  reader.ReadDouble("weights.buffer", document.weights.buffer, 0, kMaxWeight);
  reader.ReadDouble("weights.rollout", document.weights.rollout, 0, kMaxWeight);
  reader.ReadDouble("weights.moves", document.weights.moves, 0, kMaxWeight);
}

// Checks that the values of one document are consistent with each other.
void CheckConsistency(const DocumentReader& reader,
                      const ServiceDocument& document, Findings& findings) {
  if (document.max_size < document.min_size) {
    findings.Add(reader.PlaceOf("size.max"), "size.max is below size.min",
                 "at least " + std::to_string(document.min_size));
  }
  if (document.budget.below_allowed > document.budget.window) {
    findings.Add(reader.PlaceOf("budget.window"),
                 "more time below is allowed than the window has",
                 "a window of at least the time below");
  }
  if (document.spread_zones > document.spread_racks) {
    findings.Add(reader.PlaceOf("vms.spread.zones"),
                 "more zones than racks are asked for",
                 "at most " + std::to_string(document.spread_racks));
  }
  if (document.spread_racks > document.min_size) {
    findings.Add(reader.PlaceOf("vms.spread.racks"),
                 "more racks are asked for than VMs",
                 "at most size.min, " + std::to_string(document.min_size));
  }
  if (document.connections_per_vm < document.slots_per_vm) {
    findings.Add(reader.PlaceOf("limits.connections"),
                 "fewer connections than slots",
                 "at least " + std::to_string(document.slots_per_vm));
  }
}

void ReadDocument(DocumentReader& reader, ServiceDocument& document) {
  reader.ReadName("team", document.team.value);
  reader.ReadName("service", document.service.value);
  reader.ReadName("pool", document.pool.value);
  reader.ReadInt("size.min", document.min_size, 1, kMaxPoolSize);
  document.max_size = document.min_size;
  reader.ReadInt("size.max", document.max_size, 1, kMaxPoolSize);
  ReadBudget(reader, document.budget);
  ReadVms(reader, document);
  ReadLimits(reader, document);
  reader.RejectUnknownKeys();
  reader.RequireKey("team", kNameForm);
  reader.RequireKey("service", kNameForm);
  reader.RequireKey("pool", kNameForm);
  reader.RequireKey("size.min", "a whole number of VMs");
}

// Anchors and aliases let a short text expand to a huge document.
bool FindAlias(std::string_view text, Place& place) {
  int line = 1;
  int column = 1;
  bool at_token_start = true;  // A value may start here.
  bool comment = false;
  for (const char c : text) {
    if (!comment && at_token_start && (c == '&' || c == '*')) {
      place.line = line;
      place.column = column;
      return true;
    }
    if (c == '#' && at_token_start) comment = true;
    at_token_start = c == ' ' || c == '\t' || c == '\n' || c == ',' ||
                     c == '[' || c == '{' || c == ':' || c == '-';
    ++column;
    if (c != '\n') continue;
    comment = false;
    ++line;
    column = 1;
  }
  return false;
}

// Nesting depth of brackets; the parser recurses on them.
int BracketDepth(std::string_view text) {
  int depth = 0;
  int most = 0;
  for (const char c : text) {
    if (c == '[' || c == '{') most = std::max(most, ++depth);
    if ((c == ']' || c == '}') && depth > 0) --depth;
  }
  return most;
}

// Rejects text that must not reach the parser.
bool RejectUnsafeText(std::string_view text, std::string_view file,
                      Findings& findings) {
  Place place{std::string(file), 1, 1};
  if (text.size() > kMaxDocumentBytes) {
    findings.Add(place,
                 "the document has " + std::to_string(text.size()) + " bytes",
                 "at most " + std::to_string(kMaxDocumentBytes));
  } else if (FindAlias(text, place)) {
    findings.Add(place, "anchors and aliases are not read",
                 "each value written out, '&' and '*' quoted");
  } else if (BracketDepth(text) > kMaxDepth) {
    findings.Add(place, "brackets nest too deep", "at most 8 deep");
  }
  return !findings.empty();
}

}  // namespace

tl::expected<ServiceDocument, Findings> ParseDocument(std::string_view text,
                                                      std::string_view file) {
  Findings findings;
  if (RejectUnsafeText(text, file, findings)) return tl::unexpected(findings);
  DocumentReader reader(file, findings);
  ServiceDocument document;
  try {
    const YAML::Node root = YAML::Load(std::string(text));
    if (!root.IsMap()) {
      findings.Add({std::string(file), 1, 1}, "the document is no map",
                   "key: value lines");
      return tl::unexpected(findings);
    }
    reader.Flatten(root);
  } catch (const YAML::Exception& e) {
    findings.Add({std::string(file), e.mark.line + 1, e.mark.column + 1}, e.msg,
                 "YAML");
    return tl::unexpected(findings);
  }
  ReadDocument(reader, document);
  CheckConsistency(reader, document, findings);
  if (!findings.empty()) return tl::unexpected(findings);
  document.source = std::string(text);
  return document;
}

namespace {

// Places of the keys in a text that was accepted earlier.
class SourcePlaces {
 public:
  SourcePlaces(std::string_view source, std::string_view file)
      : reader_(file, findings_) {
    try {
      const YAML::Node root = YAML::Load(std::string(source));
      if (root.IsMap()) reader_.Flatten(root);
    } catch (const YAML::Exception&) {
      // Places stay at 1:1 for a source that can't be read.
    }
  }
  [[nodiscard]] Place operator()(const std::string& key) const {
    return reader_.PlaceOf(key);
  }

 private:
  Findings findings_;
  DocumentReader reader_;
};

bool HasAllQuotas(const ServiceDocument& document) {
  return std::all_of(std::begin(document.limits), std::end(document.limits),
                     [](const base::ClassLimit& it) { return it.quota > 0; });
}

int QuotaSum(const ServiceDocument& document) {
  int sum = 0;
  for (const base::ClassLimit& it : document.limits) sum += it.quota;
  return sum;
}

// Teams may share a pool if no team can starve the others.
void CheckSharing(const ServiceDocument& document,
                  const std::vector<const ServiceDocument*>& others,
                  const SourcePlaces& places, Findings& findings) {
  for (const ServiceDocument* it : others) {
    if (!HasAllQuotas(document) || !HasAllQuotas(*it)) {
      findings.Add(places("pool"),
                   "pool '" + document.pool.value + "' is used by team '" +
                       it->team.value + "' as well",
                   "another pool, or a quota for every class of both teams");
    }
    if (it->slots_per_vm != document.slots_per_vm) {
      findings.Add(places("limits.slots"),
                   "team '" + it->team.value + "' states other slots per VM",
                   std::to_string(it->slots_per_vm));
    }
  }
}

void CheckQuotas(const ServiceDocument& document,
                 const std::vector<const ServiceDocument*>& others,
                 const SourcePlaces& places, Findings& findings) {
  int most = document.max_size;
  for (const ServiceDocument* it : others) most += it->max_size;
  const std::int64_t slots =
      static_cast<std::int64_t>(most) * document.slots_per_vm;
  for (std::size_t i = 0; i < base::kRequestClassCount; ++i) {
    if (document.limits[i].quota <= slots) continue;
    const auto name = ToText(static_cast<base::RequestClass>(i));
    findings.Add(places("classes." + std::string(name) + ".quota"),
                 "the quota is above the pool's size",
                 "at most " + std::to_string(slots) + " slots");
  }
  if (others.empty()) return;
  std::int64_t sum = QuotaSum(document);
  for (const ServiceDocument* it : others) sum += QuotaSum(*it);
  if (sum <= slots) return;
  findings.Add(
      places("pool"),
      "the quotas of all teams on the pool add up to " + std::to_string(sum),
      "at most " + std::to_string(slots) + " slots");
}

// A wave takes out at least one VM, and the pool must survive a rack failure.
void CheckWave(const ServiceDocument& document,
               const std::vector<const ServiceDocument*>& others,
               const SourcePlaces& places, Findings& findings) {
  int floor = FloorOf(document);
  int most = document.max_size;
  for (const ServiceDocument* it : others) {
    floor += FloorOf(*it);
    most += it->max_size;
  }
  if (most - floor < 2) {
    findings.Add(places("budget.healthy_share"),
                 "no maintenance wave can meet the budget: of " +
                     std::to_string(most) + " VMs at most, " +
                     std::to_string(floor) +
                     " must stay up with one out and one failed",
                 "size.max of at least " +
                     std::to_string(document.max_size + floor + 2 - most) +
                     " or a lower share");
  }
  const int hours = (document.maintenance_to_minute -
                     document.maintenance_from_minute + kMinutesOfDay) %
                    kMinutesOfDay;
  const Millis open = base::Minutes(hours == 0 ? kMinutesOfDay : hours);
  if (document.graceful_stop >= open) {
    findings.Add(places("vms.graceful_stop"),
                 "a graceful stop takes longer than the maintenance hours",
                 "below " + std::to_string(open.count) + " ms");
  }
}

}  // namespace

Findings CheckAgainstFleet(const ServiceDocument& document,
                           const base::FleetView& view, std::string_view file) {
  const SourcePlaces places(document.source, file);
  Findings findings;
  std::vector<const ServiceDocument*> others;
  for (const auto& [team, it] : view.documents) {
    if (team == document.team) continue;
    if (it.service == document.service) {
      findings.Add(places("service"),
                   "service '" + it.service.value + "' belongs to team '" +
                       team.value + "'",
                   "a name that no other team uses");
    }
    if (it.pool == document.pool) others.push_back(&it);
  }
  CheckSharing(document, others, places, findings);
  CheckQuotas(document, others, places, findings);
  CheckWave(document, others, places, findings);
  return findings;
}

}  // namespace hemlockward::control
