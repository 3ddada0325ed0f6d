#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "node/operator_rows.h"
#include "node/peer_table.h"

namespace hemlockward::node {
namespace {

using base::Millis;

RC_GTEST_PROP(OperatorRowsTest, RowsAreConfirmedBeforeAChangeIsDue, ()) {
  const Millis bound{*rc::gen::inRange(500, 600'000)};
  RC_ASSERT(MaxOperatorRowsAge(bound, false) < bound);
  RC_ASSERT(MaxOperatorRowsAge(bound, true) < MaxOperatorRowsAge(bound, false));
}

TEST(OperatorRowsTest, ChecksOfTheLeaderSpareTheOthersTheirOwnCall) {
  const Millis bound{2000};
  const Millis heard = MaxOperatorRowsAge(bound, true) + kRelaxedCheckInterval;
  EXPECT_LT(heard, MaxOperatorRowsAge(bound, false));
}

}  // namespace
}  // namespace hemlockward::node
