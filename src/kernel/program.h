#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "base/settings.h"

/// Command line and settings that all daemons share.
namespace hemlockward::kernel {

/// Reads `--settings FILE`, `--set KEY=VALUE`..., `--check-settings`, `--help`
/// and `--version` into the variables bound to `reader`. Returns an exit code
/// if the program must exit: 0 after help, version or a check without findings,
/// 1 after findings (all printed to standard error), 2 after a usage error.
std::optional<int> ReadProgramSettings(int argc, char** argv,
                                       std::string_view program,
                                       base::SettingsReader& reader);

/// Runs `body` and returns its exit code. An uncaught exception, such as an
/// address in use, is printed and gives exit code 1.
int RunProgram(std::string_view program, const std::function<int()>& body);

/// The common settings `log.level`, `log.format`, `log.file` and `threads`.
class CommonSettings {
 public:
  void Bind(base::SettingsReader& reader);
  /// Configures the log. On invalid settings, prints the findings and returns
  /// false.
  bool Apply(std::string_view program) const;
  [[nodiscard]] int threads() const { return static_cast<int>(threads_); }

 private:
  std::string level_ = "info";
  std::string format_ = "keyvalue";
  std::string file_;
  std::int64_t threads_ = 2;
};

}  // namespace hemlockward::kernel
