#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "kernel/http.h"
#include "platform/platform.h"

/// HTTP clients of the platform's object store and VM service and of the
/// monitoring group. Each call is one attempt within the timeout. It fails with
/// kUnavailable when it had no effect, and with kUnknown when it may have had
/// one. A client must outlive the coroutines that its functions return.
namespace hemlockward::platform {

struct ServiceSettings {
  std::string address;  ///< `IP:port`.
  base::Millis timeout = base::Seconds(2);
};

class ObjectClient {
 public:
  ObjectClient(kernel::HttpClient& http, ServiceSettings settings);
  /// Stores `bytes` unless the key exists. Returns false when the key has other
  /// bytes. An existing object with the same bytes counts as success, which
  /// makes the call idempotent.
  Result<bool> PutIfAbsent(std::string key, std::string bytes);
  /// Fails with kConflict when the key doesn't exist.
  Result<std::string> Get(std::string key);

 private:
  kernel::HttpClient& http_;
  ServiceSettings settings_;
};

class VmClient {
 public:
  VmClient(kernel::HttpClient& http, ServiceSettings settings);
  Result<std::vector<ListedVm>> List();
  /// Drain, Reboot and Checkpoint take effect once per nonce, so a call may be
  /// repeated with its nonce. They return false when the platform doesn't know
  /// the VM.
  Result<bool> Drain(base::VmId vm, std::string nonce);
  Result<bool> Reboot(base::VmId vm, std::string nonce);
  Result<bool> Checkpoint(base::VmId vm, std::string nonce);

 private:
  Result<bool> SendAction(base::VmId vm, std::string_view action,
                          std::string nonce);

  kernel::HttpClient& http_;
  ServiceSettings settings_;
};

class MonitorClient {
 public:
  MonitorClient(kernel::HttpClient& http, ServiceSettings settings);
  Result<std::vector<Verdict>> Verdicts();

 private:
  kernel::HttpClient& http_;
  ServiceSettings settings_;
};

static_assert(ObjectStore<ObjectClient>);
static_assert(VmService<VmClient>);
static_assert(Monitor<MonitorClient>);

}  // namespace hemlockward::platform
