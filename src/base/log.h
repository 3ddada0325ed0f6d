#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockward::base {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };
enum class LogFormat : std::uint8_t { kKeyValue, kJson };

/// Sets the minimum level, format and destination of log lines. An empty file
/// name means standard error, "-" standard output.
void ConfigureLog(LogLevel level, LogFormat format, std::string_view file,
                  std::string_view process);

/// True if lines of this level are written; callers can skip building others.
bool LogEnabled(LogLevel level);

/// One structured log line, written by the destructor. At most 2,000 lines per
/// event and second are written; the event's first line in a later second
/// reports how many were suppressed.
///
///     LogLine(LogLevel::kInfo, "route").With("request", id).With("vm", vm);
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& With(std::string_view key, std::string_view value);
  LogLine& With(std::string_view key, const char* value) {
    return With(key, std::string_view(value));
  }
  LogLine& With(std::string_view key, bool value) {
    return With(key, std::string_view(value ? "true" : "false"));
  }
  LogLine& With(std::string_view key, std::integral auto value) {
    return AppendField(key, std::to_string(value));
  }
  LogLine& With(std::string_view key, double value) {
    return AppendField(key, std::to_string(value));
  }

 private:
  LogLine& AppendField(std::string_view key, std::string_view text);

  LogLevel level_;
  bool enabled_;
  std::string text_;
};

}  // namespace hemlockward::base
