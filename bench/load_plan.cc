#include "bench/load_plan.h"

#include <algorithm>
#include <cstdio>

namespace hemlockward::bench {

using base::Millis;

namespace {

constexpr double kBurstFactor = 5;
constexpr double kLowFactor = kBurstFactor / 20;
// Share of the time in a burst for which the mean rate comes out as set.
constexpr double kBurstShare = (1 - kLowFactor) / (kBurstFactor - kLowFactor);

}  // namespace

void LoadSettings::Bind(base::SettingsReader& reader) {
  using Need = base::SettingsReader::Need;
  constexpr std::int64_t kMost = 1'000'000;
  const Millis longest = base::Hours(1);
  reader.TextList("entries", &entries, "IP:port of each entry",
                  Need::kRequired);
  reader.TextList("services", &services, "services to call", Need::kRequired);
  reader.TextList("targets", &targets, "one IP:port per target process");
  reader.Flag("direct", &direct, "call targets, given as entries, directly");
  reader.Real("rate", &rate, "mean requests a second", 0.1, kMost);
  reader.Duration("duration", &duration, "time of sending", {1}, longest);
  reader.Duration("burst", &burst, "length of bursts of 5 times the mean", {0},
                  longest);
  reader.Duration("timeout", &timeout, "deadline of a request", {1}, longest);
  reader.Duration("patience", &patience, "time until an answer counts as lost",
                  {1}, longest);
  reader.Real("repeatable_share", &repeatable_share, "share sent as repeatable",
              0, 1);
  reader.Real("urgent_share", &urgent_share, "share of class urgent", 0, 1);
  reader.Real("batch_share", &batch_share, "share of class batch", 0, 1);
  reader.Text("keys", &keys, "uuid7 or minted");
  reader.Integer("body_bytes", &body_bytes, "bytes of a body", 0, kMost);
  reader.Integer("max_in_progress", &max_in_progress, "requests at once", 1,
                 kMost);
  reader.Integer("not_run_retries", &not_run_retries,
                 "how often a request that was not run is sent anew", 0, kMost);
  reader.Integer("seed", &seed, "seed of everything random", 0, kMost);
}

double BurstFactor(Millis burst, Millis elapsed, int index, int count) {
  if (burst.count <= 0) return 1;
  const auto period =
      static_cast<std::int64_t>(static_cast<double>(burst.count) / kBurstShare);
  const std::int64_t offset = period * index / count;
  const std::int64_t phase = (elapsed.count + period - offset) % period;
  return phase < burst.count ? kBurstFactor : kLowFactor;
}

Arrivals::Arrivals(const LoadSettings& settings, int service)
    : settings_(settings),
      service_(service),
      random_(static_cast<std::uint64_t>(settings.seed * 1000 + service)) {}

// Draws at the peak rate and keeps the share that the present rate is of it.
std::optional<Micros> Arrivals::Next() {
  const int count = static_cast<int>(settings_.services.size());
  const double peak_factor = settings_.burst.count > 0 ? kBurstFactor : 1;
  const double peak_per_ms = settings_.rate / count / 1000 * peak_factor;
  std::exponential_distribution<> gap(peak_per_ms);
  std::uniform_real_distribution<> draw(0, peak_factor);
  for (;;) {
    elapsed_ms_ += gap(random_);
    const Millis at{static_cast<std::int64_t>(elapsed_ms_)};
    if (at >= settings_.duration) return std::nullopt;
    const double factor = BurstFactor(settings_.burst, at, service_, count);
    if (draw(random_) < factor) {
      constexpr double kMicrosPerMilli = 1000;
      return Micros(static_cast<std::int64_t>(elapsed_ms_ * kMicrosPerMilli));
    }
  }
}

LoadRequest Arrivals::Make() {
  std::uniform_real_distribution<> draw(0, 1);
  LoadRequest request;
  request.service = settings_.services[static_cast<std::size_t>(service_)];
  const double of_class = draw(random_);
  if (of_class < settings_.urgent_share) {
    request.request_class = base::RequestClass::kUrgent;
  } else if (of_class < settings_.urgent_share + settings_.batch_share) {
    request.request_class = base::RequestClass::kBatch;
  }
  request.repeatable = draw(random_) < settings_.repeatable_share;
  request.body = request.service + " " + std::to_string(++number_) + " " +
                 base::RandomHex(random_) + " ";
  const auto bytes = static_cast<std::size_t>(settings_.body_bytes);
  request.body.resize(std::max(request.body.size(), bytes), '.');
  return request;
}

std::string MakeUuid7(base::WallMillis now, base::Random& random) {
  constexpr std::uint64_t kVariant = 0x8000'0000'0000'0000;
  const auto ms = static_cast<std::uint64_t>(now.count);
  const std::uint64_t high = (ms << 16) | 0x7000 | (random() & 0xfff);
  const std::uint64_t low = kVariant | (random() >> 2);
  char buf[37];
  std::snprintf(buf, sizeof buf, "%08llx-%04llx-%04llx-%04llx-%012llx",
                static_cast<unsigned long long>(high >> 32),
                static_cast<unsigned long long>((high >> 16) & 0xffff),
                static_cast<unsigned long long>(high & 0xffff),
                static_cast<unsigned long long>(low >> 48),
                static_cast<unsigned long long>(low & 0xffff'ffff'ffff));
  return buf;
}

}  // namespace hemlockward::bench
