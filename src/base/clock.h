#pragma once

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>

namespace hemlockward::base {

/// A duration, or a time on the monotonic clock of one process, in
/// milliseconds.
///
/// Times of different processes must never be compared; use WallMillis for
/// that.
struct Millis {
  std::int64_t count = 0;

  friend constexpr auto operator<=>(Millis, Millis) = default;
  friend constexpr Millis operator+(Millis a, Millis b) {
    return {a.count + b.count};
  }
  friend constexpr Millis operator-(Millis a, Millis b) {
    return {a.count - b.count};
  }
  friend constexpr Millis operator*(Millis a, std::int64_t n) {
    return {a.count * n};
  }
  constexpr Millis& operator+=(Millis other) {
    count += other.count;
    return *this;
  }
  [[nodiscard]] constexpr std::chrono::milliseconds ToChrono() const {
    return std::chrono::milliseconds(count);
  }
};

constexpr Millis Seconds(std::int64_t n) { return {n * 1000}; }
constexpr Millis Minutes(std::int64_t n) { return {n * 60 * 1000}; }
constexpr Millis Hours(std::int64_t n) { return {n * 60 * 60 * 1000}; }

/// Milliseconds since the Unix epoch. The clock may be wrong by up to the
/// configured maximum skew. Used only for key timestamps and calendars.
struct WallMillis {
  std::int64_t count = 0;
  friend constexpr auto operator<=>(WallMillis, WallMillis) = default;
  friend constexpr WallMillis operator+(WallMillis a, Millis b) {
    return {a.count + b.count};
  }
  friend constexpr Millis operator-(WallMillis a, WallMillis b) {
    return {a.count - b.count};
  }
};

/// Code that needs the time takes a clock source in its constructor or as an
/// argument. Decision logic takes a `Millis now` instead and reads no clock.
template <class T>
concept ClockSource = requires(const T& clock) {
  { clock.Now() } -> std::same_as<Millis>;
  { clock.Wall() } -> std::same_as<WallMillis>;
};

/// Reads the clocks of the operating system.
class SystemClock {
 public:
  /// Monotonic time. It also advances while the VM is suspended if the kernel
  /// supports that (CLOCK_BOOTTIME), so that leases expire during a pause.
  [[nodiscard]] Millis Now() const;
  [[nodiscard]] WallMillis Wall() const;
};

/// A clock that advances only by calls of Advance; for tests and benchmarks.
class ManualClock {
 public:
  [[nodiscard]] Millis Now() const { return now_; }
  [[nodiscard]] WallMillis Wall() const { return {kWallStart + now_.count}; }
  void Advance(Millis by) { now_ += by; }

 private:
  static constexpr std::int64_t kWallStart = 1'700'000'000'000;
  Millis now_{0};
};

}  // namespace hemlockward::base
