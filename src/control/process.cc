#include "control/process.h"

#include <atomic>
#include <set>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "control/account_keeper.h"
#include "control/fleet_runner.h"
#include "control/membership_runner.h"
#include "control/routes.h"
#include "kernel/http.h"
#include "peer/gen/peer_types.h"
#include "peer/transport.h"
#include "peer/view_sync.h"
#include "platform/services.h"
#include "platform/table.h"

namespace hemlockward::control {

namespace asio = boost::asio;
namespace gen = peer::gen;
using base::Millis;
using Clock = base::SystemClock;
using Table = platform::TableClient;

namespace {

// Older demand reports of entries are ignored.
constexpr Millis kDemandLifetime = base::Seconds(5);
constexpr int kRenewalsPerLease = 6;
constexpr Millis kStopNotice{200};

// Positive as a Thrift i64, and never 0.
base::Incarnation NewIncarnation() { return (base::SystemSeed() >> 1) | 1; }

LeaseSettings MakeLeaseSettings(const ControlSettings& settings,
                                base::Incarnation incarnation) {
  LeaseSettings lease;
  lease.holder = settings.id + "." + std::to_string(incarnation);
  lease.name = settings.id;
  lease.http_address = settings.listen;
  lease.shards = static_cast<int>(settings.shards);
  lease.lease = settings.shard_lease;
  return lease;
}

MembershipSettings MakeMembershipSettings(const ControlSettings& settings) {
  MembershipSettings membership;
  membership.max_skew = settings.max_skew;
  membership.key_lifetime = settings.key_lifetime;
  membership.removal_silence = settings.removal_silence;
  return membership;
}

}  // namespace

struct ControlProcess::State {
  State(kernel::WorkerPool& pool, ControlSettings with, RunnerSettings runner);

  asio::awaitable<void> MaintainLeases();
  void ObserveBudgetsIfDue();
  asio::awaitable<void> RunRounds();
  asio::awaitable<void> PollMonitor();
  asio::awaitable<void> PollList();
  asio::awaitable<void> SendHeartbeats();
  asio::awaitable<void> SendHeartbeat(std::string address);
  asio::awaitable<void> PushRecords(std::string address, base::Revision held);
  asio::awaitable<void> MaintainAccounts();
  asio::awaitable<void> FinishStop();
  asio::awaitable<gen::Message> AnswerPeer(gen::Message call);
  std::set<std::string> EntryAddresses() const;
  bool IsIdle() const;
  gen::Message OwnHeartbeat() const;

  kernel::WorkerPool& pool;
  ControlSettings settings;
  RunnerSettings runner_settings;
  Clock clock;
  base::Incarnation incarnation = NewIncarnation();
  std::atomic<bool> stopping{false};
  base::Metrics metrics;
  kernel::HttpClient http;
  Table table;
  platform::VmClient vms;
  platform::MonitorClient monitor;
  peer::PeerClient peers;
  peer::ViewStore store;
  peer::ViewPoller<Table, Clock> poller;
  ChangeWriter<Table> writer;
  TableLeases leases;
  EntryContacts contacts;
  FleetState fleet;
  FleetRunner<Table, platform::VmClient, Clock> runner;
  MembershipRunner<Table, Clock> membership;
  AccountKeeper<Table, Clock> accounts;
  TableOperations operations;
  RouteContext context;
  std::optional<base::Millis> judged_at;
  std::unique_ptr<peer::PeerServer> peer_server;
  std::unique_ptr<kernel::HttpServer> http_server;
};

ControlProcess::State::State(kernel::WorkerPool& pool, ControlSettings with,
                             RunnerSettings with_runner)
    : pool(pool),
      settings(std::move(with)),
      runner_settings(std::move(with_runner)),
      http(pool),
      table(http, {settings.platform, settings.platform_timeout, 2}),
      vms(http, {settings.platform, settings.platform_timeout}),
      monitor(http, {settings.monitor, settings.platform_timeout}),
      peers(pool),
      poller(table, clock, store),
      writer(table, store, base::SystemSeed()),
      leases(table, clock, MakeLeaseSettings(settings, incarnation),
             base::SystemSeed()),
      contacts(settings.view_lease),
      runner(table, vms, clock, store, writer, leases, contacts, fleet,
             runner_settings),
      membership(table, clock, store, writer, leases, contacts, fleet,
                 MakeMembershipSettings(settings)),
      accounts(table, store, leases, fleet, runner_settings,
               settings.log_records, base::SystemSeed()),
      operations(clock, store, poller, writer),
      context{clock,      store, fleet,   runner_settings, leases,
              operations, http,  metrics, stopping} {}

asio::awaitable<void> ControlProcess::State::MaintainLeases() {
  const Millis interval{settings.shard_lease.count / kRenewalsPerLease};
  while (!stopping) {
    co_await leases.Tick();
    co_await kernel::Sleep(interval);
  }
}

// Judging scans the whole fleet, and verdicts change only when the monitor is
// polled.
void ControlProcess::State::ObserveBudgetsIfDue() {
  const base::Millis now = clock.Now();
  if (judged_at && now - *judged_at < settings.verdict_poll) return;
  judged_at = now;
  fleet.ObserveBudgets(*store.Snapshot(), runner_settings.planner.health,
                       clock.Wall());
}

// Polls the view before each round, so that the round starts from the newest
// revision. While the table is unreachable, no more VMs are taken out of
// service.
asio::awaitable<void> ControlProcess::State::RunRounds() {
  while (!stopping) {
    const auto polled = co_await poller.PollOnce();
    metrics.Set("hemlockward_table_reachable", {}, polled ? 1 : 0);
    if (polled) {
      fleet.OnDemand(*store.Snapshot(),
                     contacts.Demand(clock.Now(), kDemandLifetime),
                     clock.Wall());
      ObserveBudgetsIfDue();
      co_await membership.Tick();
      if (co_await runner.Tick()) continue;
    }
    co_await kernel::Sleep(IsIdle() ? settings.view_poll
                                    : settings.step_interval);
  }
}

asio::awaitable<void> ControlProcess::State::PollMonitor() {
  while (!stopping) {
    const auto verdicts = co_await monitor.Verdicts();
    if (verdicts) fleet.OnVerdicts(*verdicts, clock.Wall());
    co_await kernel::Sleep(settings.verdict_poll);
  }
}

asio::awaitable<void> ControlProcess::State::PollList() {
  while (!stopping) {
    auto listed = co_await vms.List();
    if (listed) fleet.OnVmList(std::move(*listed));
    co_await kernel::Sleep(settings.list_poll);
  }
}

// Peer addresses of members, registered entries and the pending one.
std::set<std::string> ControlProcess::State::EntryAddresses() const {
  std::set<std::string> addresses;
  const auto view = store.Snapshot();
  for (const base::EntryRow& it : view->membership.entries) {
    addresses.insert(it.peer_address);
  }
  for (const base::EntryRow& it : membership.Registered()) {
    addresses.insert(it.peer_address);
  }
  addresses.insert(view->membership.pending.peer_address);
  addresses.erase("");
  return addresses;
}

bool ControlProcess::State::IsIdle() const {
  return fleet.AwaitedRevisions().empty();
}

gen::Message ControlProcess::State::OwnHeartbeat() const {
  gen::Heartbeat heartbeat;
  heartbeat.__set_sender(settings.id);
  heartbeat.__set_incarnation(static_cast<std::int64_t>(incarnation));
  heartbeat.__set_revision(static_cast<std::int64_t>(store.revision()));
  heartbeat.__set_sent_ms(clock.Now().count);
  heartbeat.__set_is_entry(false);
  gen::Message message;
  message.__set_heartbeat(heartbeat);
  return message;
}

asio::awaitable<void> ControlProcess::State::SendHeartbeat(
    std::string address) {
  const gen::Message message = OwnHeartbeat();
  const auto answer =
      co_await peers.Call(address, message, settings.view_lease);
  if (!answer || !answer->__isset.heartbeat_reply) co_return;
  contacts.OnReply(answer->heartbeat_reply, clock.Now());
  const auto held =
      static_cast<base::Revision>(answer->heartbeat_reply.revision);
  if (held < store.revision()) co_await PushRecords(std::move(address), held);
}

// Sends an entry the records it lacks, without the table. The reply is ignored:
// the next heartbeat shows the revision that the entry has.
asio::awaitable<void> ControlProcess::State::PushRecords(std::string address,
                                                         base::Revision held) {
  gen::DeltaRequest request;
  request.__set_from_revision(static_cast<std::int64_t>(held));
  gen::DeltaReply records;
  peer::FillDeltaReply(store, request, records);
  if (records.records.empty()) co_return;  // The store no longer has them.
  records.__isset.records = true;
  gen::Message message;
  message.__set_delta_reply(records);
  co_await peers.Call(std::move(address), message, settings.view_lease);
}

asio::awaitable<void> ControlProcess::State::SendHeartbeats() {
  while (!stopping) {
    for (const std::string& it : EntryAddresses()) {
      pool.Spawn("heartbeat", SendHeartbeat(it));
    }
    const Millis sent = clock.Now();
    const Millis limit = sent + settings.idle_heartbeat;
    do {
      co_await kernel::Sleep(settings.heartbeat);
    } while (IsIdle() && store.revision() > 0 && clock.Now() < limit);
  }
}

asio::awaitable<void> ControlProcess::State::MaintainAccounts() {
  while (!stopping) {
    co_await accounts.Tick();
    co_await kernel::Sleep(settings.account_write_interval);
  }
}

// Serves records to entries that can't get them from the table.
asio::awaitable<gen::Message> ControlProcess::State::AnswerPeer(
    gen::Message call) {
  gen::Message answer;
  if (call.__isset.delta_request) {
    gen::DeltaReply reply;
    peer::FillDeltaReply(store, call.delta_request, reply);
    answer.__set_delta_reply(reply);
    co_return answer;
  }
  if (!call.__isset.heartbeat) co_return peer::ErrorMessage("unknown message");
  gen::HeartbeatReply reply;
  reply.__set_sender(settings.id);
  reply.__set_incarnation(static_cast<std::int64_t>(incarnation));
  reply.__set_revision(static_cast<std::int64_t>(store.revision()));
  reply.__set_table_age_ms(-1);
  reply.__set_echo_sent_ms(call.heartbeat.sent_ms);
  answer.__set_heartbeat_reply(reply);
  co_return answer;
}

asio::awaitable<void> ControlProcess::State::FinishStop() {
  co_await accounts.Tick();
  co_await leases.ReleaseAll();
  co_await kernel::Sleep(kStopNotice);
  http_server->CloseIdle();
  pool.Stop();
}

ControlProcess::ControlProcess(kernel::WorkerPool& pool,
                               ControlSettings settings, RunnerSettings runner)
    : state_(std::make_unique<State>(pool, std::move(settings),
                                     std::move(runner))) {
  State& state = *state_;
  kernel::HttpLimits limits;
  limits.max_body_bytes =
      static_cast<std::uint64_t>(state.settings.max_document_bytes);
  // The coroutine needs its own copy: it outlives the handler's argument.
  // NOLINTBEGIN(performance-unnecessary-value-param,performance-move-const-arg)
  if (!state.settings.peer_listen.empty()) {
    state.peer_server = std::make_unique<peer::PeerServer>(
        pool, state.settings.peer_listen, [&state](gen::Message call) {
          return state.AnswerPeer(std::move(call));
        });
  }
  state.http_server = std::make_unique<kernel::HttpServer>(
      pool, state.settings.listen, limits, [&state](kernel::HttpRequest call) {
        return Answer(state.context, std::move(call));
      });
  // NOLINTEND(performance-unnecessary-value-param,performance-move-const-arg)
  pool.Spawn("leases", state.MaintainLeases());
  pool.Spawn("step", state.RunRounds());
  pool.Spawn("monitor", state.PollMonitor());
  pool.Spawn("vm_list", state.PollList());
  pool.Spawn("heartbeats", state.SendHeartbeats());
  pool.Spawn("accounts", state.MaintainAccounts());
}

ControlProcess::~ControlProcess() = default;

void ControlProcess::BeginStop() {
  if (state_->stopping.exchange(true)) return;
  base::LogLine(base::LogLevel::kInfo, "stopping")
      .With("control", state_->settings.id);
  state_->http_server->AnnounceStop();
  state_->pool.Spawn("stop", state_->FinishStop());
}

int ControlProcess::http_port() const { return state_->http_server->port(); }

}  // namespace hemlockward::control
