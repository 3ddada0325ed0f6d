#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"
#include "base/types.h"

/// What the load tool sends and when, as a function of its settings and seed.
namespace hemlockward::bench {

/// Times of the load tool. Latencies on loopback are below a millisecond, so
/// that base::Millis is too coarse here.
using LoadClock = std::chrono::steady_clock;
using Micros = std::chrono::microseconds;

struct LoadSettings {
  std::vector<std::string> entries;   ///< `IP:port` of each entry.
  std::vector<std::string> services;  ///< Each asks in turn.
  std::vector<std::string> targets;   ///< One `IP:port` per target process.
  bool direct = false;  ///< `entries` are targets, called without an entry.
  double rate = 100;    ///< Mean requests a second, all services.
  base::Millis duration = base::Seconds(10);
  base::Millis burst{0};  ///< Length of a burst; 0: a steady rate.
  base::Millis timeout = base::Seconds(10);   ///< Deadline given to the entry.
  base::Millis patience = base::Seconds(20);  ///< Until an answer is lost.
  double repeatable_share = 0.5;
  double urgent_share = 0.2;
  double batch_share = 0.2;
  std::string keys = "uuid7";  ///< `uuid7` or `minted`.
  std::int64_t body_bytes = 200;
  std::int64_t max_in_progress = 20'000;
  std::int64_t not_run_retries = 0;  ///< How often a not-run is sent anew.
  std::int64_t seed = 1;

  void Bind(base::SettingsReader& reader);
};

/// One request as the caller means it.
struct LoadRequest {
  std::string service;
  base::RequestClass request_class = base::RequestClass::kNormal;
  bool repeatable = true;
  std::string key;  ///< Empty when repeatable.
  std::string body;
  LoadClock::time_point intended;  ///< When it should have been sent.
};

/// Factor of the mean rate at `elapsed`: 5 within the service's burst, a
/// twentieth of that otherwise; 1 when there are no bursts. The bursts of
/// service number `index` of `count` come in turn.
double BurstFactor(base::Millis burst, base::Millis elapsed, int index,
                   int count);

/// The arrivals of one service: a Poisson process whose rate follows the
/// bursts.
class Arrivals {
 public:
  Arrivals(const LoadSettings& settings, int service);
  /// Time of the next request since the start; nothing after the end.
  std::optional<Micros> Next();
  /// The request that belongs to an arrival, without a key.
  LoadRequest Make();

 private:
  const LoadSettings& settings_;
  int service_;
  base::Random random_;
  double elapsed_ms_ = 0;
  std::uint64_t number_ = 0;
};

/// A UUID version 7 (RFC 9562).
std::string MakeUuid7(base::WallMillis now, base::Random& random);

}  // namespace hemlockward::bench
