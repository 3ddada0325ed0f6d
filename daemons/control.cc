// hemlockward-control: operators' API, pools, moves, waves and budgets.
#include <exception>
#include <iostream>

#include "control/process.h"
#include "control/settings.h"
#include "kernel/program.h"
#include "kernel/worker_pool.h"

int main(int argc, char** argv) {
  using namespace hemlockward;  // NOLINT(google-build-using-namespace)
  constexpr std::string_view kProgram = "hemlockward-control";
  base::SettingsReader reader;
  kernel::CommonSettings common;
  control::ControlSettings settings;
  common.Bind(reader);
  control::Bind(settings, reader);
  const auto code = kernel::ReadProgramSettings(argc, argv, kProgram, reader);
  if (code && *code != 0) return *code;
  base::Findings findings;
  control::RunnerSettings runner =
      control::MakeRunnerSettings(settings, findings);
  if (!findings.empty()) {
    std::cerr << findings.ToText();
    return 1;
  }
  if (code) return *code;
  if (!common.Apply(kProgram)) return 1;
  try {
    kernel::WorkerPool pool(common.threads());
    control::ControlProcess process(pool, settings, std::move(runner));
    kernel::OnStopSignal(pool, [&process] { process.BeginStop(); });
    pool.Run();
  } catch (const std::exception& e) {
    std::cerr << kProgram << ": " << e.what() << '\n';
    return 1;
  }
  return 0;
}
