#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/fleet.h"
#include "control/budget.h"
#include "control/reserve.h"
#include "control/wave.h"

namespace hemlockward::control {

/// How many VMs of one pool may be taken out of service now, and what limits
/// this number. The pool's floor must hold even if its worst rack fails while
/// these VMs are out of service.
class PoolHeadroom {
 public:
  PoolHeadroom(const PoolHealth& pool, const Demand& demand,
               const Accounts& accounts, const WaveSettings& settings,
               base::WallMillis now);

  /// Index of the VM's rack in `up_by_rack_`.
  [[nodiscard]] int RackIndexOf(const base::VmRow& row) const {
    return racks_.at(row.rack.value);
  }
  [[nodiscard]] int UpInRack(int rack) const { return up_by_rack_[rack]; }
  /// True when one more VM of this rack and zone may be taken out.
  bool CanTakeOut(const base::VmRow& row);
  void TakeOut(const base::VmRow& row);
  [[nodiscard]] const std::string& limit() const { return limit_; }

 private:
  void CountLocations(const PoolHealth& pool);
  bool IsWithinMaintenanceHours(const PoolHealth& pool,
                                const WaveSettings& settings,
                                base::WallMillis now);
  void SetRacksToSurvive(const PoolHealth& pool, const Accounts& accounts,
                         const WaveSettings& settings, base::WallMillis now);
  [[nodiscard]] int WorstRackWithout(int rack) const;
  [[nodiscard]] int WorstZoneWithout(std::string_view zone) const;
  bool KeepsFloor(const base::VmRow& row, int up_after);

  int up_;
  int floor_;
  int demand_;
  int racks_to_survive_ = 1;
  int spread_racks_;
  int spread_zones_;
  bool within_maintenance_hours_;
  /// The floor must hold after the loss of a zone: the pool is large enough for
  /// that with one VM taken out.
  bool must_survive_zone_ = false;
  std::string limit_;
  std::unordered_map<std::string_view, int> racks_;
  std::unordered_map<std::string_view, int> up_by_zone_;
  std::vector<int> up_by_rack_;
  std::vector<int> rack_count_by_up_;  // How many racks have n VMs up.
};

}  // namespace hemlockward::control
