#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hemlockward::base {

/// Where in an input a finding was made. Lines and columns count from 1; 0
/// means unknown.
struct Place {
  std::string file;
  int line = 0;
  int column = 0;
  friend bool operator==(const Place&, const Place&) = default;
};

/// One thing wrong with an input: where, what, and what would be allowed.
struct Finding {
  Place place;
  std::string problem;
  std::string allowed;
};

/// Collects everything wrong with an input, so that it is reported at once.
class Findings {
 public:
  void Add(Place place, std::string problem, std::string allowed = {});
  void Append(const Findings& other);
  [[nodiscard]] bool empty() const { return items_.empty(); }
  [[nodiscard]] const std::vector<Finding>& items() const { return items_; }
  /// One line per finding: `file:line:column: problem (allowed: ...)`.
  [[nodiscard]] std::string ToText() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace hemlockward::base
