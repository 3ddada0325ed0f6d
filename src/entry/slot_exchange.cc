#include "entry/slot_exchange.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/log.h"
#include "base/random.h"
#include "peer/gen/peer_types.h"

namespace hemlockward::entry {

namespace asio = boost::asio;
namespace gen = peer::gen;
using base::Millis;

namespace {

constexpr Millis kCallTimeout{500};
constexpr Millis kMinPause{5};
constexpr Millis kMaxPause{80};
// A peer whose last answered heartbeat is older than this isn't asked.
constexpr Millis kMaxPeerSilence = base::Seconds(2);

std::vector<SlotGrant> ToGrants(const std::map<std::string, std::int32_t>& by) {
  std::vector<SlotGrant> grants;
  grants.reserve(by.size());
  for (const auto& [vm, tokens] : by) {
    grants.push_back({base::VmId(vm), tokens});
  }
  return grants;
}

std::map<std::string, std::int32_t> ToMap(
    const std::vector<SlotGrant>& grants) {
  std::map<std::string, std::int32_t> by;
  for (const SlotGrant& it : grants) by[it.vm.value] += it.tokens;
  return by;
}

}  // namespace

SlotExchange::SlotExchange(kernel::WorkerPool& pool,
                           const base::SystemClock& clock,
                           peer::PeerClient& client, Scheduler& scheduler,
                           const Peers& peers, base::EntryRow self)
    : pool_(pool),
      clock_(clock),
      client_(client),
      scheduler_(scheduler),
      peers_(peers),
      self_(std::move(self)) {}

void SlotExchange::BorrowFor(const base::ServiceId& service) {
  if (!scheduler_.StartBorrowing(service)) return;
  pool_.Spawn("borrow", Borrow(service));
}

// Peers with queued requests for the service lend nothing and aren't asked.
// Each entry starts at a different peer, so that they don't all ask the same
// one first.
std::vector<std::string> SlotExchange::FindLenders(
    const base::ServiceId& service) const {
  std::vector<std::string> addresses;
  for (const PeerStatus& it : peers_.Statuses()) {
    if (it.stopping || clock_.Now() - it.sent > kMaxPeerSilence) continue;
    const auto demand = it.demand.find(service.value);
    const int waiting = demand == it.demand.end() ? 0 : demand->second;
    if (IsWorthAsking(waiting)) addresses.push_back(it.address);
  }
  if (addresses.empty()) return addresses;
  std::ranges::sort(addresses);
  const std::size_t first =
      base::StableHash(self_.entry.value) % addresses.size();
  std::rotate(addresses.begin(),
              addresses.begin() + static_cast<std::ptrdiff_t>(first),
              addresses.end());
  return addresses;
}

asio::awaitable<void> SlotExchange::Borrow(base::ServiceId service) {
  Millis pause = kMinPause;
  bool ended = false;
  while (!ended) {
    int taken = 0;
    const std::vector<std::string> lenders = FindLenders(service);
    for (const std::string& address : lenders) {
      taken += co_await RequestFromPeer(service, address, &ended);
      if (ended) co_return;
    }
    pause = taken > 0 ? kMinPause : std::min(pause * 2, kMaxPause);
    co_await kernel::Sleep(pause);
    if (lenders.empty()) {
      const auto call = scheduler_.NextLoan(service);
      if (!call) co_return;
      scheduler_.FinishLoan(*call, 0, {}, clock_.Now());
    }
  }
}

// The tokens in a lost reply stay unused until the next membership; they are
// never counted twice.
asio::awaitable<int> SlotExchange::RequestFromPeer(base::ServiceId service,
                                                   std::string address,
                                                   bool* ended) {
  const auto call = scheduler_.NextLoan(service);
  if (!call) {
    *ended = true;
    co_return 0;
  }
  gen::SlotRequest request;
  request.__set_requester(self_.entry.value);
  request.__set_incarnation(static_cast<std::int64_t>(self_.incarnation));
  request.__set_membership_number(
      static_cast<std::int64_t>(call->membership_number));
  request.__set_service_name(service.value);
  request.__set_wanted(call->wanted);
  gen::Message message;
  message.__set_slot_request(request);
  const auto reply = co_await client_.Call(address, message, kCallTimeout);
  if (!reply || !reply->__isset.slot_reply) {
    scheduler_.FinishLoan(*call, 0, {}, clock_.Now());
    co_return 0;
  }
  const std::vector<SlotGrant> granted = ToGrants(reply->slot_reply.granted);
  const auto number =
      static_cast<std::uint64_t>(reply->slot_reply.membership_number);
  co_return scheduler_.FinishLoan(*call, number, granted, clock_.Now());
}

gen::Message SlotExchange::Answer(const gen::SlotRequest& request) {
  const auto number = static_cast<std::uint64_t>(request.membership_number);
  gen::SlotReply reply;
  reply.__set_membership_number(request.membership_number);
  if (!request.returned.empty()) {
    scheduler_.AcceptReturned(number, ToGrants(request.returned), clock_.Now());
  }
  if (request.wanted > 0) {
    reply.granted = ToMap(scheduler_.Lend(base::ServiceId(request.service_name),
                                          number, request.wanted));
  }
  reply.__isset.granted = true;
  gen::Message message;
  message.__set_slot_reply(reply);
  return message;
}

asio::awaitable<void> SlotExchange::ReturnFreeSlots() {
  const std::vector<std::string> lenders = FindLenders(base::ServiceId());
  if (lenders.empty()) co_return;
  const auto [number, grants] = scheduler_.TakeAllFreeTokens();
  if (grants.empty()) co_return;
  gen::SlotRequest request;
  request.__set_requester(self_.entry.value);
  request.__set_incarnation(static_cast<std::int64_t>(self_.incarnation));
  request.__set_membership_number(static_cast<std::int64_t>(number));
  request.__set_returned(ToMap(grants));
  gen::Message message;
  message.__set_slot_request(request);
  const auto reply =
      co_await client_.Call(lenders.front(), message, kCallTimeout);
  base::LogLine(base::LogLevel::kInfo, "slots_returned")
      .With("rows", grants.size())
      .With("taken", reply.has_value());
}

}  // namespace hemlockward::entry
