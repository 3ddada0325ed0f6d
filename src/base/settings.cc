#include "base/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "base/address.h"

namespace hemlockward::base {

namespace {

constexpr std::string_view kDurationFormat =
    "a whole number with a unit: ms, s, m or h";

template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::string ReadFile(const std::string& path, Findings& findings) {
  std::ifstream file(path, std::ios::binary);
  if (!file) findings.Add({path, 0, 0}, "the file can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string JoinKey(const std::string& name, const std::string& part) {
  if (name.empty()) return part;
  return name + "." + part;
}

std::string RangeText(double min_value, double max_value) {
  std::ostringstream text;
  text << min_value << " to " << max_value;
  return text.str();
}

}  // namespace

tl::expected<Millis, std::string> ParseDuration(std::string_view text) {
  const std::size_t digits = text.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string_view::npos) {
    return tl::unexpected(std::string(kDurationFormat));
  }
  const auto n = ParseNumber<std::int64_t>(text.substr(0, digits));
  const std::string_view unit = text.substr(digits);
  constexpr std::int64_t kMaxNumber = 1'000'000'000;
  if (!n || *n > kMaxNumber)
    return tl::unexpected(std::string(kDurationFormat));
  if (unit == "ms") return Millis{*n};
  if (unit == "s") return Seconds(*n);
  if (unit == "m") return Minutes(*n);
  if (unit == "h") return Hours(*n);
  return tl::unexpected(std::string(kDurationFormat));
}

void SettingsReader::Text(std::string key, std::string* target,
                          std::string help, Need need) {
  Add(std::move(key), {Kind::kText, target, std::move(help), need});
}

void SettingsReader::Address(std::string key, std::string* target,
                             std::string help, Need need) {
  Add(std::move(key), {Kind::kAddress, target, std::move(help), need});
}

void SettingsReader::TextList(std::string key, std::vector<std::string>* target,
                              std::string help, Need need) {
  Add(std::move(key), {Kind::kTextList, target, std::move(help), need});
}

void SettingsReader::Integer(std::string key, std::int64_t* target,
                             std::string help, std::int64_t min_value,
                             std::int64_t max_value) {
  Add(std::move(key),
      {Kind::kInteger, target, std::move(help), Need::kOptional,
       static_cast<double>(min_value), static_cast<double>(max_value)});
}

void SettingsReader::Real(std::string key, double* target, std::string help,
                          double min_value, double max_value) {
  Add(std::move(key), {Kind::kReal, target, std::move(help), Need::kOptional,
                       min_value, max_value});
}

void SettingsReader::Flag(std::string key, bool* target, std::string help) {
  Add(std::move(key), {Kind::kFlag, target, std::move(help)});
}

void SettingsReader::Duration(std::string key, Millis* target, std::string help,
                              Millis min_value, Millis max_value) {
  Add(std::move(key), {Kind::kDuration, target, std::move(help),
                       Need::kOptional, static_cast<double>(min_value.count),
                       static_cast<double>(max_value.count)});
}

// State of one call of Load: the bound keys and the findings so far.
struct SettingsReader::LoadPass {
  std::map<std::string, Key>& keys;
  const std::set<std::string>& ignored;
  Findings findings;

  [[nodiscard]] bool IsIgnored(const std::string& name) const {
    return !keys.contains(name) &&
           std::any_of(ignored.begin(), ignored.end(),
                       [&name](const std::string& prefix) {
                         return name.starts_with(prefix);
                       });
  }

  void ReadScalar(const Place& place, const std::string& name,
                  const std::string& text) {
    const auto it = keys.find(name);
    if (it == keys.end()) {
      findings.Add(place, "unknown key '" + name + "'", KnownKeys());
      return;
    }
    if (it->second.seen) {
      findings.Add(place, "key '" + name + "' is given twice", "once");
      return;
    }
    it->second.seen = true;
    AssignValue(place, name, it->second, text);
  }

  void AssignValue(const Place& place, const std::string& name, Key& key,
                   const std::string& text) {
    switch (key.kind) {
      case Kind::kText:
        *static_cast<std::string*>(key.target) = text;
        return;
      case Kind::kAddress: {
        const auto address = ParseAddress(text);
        if (!address) {
          return findings.Add(place, "'" + name + "' can't be '" + text + "'",
                              address.error());
        }
        *static_cast<std::string*>(key.target) = text;
        return;
      }
      case Kind::kTextList:
        static_cast<std::vector<std::string>*>(key.target)->push_back(text);
        return;
      case Kind::kFlag:
        if (text != "true" && text != "false") {
          return findings.Add(place, "'" + name + "' is not a flag",
                              "true or false");
        }
        *static_cast<bool*>(key.target) = text == "true";
        return;
      case Kind::kInteger: {
        const auto value = ParseNumber<std::int64_t>(text);
        if (!value || !InRange(key, static_cast<double>(*value))) {
          return findings.Add(
              place, "'" + name + "' can't be '" + text + "'",
              "a whole number, " + RangeText(key.min_value, key.max_value));
        }
        *static_cast<std::int64_t*>(key.target) = *value;
        return;
      }
      case Kind::kReal: {
        const auto value = ParseNumber<double>(text);
        if (!value || !InRange(key, *value)) {
          return findings.Add(
              place, "'" + name + "' can't be '" + text + "'",
              "a number, " + RangeText(key.min_value, key.max_value));
        }
        *static_cast<double*>(key.target) = *value;
        return;
      }
      case Kind::kDuration: {
        const auto value = ParseDuration(text);
        if (!value || !InRange(key, static_cast<double>(value->count))) {
          return findings.Add(place, "'" + name + "' can't be '" + text + "'",
                              std::string(kDurationFormat) + ", " +
                                  RangeText(key.min_value, key.max_value) +
                                  " ms");
        }
        *static_cast<Millis*>(key.target) = *value;
        return;
      }
    }
  }

  void Node(const std::string& file, const std::string& name,
            const YAML::Node& node) {
    const Place place{file, node.Mark().line + 1, node.Mark().column + 1};
    if (node.IsMap()) {
      for (const auto& it : node) {
        const std::string part = it.first.as<std::string>();
        Node(file, JoinKey(name, part), it.second);
      }
      return;
    }
    if (IsIgnored(name)) return;
    const auto it = keys.find(name);
    const bool is_list = it != keys.end() && it->second.kind == Kind::kTextList;
    if (node.IsSequence() && is_list) {
      it->second.seen = true;
      auto* target = static_cast<std::vector<std::string>*>(it->second.target);
      target->clear();
      for (const auto& item : node) target->push_back(item.as<std::string>());
      return;
    }
    if (!node.IsScalar()) {
      findings.Add(place, "'" + name + "' has the wrong form",
                   is_list ? "a list" : "one value");
      return;
    }
    ReadScalar(place, name, node.Scalar());
  }

  static bool InRange(const Key& key, double value) {
    return value >= key.min_value && value <= key.max_value;
  }

  [[nodiscard]] std::string KnownKeys() const {
    std::string text;
    for (const auto& [name, key] : keys) {
      if (!text.empty()) text += ", ";
      text += name;
    }
    return text;
  }
};

Findings SettingsReader::Load(std::string_view path,
                              const std::vector<std::string>& overrides) {
  for (auto& [name, key] : keys_) key.seen = false;
  LoadPass pass{keys_, ignored_, {}};
  const std::string file(path);
  if (!file.empty()) {
    try {
      const YAML::Node root = YAML::Load(ReadFile(file, pass.findings));
      if (root.IsDefined() && !root.IsNull()) pass.Node(file, "", root);
    } catch (const YAML::Exception& e) {
      pass.findings.Add({file, e.mark.line + 1, e.mark.column + 1}, e.msg,
                        "a YAML map");
    }
  }
  for (auto& [name, key] : keys_) {
    if (!key.seen) continue;
    if (key.kind != Kind::kTextList) key.seen = false;
    if (key.need == Need::kRequired) key.need = Need::kOptional;
  }
  for (std::size_t i = 0; i < overrides.size(); ++i) {
    const std::string& it = overrides[i];
    const std::size_t equals = it.find('=');
    const Place place{"--set", static_cast<int>(i) + 1, 1};
    if (equals == std::string::npos) {
      pass.findings.Add(place, "'" + it + "' has no value", "KEY=VALUE");
      continue;
    }
    pass.ReadScalar(place, it.substr(0, equals), it.substr(equals + 1));
  }
  for (const auto& [name, key] : keys_) {
    if (key.need == Need::kRequired && !key.seen) {
      pass.findings.Add({file, 0, 0}, "key '" + name + "' is missing",
                        key.help);
    }
  }
  return pass.findings;
}

std::string SettingsReader::Help() const {
  std::string text;
  for (const auto& [name, key] : keys_)
    text += "  " + name + ": " + key.help + "\n";
  return text;
}

}  // namespace hemlockward::base
