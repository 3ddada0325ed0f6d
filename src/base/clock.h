#pragma once

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>

namespace hemlockward::base {

/// A duration or a point on one process's monotonic clock, in milliseconds.
///
/// Points of different processes must never be compared; see WallMillis for
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

/// Milliseconds since the Unix epoch on a clock that may be off by the
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

/// What code that needs the time takes through its constructor or as an
/// argument. Decisions take a `Millis now` instead and read no clock.
template <class T>
concept ClockSource = requires(const T& clock) {
  { clock.Now() } -> std::same_as<Millis>;
  { clock.Wall() } -> std::same_as<WallMillis>;
};

/// The clocks of the operating system.
class SystemClock {
 public:
  /// Monotonic and counting through suspension of the VM where the kernel
  /// offers that (CLOCK_BOOTTIME), so that leases lapse while paused.
  [[nodiscard]] Millis Now() const;
  [[nodiscard]] WallMillis Wall() const;
};

/// A clock that moves only when told to; for tests and benches.
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
