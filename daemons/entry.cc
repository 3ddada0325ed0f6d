// hemlockward-entry: takes callers' requests and places them on VMs.
#include <exception>
#include <iostream>

#include "entry/process.h"
#include "entry/settings.h"
#include "kernel/program.h"
#include "kernel/worker_pool.h"

int main(int argc, char** argv) {
  using namespace hemlockward;  // NOLINT(google-build-using-namespace)
  constexpr std::string_view kProgram = "hemlockward-entry";
  base::SettingsReader reader;
  kernel::CommonSettings common;
  entry::EntrySettings settings;
  common.Bind(reader);
  entry::Bind(settings, reader);
  if (const auto code =
          kernel::ReadProgramSettings(argc, argv, kProgram, reader)) {
    return *code;
  }
  if (!common.Apply(kProgram)) return 1;
  try {
    kernel::WorkerPool pool(common.threads());
    entry::EntryProcess process(pool, settings);
    kernel::OnStopSignal(pool, [&process] { process.BeginStop(); });
    pool.Run();
  } catch (const std::exception& e) {
    std::cerr << kProgram << ": " << e.what() << '\n';
    return 1;
  }
  return 0;
}
