#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/fleet_builder.h"
#include "control/budget.h"
#include "control/planner.h"
#include "control/reserve.h"
#include "control/wave.h"

/// A small loop that steps the pure fleet decisions with a test clock.
namespace hemlockward::bench {

enum class Policy : std::uint8_t {
  kOurs,
  kSerial,        ///< One VM at a time in the whole fleet.
  kFixedReserve,  ///< A fixed share of each pool is spare; as many go at once.
};

/// What goes wrong in a case. Times count from its start; 0 minutes: never.
struct Faults {
  int rack_lost_minute = 0;  ///< Back after two hours.
  int zone_lost_minute = 0;  ///< Back after an hour.
  int silent_minute = 0;     ///< The monitor says nothing for 10 minutes.
  int outage_minute = 0;     ///< The table is down for 10 minutes.
  int doomed_every = 0;      ///< Every n-th VM never returns from its reboot.
};

struct FleetCase {
  std::string name;
  std::vector<PoolPlan> pools;
  std::string spare_pool;
  int zones = 3;
  Faults faults;
  base::Millis step = base::Seconds(30);
  base::Millis length = base::Hours(12);
  double fixed_share = 0.2;
  bool until_finished = false;  ///< Ends with the wave; for large fleets.
};

struct FleetResult {
  double buffer_vm_hours = 0;
  double hours = 0;
  int rollout_minutes = -1;  ///< -1: not finished in the case's length.
  int preview_minutes = 0;   ///< What PreviewWave said at the start.
  int moves = 0;
  double minutes_below_by_us = 0;
  double minutes_below = 0;  ///< All causes, summed over services.
  int done = 0;
  int total = 0;
  std::string end;  ///< How the wave ended.
  std::uint64_t signature = 0;
};

/// Deterministic: the same arguments always give the same result.
FleetResult RunFleetCase(const FleetCase& fleet_case, Policy policy);

}  // namespace hemlockward::bench
