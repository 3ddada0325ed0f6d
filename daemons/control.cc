// hemlockward-control: the operators' API; manages pools, moves, waves and
// budgets.
#include <iostream>

#include "control/process.h"
#include "control/settings.h"
#include "kernel/program.h"
#include "kernel/worker_pool.h"

namespace hemlockward::control {
namespace {

constexpr std::string_view kProgram = "hemlockward-control";

int Main(int argc, char** argv) {
  base::SettingsReader reader;
  kernel::CommonSettings common;
  ControlSettings settings;
  common.Bind(reader);
  Bind(settings, reader);
  const auto code = kernel::ReadProgramSettings(argc, argv, kProgram, reader);
  if (code && *code != 0) return *code;
  base::Findings findings;
  RunnerSettings runner = MakeRunnerSettings(settings, findings);
  if (!findings.empty()) {
    std::cerr << findings.ToText();
    return 1;
  }
  if (code) return *code;
  if (!common.Apply(kProgram)) return 1;
  kernel::WorkerPool pool(common.threads());
  ControlProcess process(pool, settings, std::move(runner));
  kernel::OnStopSignal(pool, [&process] { process.BeginStop(); });
  pool.Run();
  return 0;
}

}  // namespace
}  // namespace hemlockward::control

int main(int argc, char** argv) {
  return hemlockward::kernel::RunProgram(
      hemlockward::control::kProgram,
      [argc, argv] { return hemlockward::control::Main(argc, argv); });
}
