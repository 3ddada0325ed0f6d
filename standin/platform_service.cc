#include "standin/platform_service.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

#include "base/log.h"
#include "platform/wire.h"

namespace hemlockward::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Millis;
using base::VmId;
using kernel::HttpRequest;
using kernel::HttpResponse;
using platform::ListedState;

namespace {

HttpResponse BadBody(const platform::WireError& error) {
  return kernel::ProblemResponse(400, "body not read", error.what);
}

std::optional<ListedState> ParseState(std::string_view text) {
  if (text == "live") return ListedState::kLive;
  if (text == "leaving") return ListedState::kLeaving;
  if (text == "gone") return ListedState::kGone;
  return std::nullopt;
}

}  // namespace

void PlatformSettings::Bind(base::SettingsReader& reader) {
  using Need = base::SettingsReader::Need;
  reader.Text("listen", &listen, "IP:port to serve", Need::kRequired);
  reader.TextList("vms", &vms, "list of: VM ZONE RACK IP:PORT");
  reader.Duration("list_lag", &list_lag, "lag of the VM list", {0},
                  base::Minutes(10));
  reader.Duration("reboot_time", &reboot_time, "time a reboot takes", {0},
                  base::Minutes(10));
  reader.Integer("seed", &seed, "seed of the faults' draws", 0, 1 << 30);
}

PlatformService::PlatformService(kernel::WorkerPool& pool,
                                 PlatformSettings settings,
                                 std::vector<platform::ListedVm> vms)
    : pool_(pool),
      settings_(std::move(settings)),
      http_(pool),
      vms_(std::move(vms), clock_.Now()),
      faults_(
          static_cast<std::uint64_t>(settings_.seed),
          [this](HttpRequest request) { return Route(std::move(request)); }) {}

asio::awaitable<HttpResponse> PlatformService::Handle(HttpRequest request) {
  return faults_.Handle(std::move(request));
}

asio::awaitable<HttpResponse> PlatformService::Route(HttpRequest request) {
  const auto parts = kernel::SplitPath(request.Path());
  if (parts.size() == 2 && parts[0] == "table") {
    co_return OnTable(parts[1], request.body);
  }
  if (parts.size() >= 2 && parts[0] == "objects") co_return OnObject(request);
  if (!parts.empty() && parts[0] == "vms") co_return OnVms(parts, request);
  if (parts.size() == 1 && parts[0] == "stats") co_return Stats();
  if (parts.size() == 1 && parts[0] == "healthz") {
    co_return kernel::JsonResponse(200, "{}");
  }
  co_return kernel::ProblemResponse(404, "unknown path", request.target);
}

HttpResponse PlatformService::OnTable(std::string_view call,
                                      const std::string& body) {
  if (call == "transact") return Transact(body);
  ++reads_;
  if (call == "read") {
    const auto keys = platform::DecodeKeys(body);
    if (!keys) return BadBody(keys.error());
    const platform::ScanPage page{table_.Read(*keys), false};
    return kernel::JsonResponse(200, platform::Encode(page));
  }
  if (call == "scan") {
    const auto scan = platform::DecodeScanRequest(body);
    if (!scan) return BadBody(scan.error());
    return kernel::JsonResponse(200, platform::Encode(table_.Scan(*scan)));
  }
  return kernel::ProblemResponse(404, "unknown call", call);
}

HttpResponse PlatformService::Transact(const std::string& body) {
  ++writes_;
  const auto transaction = platform::DecodeTransaction(body);
  if (!transaction) return BadBody(transaction.error());
  const auto reply = table_.Transact(*transaction);
  const int status = reply.committed ? 200 : 409;
  return kernel::JsonResponse(status, platform::Encode(reply));
}

HttpResponse PlatformService::OnObject(const HttpRequest& request) {
  const std::string key(request.Path());
  const std::lock_guard lock(objects_mutex_);
  const auto it = objects_.find(key);
  if (request.method == "PUT") {
    const bool only_new = request.Header("If-None-Match") == "*";
    if (only_new && it != objects_.end()) {
      return kernel::ProblemResponse(412, "the object exists", key);
    }
    objects_[key] = request.body;
    return kernel::JsonResponse(201, "{}");
  }
  if (it == objects_.end()) {
    return kernel::ProblemResponse(404, "no such object", key);
  }
  if (request.method == "DELETE") {
    objects_.erase(it);
    return kernel::JsonResponse(200, "{}");
  }
  HttpResponse response;
  response.body = it->second;
  return response;
}

HttpResponse PlatformService::OnVms(const std::vector<std::string_view>& parts,
                                    const HttpRequest& request) {
  if (parts.size() == 1 && request.method == "GET") {
    const Millis lag = settings_.list_lag + faults_.Current().list_lag;
    const auto list = vms_.List(clock_.Now() - lag);
    return kernel::JsonResponse(200, platform::Encode(list));
  }
  if (parts.size() == 1) return PutVms(request.body);
  if (parts.size() != 3 || request.method != "POST") {
    return kernel::ProblemResponse(404, "unknown path", request.target);
  }
  const VmId vm{std::string(parts[1])};
  if (vms_.Address(vm).empty()) {
    return kernel::ProblemResponse(404, "unknown VM", vm.value);
  }
  const auto state = ParseState(parts[2]);
  if (state) {
    vms_.SetState(vm, *state, clock_.Now());
    return kernel::JsonResponse(200, "{}");
  }
  return Act(vm, std::string(parts[2]), request.body);
}

// For tests: `POST /vms` adds VMs, `POST /vms/{vm}/gone` ends one.
HttpResponse PlatformService::PutVms(const std::string& body) {
  const auto list = platform::DecodeVms(body);
  if (!list) return BadBody(list.error());
  for (const auto& it : *list) vms_.Put(it, clock_.Now());
  return kernel::JsonResponse(200, "{}");
}

HttpResponse PlatformService::Act(const VmId& vm, const std::string& act,
                                  const std::string& body) {
  if (act != "drain" && act != "reboot" && act != "checkpoint") {
    return kernel::ProblemResponse(404, "unknown act", act);
  }
  const auto nonce = platform::DecodeNonce(body);
  if (!nonce) return BadBody(nonce.error());
  const bool first = vms_.BeginAct(vm, act, *nonce);
  base::LogLine(base::LogLevel::kInfo, "act")
      .With("vm", vm.value)
      .With("act", act)
      .With("first", first);
  if (first && act == "drain") {
    vms_.SetState(vm, ListedState::kLeaving, clock_.Now());
  }
  if (first && act == "reboot") pool_.Spawn("reboot", Reboot(vm));
  return kernel::JsonResponse(202, "{}");
}

// Tells the VM's target to be away for the reboot time.
asio::awaitable<void> PlatformService::Reboot(VmId vm) {
  vms_.SetState(vm, ListedState::kLeaving, clock_.Now());
  json::object body;
  body["down_ms"] = settings_.reboot_time.count;
  HttpRequest request;
  request.method = "POST";
  request.target = "/reboot";
  request.body = json::serialize(body);
  const Millis timeout = base::Seconds(5);
  const std::string address = vms_.Address(vm);
  co_await http_.Call(address, std::move(request), timeout);
  co_await kernel::Sleep(settings_.reboot_time);
  vms_.SetState(vm, ListedState::kLive, clock_.Now());
}

HttpResponse PlatformService::Stats() {
  json::object acts;
  for (const auto& [vm, counts] : vms_.Acts()) {
    json::object of_vm;
    for (const auto& [act, n] : counts) of_vm[act] = n;
    acts[vm] = std::move(of_vm);
  }
  json::object object;
  object["reads"] = reads_.load();
  object["writes"] = writes_.load();
  object["acts"] = std::move(acts);
  return kernel::JsonResponse(200, json::serialize(object));
}

}  // namespace hemlockward::standin
