#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hemlockward::base {

/// Position of a finding in an input. Lines and columns start at 1; 0 means
/// unknown.
struct Place {
  std::string file;
  int line = 0;
  int column = 0;
  friend bool operator==(const Place&, const Place&) = default;
};

/// One error in an input: its position, the problem and the allowed values.
struct Finding {
  Place place;
  std::string problem;
  std::string allowed;
};

/// Collects all errors of an input, so that they are reported together.
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
