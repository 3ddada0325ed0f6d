#include <gtest/gtest.h>

#include "control/wave.h"

namespace hemlockward::control {
namespace {

// A wave finishes a pool without documents, however small the pool is.
TEST(SpareWave, TakesOneVmOfASmallSparePoolAtATime) {
  const base::WallMillis now{1'700'000'000'000};
  for (const int size : {1, 2, 3, 5}) {
    base::FleetView view;
    Verdicts verdicts;
    for (int i = 0; i < size; ++i) {
      base::VmRow row;
      row.vm = base::VmId("s" + std::to_string(i));
      row.pool = base::PoolId("spare");
      row.zone = base::ZoneId("z" + std::to_string(i));
      row.rack = base::RackId("r" + std::to_string(i));
      view.vms.emplace(row.vm, row);
      RecordVerdict(verdicts, row.vm, true, now);
    }
    base::WaveRow wave;
    wave.wave = base::WaveId("w");
    wave.started = base::WallMillis{now.count - 1000};
    view.waves.emplace(wave.wave, wave);
    const auto steps = NextWaveSteps(view, verdicts, {}, {}, {}, now);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].take_out.size(), 1U) << size << ": " << steps[0].reason;
  }
}

}  // namespace
}  // namespace hemlockward::control
