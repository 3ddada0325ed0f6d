#include "entry/process.h"

#include <atomic>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "entry/decision_log.h"
#include "entry/dispatch.h"
#include "entry/peers.h"
#include "entry/registration.h"
#include "entry/server.h"
#include "kernel/http.h"
#include "peer/gen/peer_types.h"
#include "peer/transport.h"
#include "peer/view_sync.h"
#include "platform/table.h"

namespace hemlockward::entry {

namespace asio = boost::asio;
using base::Millis;

namespace {

constexpr std::size_t kDecisionsKept = 20'000;
constexpr Millis kRegistrationInterval = base::Seconds(2);
constexpr Millis kStopPoll{20};

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

}  // namespace

struct EntryProcess::State {
  State(kernel::WorkerPool& pool, EntrySettings with);

  EntryStatus OwnStatus();
  void OnView();
  std::string CannotServe() const;
  std::string NotReady() const;
  asio::awaitable<peer::gen::Message> AnswerPeer(peer::gen::Message call);
  asio::awaitable<void> PollView();
  asio::awaitable<void> KeepRegistered();
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
  peer::PeerClient peer_client;
  peer::ViewStore view;
  Dispatcher dispatcher;
  Peers peers;
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
      target_http(pool, 64,
                  static_cast<std::uint64_t>(settings.max_body_bytes)),
      table(platform_http, {settings.platform, settings.platform_timeout, 2}),
      peer_client(pool),
      dispatcher(target_http, clock, decisions, metrics),
      peers(
          pool, clock, peer_client, view,
          {self, settings.peers, settings.heartbeat, settings.peer_timeout},
          [this] { return OwnStatus(); }, [](const PeerStatus&) {},
          [this] { OnView(); }),
      registration(table, self),
      api(
          settings, clock, dispatcher, decisions, metrics,
          [this] { return CannotServe(); }, [this] { return NotReady(); }) {}

EntryStatus EntryProcess::State::OwnStatus() {
  EntryStatus status;
  status.revision = dispatcher.revision();
  status.stopping = stopping;
  return status;
}

void EntryProcess::State::OnView() { dispatcher.Install(view.Snapshot()); }

// Why requests can't be served; during a planned stop they still are.
std::string EntryProcess::State::CannotServe() const {
  if (view.revision() == 0) return "no view of the fleet yet";
  return {};
}

std::string EntryProcess::State::NotReady() const {
  return stopping ? "stopping" : CannotServe();
}

asio::awaitable<peer::gen::Message> EntryProcess::State::AnswerPeer(
    peer::gen::Message call) {
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

asio::awaitable<void> EntryProcess::State::FinishStop() {
  co_await kernel::Sleep(settings.stop_notice);
  const Millis limit = clock.Now() + settings.stop_limit;
  while (http_server->requests_in_progress() > 0 && clock.Now() < limit) {
    co_await kernel::Sleep(kStopPoll);
  }
  http_server->CloseIdle();
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
