#pragma once

#include <cstdio>
#include <string>
#include <string_view>

#include "base/random.h"

/// What a stand-in target answers, as a function of what was sent, so that the
/// load tool can check every answer.
namespace hemlockward::standin {

/// Service, length, hash and the first bytes of the request's body.
inline std::string ExpectedAnswer(std::string_view service,
                                  std::string_view body) {
  constexpr std::size_t kEchoedBytes = 64;
  char buf[64];
  std::snprintf(buf, sizeof buf, " %zu %016llx ", body.size(),
                static_cast<unsigned long long>(base::StableHash(body)));
  return std::string(service) + buf + std::string(body.substr(0, kEchoedBytes));
}

}  // namespace hemlockward::standin
