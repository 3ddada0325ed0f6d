// Fields and quoting of log lines, and the rate limit per event: without it, an
// event that repeats under load would crowd out the others.

#include "base/log.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>

namespace hemlockward::base {
namespace {

std::vector<std::string> ReadLines(const std::string& file) {
  std::vector<std::string> lines;
  std::ifstream in(file);
  for (std::string it; std::getline(in, it);) lines.push_back(it);
  return lines;
}

TEST(LogTest, LimitsTheRateOfEachEventSeparately) {
  const std::string file = ::testing::TempDir() + "/hemlockward_log_test.txt";
  std::remove(file.c_str());
  ConfigureLog(LogLevel::kInfo, LogFormat::kKeyValue, file, "test");
  const auto begin = std::chrono::steady_clock::now();
  constexpr std::size_t kLines = 20'000;
  for (std::size_t i = 0; i < kLines; ++i) {
    LogLine(LogLevel::kInfo, "storm").With("n", i);
  }
  LogLine(LogLevel::kInfo, "calm").With("text", "two words");
  const auto took = std::chrono::steady_clock::now() - begin;
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(took).count();
  // The event's first line in a later second reports the suppressed lines.
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  LogLine(LogLevel::kInfo, "storm").With("n", kLines);
  ConfigureLog(LogLevel::kInfo, LogFormat::kKeyValue, "", "test");
  std::size_t storm = 0;
  bool calm = false;
  bool left_out = false;
  for (const std::string& it : ReadLines(file)) {
    storm += it.find("event=storm") != std::string::npos ? 1 : 0;
    calm =
        calm || it.find("event=calm text=\"two words\"") != std::string::npos;
    left_out = left_out || it.find("left_out_before=") != std::string::npos;
  }
  EXPECT_LE(storm, 2000 * static_cast<std::size_t>(seconds + 2) + 1);
  EXPECT_GE(storm, 2000U);
  EXPECT_TRUE(calm);
  EXPECT_TRUE(left_out);
}

}  // namespace
}  // namespace hemlockward::base
