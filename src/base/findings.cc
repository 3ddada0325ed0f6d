#include "base/findings.h"

#include <utility>

namespace hemlockward::base {

void Findings::Add(Place place, std::string problem, std::string allowed) {
  items_.push_back({std::move(place), std::move(problem), std::move(allowed)});
}

void Findings::Append(const Findings& other) {
  items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string Findings::ToText() const {
  std::string text;
  for (const Finding& it : items_) {
    text += it.place.file + ':' + std::to_string(it.place.line) + ':' +
            std::to_string(it.place.column) + ": " + it.problem;
    if (!it.allowed.empty()) text += " (allowed: " + it.allowed + ")";
    text += '\n';
  }
  return text;
}

}  // namespace hemlockward::base
