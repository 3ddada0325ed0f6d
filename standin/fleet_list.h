#pragma once

#include <string>
#include <vector>

#include "base/findings.h"
#include "platform/platform.h"

/// The list of VMs that the stand-ins' settings give, one a line:
/// `VM ZONE RACK IP:PORT`.
namespace hemlockward::standin {

/// Reads the lines; a faulty one adds a finding and is left out.
std::vector<platform::ListedVm> ParseVms(const std::vector<std::string>& lines,
                                         base::Findings& findings);

}  // namespace hemlockward::standin
