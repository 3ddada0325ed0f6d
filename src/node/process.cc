#include "node/process.h"

#include <algorithm>
#include <charconv>

#include "base/log.h"
#include "peer/gen/peer_types.h"

namespace hemlockward::node {

using base::LogLevel;
using base::LogLine;
using kernel::HttpRequest;
using kernel::HttpResponse;

namespace {

/// Deadline of client requests that don't specify one.
constexpr Millis kDefaultDeadline = base::Seconds(3);
/// A VM has at least 4,100 file descriptors; the rest is for outgoing calls.
constexpr int kMaxConnections = 2500;
constexpr std::int64_t kMaxBodyBytes = 512 * 1024;
/// New connections may arrive until two readiness probes have failed; there is
/// one probe a second.
constexpr Millis kDrainPeriod{2500};
constexpr Millis kStopMargin{700};
/// Statuses from here on tell the client to retry, or that the outcome of its
/// request is unknown.
constexpr int kFirstRefusedStatus = 429;
constexpr int kUnknownQueueStatus = 404;

kernel::HttpLimits FrontLimits() {
  kernel::HttpLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  limits.max_connections = kMaxConnections;
  return limits;
}

/// Few connections should stay open at a worker when this VM loses power
/// (`jobs::MaxConnections`). Workers close their ends within milliseconds, and
/// a path that is interrupted usually recovers within seconds.
constexpr Millis kWorkerCloseTimeout = base::Seconds(1);
constexpr Millis kWorkerIdleTime = base::Seconds(2);
constexpr std::size_t kIdlePerWorker = 8;
/// Idle connections to the store, the VM and the advice services.
constexpr std::size_t kIdleServiceConnections = 64;

// Connections of clients go first; half of the other descriptors is for calls
// in progress.
kernel::HttpClientLimits WorkerClientLimits(const NodeSettings& settings) {
  kernel::HttpClientLimits limits;
  limits.idle_time = kWorkerIdleTime;
  limits.idle_per_address = kIdlePerWorker;
  limits.close_timeout = kWorkerCloseTimeout;
  limits.idle =
      static_cast<std::size_t>(settings.max_descriptors - kMaxConnections) / 2 -
      kIdleServiceConnections;
  return limits;
}

jobs::SchedulerSettings ToSchedulerSettings(const NodeSettings& settings) {
  // The leader's jobs, beside what each node needs and the calls in progress.
  constexpr std::int64_t kMegabyte = 1'000'000;
  constexpr std::int64_t kMemoryShare = 4;
  jobs::SchedulerSettings scheduler;
  scheduler.lease = settings.worker_lease;
  scheduler.longest_lease = settings.longest_lease;
  scheduler.row_bytes = static_cast<std::size_t>(settings.limits.row_bytes);
  scheduler.max_held_bytes = static_cast<std::size_t>(
      settings.limits.memory_mb * kMegabyte / kMemoryShare);
  return scheduler;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

NodeProcess::NodeProcess(kernel::WorkerPool& pool, NodeSettings settings)
    : pool_(pool),
      settings_(std::move(settings)),
      random_(base::SystemSeed()),
      incarnation_(random_() | 1U),
      http_(pool, {.idle = kIdleServiceConnections}),
      worker_http_(pool, WorkerClientLimits(settings_)),
      platform_(http_, worker_http_,
                {settings_.store, settings_.machines, settings_.advice}),
      peer_client_(pool),
      operator_rows_signal_(pool.context()),
      config_signal_(pool.context()),
      peers_(settings_.peer),
      check_signal_(pool.context()),
      commit_signal_(pool.context()),
      committed_signal_(pool.context()),
      scheduler_(ToSchedulerSettings(settings_)),
      fleet_({settings_.move_s, settings_.upkeep_s,
              settings_.machine_orders_per_s, settings_.machine_turn}),
      plan_signal_(pool.context()) {
  readiness_ = std::make_unique<kernel::HttpServer>(
      pool_, settings_.readiness, kernel::HttpLimits{},
      [this](HttpRequest request) {
        return ServeReadiness(std::move(request));
      });
  peer_server_ = std::make_unique<peer::PeerServer>(
      pool_, settings_.peer,
      [this](const peer::gen::Message& message) { return ServePeer(message); });
  front_ = std::make_unique<kernel::HttpServer>(
      pool_, settings_.front, FrontLimits(),
      [this](HttpRequest request) { return ServeClient(std::move(request)); });
  started_ = clock_.Now();
  LogLine(LogLevel::kInfo, "start")
      .With("node", settings_.name)
      .With("incarnation", incarnation_)
      .With("front", settings_.front)
      .With("store", settings_.store);
  pool_.SpawnLoop("operator_feed", [this] { return FollowOperatorRows(); });
  pool_.SpawnLoop("operator_rows", [this] { return ConfirmOperatorRows(); });
  pool_.Spawn("lease", WatchLease());
}

NodeProcess::~NodeProcess() = default;

Awaitable<HttpResponse> NodeProcess::ServeReadiness(HttpRequest request) {
  if (request.Path() == "/metrics") {
    SetGauges();
    HttpResponse response;
    response.body = metrics_.ToPrometheus();
    response.With("Content-Type", "text/plain; version=0.0.4");
    co_return response;
  }
  const bool ready = config_.version > 0 && !stopping_;
  co_return kernel::JsonResponse(
      ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})");
}

void NodeProcess::SetGauges() {
  const auto set = [this](std::string_view name, auto value) {
    metrics_.Set(name, "", static_cast<double>(value));
  };
  set("hemlockward_leads", leads_ ? 1 : 0);
  set("hemlockward_term", term_);
  set("hemlockward_renewal_age_ms",
      leads_ ? (clock_.Now() - renewed_).count : 0);
  set("hemlockward_configuration_version", config_.version);
  set("hemlockward_operator_rows_age_ms",
      (clock_.Now() - operator_rows_as_of_).count);
  set("hemlockward_idle_connections",
      http_.idle_connections() + worker_http_.idle_connections());
  set("hemlockward_jobs", scheduler_.job_count());
  set("hemlockward_runs", scheduler_.run_count());
  set("hemlockward_workers", scheduler_.workers().size());
  if (!leads_) return;
  for (const auto& [name, pool] : fleet_.pool_states()) {
    const std::string label = "pool=\"" + name + "\"";
    metrics_.Set("hemlockward_pool_machines", label, pool.have);
    metrics_.Set("hemlockward_pool_machines_coming", label, pool.coming);
    metrics_.Set("hemlockward_pool_machines_needed", label, pool.need);
  }
}

Awaitable<HttpResponse> NodeProcess::ServeClient(HttpRequest request) {
  const Millis begin = clock_.Now();
  Call call;
  call.method = std::move(request.method);
  call.host = WithoutPort(request.Header("Host"));
  call.path = request.Path();
  call.deadline = begin + kDefaultDeadline;
  const std::string_view wait = request.Header("Hemlockward-Deadline-Ms");
  std::int64_t ms = 0;
  const auto [end, ec] =
      std::from_chars(wait.data(), wait.data() + wait.size(), ms);
  if (ec == std::errc() && ms > 0) call.deadline = begin + Millis{ms};
  call.body = std::move(request.body);
  const std::string method = call.method;
  const std::string path = call.path;
  Reply reply = co_await Route(std::move(call));
  metrics_.Count("hemlockward_requests_total",
                 "method=\"" + method + "\",status=\"" +
                     std::to_string(reply.status) + "\"");
  metrics_.Observe("hemlockward_request_ms", "method=\"" + method + "\"",
                   static_cast<double>((clock_.Now() - begin).count));
  if (reply.status == kUnknownQueueStatus ||
      reply.status >= kFirstRefusedStatus) {
    LogLine(LogLevel::kInfo, "request_refused")
        .With("path", path)
        .With("method", method)
        .With("status", reply.status)
        .With("reason", reply.body)
        .With("config", config_.version)
        .With("retry_after_s", reply.retry_after_s)
        .With("leads", leads_)
        .With("term", lease_.lease ? lease_.lease->term : 0)
        .With("after_ms", (clock_.Now() - begin).count);
  }
  HttpResponse response =
      kernel::JsonResponse(reply.status, std::move(reply.body));
  if (reply.retry_after_s > 0) {
    response.With("Retry-After", std::to_string(reply.retry_after_s));
  }
  co_return response;
}

Awaitable<peer::gen::Message> NodeProcess::ServePeer(
    peer::gen::Message message) {
  peer::gen::Message answer;
  if (message.__isset.leader_check) {
    const bool is_new = ApplyLeaderCheck(message.leader_check);
    answer.__set_leader_check(
        BuildLeaderCheck(message.leader_check.config_version, is_new));
    co_return answer;
  }
  if (!message.__isset.job_call) {
    co_return peer::ErrorMessage("unknown message");
  }
  peer::gen::JobReply out;
  if (!leads_) {
    out.__set_status(0);
  } else {
    Call call;
    call.method = std::move(message.job_call.method);
    call.host = std::move(message.job_call.host);
    call.path = std::move(message.job_call.path);
    call.body = std::move(message.job_call.body);
    call.deadline = clock_.Now() + Millis{message.job_call.remaining_ms};
    call.config_version =
        static_cast<std::uint64_t>(message.job_call.config_version);
    const Reply reply = co_await HandleAsLeader(std::move(call));
    out.__set_status(reply.status);
    out.__set_body(reply.body);
    out.__set_retry_after_s(reply.retry_after_s);
    out.__set_may_have_run(reply.may_have_run);
  }
  out.__set_config_version(static_cast<std::int64_t>(config_.version));
  answer.__set_job_reply(out);
  co_return answer;
}

void NodeProcess::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  stop_limit_ = clock_.Now() + settings_.grace - kStopMargin;
  LogLine(LogLevel::kInfo, "stop")
      .With("node", settings_.name)
      .With("leads", leads_)
      .With("requests", front_->requests_in_progress());
  front_->AnnounceStop();
  pool_.Spawn("stop", Stop());
}

void NodeProcess::Reload(NodeSettings settings) {
  LogLine(LogLevel::kInfo, "reload")
      .With("node", settings.name)
      .With("store", settings.store)
      .With("machines", settings.machines)
      .With("advice", settings.advice);
  settings.front = settings_.front;
  settings.readiness = settings_.readiness;
  settings.peer = settings_.peer;
  settings_ = std::move(settings);
  platform_.SetEndpoints(
      {settings_.store, settings_.machines, settings_.advice});
}

Awaitable<void> NodeProcess::Stop() {
  const Millis begin = clock_.Now();
  const Millis limit = stop_limit_;
  if (leads_) co_await HandOver("stopped", limit);
  while (clock_.Now() < limit) {
    const bool drained = clock_.Now() - begin >= kDrainPeriod;
    if (drained && front_->requests_in_progress() == 0) break;
    co_await kernel::Sleep({50});
  }
  front_->CloseIdle();
  co_await kernel::Sleep({100});
  LogLine(LogLevel::kInfo, "stopped")
      .With("node", settings_.name)
      .With("after_ms", (clock_.Now() - begin).count);
  pool_.Stop();
}

}  // namespace hemlockward::node
