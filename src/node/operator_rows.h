#pragma once

#include "base/clock.h"

/// How long a node may go on with the operator's rows as it knows them. Changes
/// arrive on a long poll, whose connection may have gone silent: another call
/// has to confirm that there were none.
namespace hemlockward::node {

/// The leader confirms the rows for all nodes, which check it at least every
/// second. A node that hears nothing from it confirms them itself.
/// `bound`: how soon a change must be in force on every node.
inline base::Millis MaxOperatorRowsAge(base::Millis bound, bool leads) {
  constexpr std::int64_t kLeaderDivisor = 4;
  constexpr std::int64_t kOwnReserveDivisor = 5;
  if (leads) return {bound.count / kLeaderDivisor};
  return {bound.count - bound.count / kOwnReserveDivisor};
}

}  // namespace hemlockward::node
