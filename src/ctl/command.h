#pragma once

#include <boost/asio/awaitable.hpp>
#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/api_client.h"
#include "kernel/registry.h"

/// The commands of hemlockctl. Each is a plug-in registered under the words of
/// the command, for example `document apply`.
namespace hemlockward::ctl {

/// Exit codes of hemlockctl.
inline constexpr int kDone = 0;
inline constexpr int kRefused = 1;  ///< Refused, or known not to be done.
inline constexpr int kUsage = 2;
inline constexpr int kUnknown = 3;  ///< It may or may not have been done.

enum class OutputFormat : std::uint8_t { kText, kJson };

/// The input and output of one command run. The streams outlive it.
struct Invocation {
  std::vector<std::string>
      arguments;         ///< Without the words that name the command.
  std::string if_match;  ///< Entity tag given with --if-match.
  OutputFormat format = OutputFormat::kText;
  ApiClient& api;
  std::ostream& out;
  std::ostream& err;
};

struct Command {
  std::string usage;  ///< Form of the arguments; printed by --help.
  std::string help;
  boost::asio::awaitable<int> (*run)(Invocation& invocation) = nullptr;
};

using Commands = kernel::Registry<Command>;

/// Runs hemlockctl with `arguments` (without the program's name) and returns
/// its exit code.
int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& err);

}  // namespace hemlockward::ctl
