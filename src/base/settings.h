#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/clock.h"
#include "base/findings.h"

namespace hemlockward::base {

/// Binds the keys of one YAML file to variables. Unknown keys, wrong types,
/// wrong units and values out of range are reported all at once, each with its
/// position. Nested keys are written `a.b`.
///
///     SettingsReader reader;
///     reader.Text("listen", &listen, "IP:port for callers", Need::kRequired);
///     reader.Duration("lease", &lease, "length of the entry lease", {500},
///     {60000}); Findings findings = reader.Load(path, overrides);
class SettingsReader {
 public:
  enum class Need : std::uint8_t { kOptional, kRequired };

  void Text(std::string key, std::string* target, std::string help,
            Need need = Need::kOptional);
  /// `IP:port`; see ParseAddress.
  void Address(std::string key, std::string* target, std::string help,
               Need need = Need::kOptional);
  void TextList(std::string key, std::vector<std::string>* target,
                std::string help, Need need = Need::kOptional);
  void Integer(std::string key, std::int64_t* target, std::string help,
               std::int64_t min_value, std::int64_t max_value);
  void Real(std::string key, double* target, std::string help, double min_value,
            double max_value);
  void Flag(std::string key, bool* target, std::string help);
  /// Value with a unit: `250ms`, `7s`, `20m`, `6h`.
  void Duration(std::string key, Millis* target, std::string help,
                Millis min_value, Millis max_value);

  /// Other keys below `key` are no error.
  void IgnoreOthers(std::string key) { ignored_.insert(std::move(key) + "."); }

  /// Reads `path` (empty: no file), then `overrides` of the form `key=value`.
  /// The targets of invalid keys keep their previous values.
  Findings Load(std::string_view path,
                const std::vector<std::string>& overrides);
  /// One line per key, for --help.
  [[nodiscard]] std::string Help() const;

 private:
  enum class Kind : std::uint8_t {
    kText,
    kAddress,
    kTextList,
    kInteger,
    kReal,
    kFlag,
    kDuration
  };
  struct Key {
    Kind kind;
    void* target;
    std::string help;
    Need need = Need::kOptional;
    double min_value = 0;
    double max_value = 0;
    bool seen = false;
  };

  struct LoadPass;
  void Add(std::string name, Key key) {
    keys_[std::move(name)] = std::move(key);
  }

  std::map<std::string, Key> keys_;
  std::set<std::string> ignored_;  ///< Prefixes of keys.
};

/// Parses `250ms`, `7s`, `20m` or `6h`; the error describes the expected form.
tl::expected<Millis, std::string> ParseDuration(std::string_view text);

}  // namespace hemlockward::base
