// hemlockward-node: runs jobs on the users' platform; one process on each VM.

#include <csignal>
#include <optional>
#include <utility>

#include "base/log.h"
#include "kernel/program.h"
#include "kernel/worker_pool.h"
#include "node/process.h"
#include "node/settings.h"

namespace hemlockward::node {
namespace {

constexpr std::string_view kProgram = "hemlockward-node";

// Reads the settings. Returns an exit code if the process must exit.
std::optional<int> ReadSettings(int argc, char** argv, NodeSettings& settings) {
  base::SettingsReader reader;
  kernel::CommonSettings common;
  common.Bind(reader);
  Bind(settings, reader);
  const auto code = kernel::ReadProgramSettings(argc, argv, kProgram, reader);
  if (code) return code;
  if (!common.Apply(kProgram)) return 1;
  return std::nullopt;
}

int Main(int argc, char** argv) {
  NodeSettings settings;
  if (const auto code = ReadSettings(argc, argv, settings)) return *code;
  // The process must not terminate when the reader of its log output exits.
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  kernel::WorkerPool pool(1);
  NodeProcess process(pool, settings);
  kernel::OnStopSignal(pool, [&process] { process.BeginStop(); });
  kernel::OnReloadSignal(pool, [&process, argc, argv] {
    NodeSettings changed;
    if (ReadSettings(argc, argv, changed)) {
      base::LogLine(base::LogLevel::kError, "settings_not_reloaded")
          .With("reason", "findings on standard error");
      return;
    }
    process.Reload(std::move(changed));
  });
  pool.Run();
  return 0;
}

}  // namespace
}  // namespace hemlockward::node

int main(int argc, char** argv) {
  return hemlockward::kernel::RunProgram(
      hemlockward::node::kProgram,
      [argc, argv] { return hemlockward::node::Main(argc, argv); });
}
