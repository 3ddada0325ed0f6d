// A leader check once carried the addresses of all peers, both ways: the
// leader's link and processor grew with the square of the number of nodes.

#include <gtest/gtest.h>

#include <set>

#include "node/peer_table.h"

namespace hemlockward::node {
namespace {

using base::Seconds;

std::string Address(int i) { return "10.0.0." + std::to_string(i) + ":7060"; }

PeerTable LeaderOf(int n, Millis now) {
  PeerTable table("10.1.0.1:7060");
  for (int i = 0; i < n; ++i) table.OnContact(Address(i), now);
  return table;
}

TEST(PeerTableTest, ReportsGrowFarSlowerThanTheNumberOfPeers) {
  const Millis now = Seconds(10);
  EXPECT_EQ(LeaderOf(10, now).NextReport(now, false).size(), 10U);
  EXPECT_EQ(LeaderOf(100, now).NextReport(now, false).size(), 16U);
  EXPECT_LE(LeaderOf(240, now).NextReport(now, false).size(), 30U);
}

TEST(PeerTableTest, SuccessiveReportsGoThroughAllPeers) {
  const Millis now = Seconds(10);
  PeerTable leader = LeaderOf(100, now);
  std::set<std::string> reported;
  for (int i = 0; i < 7; ++i) {
    for (const std::string& it : leader.NextReport(now, false)) {
      reported.insert(it);
    }
  }
  EXPECT_EQ(reported.size(), 100U);
}

TEST(PeerTableTest, NewNodeGetsAllPeersAtOnce) {
  const Millis now = Seconds(10);
  PeerTable leader = LeaderOf(100, now);
  EXPECT_TRUE(leader.OnContact("10.9.0.1:7060", now));
  EXPECT_FALSE(leader.OnContact("10.9.0.1:7060", now));
  EXPECT_EQ(leader.NextReport(now, true).size(), 101U);
}

TEST(PeerTableTest, NodeThatHasGoneIsNotReportedByNodesThatOnlyHeardOfIt) {
  Millis now = Seconds(10);
  PeerTable leader = LeaderOf(1, now);
  PeerTable follower(Address(1));
  follower.OnContact("10.1.0.1:7060", now);
  follower.OnReport(leader.NextReport(now, false), {}, now);
  EXPECT_EQ(follower.size(), 2U);
  now += kReportedPeerAge;
  EXPECT_TRUE(leader.NextReport(now, false).empty());
  follower.OnContact("10.1.0.1:7060", now);
  EXPECT_EQ(follower.NextReport(now, false),
            std::vector<std::string>{"10.1.0.1:7060"});
  now = Seconds(10) + kPeerExpiry;
  follower.Expire(now);
  EXPECT_EQ(follower.size(), 1U);
}

TEST(PeerTableTest, ReportedPeersAreCandidatesButNotInContact) {
  const Millis now = Seconds(10);
  PeerTable table(Address(0));
  const std::vector<std::string> peers{Address(0), Address(1), Address(2)};
  table.OnReport(peers, {{Address(2), 3}}, now);
  table.OnContact(Address(3), now);
  EXPECT_EQ(table.Candidates(now, kPeerExpiry, false, Address(3)).size(), 2U);
  EXPECT_EQ(table.Candidates(now, kPeerExpiry, true, {}).size(), 1U);
  EXPECT_EQ(table.Strength(Address(2)), 3);
}

TEST(PeerTableTest, LikelySuccessorsCheckTheLeaderMoreOften) {
  EXPECT_EQ(CheckInterval(0), kCheckInterval);
  EXPECT_GT(CheckInterval(kPromptCandidates), kCheckInterval);
}

}  // namespace
}  // namespace hemlockward::node
