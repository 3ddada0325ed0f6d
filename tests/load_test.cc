#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "bench/load_plan.h"
#include "bench/load_report.h"

namespace hemlockward::bench {
namespace {

using base::Millis;
using base::RequestClass;

LoadSettings Settings() {
  LoadSettings settings;
  settings.services = {"a", "b"};
  settings.rate = 1000;
  settings.duration = base::Seconds(95);  // Five periods of bursts of 3 s.
  return settings;
}

TEST(BurstFactorTest, BurstsComeInTurnAndKeepTheMean) {
  const Millis burst{3000};
  double sum[2] = {0, 0};
  int both = 0;
  constexpr int kPeriodMs = 19'000;
  for (int ms = 0; ms < kPeriodMs; ++ms) {
    const double first = BurstFactor(burst, {ms}, 0, 2);
    const double second = BurstFactor(burst, {ms}, 1, 2);
    sum[0] += first;
    sum[1] += second;
    if (first > 1 && second > 1) ++both;
  }
  EXPECT_NEAR(sum[0] / kPeriodMs, 1, 0.02);
  EXPECT_NEAR(sum[1] / kPeriodMs, 1, 0.02);
  EXPECT_EQ(both, 0);
  EXPECT_EQ(BurstFactor({0}, {5}, 0, 2), 1);
}

TEST(ArrivalsTest, MeanRateHoldsWithAndWithoutBursts) {
  for (const Millis burst : {Millis{0}, Millis{3000}}) {
    LoadSettings settings = Settings();
    settings.burst = burst;
    Arrivals arrivals(settings, 0);
    int n = 0;
    Micros last{0};
    while (const auto at = arrivals.Next()) {
      EXPECT_GE(*at, last);
      last = *at;
      ++n;
    }
    EXPECT_NEAR(n, 47'500, 1'500) << burst.count;
  }
}

TEST(ArrivalsTest, RequestsAreDistinctAndHaveTheSetShares) {
  LoadSettings settings = Settings();
  settings.repeatable_share = 0.25;
  Arrivals arrivals(settings, 1);
  std::set<std::string> bodies;
  int repeatable = 0;
  constexpr int kRequests = 4000;
  for (int i = 0; i < kRequests; ++i) {
    const LoadRequest request = arrivals.Make();
    EXPECT_EQ(request.service, "b");
    bodies.insert(request.body);
    if (request.repeatable) ++repeatable;
  }
  EXPECT_EQ(bodies.size(), kRequests);
  EXPECT_NEAR(repeatable, kRequests / 4, kRequests / 20);
}

RC_GTEST_PROP(Uuid7Property, HasItsTimeVersionAndVariant, ()) {
  const auto ms = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 48);
  base::Random random(*rc::gen::arbitrary<std::uint64_t>());
  const std::string key = MakeUuid7({ms}, random);
  RC_ASSERT(key.size() == 36U);
  const std::string time = key.substr(0, 8) + key.substr(9, 4);
  RC_ASSERT(std::stoll(time, nullptr, 16) == ms);
  RC_ASSERT(key[14] == '7');
  RC_ASSERT(std::string("89ab").find(key[19]) != std::string::npos);
}

TEST(LoadReportTest, TheTargetsDecideWhatIsDoubledOrFalse) {
  struct Case {
    std::string_view name;
    Verdict verdict;
    int runs;
    bool clean;
  };
  const Case cases[] = {
      {"done and ran", Verdict::kDone, 1, true},
      {"done twice", Verdict::kDone, 2, false},
      {"done but never ran", Verdict::kDone, 0, false},
      {"not run", Verdict::kNotRun, 0, true},
      {"called not run but ran", Verdict::kNotRun, 1, false},
      {"unknown and ran", Verdict::kUnknown, 1, true},
      {"unknown and never ran", Verdict::kUnknown, 0, true},
      {"unknown and ran twice", Verdict::kUnknown, 2, false},
      {"failed", Verdict::kFailed, 1, true},
      {"lost", Verdict::kLost, 0, false},
      {"wrong", Verdict::kWrong, 1, false},
  };
  for (const Case& it : cases) {
    LoadReport report;
    report.Sent();
    if (it.verdict == Verdict::kNotRun) report.SaidNotRun("key", true);
    report.Finished(RequestClass::kNormal, it.verdict, Micros(5), "key", true);
    TargetRuns runs;
    if (it.runs > 0) runs.keys["key"] = it.runs;
    report.Compare(runs);
    EXPECT_EQ(report.Clean(), it.clean) << it.name;
  }
}

TEST(LoadReportTest, ANotRunThatWasSentAnewIsStillChecked) {
  LoadReport report;
  report.Sent();
  report.SaidNotRun("id-1", false);
  report.Finished(RequestClass::kNormal, Verdict::kDone, Micros(5), "id-2",
                  false);
  TargetRuns runs;
  runs.request_ids = {{"id-1", 1}, {"id-2", 1}};
  report.Compare(runs);
  EXPECT_FALSE(report.Clean());
}

TEST(LoadReportTest, QuantilesAreWithinABin) {
  LoadReport report;
  for (int i = 1; i <= 1000; ++i) {
    report.Finished(RequestClass::kUrgent, Verdict::kDone, Micros(i * 1000),
                    "x", true);
  }
  const std::string summary = report.Summary({1});
  EXPECT_NE(summary.find("\"done\":1000"), std::string::npos) << summary;
  const std::size_t at = summary.find("\"p50\":");
  ASSERT_NE(at, std::string::npos);
  EXPECT_NEAR(std::stod(summary.substr(at + 6)), 500, 20);
}

}  // namespace
}  // namespace hemlockward::bench
