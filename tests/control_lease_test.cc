#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control/lease_keeper.h"
#include "control/membership_keeper.h"
#include "control_fakes.h"
#include "peer/gen/peer_types.h"

namespace hemlockward::control {
namespace {

using base::EntryRow;
using base::ManualClock;
using base::Millis;

constexpr Millis kLease{2000};
using Keeper = LeaseKeeper<FakeTable, ManualClock>;

LeaseSettings Named(const std::string& name) {
  return {name + ".1", name, "", 2, kLease};
}

TEST(ShardLease, IsTakenOverOnlyAfterAFullLeaseAndNeverHeldTwice) {
  FakeTable table;
  ManualClock clock;
  Keeper a(table, clock, Named("a"), 1);
  Keeper b(table, clock, Named("b"), 2);
  const auto upkeep = [](Keeper& keeper) {
    Await([](Keeper& k) -> boost::asio::awaitable<int> {
      co_await k.Tick();
      co_return 0;
    }(keeper));
  };
  upkeep(a);
  EXPECT_EQ(a.HeldCount(), 2);
  // `a` makes no further calls, so its fence expires after half a lease.
  const auto fence = a.FenceIfHeld(0);
  clock.Advance({kLease.count / 2 - 100});
  EXPECT_FALSE(fence->Covers(clock.Now(), {100}));
  EXPECT_TRUE(fence->Covers(clock.Now(), {99}));
  clock.Advance({100});
  EXPECT_EQ(a.HeldCount(), 0);
  for (int i = 0; i < 60 && b.HeldCount() < 2; ++i) {
    EXPECT_TRUE(b.HeldCount() == 0 || clock.Now() >= kLease);
    upkeep(b);
    clock.Advance({200});
  }
  EXPECT_EQ(b.HeldCount(), 2);
  EXPECT_GT(b.FenceIfHeld(0)->epoch, fence->epoch);
  EXPECT_NE(table.VersionOf(EpochKey(0)), fence->epoch_version);
}

// Guards against two holders of one shard. Three processes run at random times,
// so leases expire, and random table calls fail or lose their reply.
RC_GTEST_PROP(ShardLeaseProperty, OneHolderAtATime, ()) {
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  FakeTable table;
  ManualClock clock;
  std::vector<std::unique_ptr<Keeper>> keepers;
  for (const char* it : {"a", "b", "c"}) {
    const std::uint64_t seed = keepers.size() + 1;
    keepers.push_back(std::make_unique<Keeper>(table, clock, Named(it), seed));
  }
  for (const int it : steps) {
    clock.Advance({it % 700});
    if (it % 11 == 0) table.next = static_cast<TableFault>(it % 4);
    Await([](Keeper& k) -> boost::asio::awaitable<int> {
      co_await k.Tick();
      co_return 0;
    }(*keepers[static_cast<std::size_t>(it) % keepers.size()]));
    for (int shard = 0; shard < 2; ++shard) {
      int holders = 0;
      for (const auto& keeper : keepers)
        holders += keeper->FenceIfHeld(shard) ? 1 : 0;
      RC_ASSERT(holders <= 1);
    }
  }
}

TEST(ShardLease, PreferenceIsBalancedAndStableWhenAProcessLeaves) {
  const std::vector<std::string> three{"a", "b", "c"};
  const std::vector<std::string> two{"a", "b"};
  std::map<std::string, int> held;
  for (int shard = 0; shard < 300; ++shard) {
    const std::string before = PreferredHolder(shard, three);
    ++held[before];
    if (before == "c") continue;
    EXPECT_EQ(PreferredHolder(shard, two), before);
  }
  for (const auto& [holder, n] : held) EXPECT_GT(n, 60) << holder;
}

EntryRow Entry(const std::string& id, base::Incarnation incarnation = 1) {
  EntryRow row;
  row.entry = base::EntryId(id);
  row.incarnation = incarnation;
  return row;
}

class MembershipTest : public testing::Test {
 protected:
  void Hear(const std::string& id, base::Revision revision,
            base::Incarnation incarnation = 1) {
    peer::gen::HeartbeatReply reply;
    reply.sender = id;
    reply.incarnation = static_cast<std::int64_t>(incarnation);
    reply.revision = static_cast<std::int64_t>(revision);
    contacts_.OnReply(reply, now_);
  }
  MembershipStep Next() {
    const std::vector<base::Revision> awaited{inputs_.pending_since};
    contacts_.Tick(inputs_.membership.entries, awaited, now_);
    return NextMembershipStep(inputs_, contacts_, settings_, now_,
                              base::WallMillis{1'000'000});
  }
  void Commit(const MembershipStep& step) { inputs_.membership = step.next; }

  MembershipSettings settings_;
  EntryContacts contacts_{base::Millis{500}};
  MembershipInputs inputs_;
  Millis now_ = base::Seconds(100);
};

TEST_F(MembershipTest, FirstMembersJoinTogetherAndLaterOnesOneByOne) {
  inputs_.watching_since = now_;
  inputs_.registered = {Entry("b"), Entry("a")};
  EXPECT_EQ(Next().act, MembershipAction::kNone);
  now_ += settings_.initial_wait;
  const auto first = Next();
  ASSERT_EQ(first.act, MembershipAction::kFirst);
  EXPECT_EQ(first.next.entries[0].entry.value, "a");
  Commit(first);
  inputs_.registered.push_back(Entry("c"));
  inputs_.registered.push_back(Entry("d"));
  for (const char* it : {"a", "b", "c", "d"}) Hear(it, 5);
  const auto prepared = Next();
  ASSERT_EQ(prepared.act, MembershipAction::kPrepareJoin);
  EXPECT_EQ(prepared.next.pending.entry.value, "c");
  EXPECT_EQ(prepared.next.number, 1U);
  Commit(prepared);
  inputs_.pending_since = 6;
  Hear("a", 6);
  Hear("c", 6);
  EXPECT_EQ(Next().act, MembershipAction::kNone)
      << "b may still use the old entries";
  Hear("b", 6);
  const auto committed = Next();
  ASSERT_EQ(committed.act, MembershipAction::kCommit);
  EXPECT_EQ(committed.next.number, 2U);
  EXPECT_EQ(committed.next.entries.size(), 3U);
  EXPECT_EQ(committed.next.earlier.size(), 1U);
  EXPECT_EQ(committed.next.effective_from.count, 1'000'000 + 1000);
  EXPECT_TRUE(committed.next.pending.entry.empty());
}

TEST_F(MembershipTest, SilentEntryIsRemovedOnlyAfterTheOthersAcknowledge) {
  inputs_.membership.number = 1;
  inputs_.membership.entries = {Entry("a"), Entry("b"), Entry("c")};
  inputs_.registered = inputs_.membership.entries;
  for (const char* it : {"a", "b", "c"}) Hear(it, 5);
  now_ += settings_.removal_silence + Millis{1};
  EXPECT_EQ(Next().act, MembershipAction::kNone)
      << "control itself may be partitioned";
  Hear("a", 5);
  EXPECT_EQ(Next().act, MembershipAction::kNone);
  Hear("b", 5);
  const auto prepared = Next();
  ASSERT_EQ(prepared.act, MembershipAction::kPrepareRemoval);
  Commit(prepared);
  inputs_.pending_since = 6;
  Hear("a", 6);
  Hear("b", 6);
  EXPECT_EQ(Next().act, MembershipAction::kNone) << "c may still serve";
  now_ += Millis{500};
  Hear("a", 6);
  Hear("b", 6);
  EXPECT_EQ(Next().act, MembershipAction::kCommit);
  Hear("c", 5);
  EXPECT_EQ(Next().act, MembershipAction::kCancel) << "c replied again";
}

TEST_F(MembershipTest, RestartedEntryIsRemovedBeforeItJoinsAgain) {
  inputs_.membership.number = 1;
  inputs_.membership.entries = {Entry("a"), Entry("b")};
  inputs_.registered = {Entry("a"), Entry("b", 2)};
  Hear("a", 5);
  Hear("b", 5, 2);
  const auto prepared = Next();
  ASSERT_EQ(prepared.act, MembershipAction::kPrepareRemoval);
  EXPECT_EQ(prepared.next.pending.incarnation, 1U);
}

}  // namespace
}  // namespace hemlockward::control
