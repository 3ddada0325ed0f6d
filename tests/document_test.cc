#include "control/document.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace hemlockward::control {
namespace {

constexpr std::string_view kGood =
    "team: a\nservice: s\npool: p\nsize: {min: 10, max: 14}\n"
    "budget: {healthy_share: 0.8, minutes_below: 20, window: 720h}\n"
    "vms:\n  maintenance_hours: \"22:00-06:00\"\n  graceful_stop: 2m\n"
    "classes:\n  urgent: {quota: 8, queue: 5}\n";

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

TEST(Document, ReadsEveryField) {
  const auto document = ParseDocument(kGood, "d.yaml");
  ASSERT_TRUE(document) << document.error().ToText();
  EXPECT_EQ(document->team.value, "a");
  EXPECT_EQ(document->max_size, 14);
  EXPECT_EQ(document->budget.below_allowed, base::Minutes(20));
  EXPECT_EQ(document->maintenance_from_minute, 22 * 60);
  EXPECT_EQ(document->maintenance_to_minute, 6 * 60);
  EXPECT_EQ(document->limits[0].quota, 8);
  EXPECT_EQ(document->source, kGood);
}

TEST(Document, ReportsAllFindingsWithPlacesAtOnce) {
  const auto document = ParseDocument(
      "team: a b\nservice: s\nsize:\n  min: 0\n  colour: red\n"
      "budget:\n  window: 5 apples\n",
      "d.yaml");
  ASSERT_FALSE(document);
  const std::string text = document.error().ToText();
  for (const char* it : {"d.yaml:1:7:", "d.yaml:4:8:", "d.yaml:5:11:",
                         "d.yaml:7:11:", "'pool' is missing"}) {
    EXPECT_NE(text.find(it), std::string::npos) << it << "\n" << text;
  }
  EXPECT_EQ(document.error().items().size(), 5U) << text;
}

// Each is `kGood` plus one line; all must be rejected.
TEST(Document, RejectsValuesOutOfRange) {
  const char* const lines[] = {
      "size.min: 3",
      "team: b",
      "weights: {buffer: -1}",
      "weights: {buffer: nan}",
      "weights: {buffer: .inf}",
      "limits: {slots: 0}",
      "limits: {slots: 70}",
      "limits: [1, 2]",
      "limits: &x {slots: 8}",
      "x: *x",
      "limits: {slots: 99999999999999999999}",
      "spread: [[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]",
      "'': 1",
      "? {a: b}\n: 1",
  };
  for (const char* it : lines) {
    const auto document = ParseDocument(std::string(kGood) + it + "\n", "d");
    EXPECT_FALSE(document) << it;
  }
  EXPECT_FALSE(ParseDocument(std::string(70'000, '#'), "d"));
  EXPECT_FALSE(ParseDocument("", "d"));
}

RC_GTEST_PROP(Document, AnyBytesParseOrGiveFindings, (std::string text)) {
  const auto document = ParseDocument(text, "d");
  RC_ASSERT(document || !document.error().empty());
}

// Small edits of a valid document reach code that random bytes never reach.
RC_GTEST_PROP(Document, AnyEditParsesOrGivesFindings, ()) {
  std::string text(kGood);
  const auto edits = *rc::gen::container<std::vector<std::pair<int, char>>>(
      rc::gen::pair(rc::gen::inRange<int>(0, static_cast<int>(kGood.size())),
                    rc::gen::elementOf(std::string(
                        "{}[]:,&*!|>'\"%@`#-? \n\t09az~\\\x80\xff"))));
  for (const auto& [at, c] : edits) text[at] = c;
  const auto document = ParseDocument(text, "d");
  RC_ASSERT(document || !document.error().empty());
  if (document) RC_ASSERT(document->max_size >= document->min_size);
}

base::ServiceDocument Parsed(std::string text) {
  const auto document = ParseDocument(text, "d");
  EXPECT_TRUE(document) << document.error().ToText();
  return *document;
}

TEST(Document, ChecksAgainstTheFleet) {
  base::FleetView view;
  base::ServiceDocument mine = Parsed(std::string(kGood));
  EXPECT_TRUE(CheckAgainstFleet(mine, view, "d").empty());
  view.documents[mine.team] = mine;
  EXPECT_TRUE(CheckAgainstFleet(mine, view, "d").empty()) << "its own former";

  base::ServiceDocument other = mine;
  other.team = base::TeamId("b");
  other.service = base::ServiceId("t");
  const base::Findings shared = CheckAgainstFleet(other, view, "d");
  ASSERT_EQ(shared.items().size(), 1U) << shared.ToText();
  EXPECT_EQ(shared.items()[0].place.line, 3);

  for (auto* it : {&view.documents[mine.team], &other}) {
    for (base::ClassLimit& limit : it->limits) limit.quota = 30;
  }
  EXPECT_TRUE(CheckAgainstFleet(other, view, "d").empty());
  for (base::ClassLimit& limit : other.limits) limit.quota = 80;
  EXPECT_FALSE(CheckAgainstFleet(other, view, "d").empty()) << "quota sum";

  other.service = mine.service;
  other.pool = base::PoolId("q");
  EXPECT_FALSE(CheckAgainstFleet(other, view, "d").empty()) << "same service";
}

TEST(Document, RejectsABudgetThatNoWaveCanMeet) {
  base::ServiceDocument document = Parsed(std::string(kGood));
  document.max_size = 10;
  document.budget.least_healthy_share = 0.9;
  const base::Findings findings = CheckAgainstFleet(document, {}, "d");
  ASSERT_EQ(findings.items().size(), 1U) << findings.ToText();
  EXPECT_EQ(findings.items()[0].place.line, 5);
}

TEST(Document, ExamplesAreAcceptedTogether) {
  // The build passes the directory of the programs to the tests.
  const char* const bin = std::getenv("HEMLOCKWARD_BIN");
  ASSERT_NE(bin, nullptr);
  const std::filesystem::path root = std::filesystem::path(bin) / "../../..";
  const std::filesystem::path folder =
      (root / "examples/documents").lexically_normal();
  for (const char* organisation : {"pasitos", "agency"}) {
    base::FleetView view;
    for (const auto& it : std::filesystem::directory_iterator(folder)) {
      const std::string name = it.path().filename();
      if (!name.starts_with(organisation)) continue;
      const auto document = ParseDocument(ReadText(it.path()), name);
      ASSERT_TRUE(document) << document.error().ToText();
      const auto findings = CheckAgainstFleet(*document, view, name);
      EXPECT_TRUE(findings.empty()) << findings.ToText();
      view.documents[document->team] = *document;
    }
    EXPECT_EQ(view.documents.size(), 5U) << organisation;
  }
}

}  // namespace
}  // namespace hemlockward::control
