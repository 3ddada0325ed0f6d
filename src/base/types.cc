#include "base/types.h"

namespace hemlockward::base {

std::string_view ToText(RequestClass value) {
  switch (value) {
    case RequestClass::kUrgent:
      return "urgent";
    case RequestClass::kNormal:
      return "normal";
    case RequestClass::kBatch:
      return "batch";
  }
  return "normal";
}

std::string_view ToText(Outcome value) {
  switch (value) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::optional<RequestClass> ParseRequestClass(std::string_view text) {
  if (text == "urgent") return RequestClass::kUrgent;
  if (text == "normal") return RequestClass::kNormal;
  if (text == "batch") return RequestClass::kBatch;
  return std::nullopt;
}

std::optional<Outcome> ParseOutcome(std::string_view text) {
  if (text == "done") return Outcome::kDone;
  if (text == "not-run") return Outcome::kNotRun;
  if (text == "unknown") return Outcome::kUnknown;
  return std::nullopt;
}

}  // namespace hemlockward::base
