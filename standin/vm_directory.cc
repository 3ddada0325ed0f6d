#include "standin/vm_directory.h"

namespace hemlockward::standin {

using base::Millis;
using base::VmId;
using platform::ListedState;
using platform::ListedVm;

VmDirectory::VmDirectory(std::vector<ListedVm> vms, Millis now) {
  for (ListedVm& it : vms) Put(std::move(it), now);
}

std::vector<ListedVm> VmDirectory::List(Millis as_of) const {
  const std::lock_guard lock(mutex_);
  std::vector<ListedVm> list;
  for (const auto& [id, entry] : entries_) {
    ListedVm vm = entry.vm;
    vm.state = entry.states.front().second;
    for (const auto& [since, state] : entry.states) {
      if (since <= as_of) vm.state = state;
    }
    list.push_back(std::move(vm));
  }
  return list;
}

void VmDirectory::Put(ListedVm vm, Millis now) {
  const std::lock_guard lock(mutex_);
  const VmId id = vm.vm;
  Entry& entry = entries_[id];
  entry.states.emplace_back(now, vm.state);
  entry.vm = std::move(vm);
}

bool VmDirectory::SetState(const VmId& vm, ListedState state, Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(vm);
  if (it == entries_.end()) return false;
  it->second.states.emplace_back(now, state);
  return true;
}

std::string VmDirectory::Address(const VmId& vm) const {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(vm);
  return it == entries_.end() ? std::string() : it->second.vm.address;
}

bool VmDirectory::BeginAct(const VmId& vm, const std::string& act,
                           const std::string& nonce) {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(vm);
  if (it == entries_.end()) return false;
  if (!nonces_.insert(vm.value + " " + act + " " + nonce).second) return false;
  ++it->second.acts[act];
  return true;
}

std::map<std::string, std::map<std::string, int>> VmDirectory::Acts() const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::map<std::string, int>> acts;
  for (const auto& [id, entry] : entries_) {
    if (!entry.acts.empty()) acts[id.value] = entry.acts;
  }
  return acts;
}

}  // namespace hemlockward::standin
