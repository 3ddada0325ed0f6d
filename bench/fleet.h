#pragma once

#include <cstdint>
#include <iosfwd>

namespace hemlockward::bench {

/// Steps the fleet decisions through all cases with ours, *serial* and *fixed
/// reserve*, prints the measures and the cost of one planning step, and
/// returns the signature of all decisions. Costs are no part of it.
std::uint64_t RunFleetBench(std::ostream& out);

}  // namespace hemlockward::bench
