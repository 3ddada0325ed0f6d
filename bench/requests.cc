#include "bench/requests.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <string_view>

#include "bench/request_world.h"

namespace hemlockward::bench {
namespace {

constexpr std::uint64_t kSeed = 20261204;

std::string_view ToText(Sharing value) {
  switch (value) {
    case Sharing::kUncoordinated:
      return "uncoordinated";
    case Sharing::kHomeEntry:
      return "home entry";
    case Sharing::kTokens:
      return "tokens";
  }
  return "unknown";
}

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

void PrintHeader(std::ostream& out) {
  out << "requests: 5 services x 10 workers x 8 slots, each bursting in turn "
         "for 10 s at 1.25 times its pool\n"
      << std::left << std::setw(9) << "org" << std::setw(8) << "entries"
      << std::setw(15) << "sharing" << std::right << std::setw(9) << "done"
      << std::setw(8) << "expired" << std::setw(10) << "overshoot"
      << std::setw(8) << "util%" << std::setw(9) << "p50 ms" << std::setw(9)
      << "p99 ms" << std::setw(12) << "urgent p50" << std::setw(12)
      << "urgent p99" << std::setw(9) << "msg/s" << std::setw(11) << "bytes/s"
      << '\n';
}

void PrintRow(std::ostream& out, std::string_view organisation,
              const WorldCase& world_case, WorldResult& result) {
  out << std::left << std::setw(9) << organisation << std::setw(8)
      << world_case.entries << std::setw(15) << ToText(world_case.sharing)
      << std::right << std::fixed << std::setprecision(1) << std::setw(9)
      << result.done << std::setw(8) << result.expired << std::setw(10)
      << result.overshoot << std::setw(8) << 100 * result.utilisation
      << std::setw(9) << Quantile(result.waits_ms, 0.5) << std::setw(9)
      << Quantile(result.waits_ms, 0.99) << std::setw(12)
      << Quantile(result.urgent_waits_ms, 0.5) << std::setw(12)
      << Quantile(result.urgent_waits_ms, 0.99) << std::setprecision(0)
      << std::setw(9) << static_cast<double>(result.messages) / result.seconds
      << std::setw(11) << static_cast<double>(result.bytes) / result.seconds
      << '\n';
}

}  // namespace

std::uint64_t RunRequestBench(std::ostream& out) {
  const struct {
    std::string_view name;
    std::size_t zones;
  } organisations[] = {{"pasitos", 4}, {"agency", 3}};
  PrintHeader(out);
  std::uint64_t signature = 0;
  for (const auto& organisation : organisations) {
    for (std::size_t entries = 3; entries <= 7; ++entries) {
      for (const Sharing sharing :
           {Sharing::kUncoordinated, Sharing::kHomeEntry, Sharing::kTokens}) {
        const WorldCase world_case{sharing, entries, organisation.zones, kSeed};
        WorldResult result = RunWorld(world_case);
        PrintRow(out, organisation.name, world_case, result);
        signature = signature * 31 + result.signature;
      }
    }
  }
  return signature;
}

}  // namespace hemlockward::bench
