#include "base/clock.h"

#include <ctime>

namespace hemlockward::base {

namespace {
std::int64_t ReadClock(clockid_t id) {
  timespec ts{};
  clock_gettime(id, &ts);
  return static_cast<std::int64_t>(ts.tv_sec) * 1000 + ts.tv_nsec / 1'000'000;
}
}  // namespace

Millis SystemClock::Now() const { return {ReadClock(CLOCK_BOOTTIME)}; }

WallMillis SystemClock::Wall() const { return {ReadClock(CLOCK_REALTIME)}; }

}  // namespace hemlockward::base
