#pragma once

#include <cstdio>
#include <string>
#include <string_view>

#include "base/random.h"

/// What a stand-in target answers, as a function of what was sent, so that the
/// load tool can check every answer.
namespace hemlockward::standin {

/// One line: service, length and hash of the request's body.
inline std::string ExpectedAnswer(std::string_view service,
                                  std::string_view body) {
  char buf[64];
  std::snprintf(buf, sizeof buf, " %zu %016llx\n", body.size(),
                static_cast<unsigned long long>(base::StableHash(body)));
  return std::string(service) + buf;
}

}  // namespace hemlockward::standin
