#include "entry/peers.h"

#include <utility>

#include "base/log.h"
#include "peer/gen/peer_types.h"

namespace hemlockward::entry {

namespace asio = boost::asio;
namespace gen = peer::gen;
using base::Millis;

namespace {

constexpr std::int64_t kNeverRead = -1;
// Maximum number of consecutive requests to a peer with a newer revision.
constexpr int kMaxFetches = 64;

std::int64_t TableAge(const peer::ViewStore& view, Millis now) {
  const auto sent = view.table_read_sent();
  return sent ? (now - *sent).count : kNeverRead;
}

}  // namespace

Peers::Peers(kernel::WorkerPool& pool, const base::SystemClock& clock,
             peer::PeerClient& client, peer::ViewStore& view, Options options,
             std::function<EntryStatus()> status,
             std::function<void(const PeerStatus&)> on_reply,
             std::function<void(const std::string&)> on_refused,
             std::function<void()> on_view)
    : pool_(pool),
      clock_(clock),
      client_(client),
      view_(view),
      options_(std::move(options)),
      status_(std::move(status)),
      on_reply_(std::move(on_reply)),
      on_refused_(std::move(on_refused)),
      on_view_(std::move(on_view)) {}

// Sends a peer the next heartbeat only after the call before has ended.
asio::awaitable<void> Peers::Run() {
  while (!stopped_) {
    for (const std::string& address : Addresses()) {
      {
        const std::lock_guard lock(mutex_);
        if (!in_flight_.insert(address).second) continue;
      }
      pool_.Spawn("heartbeat", SendHeartbeat(address));
    }
    co_await kernel::Sleep(options_.interval);
  }
}

std::set<std::string> Peers::Addresses() const {
  const auto view = view_.Snapshot();
  std::set<std::string> addresses(options_.seeds.begin(), options_.seeds.end());
  for (const base::EntryRow& it : view->membership.entries) {
    addresses.insert(it.peer_address);
  }
  {
    const std::lock_guard lock(mutex_);
    for (const base::EntryRow& it : registered_) {
      addresses.insert(it.peer_address);
    }
  }
  addresses.erase(options_.self.peer_address);
  return addresses;
}

void Peers::SetRegistered(std::vector<base::EntryRow> rows) {
  const std::lock_guard lock(mutex_);
  registered_ = std::move(rows);
}

asio::awaitable<void> Peers::SendHeartbeat(std::string address) {
  co_await Exchange(address);
  const std::lock_guard lock(mutex_);
  in_flight_.erase(address);
}

// The age of a reply counts from the sending of the heartbeat, by the local
// clock.
asio::awaitable<void> Peers::Exchange(std::string address) {
  EntryStatus own = status_();
  const Millis sent = clock_.Now();
  gen::Heartbeat heartbeat;
  heartbeat.__set_sender(options_.self.entry.value);
  heartbeat.__set_incarnation(
      static_cast<std::int64_t>(options_.self.incarnation));
  heartbeat.__set_revision(static_cast<std::int64_t>(own.revision));
  heartbeat.__set_table_age_ms(TableAge(view_, sent));
  heartbeat.__set_sent_ms(sent.count);
  heartbeat.__set_busy_vms(own.busy_vms);
  heartbeat.__set_is_entry(true);
  heartbeat.__set_demand(own.demand);
  heartbeat.__set_stopping(own.stopping);
  heartbeat.__set_membership_number(
      static_cast<std::int64_t>(own.slots.membership_number));
  heartbeat.__set_overhang(own.slots.overhang);
  gen::Message message;
  message.__set_heartbeat(heartbeat);
  const auto answer = co_await client_.Call(address, message, options_.timeout);
  if (!answer && answer.error().refused) on_refused_(address);
  if (!answer || !answer->__isset.heartbeat_reply) co_return;

  const gen::HeartbeatReply& reply = answer->heartbeat_reply;
  if (reply.echo_sent_ms != sent.count) co_return;
  PeerStatus status;
  status.entry = base::EntryId(reply.sender);
  status.incarnation = static_cast<base::Incarnation>(reply.incarnation);
  status.revision = static_cast<base::Revision>(reply.revision);
  status.sent = sent;
  status.stopping = reply.stopping;
  status.demand = reply.demand;
  status.address = address;
  status.slots = {static_cast<std::uint64_t>(reply.membership_number),
                  reply.overhang};
  {
    const std::lock_guard lock(mutex_);
    statuses_[address] = status;
  }
  if (status.revision > view_.revision()) co_await FetchChanges(address);
  on_reply_(status);
}

// Applies the changes that the peer has and the local view lacks; the peer
// sends a whole snapshot if it no longer has the records.
asio::awaitable<void> Peers::FetchChanges(std::string address) {
  for (int i = 0; i < kMaxFetches; ++i) {
    const base::Revision held = view_.revision();
    gen::DeltaRequest request;
    request.__set_from_revision(static_cast<std::int64_t>(held));
    request.__set_wants_snapshot(held == 0);
    gen::Message message;
    message.__set_delta_request(request);
    const auto answer =
        co_await client_.Call(address, message, options_.timeout);
    if (!answer || !answer->__isset.delta_reply) co_return;
    if (!peer::ApplyDeltaReply(view_, answer->delta_reply)) co_return;
    base::LogLine(base::LogLevel::kInfo, "view_from_peer")
        .With("peer", address)
        .With("revision", view_.revision());
    on_view_();
  }
}

// A control process pushes what it committed, in case the table fails before
// this entry reads it. Records that don't follow the local revision are
// ignored.
void Peers::ApplyPushed(const gen::DeltaReply& pushed) {
  if (!peer::ApplyDeltaReply(view_, pushed)) return;
  base::LogLine(base::LogLevel::kInfo, "view_from_peer")
      .With("peer", "control")
      .With("revision", view_.revision());
  on_view_();
}

gen::Message Peers::Answer(const gen::Message& call) {
  gen::Message answer;
  if (call.__isset.delta_request) {
    gen::DeltaReply reply;
    peer::FillDeltaReply(view_, call.delta_request, reply);
    reply.__isset.records = true;
    reply.__isset.rows = true;
    answer.__set_delta_reply(reply);
    return answer;
  }
  if (call.__isset.delta_reply) {
    ApplyPushed(call.delta_reply);
  } else if (!call.__isset.heartbeat) {
    return peer::ErrorMessage("unknown message");
  }
  EntryStatus own = status_();
  gen::HeartbeatReply reply;
  reply.__set_sender(options_.self.entry.value);
  reply.__set_incarnation(static_cast<std::int64_t>(options_.self.incarnation));
  reply.__set_revision(static_cast<std::int64_t>(own.revision));
  reply.__set_table_age_ms(TableAge(view_, clock_.Now()));
  reply.__set_echo_sent_ms(call.heartbeat.sent_ms);
  reply.__set_busy_vms(own.busy_vms);
  reply.__set_demand(own.demand);
  reply.__set_stopping(own.stopping);
  reply.__set_membership_number(
      static_cast<std::int64_t>(own.slots.membership_number));
  reply.__set_overhang(own.slots.overhang);
  answer.__set_heartbeat_reply(reply);
  return answer;
}

std::vector<PeerStatus> Peers::Statuses() const {
  std::vector<PeerStatus> statuses;
  const std::lock_guard lock(mutex_);
  for (const auto& [address, status] : statuses_) statuses.push_back(status);
  return statuses;
}

}  // namespace hemlockward::entry
