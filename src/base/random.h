#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace hemlockward::base {

/// Random generator for decisions and jitter; seeded by the caller.
using Random = std::mt19937_64;

/// A seed from the operating system; tests use fixed seeds instead.
std::uint64_t SystemSeed();

/// A stable 64-bit hash, the same in every process and release (XXH3).
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// 32 random hexadecimal digits; used for nonces and request ids.
std::string RandomHex(Random& random);

}  // namespace hemlockward::base
