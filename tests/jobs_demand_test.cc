// Guards against a forecast that misses or delays a rise of demand, or that
// mistakes one large job for a rise.

#include <gtest/gtest.h>

#include "jobs/demand.h"

namespace hemlockward::jobs {
namespace {

constexpr double kJob = 8000;  // Core-ms.
constexpr Millis kAhead{1600};

TEST(ArrivalRateTest, SteadyArrivalsGiveTheirCores) {
  ArrivalRate rate;
  Millis now{0};
  for (; now < Millis{10'000}; now += Millis{50}) rate.Add(kJob, now);
  EXPECT_NEAR(rate.Cores(now), 160, 16);
  EXPECT_NEAR(rate.Cores(now, kAhead), 160, 16);
}

TEST(ArrivalRateTest, OneLargeJobDoesNotRaiseTheForecast) {
  ArrivalRate rate;
  Millis now{0};
  for (; now < Millis{20'000}; now += Millis{1000}) rate.Add(kJob, now);
  rate.Add(kJob * 20, now);
  EXPECT_LT(rate.Cores(now, kAhead), 100);
}

// The rate rises from 2 to 40 jobs per second within 3 s, as at the start of a
// burst. Halfway, the forecast must be at least two thirds of the actual rate
// one VM move later.
TEST(ArrivalRateTest, RiseIsForecastOneVmMoveAhead) {
  ArrivalRate rate;
  const auto per_second = [](double t) {
    return t < 5 ? 2 : std::min(40.0, 2 + 38 * (t - 5) / 3);
  };
  double due = 0;
  Millis now{0};
  for (; now < Millis{6500}; now += Millis{1}) {
    due += per_second(static_cast<double>(now.count) / 1000) / 1000;
    if (due < 1) continue;
    due -= 1;
    rate.Add(kJob, now);
  }
  const double coming = per_second(6.5 + 1.6) * kJob / 1000;
  EXPECT_LT(rate.Cores(now), coming / 2);
  EXPECT_GT(rate.Cores(now, kAhead), coming * 2 / 3);
  EXPECT_LT(rate.Cores(now, kAhead), coming * 3 / 2);
}

TEST(ArrivalRateTest, ForecastDropsAfterTheEndOfABurst) {
  ArrivalRate rate;
  Millis now{0};
  for (; now < Millis{5000}; now += Millis{25}) rate.Add(kJob, now);
  EXPECT_LT(rate.Cores(now + Millis{3000}, kAhead), 10);
}

}  // namespace
}  // namespace hemlockward::jobs
