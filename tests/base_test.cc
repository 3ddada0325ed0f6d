#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>

#include "base/address.h"
#include "base/fleet.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "kernel/http.h"

namespace hemlockward {
namespace {

using base::Millis;

RC_GTEST_PROP(FleetCodec, VmRowRoundTrips, ()) {
  base::VmRow row;
  row.vm = base::VmId(*rc::gen::string<std::string>());
  row.pool = base::PoolId("a");
  row.state = *rc::gen::element(base::VmState::kMember, base::VmState::kEmpty);
  row.changed = {*rc::gen::arbitrary<std::int64_t>()};
  const auto back = base::DecodeVmRow(base::Encode(row));
  // Strings that aren't valid UTF-8 are rejected, never altered.
  if (!back) return;
  RC_ASSERT(back->vm == row.vm);
  RC_ASSERT(back->state == row.state);
  RC_ASSERT(back->changed == row.changed);
}

RC_GTEST_PROP(FleetCodec, AnyTextDecodesOrFails, (std::string text)) {
  (void)base::DecodeVmRow(text);
  (void)base::DecodeMembership(text);
  (void)base::DecodeChangeRecord(text);
  (void)base::DecodeServiceDocument(text);
}

TEST(FleetView, NeverInstallsALowerOrSkippedRevision) {
  base::FleetView view;
  EXPECT_TRUE(view.Apply({1, {}}));
  EXPECT_FALSE(view.Apply({1, {}}));
  EXPECT_FALSE(view.Apply({3, {}}));
  EXPECT_EQ(view.revision, 1U);
}

TEST(Settings, ReportsAllFindingsWithPlaces) {
  const std::string path = testing::TempDir() + "settings_test.yaml";
  std::ofstream(path)
      << "listen: 127.0.0.1:1\nlease: 5 apples\nnested:\n  x: 9\n";
  std::string listen;
  std::string zone;
  Millis lease{1000};
  base::SettingsReader reader;
  reader.Text("listen", &listen, "address");
  reader.Text("zone", &zone, "zone", base::SettingsReader::Need::kRequired);
  reader.Duration("lease", &lease, "lease", {1}, {5000});
  const base::Findings findings = reader.Load(path, {"lease=2s", "bad"});
  EXPECT_EQ(findings.items().size(), 4U) << findings.ToText();
  EXPECT_EQ(findings.items()[0].place.line, 2);
  EXPECT_EQ(findings.items()[1].place.line, 4);
  EXPECT_EQ(lease.count, 2000);
  EXPECT_EQ(listen, "127.0.0.1:1");
}

TEST(Settings, AddressesAreChecked) {
  for (const char* it : {"", ":1", "host:80", "10.0.0.1", "10.0.0.1:",
                         "10.0.0.1:80x", "10.0.0.1:65536", "10.0.0.1:-1"}) {
    EXPECT_FALSE(base::ParseAddress(it)) << it;
  }
  EXPECT_EQ(base::ParseAddress("10.0.0.1:80")->port, 80);
  EXPECT_EQ(base::ParseAddress("[::1]:8080")->host, "::1");
  std::string listen = "1.2.3.4:5";
  base::SettingsReader reader;
  reader.Address("listen", &listen, "address");
  EXPECT_EQ(reader.Load("", {"listen=localhost:80"}).items().size(), 1U);
  EXPECT_EQ(listen, "1.2.3.4:5");
}

// The platform fills in whole tables as JSON and may add fields.
TEST(Settings, FieldsThatThePlatformAddsToATableAreIgnored) {
  const std::string path = testing::TempDir() + "settings_table_test.yaml";
  std::ofstream(path) << R"(platform:
  limits: {"address":"10.0.0.1:1","rows":5,"across":false,"names":["a","b"],"more":{"x":1}}
)";
  std::int64_t rows = 1;
  base::SettingsReader reader;
  reader.IgnoreOthers("platform.limits");
  reader.Integer("platform.limits.rows", &rows, "rows", 0, 10);
  EXPECT_EQ(reader.Load(path, {}).ToText(), "");
  EXPECT_EQ(rows, 5);
  std::ofstream(path) << R"(platform: {limits: {"rows":11}, other: 1})";
  EXPECT_EQ(reader.Load(path, {}).items().size(), 2U);
}

TEST(Metrics, QuantileComesFromTheDistribution) {
  base::Metrics metrics;
  for (int i = 1; i <= 100; ++i) metrics.Observe("wait", "", i);
  EXPECT_NEAR(metrics.Quantile("wait", "", 0.5, 0), 50, 15);
  EXPECT_EQ(metrics.Quantile("none", "", 0.5, 7), 7);
}

TEST(Http, SplitsPaths) {
  const auto parts = kernel::SplitPath("/v1//services/x");
  ASSERT_EQ(parts.size(), 3U);
  EXPECT_EQ(parts[2], "x");
}

}  // namespace
}  // namespace hemlockward
