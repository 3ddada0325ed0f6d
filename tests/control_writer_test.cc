#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control/change_writer.h"
#include "control/operations.h"
#include "control_fakes.h"

namespace hemlockward::control {
namespace {

using platform::TableFailure;

Change VmChange(const std::string& pool, platform::RowVersion version = 0) {
  base::VmRow row;
  row.vm = base::VmId("a");
  row.pool = base::PoolId(pool);
  return {{{"vm/a", version}}, {{"vm/a", base::Encode(row)}}, {}};
}

struct TestSetup {
  FakeTable table;
  base::ManualClock clock;
  peer::ViewStore store;
  peer::ViewPoller<FakeTable, base::ManualClock> poller{table, clock, store};
  ChangeWriter<FakeTable> writer{table, store, 1};
  Operations<FakeTable, base::ManualClock> operations{clock, store, poller,
                                                      writer};
};

TEST(ChangeWriter, AcceptedChangeIsInTheLog) {
  TestSetup setup;
  const auto accepted = Await(setup.writer.Write(VmChange("x")));
  ASSERT_TRUE(accepted);
  EXPECT_EQ(accepted->revision, 1U);
  EXPECT_EQ(setup.table.rows["head"].value, "1");
  EXPECT_EQ(setup.store.revision(), 1U);
  const auto record =
      base::DecodeChangeRecord(setup.table.rows[base::LogKey(1)].value);
  EXPECT_EQ(record->rows.size(), 1U);
}

// Guards against a result that claims more than the writer can know after a
// fault of the transaction.
TEST(ChangeWriter, ReportsOnlyConfirmedOutcomes) {
  struct Case {
    TableFault once;
    TableFault always;
    bool accepted;
    TableFailure failure;
  };
  const Case cases[] = {
      {TableFault::kReplyLost, TableFault::kNone, true, {}},
      {TableFault::kRequestLost, TableFault::kNone, true, {}},
      {TableFault::kDown, TableFault::kNone, false, TableFailure::kUnavailable},
      {TableFault::kNone, TableFault::kReplyLost, false,
       TableFailure::kUnknown},
  };
  for (const Case& it : cases) {
    TestSetup setup;
    setup.table.on_transact = it.once;
    setup.table.on_transacts = it.always;
    const auto accepted = Await(setup.writer.Write(VmChange("x")));
    EXPECT_EQ(accepted.has_value(), it.accepted);
    if (accepted) {
      EXPECT_EQ(setup.table.rows.count("vm/a"), 1U);
    } else {
      EXPECT_EQ(accepted.error().failure, it.failure);
    }
  }
}

// Guards against reporting a conflict for a committed change: the reply was
// lost, and the platform no longer knows the nonce when it is sent again.
TEST(ChangeWriter, CommitWithLostReplyIsConfirmedFromTheLog) {
  TestSetup setup;
  setup.table.on_transact = TableFault::kReplyLost;
  setup.table.forgets_nonces = true;
  const auto accepted = Await(setup.writer.Write(VmChange("x")));
  ASSERT_TRUE(accepted);
  EXPECT_EQ(accepted->revision, 1U);
  EXPECT_EQ(accepted->version, setup.table.VersionOf("vm/a"));
}

TEST(ChangeWriter, HeadConflictIsRetriedAndRowConflictIsRejected) {
  TestSetup setup;
  ChangeWriter<FakeTable> other(setup.table, setup.store, 2);
  setup.table.before_transact = [&] {
    Change change{{}, {{"wave/w", base::Encode(base::WaveRow{})}}, {}};
    ASSERT_TRUE(Await(other.Write(std::move(change))));
  };
  const auto accepted = Await(setup.writer.Write(VmChange("x")));
  ASSERT_TRUE(accepted);
  EXPECT_EQ(accepted->revision, 2U);
  const auto stale = Await(setup.writer.Write(VmChange("y")));
  ASSERT_FALSE(stale);
  EXPECT_EQ(stale.error().failure, TableFailure::kConflict);
  Change late = VmChange("y", setup.table.VersionOf("vm/a"));
  late.required_revision = 1;
  EXPECT_FALSE(Await(setup.writer.Write(std::move(late))));
}

// Guards against lost and duplicate changes under any sequence of faults: an
// accepted change is in the log exactly once. A change that failed is not in
// the log, except after kUnknown, when it may be there once.
RC_GTEST_PROP(ChangeWriterProperty, AcceptedExactlyOnce, ()) {
  const auto faults =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  TestSetup setup;
  setup.table.forgets_nonces = *rc::gen::arbitrary<bool>();
  int n = 0;
  for (const int it : faults) {
    setup.table.on_transact =
        it < 4 ? static_cast<TableFault>(it) : TableFault::kNone;
    const std::string key = "wave/" + std::to_string(n++);
    Change change{{{key, 0}}, {{key, base::Encode(base::WaveRow{})}}, {}};
    const auto accepted = Await(setup.writer.Write(std::move(change)));
    int logged = 0;
    for (const auto& [name, row] : setup.table.rows) {
      if (!name.starts_with("log/")) continue;
      const auto record = base::DecodeChangeRecord(row.value);
      logged += record->rows[0].key == key ? 1 : 0;
    }
    if (accepted) RC_ASSERT(logged == 1);
    if (!accepted && accepted.error().failure != TableFailure::kUnknown) {
      RC_ASSERT(logged == 0);
    }
    RC_ASSERT(logged <= 1);
  }
}

constexpr std::string_view kDocument =
    "team: t\nservice: s\npool: p\nsize: {min: 2, max: 4}\n";

TEST(Operations, ConflictReturnsTheStoredDocument) {
  TestSetup setup;
  const std::string first(kDocument);
  const std::string second = first + "# mine\n";
  const base::TeamId team("t");
  const auto applied =
      Await(setup.operations.PutDocument(team, first, "", "t.yaml"));
  ASSERT_TRUE(applied) << applied.error().findings.ToText();
  ASSERT_TRUE(Await(
      setup.operations.PutDocument(team, second, applied->etag, "t.yaml")));
  const auto late =
      Await(setup.operations.PutDocument(team, first, applied->etag, "t.yaml"));
  ASSERT_FALSE(late);
  EXPECT_EQ(late.error().kind, RefusalKind::kConflict);
  EXPECT_EQ(late.error().stored, second);
  EXPECT_EQ(late.error().stored_etag, EtagOf(second));
}

// Guards against overwriting the document of another operator whose write
// commits between the check of If-Match and the commit.
TEST(Operations, CheckAndCommitAreAtomic) {
  TestSetup setup;
  const std::string first(kDocument);
  const base::TeamId team("t");
  const auto applied =
      Await(setup.operations.PutDocument(team, first, "", "t.yaml"));
  ASSERT_TRUE(applied);
  setup.table.before_transact = [&] {
    ASSERT_TRUE(Await(setup.operations.PutDocument(team, first + "# a\n",
                                                   applied->etag, "t.yaml")));
  };
  const auto late = Await(setup.operations.PutDocument(
      team, first + "# b\n", applied->etag, "t.yaml"));
  ASSERT_FALSE(late);
  EXPECT_EQ(late.error().kind, RefusalKind::kConflict);
}

TEST(Operations, RejectsInvalidChangesAndReportsUnknownOutcomes) {
  TestSetup setup;
  const base::TeamId team("other");
  const auto foreign = Await(
      setup.operations.PutDocument(team, std::string(kDocument), "", "t.yaml"));
  EXPECT_EQ(foreign.error().kind, RefusalKind::kFindings);
  EXPECT_FALSE(foreign.error().findings.empty());
  const base::WaveId wave("w");
  ASSERT_TRUE(Await(setup.operations.StartWave(wave, {})));
  EXPECT_EQ(Await(setup.operations.StartWave(wave, {})).error().kind,
            RefusalKind::kConflict);
  setup.table.on_transacts = TableFault::kReplyLost;
  EXPECT_EQ(Await(setup.operations.StopWave(wave)).error().kind,
            RefusalKind::kUnknown);
  setup.table.on_transacts = TableFault::kNone;
  EXPECT_TRUE(Await(setup.operations.StopWave(wave)));
  EXPECT_TRUE(setup.store.Snapshot()->waves.at(wave).stopped);
  EXPECT_EQ(Await(setup.operations.StopWave(base::WaveId("x"))).error().kind,
            RefusalKind::kNotFound);
}

}  // namespace
}  // namespace hemlockward::control
