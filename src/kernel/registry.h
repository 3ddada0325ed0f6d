#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace hemlockward::kernel {

/// Maps names to plug-ins of one kind. Each plug-in is registered by a
/// `Registration` at namespace scope, so lookups are valid once main runs.
template <class Plugin>
class Registry {
 public:
  static Registry& Instance() {
    static Registry registry;
    return registry;
  }

  void Add(std::string name, Plugin plugin) {
    plugins_.insert_or_assign(std::move(name), std::move(plugin));
  }

  /// Null if no plug-in has that name.
  [[nodiscard]] const Plugin* Find(std::string_view name) const {
    const auto it = plugins_.find(name);
    return it == plugins_.end() ? nullptr : &it->second;
  }

  [[nodiscard]] const std::map<std::string, Plugin, std::less<>>& All() const {
    return plugins_;
  }

 private:
  std::map<std::string, Plugin, std::less<>> plugins_;
};

/// Registers a plug-in during static initialisation.
template <class Plugin>
struct Registration {
  Registration(std::string name, Plugin plugin) {
    Registry<Plugin>::Instance().Add(std::move(name), std::move(plugin));
  }
};

}  // namespace hemlockward::kernel
