#include "standin/fleet_list.h"

#include <set>
#include <sstream>
#include <utility>

namespace hemlockward::standin {

std::vector<platform::ListedVm> ParseVms(const std::vector<std::string>& lines,
                                         base::Findings& findings) {
  std::vector<platform::ListedVm> vms;
  std::set<std::string> names;
  for (const std::string& line : lines) {
    std::istringstream words(line);
    platform::ListedVm vm;
    std::string rest;
    words >> vm.vm.value >> vm.zone.value >> vm.rack.value >> vm.address;
    if (!words || words >> rest || vm.address.find(':') == std::string::npos) {
      findings.Add({"vms", 0, 0}, "can't read '" + line + "'",
                   "VM ZONE RACK IP:PORT");
      continue;
    }
    if (!names.insert(vm.vm.value).second) {
      findings.Add({"vms", 0, 0}, "'" + vm.vm.value + "' is listed twice",
                   "once");
      continue;
    }
    vms.push_back(std::move(vm));
  }
  return vms;
}

}  // namespace hemlockward::standin
