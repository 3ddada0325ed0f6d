// hemlockctl: the command-line tool for operators.
#include <iostream>
#include <string>
#include <vector>

#include "base/log.h"
#include "ctl/command.h"

int main(int argc, char** argv) {
  using namespace hemlockward;  // NOLINT(google-build-using-namespace)
  base::ConfigureLog(base::LogLevel::kError, base::LogFormat::kKeyValue, "",
                     "hemlockctl");
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return ctl::RunCommandLine(arguments, std::cout, std::cerr);
}
