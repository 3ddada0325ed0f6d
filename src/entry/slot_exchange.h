#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "entry/peers.h"
#include "entry/scheduler.h"
#include "kernel/worker_pool.h"
#include "peer/transport.h"

namespace hemlockward::peer::gen {
class SlotRequest;
}  // namespace hemlockward::peer::gen

namespace hemlockward::entry {

/// Borrows free slots from peers while requests are queued at this entry, and
/// lends this entry's free slots to peers.
class SlotExchange {
 public:
  SlotExchange(kernel::WorkerPool& pool, const base::SystemClock& clock,
               peer::PeerClient& client, Scheduler& scheduler,
               const Peers& peers, base::EntryRow self);

  /// Starts to borrow slots from peers for `service` and continues until the
  /// service's queue is empty. Does nothing if this is already in progress.
  void BorrowFor(const base::ServiceId& service);
  /// Answers a peer that asks for slots or returns some.
  peer::gen::Message Answer(const peer::gen::SlotRequest& request);
  /// Gives every free slot to one peer, for a planned stop.
  boost::asio::awaitable<void> ReturnFreeSlots();

 private:
  boost::asio::awaitable<void> Borrow(base::ServiceId service);
  boost::asio::awaitable<int> RequestFromPeer(base::ServiceId service,
                                              std::string address, bool* ended);
  [[nodiscard]] std::vector<std::string> FindLenders(
      const base::ServiceId& service) const;

  kernel::WorkerPool& pool_;
  const base::SystemClock& clock_;
  peer::PeerClient& client_;
  Scheduler& scheduler_;
  const Peers& peers_;
  base::EntryRow self_;
};

}  // namespace hemlockward::entry
