#include "entry/process.h"

#include <atomic>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "entry/decision_log.h"
#include "entry/dispatch.h"
#include "entry/keyed_requests.h"
#include "entry/outcome_store.h"
#include "entry/peers.h"
#include "entry/registration.h"
#include "entry/scheduler.h"
#include "entry/server.h"
#include "entry/slot_exchange.h"
#include "entry/view_guard.h"
#include "kernel/http.h"
#include "peer/gen/peer_types.h"
#include "peer/transport.h"
#include "peer/view_sync.h"
#include "platform/services.h"
#include "platform/table.h"

namespace hemlockward::entry {

namespace asio = boost::asio;
using base::Millis;

namespace {

constexpr std::size_t kDecisionsKept = 20'000;
constexpr Millis kRegistrationInterval = base::Seconds(2);
constexpr Millis kStopPoll{20};
// Idle connections per VM; all entries together stay below a VM's limit of 64.
constexpr std::size_t kIdlePerVm = 8;
constexpr std::size_t kIdleConnections = 8192;

base::Incarnation NewIncarnation() {
  // Positive as a Thrift i64, and never 0.
  return (base::SystemSeed() >> 1) | 1;
}

base::EntryRow MakeSelf(const EntrySettings& settings) {
  base::EntryRow self;
  self.entry = base::EntryId(settings.id);
  self.incarnation = NewIncarnation();
  self.peer_address = settings.peer_listen;
  self.http_address = settings.listen;
  self.zone = base::ZoneId(settings.zone);
  return self;
}

KeyedRequests::Options MakeKeyedOptions(const EntrySettings& settings,
                                        const base::EntryRow& self) {
  KeyedRequests::Options options;
  options.self = self;
  options.policy = {settings.max_skew, settings.key_lifetime};
  options.limits.max_outcome_bytes =
      static_cast<std::size_t>(settings.outcome_bytes);
  options.late_answer_wait = settings.orphan_hold;
  return options;
}

}  // namespace

struct EntryProcess::State {
  State(kernel::WorkerPool& pool, EntrySettings with);

  EntryStatus OwnStatus();
  void OnView();
  void OnReply(const PeerStatus& status);
  void FillMetrics();
  std::string CannotServe() const;
  std::string NotReady() const;
  asio::awaitable<peer::gen::Message> AnswerPeer(peer::gen::Message call);
  asio::awaitable<void> PollView();
  asio::awaitable<void> KeepRegistered();
  int CountInProgress() const;
  asio::awaitable<void> FinishStop();

  kernel::WorkerPool& pool;
  EntrySettings settings;
  base::SystemClock clock;
  base::EntryRow self;
  base::Metrics metrics;
  DecisionLog decisions{kDecisionsKept};
  kernel::HttpClient platform_http;
  kernel::HttpClient target_http;
  platform::TableClient table;
  platform::ObjectClient objects;
  OutcomeStore outcomes;
  peer::PeerClient peer_client;
  peer::ViewStore view;
  Scheduler scheduler;
  ViewGuard guard;
  Dispatcher dispatcher;
  Peers peers;
  SlotExchange slot_exchange;
  KeyedRequests keyed;
  Registration registration;
  CallerApi api;
  std::atomic<bool> stopping{false};
  std::unique_ptr<peer::PeerServer> peer_server;
  std::unique_ptr<kernel::HttpServer> http_server;
};

EntryProcess::State::State(kernel::WorkerPool& pool, EntrySettings with)
    : pool(pool),
      settings(std::move(with)),
      self(MakeSelf(settings)),
      platform_http(pool),
      target_http(pool, {kIdlePerVm, kIdleConnections,
                         static_cast<std::uint64_t>(settings.max_body_bytes)}),
      table(platform_http, {settings.platform, settings.platform_timeout, 2}),
      objects(platform_http, {settings.platform, settings.platform_timeout}),
      outcomes(objects),
      peer_client(pool),
      scheduler(self, settings.orphan_hold, base::SystemSeed()),
      guard(self, settings.view_lease),
      dispatcher(pool, target_http, clock,
                 {scheduler, guard, decisions, metrics}, settings.orphan_hold,
                 [this](const base::ServiceId& service) {
                   slot_exchange.BorrowFor(service);
                 }),
      peers(
          pool, clock, peer_client, view,
          {self, settings.peers, settings.heartbeat, settings.peer_timeout},
          [this] { return OwnStatus(); },
          [this](const PeerStatus& status) { OnReply(status); },
          [this](const std::string& address) {
            keyed.OnConnectionRefused(address);
          },
          [this] { OnView(); }),
      slot_exchange(pool, clock, peer_client, scheduler, peers, self),
      keyed(pool, clock, view, dispatcher, scheduler, peer_client, outcomes,
            MakeKeyedOptions(settings, self)),
      registration(table, self),
      api(
          settings, clock, dispatcher, keyed, decisions, metrics,
          [this] { FillMetrics(); }, [this] { return CannotServe(); },
          [this] { return NotReady(); }) {}

EntryStatus EntryProcess::State::OwnStatus() {
  EntryStatus status = scheduler.Status();
  status.stopping = stopping;
  return status;
}

// The scheduler is updated first: the guard must approve only a view that is
// already in use.
void EntryProcess::State::OnView() {
  const auto snapshot = view.Snapshot();
  scheduler.Install(snapshot, clock.Now());
  guard.Install(snapshot);
}

void EntryProcess::State::OnReply(const PeerStatus& status) {
  guard.OnPeerReply(status.entry, status.incarnation, status.sent,
                    status.revision);
  scheduler.OnPeerReport(status, clock.Now());
}

void EntryProcess::State::FillMetrics() {
  scheduler.FillMetrics(metrics);
  const Millis now = clock.Now();
  const auto read = view.table_read_sent();
  metrics.Set("hemlockward_view_fresh", "", guard.CanServe(now) ? 1 : 0);
  metrics.Set("hemlockward_table_age_ms", "",
              read ? static_cast<double>((now - *read).count) : -1);
  metrics.Set("hemlockward_registered", "", registration.registered() ? 1 : 0);
  metrics.Set("hemlockward_keyed_running", "", keyed.running());
}

// Why requests can't be served. A planned stop is no reason: requests are
// served until it ends.
std::string EntryProcess::State::CannotServe() const {
  return guard.Reason(clock.Now());
}

std::string EntryProcess::State::NotReady() const {
  return stopping ? "stopping" : CannotServe();
}

asio::awaitable<peer::gen::Message> EntryProcess::State::AnswerPeer(
    peer::gen::Message call) {
  if (call.__isset.slot_request)
    co_return slot_exchange.Answer(call.slot_request);
  if (call.__isset.forward_request || call.__isset.outcome_request) {
    co_return co_await keyed.AnswerPeer(
        std::make_shared<const peer::gen::Message>(call));
  }
  co_return peers.Answer(call);
}

asio::awaitable<void> EntryProcess::State::PollView() {
  peer::ViewPoller poller(table, clock, view);
  while (true) {
    const auto head = co_await poller.PollOnce();
    if (!head) {
      base::LogLine(base::LogLevel::kDebug, "view_poll_failed")
          .With("error", head.error().what);
    }
    OnView();
    if (const auto sent = view.table_read_sent(); head && sent) {
      guard.OnTableRead(*sent, *head);
    }
    co_await kernel::Sleep(settings.view_poll);
  }
}

asio::awaitable<void> EntryProcess::State::KeepRegistered() {
  while (!registration.replaced()) {
    auto entries = co_await registration.Refresh();
    if (!entries.empty()) peers.SetRegistered(std::move(entries));
    const Millis wait =
        registration.registered() ? kRegistrationInterval : settings.view_poll;
    co_await kernel::Sleep(wait);
  }
  base::LogLine(base::LogLevel::kError, "replaced")
      .With("entry", self.entry.value);
  pool.Stop();
}

int EntryProcess::State::CountInProgress() const {
  return http_server->requests_in_progress() + keyed.running();
}

asio::awaitable<void> EntryProcess::State::FinishStop() {
  co_await kernel::Sleep(settings.stop_notice);
  const Millis limit = clock.Now() + settings.stop_limit;
  while (CountInProgress() > 0 && clock.Now() < limit) {
    co_await kernel::Sleep(kStopPoll);
  }
  http_server->CloseIdle();
  co_await slot_exchange.ReturnFreeSlots();
  peers.Stop();
  pool.Stop();
}

EntryProcess::EntryProcess(kernel::WorkerPool& pool, EntrySettings settings)
    : state_(std::make_unique<State>(pool, std::move(settings))) {
  State& state = *state_;
  kernel::HttpLimits limits;
  limits.max_body_bytes =
      static_cast<std::uint64_t>(state.settings.max_body_bytes);
  limits.max_connections = static_cast<int>(state.settings.max_connections);
  // The coroutine needs its own copy: it outlives the handler's argument.
  // NOLINTBEGIN(performance-unnecessary-value-param,performance-move-const-arg)
  state.peer_server = std::make_unique<peer::PeerServer>(
      pool, state.settings.peer_listen, [&state](peer::gen::Message call) {
        return state.AnswerPeer(std::move(call));
      });
  // NOLINTEND(performance-unnecessary-value-param,performance-move-const-arg)
  state.http_server = std::make_unique<kernel::HttpServer>(
      pool, state.settings.listen, limits, [&state](kernel::HttpRequest call) {
        return state.api.Handle(std::move(call));
      });
  pool.Spawn("view_poll", state.PollView());
  pool.Spawn("registration", state.KeepRegistered());
  pool.Spawn("peers", state.peers.Run());
}

EntryProcess::~EntryProcess() = default;

void EntryProcess::BeginStop() {
  if (state_->stopping.exchange(true)) return;
  base::LogLine(base::LogLevel::kInfo, "stopping")
      .With("entry", state_->self.entry.value);
  state_->http_server->AnnounceStop();
  state_->pool.Spawn("stop", state_->FinishStop());
}

int EntryProcess::http_port() const { return state_->http_server->port(); }

int EntryProcess::peer_port() const { return state_->peer_server->port(); }

std::string EntryProcess::NotReadyReason() const { return state_->NotReady(); }

}  // namespace hemlockward::entry
