#include "jobs/model.h"

#include <charconv>

namespace hemlockward::jobs {

Resources& Resources::operator+=(const Resources& other) {
  cpu_milli += other.cpu_milli;
  memory_mb += other.memory_mb;
  gpu += other.gpu;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_milli -= other.cpu_milli;
  memory_mb -= other.memory_mb;
  gpu -= other.gpu;
  return *this;
}

bool Resources::Fits(const Resources& room) const {
  return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb &&
         gpu <= room.gpu;
}

const Queue* Configuration::Match(std::string_view host,
                                  std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& it : queues) {
    if (it.host != host || !path.starts_with(it.path_prefix)) continue;
    if (!best || it.path_prefix.size() > best->path_prefix.size()) best = &it;
  }
  return best;
}

std::string TaskId::ToText() const {
  return StepName() + "." + std::to_string(index);
}

std::string TaskId::StepName() const {
  return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

std::optional<TaskId> TaskId::Parse(std::string_view text) {
  TaskId id;
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  id.job = text.substr(0, dot);
  const char* at = text.data() + dot;
  const char* end = text.data() + text.size();
  for (int* it : {&id.occurrence, &id.step, &id.index}) {
    if (at == end || *at != '.') return std::nullopt;
    const auto [next, ec] = std::from_chars(at + 1, end, *it);
    if (ec != std::errc() || *it < 0) return std::nullopt;
    at = next;
  }
  if (at != end) return std::nullopt;
  return id;
}

std::string_view ToText(StartAnswer answer) {
  switch (answer) {
    case StartAnswer::kStarted:
      return "started";
    case StartAnswer::kFenced:
      return "fenced";
    case StartAnswer::kStale:
      return "stale";
    case StartAnswer::kLate:
      return "late";
    case StartAnswer::kNoConnection:
      return "no_connection";
    case StartAnswer::kNoCapacity:
      return "no_room";
    case StartAnswer::kNoTicket:
      return "no_ticket";
    case StartAnswer::kRefused:
      return "refused";
    case StartAnswer::kOtherIncarnation:
      return "other_life";
    case StartAnswer::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace hemlockward::jobs
