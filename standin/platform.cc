// Stand-in for the platform, as a process.

#include <iostream>
#include <string_view>
#include <utility>

#include "base/settings.h"
#include "kernel/http.h"
#include "kernel/program.h"
#include "kernel/worker_pool.h"
#include "standin/fleet_list.h"
#include "standin/platform_service.h"

namespace hemlockward::standin {
namespace {

using kernel::HttpRequest;

int Main(int argc, char** argv) {
  constexpr std::string_view kProgram = "standin-platform";
  PlatformSettings settings;
  kernel::CommonSettings common;
  base::SettingsReader reader;
  settings.Bind(reader);
  common.Bind(reader);
  const auto exit = kernel::ReadProgramSettings(argc, argv, kProgram, reader);
  if (exit) return *exit;
  base::Findings findings;
  auto vms = ParseVms(settings.vms, findings);
  if (!findings.empty()) std::cerr << findings.ToText();
  if (!findings.empty() || !common.Apply(kProgram)) return 1;

  kernel::WorkerPool pool(common.threads());
  PlatformService service(pool, settings, std::move(vms));
  kernel::HttpServer server(pool, settings.listen, kernel::HttpLimits{},
                            [&service](HttpRequest request) {
                              return service.Handle(std::move(request));
                            });
  kernel::OnStopSignal(pool, [&pool] { pool.Stop(); });
  pool.Run();
  return 0;
}

}  // namespace
}  // namespace hemlockward::standin

int main(int argc, char** argv) {
  return hemlockward::kernel::RunProgram("standin-platform", [argc, argv] {
    return hemlockward::standin::Main(argc, argv);
  });
}
