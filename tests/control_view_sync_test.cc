#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control_fakes.h"
#include "peer/gen/peer_types.h"
#include "peer/view_sync.h"

namespace hemlockward::control {
namespace {

using base::ChangeRecord;
using base::Revision;
using base::VmId;

// Commits a change as ChangeWriter does: the row, its record, the head.
void Commit(FakeTable& table, const std::string& vm, const std::string& pool) {
  const auto head = table.rows.find("head");
  const Revision revision =
      1 + (head == table.rows.end()
               ? 0
               : peer::ParseHeadRevision(head->second.value));
  base::VmRow row;
  row.vm = VmId(vm);
  row.pool = base::PoolId(pool);
  ChangeRecord record{revision, {{"vm/" + vm, base::Encode(row)}}};
  platform::Transaction t{"n" + std::to_string(revision), {}, {}};
  t.writes = {{"vm/" + vm, base::Encode(row)},
              {base::LogKey(revision), base::Encode(record)},
              {"head", std::to_string(revision)}};
  ASSERT_TRUE(Await(table.Transact(std::move(t))));
}

struct Reader {
  explicit Reader(FakeTable& t) : table(t) {}

  FakeTable& table;
  base::ManualClock clock;
  peer::ViewStore store;
  peer::ViewPoller<FakeTable, base::ManualClock> poller{table, clock, store};
};

std::string PoolOf(const peer::ViewStore& store, const std::string& vm) {
  return store.Snapshot()->vms.at(VmId(vm)).pool.value;
}

TEST(ViewSync, FollowsTheLogAndCountsOnlyCompleteReads) {
  FakeTable table;
  Reader reader(table);
  Commit(table, "a", "x");
  reader.clock.Advance({5});
  ASSERT_TRUE(Await(reader.poller.PollOnce()));
  EXPECT_EQ(reader.store.table_read_sent(), base::Millis{5});
  Commit(table, "a", "y");
  reader.clock.Advance({5});
  table.always = TableFault::kDown;
  EXPECT_FALSE(Await(reader.poller.PollOnce()));
  reader.store.RecordTableRead({10}, 2);  // Saw a head it hasn't reached.
  EXPECT_EQ(reader.store.table_read_sent(), base::Millis{5});
  table.always = TableFault::kNone;
  ASSERT_TRUE(Await(reader.poller.PollOnce()));
  EXPECT_EQ(PoolOf(reader.store, "a"), "y");
  EXPECT_EQ(reader.store.table_read_sent(), base::Millis{10});
}

TEST(ViewSync, ScansWhenTheLogWasTrimmed) {
  FakeTable table;
  Reader reader(table);
  for (int i = 0; i < 9; ++i) Commit(table, "a" + std::to_string(i % 4), "x");
  for (Revision it = 1; it <= 8; ++it) table.rows.erase(base::LogKey(it));
  ASSERT_TRUE(Await(reader.poller.PollOnce()));
  EXPECT_EQ(reader.store.revision(), 9U);
  EXPECT_EQ(reader.store.Snapshot()->vms.size(), 4U);
}

TEST(ViewSync, PeersHandOnRecordsOrTheWholeView) {
  FakeTable table;
  Reader reader(table);
  peer::ViewStore other;
  for (int i = 0; i < 3; ++i) Commit(table, "a", "x" + std::to_string(i));
  ASSERT_TRUE(Await(reader.poller.PollOnce()));
  for (const bool snapshot : {false, true}) {
    peer::ViewStore behind;
    peer::gen::DeltaRequest request;
    request.from_revision = 0;
    request.wants_snapshot = snapshot;
    peer::gen::DeltaReply reply;
    peer::FillDeltaReply(reader.store, request, reply);
    EXPECT_TRUE(peer::ApplyDeltaReply(behind, reply));
    EXPECT_FALSE(peer::ApplyDeltaReply(behind, reply)) << "never reinstalled";
    EXPECT_EQ(PoolOf(behind, "a"), "x2");
    EXPECT_EQ(behind.revision(), 3U);
  }
}

RC_GTEST_PROP(ViewSyncProperty, NeverGoesBack, ()) {
  peer::ViewStore store;
  const auto revisions = *rc::gen::container<std::vector<std::uint8_t>>(
      rc::gen::inRange<std::uint8_t>(0, 8));
  Revision highest = 0;
  for (const std::uint8_t it : revisions) {
    base::FleetView view;
    view.revision = it;
    const std::vector<ChangeRecord> records{{it, {}}};
    if (it % 2 == 0) {
      store.Install(std::move(view));
    } else {
      store.Apply(records);
    }
    RC_ASSERT(store.revision() >= highest);
    highest = store.revision();
  }
}

}  // namespace
}  // namespace hemlockward::control
