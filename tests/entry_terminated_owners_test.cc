#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "entry/terminated_owners.h"

namespace hemlockward::entry {
namespace {

using base::Millis;
using base::WallMillis;

base::Membership MembershipOf(base::Incarnation incarnation) {
  base::EntryRow row;
  row.entry = base::EntryId("a");
  row.incarnation = incarnation;
  row.peer_address = "10.0.0.1:1";
  base::Membership membership;
  membership.entries = {row};
  return membership;
}

TEST(TerminatedOwners, OnlyARefusalAtTheOwnersAddressProvesTermination) {
  const base::Membership membership = MembershipOf(7);
  const KeyPolicy policy;
  Key key;
  key.timestamp = {1'000'000};
  TerminatedOwners terminated;
  EXPECT_FALSE(terminated.CannotHaveRun(key, membership.entries[0], policy));
  terminated.OnConnectionRefused(membership, "10.0.0.2:1", {0});
  EXPECT_FALSE(terminated.CannotHaveRun(key, membership.entries[0], policy));
  terminated.OnConnectionRefused(membership, "10.0.0.1:1", {0});
  EXPECT_TRUE(terminated.CannotHaveRun(key, membership.entries[0], policy));
  EXPECT_FALSE(
      terminated.CannotHaveRun(key, MembershipOf(8).entries[0], policy));
}

// A key that its owner may have run must never be reported as not run. The
// clocks of the owner and of the entry that saw the refused connection differ
// by up to the maximum skew.
RC_GTEST_PROP(TerminatedOwnersProperty, NoKeyThatMayHaveRunIsReportedNotRun,
              ()) {
  KeyPolicy policy;
  policy.max_skew = Millis{10};
  const auto below = [](std::int64_t most, std::int64_t width) {
    return most - *rc::gen::inRange<std::int64_t>(0, width);
  };
  const std::int64_t terminated_at = 100'000;
  const std::int64_t ran_at = below(terminated_at, 3);
  const std::int64_t seen_at = terminated_at - below(0, 3);
  const std::int64_t skew = -below(policy.max_skew.count, 20);
  const std::int64_t ahead = below(policy.max_skew.count - 1, 20);
  Key key;
  key.timestamp = {ran_at + ahead};  // Accepted by the owner's clock.
  const base::Membership membership = MembershipOf(7);
  TerminatedOwners terminated;
  terminated.OnConnectionRefused(membership, "10.0.0.1:1", {seen_at + skew});
  RC_ASSERT(!terminated.CannotHaveRun(key, membership.entries[0], policy));
}

}  // namespace
}  // namespace hemlockward::entry
