#include <boost/program_options.hpp>
#include <exception>
#include <iostream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "ctl/command.h"
#include "kernel/http.h"
#include "kernel/worker_pool.h"

namespace hemlockward::ctl {

namespace asio = boost::asio;
namespace po = boost::program_options;

namespace {

constexpr std::int64_t kDefaultTimeoutMillis = 5000;

struct CommandLine {
  std::vector<std::string> control;
  std::vector<std::string> words;
  std::string output = "text";
  std::string if_match;
  std::int64_t timeout = kDefaultTimeoutMillis;
};

po::options_description VisibleOptions(CommandLine& line) {
  po::options_description options("Options");
  auto add = options.add_options();
  add("control", po::value(&line.control)->composing(),
      "IP:port of a control process; several, separated by commas or with the "
      "option repeated, are tried in turn");
  add("output", po::value(&line.output), "text or json");
  add("if-match", po::value(&line.if_match),
      "entity tag that the document in force must have");
  add("timeout-ms", po::value(&line.timeout),
      "limit of one call, in milliseconds");
  add("help", "print this help and exit");
  add("version", "print the version and exit");
  return options;
}

void PrintHelp(const po::options_description& options, std::ostream& out) {
  out << "hemlockctl [OPTIONS] COMMAND\n\nCommands:\n";
  for (const auto& [name, command] : Commands::Instance().All()) {
    out << "  " << name << ' ' << command.usage << ": " << command.help << '\n';
  }
  out << '\n'
      << options
      << "\nExit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown\n";
}

// Finds the command that the first two words or the first word name, and
// removes these words.
const Command* FindCommand(std::vector<std::string>& words) {
  for (const std::size_t n : {std::size_t{2}, std::size_t{1}}) {
    if (words.size() < n) continue;
    const std::string name = n == 2 ? words[0] + " " + words[1] : words[0];
    const Command* command = Commands::Instance().Find(name);
    if (command == nullptr) continue;
    words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(n));
    return command;
  }
  return nullptr;
}

// Checks the number of arguments. In `usage`, words in capitals are required,
// words in brackets are optional, and `...` allows any number.
bool MatchesUsage(const std::string& usage, std::size_t given) {
  const bool optional = usage.find('[') != std::string::npos;
  const bool ends_required = !usage.empty() && usage.back() != ']';
  const bool starts_required = !usage.empty() && usage.front() != '[';
  const std::size_t min_count = ends_required || starts_required ? 1 : 0;
  const bool more = usage.find("...") != std::string::npos;
  if (given < min_count) return false;
  return more || given <= min_count + (optional ? 1 : 0);
}

int UsageError(std::ostream& err, const std::string& what) {
  err << "hemlockctl: " << what << "; see hemlockctl --help\n";
  return kUsage;
}

std::vector<std::string> SplitAddresses(const std::vector<std::string>& given) {
  std::vector<std::string> addresses;
  for (const std::string& it : given) {
    std::istringstream list(it);
    std::string address;
    while (std::getline(list, address, ',')) addresses.push_back(address);
  }
  return addresses;
}

// An exception, such as an invalid address, is a usage error: it is thrown
// before anything is sent.
asio::awaitable<void> RunThenStop(const Command& command,
                                  Invocation& invocation,
                                  kernel::WorkerPool& pool, int& code) {
  try {
    code = co_await command.run(invocation);
  } catch (const std::exception& e) {
    code = UsageError(invocation.err, e.what());
  }
  pool.Stop();
}

int Execute(const Command& command, CommandLine line, std::ostream& out,
            std::ostream& err) {
  kernel::WorkerPool pool(1);
  kernel::HttpClient http(pool);
  ApiClient api(http, SplitAddresses(line.control), base::Millis{line.timeout});
  const auto format =
      line.output == "json" ? OutputFormat::kJson : OutputFormat::kText;
  Invocation invocation{
      std::move(line.words), std::move(line.if_match), format, api, out, err};
  int code = kUnknown;
  pool.Spawn("command", RunThenStop(command, invocation, pool, code));
  pool.Run();
  return code;
}

}  // namespace

int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& err) {
  CommandLine line;
  const po::options_description visible = VisibleOptions(line);
  po::options_description all;
  all.add(visible).add_options()("word", po::value(&line.words));
  po::positional_options_description positional;
  positional.add("word", -1);
  po::variables_map given;
  try {
    po::command_line_parser parser(arguments);
    po::store(parser.options(all).positional(positional).run(), given);
    po::notify(given);
  } catch (const po::error& e) {
    return UsageError(err, e.what());
  }
  if (given.contains("help")) {
    PrintHelp(visible, out);
    return kDone;
  }
  if (given.contains("version")) {
    out << "hemlockctl " << HEMLOCKWARD_VERSION << '\n';
    return kDone;
  }
  if (line.output != "text" && line.output != "json") {
    return UsageError(err, "--output must be text or json");
  }
  const Command* command = FindCommand(line.words);
  if (command == nullptr) return UsageError(err, "unknown command");
  if (!MatchesUsage(command->usage, line.words.size())) {
    return UsageError(err, "arguments: " + command->usage);
  }
  return Execute(*command, std::move(line), out, err);
}

}  // namespace hemlockward::ctl
