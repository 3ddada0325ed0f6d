// hemlockward-entry: accepts callers' requests and routes them to VMs.

#include "entry/process.h"
#include "entry/settings.h"
#include "kernel/program.h"
#include "kernel/worker_pool.h"

namespace hemlockward::entry {
namespace {

constexpr std::string_view kProgram = "hemlockward-entry";

int Main(int argc, char** argv) {
  base::SettingsReader reader;
  kernel::CommonSettings common;
  EntrySettings settings;
  common.Bind(reader);
  Bind(settings, reader);
  if (const auto code =
          kernel::ReadProgramSettings(argc, argv, kProgram, reader)) {
    return *code;
  }
  if (!common.Apply(kProgram)) return 1;
  kernel::WorkerPool pool(common.threads());
  EntryProcess process(pool, settings);
  kernel::OnStopSignal(pool, [&process] { process.BeginStop(); });
  pool.Run();
  return 0;
}

}  // namespace
}  // namespace hemlockward::entry

int main(int argc, char** argv) {
  return hemlockward::kernel::RunProgram(
      hemlockward::entry::kProgram,
      [argc, argv] { return hemlockward::entry::Main(argc, argv); });
}
