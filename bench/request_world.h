#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/random.h"
#include "entry/queue.h"
#include "entry/router.h"
#include "entry/slots.h"

/// A small world of entries and workers in virtual time.
namespace hemlockward::bench {

/// How entries share the slots of workers.
enum class Sharing : std::uint8_t {
  kUncoordinated,  ///< Each entry sees its own requests only.
  kHomeEntry,      ///< One entry has all slots of a worker; others forward.
  kTokens,         ///< entry::SlotLedger with loans between entries.
};

struct WorldCase {
  Sharing sharing = Sharing::kTokens;
  std::size_t entries = 3;
  std::size_t zones = 3;
  std::uint64_t seed = 1;
};

/// What one case measured.
struct WorldResult {
  std::uint64_t done = 0;
  std::uint64_t expired = 0;    ///< Past their deadline or queue full.
  std::uint64_t overshoot = 0;  ///< Requests that met a worker with no slot.
  std::uint64_t messages = 0;   ///< Between entries, heartbeats not counted.
  std::uint64_t bytes = 0;
  double seconds = 0;
  double utilisation = 0;  ///< Of the bursting pool's slots while it bursts.
  std::vector<double> waits_ms;
  std::vector<double> urgent_waits_ms;
  std::uint64_t signature = 0;
};

/// Runs a case to its end.
WorldResult RunWorld(const WorldCase& world_case);

}  // namespace hemlockward::bench
