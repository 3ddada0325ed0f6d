#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/settings.h"
#include "kernel/http.h"
#include "kernel/worker_pool.h"
#include "standin/faults.h"
#include "standin/memory_table.h"
#include "standin/vm_directory.h"

namespace hemlockward::standin {

struct PlatformSettings {
  std::string listen;            ///< `IP:port` to serve.
  std::vector<std::string> vms;  ///< Lines of fleet_list.h.
  base::Millis list_lag = base::Seconds(1);
  base::Millis reboot_time = base::Seconds(2);
  std::int64_t seed = 1;  ///< Of the faults' draws.

  void Bind(base::SettingsReader& reader);
};

/// The platform in memory: table, object store, VM list and acts on VMs, as
/// platform/platform.h describes them. For tests also `POST /vms` (adds VMs),
/// `POST /vms/{vm}/{live|leaving|gone}` and `GET /stats`. Thread-safe.
class PlatformService {
 public:
  PlatformService(kernel::WorkerPool& pool, PlatformSettings settings,
                  std::vector<platform::ListedVm> vms);
  boost::asio::awaitable<kernel::HttpResponse> Handle(
      kernel::HttpRequest request);

 private:
  using HttpRequest = kernel::HttpRequest;
  using HttpResponse = kernel::HttpResponse;

  boost::asio::awaitable<HttpResponse> Route(HttpRequest request);
  HttpResponse OnTable(std::string_view call, const std::string& body);
  HttpResponse Transact(const std::string& body);
  HttpResponse OnObject(const HttpRequest& request);
  HttpResponse OnVms(const std::vector<std::string_view>& parts,
                     const HttpRequest& request);
  HttpResponse PutVms(const std::string& body);
  HttpResponse Act(const base::VmId& vm, const std::string& act,
                   const std::string& body);
  boost::asio::awaitable<void> Reboot(base::VmId vm);
  HttpResponse Stats();

  kernel::WorkerPool& pool_;
  PlatformSettings settings_;
  base::SystemClock clock_;
  kernel::HttpClient http_;
  MemoryTable table_;
  VmDirectory vms_;
  std::atomic<std::uint64_t> reads_{0};
  std::atomic<std::uint64_t> writes_{0};
  std::mutex objects_mutex_;  // Guards objects_.
  std::map<std::string, std::string> objects_;
  FaultInjector faults_;
};

}  // namespace hemlockward::standin
