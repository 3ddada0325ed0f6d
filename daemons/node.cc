// hemlockward-node: serves jobs on the users' platform, one on each machine.

#include "kernel/program.h"
#include "kernel/worker_pool.h"
#include "node/process.h"
#include "node/settings.h"

namespace hemlockward::node {
namespace {

constexpr std::string_view kProgram = "hemlockward-node";

int Main(int argc, char** argv) {
  base::SettingsReader reader;
  kernel::CommonSettings common;
  NodeSettings settings;
  common.Bind(reader);
  Bind(settings, reader);
  if (const auto code =
          kernel::ReadProgramSettings(argc, argv, kProgram, reader)) {
    return *code;
  }
  if (!common.Apply(kProgram)) return 1;
  kernel::WorkerPool pool(1);
  NodeProcess process(pool, settings);
  kernel::OnStopSignal(pool, [&process] { process.BeginStop(); });
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
