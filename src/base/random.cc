#include "base/random.h"

#include <xxhash.h>

#include <cstdio>

namespace hemlockward::base {

std::uint64_t SystemSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string RandomHex(Random& random) {
  char buf[33];
  std::snprintf(buf, sizeof buf, "%016llx%016llx",
                static_cast<unsigned long long>(random()),
                static_cast<unsigned long long>(random()));
  return buf;
}

}  // namespace hemlockward::base
