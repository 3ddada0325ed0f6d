#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "entry/slots.h"
#include "kernel/worker_pool.h"
#include "peer/transport.h"
#include "peer/view_sync.h"

namespace hemlockward::entry {

/// The state of this entry that its heartbeats and replies carry.
struct EntryStatus {
  base::Revision revision = 0;  ///< Revision in use for routing.
  std::vector<std::string> busy_vms;
  std::map<std::string, std::int32_t> demand;
  bool stopping = false;
  SlotReport slots;
};

/// The contents of a peer's latest heartbeat reply.
struct PeerStatus {
  base::EntryId entry;
  base::Incarnation incarnation = 0;
  base::Revision revision = 0;
  base::Millis sent;  ///< Local time at which its heartbeat was sent.
  bool stopping = false;
  std::map<std::string, std::int32_t> demand;
  std::string address;
  SlotReport slots;
};

/// Exchanges heartbeats with every known peer and fetches changes from peers
/// that have a newer revision. Thread-safe.
class Peers {
 public:
  struct Options {
    base::EntryRow self;
    std::vector<std::string> seeds;  ///< Addresses from the settings.
    base::Millis interval;
    base::Millis timeout;
  };

  /// `status` is called before each message, `on_reply` with every heartbeat
  /// reply, `on_refused` with every address that refuses a connection, and
  /// `on_view` after the view has advanced.
  Peers(kernel::WorkerPool& pool, const base::SystemClock& clock,
        peer::PeerClient& client, peer::ViewStore& view, Options options,
        std::function<EntryStatus()> status,
        std::function<void(const PeerStatus&)> on_reply,
        std::function<void(const std::string&)> on_refused,
        std::function<void()> on_view);

  /// Sends heartbeats until Stop.
  boost::asio::awaitable<void> Run();
  void Stop() { stopped_ = true; }
  /// Sets the registered entries, which are peers besides seeds and members.
  void SetRegistered(std::vector<base::EntryRow> rows);

  /// Answers a peer's heartbeat or request for changes.
  peer::gen::Message Answer(const peer::gen::Message& call);
  /// Latest status of each peer that ever answered.
  [[nodiscard]] std::vector<PeerStatus> Statuses() const;

 private:
  std::set<std::string> Addresses() const;
  boost::asio::awaitable<void> SendHeartbeat(std::string address);
  boost::asio::awaitable<void> Exchange(std::string address);
  void ApplyPushed(const peer::gen::DeltaReply& pushed);
  boost::asio::awaitable<void> FetchChanges(std::string address);

  kernel::WorkerPool& pool_;
  const base::SystemClock& clock_;
  peer::PeerClient& client_;
  peer::ViewStore& view_;
  Options options_;
  std::function<EntryStatus()> status_;
  std::function<void(const PeerStatus&)> on_reply_;
  std::function<void(const std::string&)> on_refused_;
  std::function<void()> on_view_;
  std::atomic<bool> stopped_{false};

  mutable std::mutex mutex_;  // Guards all below; "membership" in the order.
  std::set<std::string> in_flight_;
  std::map<std::string, PeerStatus> statuses_;  // By address.
  std::vector<base::EntryRow> registered_;
};

}  // namespace hemlockward::entry
