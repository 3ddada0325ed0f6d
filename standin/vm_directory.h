#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "platform/platform.h"

namespace hemlockward::standin {

/// The platform's VMs, their listed states over time, and which acts were
/// asked for. Thread-safe.
class VmDirectory {
 public:
  VmDirectory(std::vector<platform::ListedVm> vms, base::Millis now);

  /// The list as it was at `as_of`.
  [[nodiscard]] std::vector<platform::ListedVm> List(base::Millis as_of) const;
  /// Adds a VM, or replaces what is known of it.
  void Put(platform::ListedVm vm, base::Millis now);
  /// Returns false when the VM isn't known.
  bool SetState(const base::VmId& vm, platform::ListedState state,
                base::Millis now);
  /// Empty when the VM isn't known.
  [[nodiscard]] std::string Address(const base::VmId& vm) const;
  /// Notes an act. Returns false when this nonce has acted before.
  bool BeginAct(const base::VmId& vm, const std::string& act,
                const std::string& nonce);
  /// How often each act was carried out, by VM.
  [[nodiscard]] std::map<std::string, std::map<std::string, int>> Acts() const;

 private:
  struct Entry {
    platform::ListedVm vm;
    std::vector<std::pair<base::Millis, platform::ListedState>> states;
    std::map<std::string, int> acts;
  };

  mutable std::mutex mutex_;  // Guards the members below.
  std::map<base::VmId, Entry> entries_;
  std::set<std::string> nonces_;
};

}  // namespace hemlockward::standin
