#include "kernel/program.h"

#include <boost/program_options.hpp>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "base/log.h"

namespace hemlockward::kernel {

namespace po = boost::program_options;

namespace {

constexpr int kInvalidSettingsExit = 1;
constexpr int kUsageExit = 2;

struct CommandLine {
  std::string settings;
  std::vector<std::string> overrides;
};

po::options_description Options(CommandLine& line) {
  po::options_description options("Options");
  auto add = options.add_options();
  add("settings", po::value(&line.settings), "YAML file with the settings");
  add("set", po::value(&line.overrides)->composing(), "KEY=VALUE override");
  add("check-settings", "check the settings and exit");
  add("help", "print this help and exit");
  add("version", "print the version and exit");
  return options;
}

}  // namespace

std::optional<int> ReadProgramSettings(int argc, char** argv,
                                       std::string_view program,
                                       base::SettingsReader& reader) {
  CommandLine line;
  const po::options_description options = Options(line);
  po::variables_map given;
  try {
    const po::positional_options_description none;
    po::command_line_parser parser(argc, argv);
    po::store(parser.options(options).positional(none).run(), given);
    po::notify(given);
  } catch (const po::error& e) {
    std::cerr << program << ": " << e.what() << "\n" << options;
    return kUsageExit;
  }
  if (given.contains("help")) {
    std::cout << program << "\n\n"
              << options << "\nSettings:\n"
              << reader.Help();
    return 0;
  }
  if (given.contains("version")) {
    std::cout << program << " " << HEMLOCKWARD_VERSION << "\n";
    return 0;
  }
  const base::Findings findings = reader.Load(line.settings, line.overrides);
  if (!findings.empty()) {
    std::cerr << findings.ToText();
    return kInvalidSettingsExit;
  }
  if (given.contains("check-settings")) return 0;
  return std::nullopt;
}

int RunProgram(std::string_view program, const std::function<int()>& body) {
  try {
    return body();
  } catch (const std::exception& e) {
    std::cerr << program << ": " << e.what() << "\n";
    return 1;
  }
}

void CommonSettings::Bind(base::SettingsReader& reader) {
  constexpr std::int64_t kMaxThreads = 256;
  reader.Text("log.level", &level_, "debug, info, warning or error");
  reader.Text("log.format", &format_, "keyvalue or json");
  reader.Text("log.file", &file_,
              "file for log lines; empty: standard error, -: output");
  reader.Integer("threads", &threads_, "worker threads", 1, kMaxThreads);
}

bool CommonSettings::Apply(std::string_view program) const {
  using base::LogFormat;
  using base::LogLevel;
  static const std::map<std::string, LogLevel> levels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError}};
  static const std::map<std::string, LogFormat> formats = {
      {"keyvalue", LogFormat::kKeyValue}, {"json", LogFormat::kJson}};
  const auto level = levels.find(level_);
  const auto format = formats.find(format_);
  base::Findings findings;
  if (level == levels.end()) {
    findings.Add({"log.level", 0, 0}, "unknown level '" + level_ + "'",
                 "debug, info, warning or error");
  }
  if (format == formats.end()) {
    findings.Add({"log.format", 0, 0}, "unknown format '" + format_ + "'",
                 "keyvalue or json");
  }
  std::cerr << findings.ToText();
  if (!findings.empty()) return false;
  base::ConfigureLog(level->second, format->second, file_, program);
  return true;
}

}  // namespace hemlockward::kernel
