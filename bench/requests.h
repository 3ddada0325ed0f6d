#pragma once

#include <cstdint>
#include <iosfwd>

/// Steps the decisions on requests through bursts in virtual time.
namespace hemlockward::bench {

/// Runs both organisations with 3 to 7 entries under three ways to share the
/// slots of workers, prints the measures, and returns the signature of all
/// decisions. The same in every run: it reads no clock.
std::uint64_t RunRequestBench(std::ostream& out);

}  // namespace hemlockward::bench
