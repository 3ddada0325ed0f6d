// Two leaders at once, or a takeover that comes late or never, result when the
// lease rows or the holder's silence are misread. Covers the encoding of the
// rows, silence detection, takeover order, handover and resent commits.

#include <gtest/gtest.h>

#include <set>

#include "node/lease.h"

namespace hemlockward::node {
namespace {

LeaseView ViewOf(std::uint64_t heartbeat) {
  LeaseView view;
  view.heartbeat_version = heartbeat;
  return view;
}

TEST(LeaseTest, RowsAreReadBack) {
  const LeaseRow row{"node", "10.0.0.1:7060", 18'000'000'000'000'000'001U, 3,
                     true,   Millis{250}};
  const auto back = DecodeLease(EncodeLease(row));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->holder, row.holder);
  EXPECT_EQ(back->incarnation, row.incarnation);
  EXPECT_EQ(back->term, 3U);
  EXPECT_TRUE(back->released);
  EXPECT_EQ(back->vm_order_age.count, 250);
  EXPECT_FALSE(DecodeLease("{}"));
  EXPECT_FALSE(DecodeLease("\xff"));
}

// Peers send the lease row that they know; an unreadable one must not throw.
TEST(LeaseTest, RowWithAnImpossibleTermIsRejected) {
  const std::string row = EncodeLease({"n1", "10.0.0.1:1", 77, 3});
  ASSERT_TRUE(DecodeLease(row));
  for (const char* it : {"-3", "1e300", "0.5", "\"3\"", "null"}) {
    std::string damaged = row;
    const std::size_t at = damaged.find("\"term\":3");
    ASSERT_NE(at, std::string::npos);
    damaged.replace(at, 8, std::string("\"term\":") + it);
    std::optional<LeaseRow> read;
    EXPECT_NO_THROW(read = DecodeLease(damaged)) << it;
    EXPECT_FALSE(read) << it;
  }
}

LeaseView LeaseOf(const LeaseRow& row) {
  LeaseView view;
  view.lease = row;
  return view;
}

constexpr std::uint64_t kCandidate = 2;
constexpr Millis kTurn{3000};

// The last holder is silent, cut off from the store, and may send orders until
// its renewal is too old.
Takeover FromSilentHolder() {
  return {kCandidate, false, Millis{1000}, Millis{2300}, 50'000, kTurn};
}

// The store's clock is 47.7 s ahead.
LeaseRow RowOfTakeover(const Takeover& takeover) {
  const LeaseView view = LeaseOf({"n1", "10.0.0.1:1", 1, 3});
  LeaseRow row{"n2", "10.0.0.2:1", kCandidate, 4};
  const EarlierHolders earlier = BoundEarlierHolders(view, takeover);
  row.earlier_orders_end_ms = earlier.orders_end_ms;
  row.vm_orders_from_ms = earlier.vm_orders_from_ms;
  const auto back = DecodeLease(EncodeLease(row));
  return back.value_or(LeaseRow{});
}

// The answers to all attempts but the last are lost; the row shows this node.
TEST(LeaseTest, EarlierHolderCountsWhenTheLeaseIsTakenAgain) {
  Takeover takeover = FromSilentHolder();
  const auto first =
      BoundEarlierHolders(LeaseOf({"n1", "10.0.0.1:1", 1, 3}), takeover);
  EXPECT_EQ(first.orders_end, Millis{1000} + kOrderValidity);
  LeaseRow row = RowOfTakeover(takeover);
  for (int i = 0; i < 10; ++i) {
    takeover.now = takeover.renewed_before = takeover.now + Millis{200};
    takeover.store_ms += 200;
    const auto again = BoundEarlierHolders(LeaseOf(row), takeover);
    EXPECT_GE(again.orders_end, first.orders_end);
    EXPECT_LE(again.orders_end, first.orders_end + base::Seconds(1));
    EXPECT_GE(again.vm_orders_from, first.vm_orders_from);
    row.earlier_orders_end_ms = again.orders_end_ms;
    row.vm_orders_from_ms = again.vm_orders_from_ms;
  }
}

// Another node takes the lease right after the one between has released it.
TEST(LeaseTest, EarlierHolderCountsWhenTheLeaseWasReleasedSoonAfter) {
  const Takeover takeover = FromSilentHolder();
  const auto first =
      BoundEarlierHolders(LeaseOf({"n1", "10.0.0.1:1", 1, 3}), takeover);
  LeaseRow row = RowOfTakeover(takeover);
  row.released = true;
  row.vm_order_age = base::Seconds(1000);  // It has sent none.
  const Millis clocks{100'000};            // This node's clock is ahead.
  Takeover next{3, false, {}, {}, takeover.store_ms + 300, kTurn};
  next.now = next.renewed_before = takeover.now + Millis{300} + clocks;
  const auto second = BoundEarlierHolders(LeaseOf(row), next);
  EXPECT_GE(second.orders_end, first.orders_end + clocks);
  EXPECT_GE(second.vm_orders_from, first.vm_orders_from + clocks);
}

// The row between the two is years old: nothing is awaited.
TEST(LeaseTest, EarlierHolderOfLongAgoDelaysNothing) {
  LeaseRow row = RowOfTakeover(FromSilentHolder());
  row.released = true;
  row.vm_order_age = base::Seconds(1000);
  Takeover next{3, false, {}, {}, 1'000'000, kTurn};
  next.now = next.renewed_before = Millis{500'000};
  const auto earlier = BoundEarlierHolders(LeaseOf(row), next);
  EXPECT_EQ(earlier.orders_end, next.now);
  EXPECT_LE(earlier.vm_orders_from, next.now);
}

TEST(LeaseTest, UnchangedHeartbeatCountsOnlyWhileTheStoreIsReadable) {
  HeartbeatMonitor watch;
  Millis now{1000};
  watch.OnRead(ViewOf(5), now);
  while (now < Millis{1000} + kHolderSilenceLimit) {
    EXPECT_FALSE(watch.IsSilent(now, kHolderSilenceLimit));
    now += Millis{250};
    watch.OnRead(ViewOf(5), now);
  }
  EXPECT_TRUE(watch.IsSilent(now, kHolderSilenceLimit));
  watch.OnReadFailed();
  EXPECT_FALSE(watch.IsSilent(now, kHolderSilenceLimit));
  now += Millis{100};
  watch.OnRead(ViewOf(5), now);
  EXPECT_FALSE(watch.IsSilent(now, kHolderSilenceLimit));
}

TEST(LeaseTest, GapBetweenReadsIsNotSilence) {
  HeartbeatMonitor watch;
  watch.OnRead(ViewOf(5), {1000});
  watch.OnRead(ViewOf(5), {1000 + kMaxReadGap.count + 1});
  EXPECT_FALSE(watch.IsSilent({4000}, kMaxReadGap + Millis{3000}));
}

TEST(LeaseTest, SilenceStartsAtTheRenewalOfANewHeartbeat) {
  const Millis heard{1000};
  const Millis read{1700};
  const auto silent_from = [&](Millis age, bool readable) {
    HeartbeatMonitor watch;
    watch.OnHolderReport(5, heard);
    if (!readable) watch.OnReadFailed();
    watch.OnRead(ViewOf(6), read, age);
    Millis now = read;
    while (!watch.IsSilent(now, kHolderSilenceLimit)) now += Millis{1};
    return now - kHolderSilenceLimit;
  };
  EXPECT_EQ(silent_from(Millis{600}, true), Millis{1100});
  EXPECT_EQ(silent_from(Millis{0}, true), read);
  // Silence doesn't start before the last successful read.
  EXPECT_EQ(silent_from(Millis{5000}, true), heard);
  EXPECT_EQ(silent_from(Millis{5000}, false), read);
}

TEST(LeaseTest, RenewalRestartsSilenceDetection) {
  HeartbeatMonitor watch;
  watch.OnRead(ViewOf(5), {1000});
  watch.OnRead(ViewOf(6), {1500});
  EXPECT_EQ(watch.renewed_before().count, 1500);
  EXPECT_FALSE(watch.IsSilent({1600}, kStalledHolderSilence));
}

TEST(TakeoverTest, CandidatesAgreeOnTheirOrder) {
  std::vector<Candidate> all{
      {"10.0.0.1:1"}, {"10.0.0.2:1"}, {"10.0.0.3:1"}, {"10.0.0.4:1"}};
  std::set<std::string> first;
  for (std::uint64_t term = 0; term < 30; ++term) {
    std::set<int> ranks;
    for (const Candidate& it : all) {
      ranks.insert(TakeoverRank(it, all, term));
      if (TakeoverRank(it, all, term) == 0) first.insert(it.address);
    }
    EXPECT_EQ(ranks, (std::set<int>{0, 1, 2, 3}));
  }
  // Each node ranks first for some term.
  EXPECT_EQ(first.size(), all.size());
  EXPECT_EQ(TakeoverRank({"10.0.0.9:1"}, {}, 3), 0);
  for (const int i : {0, 1, 3}) all[static_cast<std::size_t>(i)].strength = 1;
  EXPECT_EQ(TakeoverRank(all[2], all, 5), 3);
}

TEST(TakeoverTest, HolderUnawareOfItsLeaseHasNotSteppedDown) {
  const LeaseRow holder{"n1", "10.0.0.1:1", 77, 3};
  const auto judge = [&](std::uint64_t incarnation, bool leads,
                         std::uint64_t term, std::int64_t age,
                         std::int64_t commit = 10) {
    PeerStatus heard;
    heard.incarnation = incarnation;
    heard.leads = leads;
    heard.term = term;
    heard.renewal_age_ms = age;
    heard.commit_ms = commit;
    return ClassifyHolder(holder, heard);
  };
  EXPECT_EQ(judge(77, true, 3, 20), HolderStatus::kLeads);
  EXPECT_EQ(judge(77, true, 3, 700), HolderStatus::kStalled);
  // A slow store delays renewals.
  EXPECT_EQ(judge(77, true, 3, 1000, 350), HolderStatus::kLeads);
  EXPECT_EQ(judge(77, true, 3, 1100, 350), HolderStatus::kStalled);
  EXPECT_EQ(judge(77, false, 3, 0), HolderStatus::kSteppedDown);
  EXPECT_EQ(judge(77, false, 2, 0), HolderStatus::kAcquiring);
  EXPECT_EQ(judge(78, true, 3, 20), HolderStatus::kReplaced);
}

TEST(TakeoverTest, SlowStoreIsNotASilentHolder) {
  EXPECT_EQ(RequiredSilence(true, Millis{4}, Millis{0}), kStalledHolderSilence);
  EXPECT_EQ(RequiredSilence(false, Millis{4}, Millis{0}), kHolderSilenceLimit);
  EXPECT_GE(RequiredSilence(true, Millis{400}, Millis{0}), Millis{2000});
  EXPECT_GT(
      RequiredSilence(true, Millis{4}, TakeoverDelay(20, false)),
      RequiredSilence(true, Millis{4}, TakeoverDelay(1, false)) + Millis{1000});
}

TEST(TakeoverTest, WeakNodeWaitsForStrongerOnesAfterStart) {
  const Candidate small{"10.0.0.1:1", LeaderStrength(0.12, 20)};
  const Candidate large{"10.0.0.2:1", LeaderStrength(0.5, 200)};
  const std::vector<Candidate> with_large{small, large};
  EXPECT_TRUE(ShouldWaitForStrongerPeers(small, {}, Millis{600}));
  EXPECT_FALSE(ShouldWaitForStrongerPeers(large, {}, Millis{600}));
  // No extra delay once it knows larger nodes or has been up for long.
  EXPECT_FALSE(ShouldWaitForStrongerPeers(small, with_large, Millis{600}));
  EXPECT_FALSE(ShouldWaitForStrongerPeers(small, {}, kPeerDiscoveryPeriod));
  EXPECT_EQ(TakeoverDelay(0, false), Millis{0});
  EXPECT_GE(TakeoverDelay(0, true), Millis{1000});
}

TEST(TakeoverTest, WeakLeaderHandsOverToStrongerNode) {
  const Candidate small{"10.0.0.1:1", LeaderStrength(0.12, 20)};
  const Candidate large{"10.0.0.2:1", LeaderStrength(0.5, 200)};
  const std::vector<Candidate> both{small, large};
  EXPECT_TRUE(ShouldHandOver(small, both, kMinLeadTime, std::nullopt));
  EXPECT_FALSE(ShouldHandOver(large, both, kMinLeadTime, std::nullopt));
  EXPECT_FALSE(ShouldHandOver(small, std::vector{small}, kMinLeadTime, {}));
  EXPECT_FALSE(ShouldHandOver(small, both, Millis{500}, std::nullopt));
  // Handovers are rate-limited, in case the larger nodes don't take the lease.
  EXPECT_FALSE(ShouldHandOver(small, both, kMinLeadTime, base::Seconds(5)));
  EXPECT_TRUE(ShouldHandOver(small, both, kMinLeadTime, kMinHandoverInterval));
}

// Where every node fell below one limit, a node with a tenth of the link of
// others led, its link filled up and its orders timed out.
TEST(TakeoverTest, StrongestNodeLeadsWhereAllAreWeak) {
  const Candidate weakest{"10.0.0.1:1", LeaderStrength(0.12, 4)};
  const Candidate weak{"10.0.0.2:1", LeaderStrength(0.5, 38)};
  const std::vector<Candidate> both{weakest, weak};
  for (std::uint64_t term = 0; term < 30; ++term) {
    EXPECT_EQ(TakeoverRank(weak, both, term), 0);
    EXPECT_EQ(TakeoverRank(weakest, both, term), 1);
  }
  EXPECT_TRUE(ShouldHandOver(weakest, both, kMinLeadTime, std::nullopt));
  EXPECT_FALSE(ShouldHandOver(weak, both, kMinLeadTime, std::nullopt));
  // Nearly equal nodes don't take turns.
  EXPECT_EQ(LeaderStrength(0.5, 200), LeaderStrength(0.5, 150));
  EXPECT_EQ(LeaderStrength(0.25, 1000), LeaderStrength(0.25, 60));
}

TEST(CommitTest, UnansweredCommitIsResentOnlyToAFastStore) {
  LeaseView view;
  view.lease_version = 9;
  view.heartbeat = "3.17@5";
  const Millis slow{290};
  EXPECT_EQ(ClassifyReadBack(view, "3.17@5", 9, slow), CommitStatus::kDone);
  EXPECT_EQ(ClassifyReadBack(view, "3.18@5", 9, Millis{4}),
            CommitStatus::kNotReceived);
  EXPECT_EQ(ClassifyReadBack(view, "3.18@5", 9, slow),
            CommitStatus::kStoreSlow);
  EXPECT_EQ(ClassifyReadBack(view, "3.17@5", 8, Millis{4}),
            CommitStatus::kLeaseLost);
}

// Two sends ended before either was looked at: one got no answer, the other was
// refused. The refusal alone was taken as proof that nothing was stored.
TEST(CommitTest, RefusedSendDoesNotProveThatAnUnansweredOneWasNotApplied) {
  CommitSends sends;
  sends.OnSend();
  sends.OnSend();
  sends.OnEnd(false);
  sends.OnEnd(true);
  EXPECT_EQ(sends.in_flight(), 0);
  EXPECT_FALSE(sends.AllRefused());
}

TEST(CommitTest, TransactionIsNotAppliedWhenEverySendWasRefused) {
  CommitSends sends;
  sends.OnSend();
  sends.OnSend();
  sends.OnEnd(true);
  EXPECT_FALSE(sends.AllRefused());
  sends.OnEnd(true);
  EXPECT_TRUE(sends.AllRefused());
}

TEST(CommitTimeoutTest, FollowsTheStoresSpeedAndBacksOff) {
  CommitTimeout timeout;
  for (int i = 0; i < 50; ++i) timeout.OnAnswer(Millis{8});
  EXPECT_LE(timeout.value().count, 200);
  timeout.OnTimeout();
  timeout.OnTimeout();
  EXPECT_GE(timeout.value().count, 600);
  for (int i = 0; i < 20; ++i) timeout.OnTimeout();
  EXPECT_LE(timeout.value().count, 1500);
  for (int i = 0; i < 50; ++i) timeout.OnAnswer(Millis{500});
  EXPECT_GE(timeout.value().count, 1000);
}

TEST(LeaseTest, HeartbeatsContainTheStoreTime) {
  EXPECT_EQ(ParseHeartbeatTime(EncodeHeartbeat(3, 17, 51'230)), 51'230);
  EXPECT_FALSE(ParseHeartbeatTime("3.17"));
  EXPECT_FALSE(ParseHeartbeatTime("3.17@x"));
}

TEST(LeaseTest, IgnoresRowsOfOtherTables) {
  platform::StoreRow row;
  row.table = "other";
  row.key = kLeaseKey;
  row.version = 9;
  EXPECT_EQ(ReadLease(std::vector{row}).lease_version, 0U);
}

}  // namespace
}  // namespace hemlockward::node
