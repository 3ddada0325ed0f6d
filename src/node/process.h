#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "jobs/fleet.h"
#include "jobs/scheduler.h"
#include "kernel/http.h"
#include "kernel/signal.h"
#include "kernel/worker_pool.h"
#include "node/lease.h"
#include "node/settings.h"
#include "peer/transport.h"
#include "platform/client.h"

namespace hemlockward::peer::gen {
class LeaderCheck;
}  // namespace hemlockward::peer::gen

/// One process on each machine that takes clients' requests. All nodes answer
/// them; one leads and decides, the others pass requests on to it.
namespace hemlockward::node {

using base::Millis;
template <class T>
using Awaitable = boost::asio::awaitable<T>;

/// One read of the store; it answers in 4 ms, slowed sixtyfold in 240 ms.
inline constexpr Millis kReadTimeout{1500};

/// One transaction: as slow a store does it in 0.65 s.
inline constexpr Millis kCommitTimeout{1500};

/// A client's call on jobs, wherever it arrived.
struct Call {
  std::string method;
  std::string host;
  std::string path;
  std::string body;
  Millis deadline{0};  ///< Local time at which the client stops waiting.
};

struct Reply {
  int status = 503;  ///< 0: not answered, as this node doesn't lead.
  std::string body;
  std::int64_t retry_after_s = 0;
  bool may_have_run = false;  ///< With status 0: it may still take effect.
};

struct Peer {
  Millis last_heard{0};
  std::optional<std::int64_t> config_version;  ///< As it last said.
  bool small = false;
};

/// One transaction that is being committed.
struct PendingCommit {
  explicit PendingCommit(boost::asio::io_context& context)
      : answered(context) {}

  platform::StoreTransaction transaction;
  int in_flight = 0;
  struct Answer {
    tl::expected<platform::StoreCommit, platform::CallError> result;
    Millis took{0};
  };
  std::vector<Answer> answers;
  /// The lease's rows, read while no answer came, and how long that took.
  std::vector<std::pair<LeaseView, Millis>> read_back;
  int readings = 0;  ///< Under way.
  kernel::Signal answered;
};

enum class CommitOutcome : std::uint8_t {
  kDone,
  kNotDone,  ///< Surely not, and never will be.
  kLost,     ///< Not known; this node no longer leads, or gives up leading.
};

class NodeProcess {
 public:
  /// Starts at once; runs on one thread. Throws when an address is in use.
  NodeProcess(kernel::WorkerPool& pool, NodeSettings settings);
  ~NodeProcess();
  /// Hands the lease over, answers what is in progress, then stops the pool.
  void BeginStop();
  /// Takes over what may change while running; addresses to listen on stay.
  void Reload(NodeSettings settings);

 private:
  // Any node (process.cc).
  Awaitable<void> FollowOperatorTable();
  Awaitable<bool> ReadOperatorTable();
  void ApplyOperatorRow(const platform::StoreRow& row);
  Awaitable<void> Stop();
  void SetGauges();
  Awaitable<kernel::HttpResponse> ServeReadiness(kernel::HttpRequest request);
  Awaitable<kernel::HttpResponse> ServeClient(kernel::HttpRequest request);
  Awaitable<peer::gen::Message> ServePeer(peer::gen::Message message);

  // Calls on jobs (calls.cc).
  Awaitable<Reply> Route(Call call);
  Awaitable<Reply> HandleAsLeader(Call call);
  Awaitable<Reply> Submit(const jobs::Queue& queue, std::string id, Call call);
  Awaitable<Reply> Cancel(std::string id, Call call);
  Reply JobStateReply(std::string_view id);
  Awaitable<Reply> Forward(const Call& call, bool* may_have_run);

  // Leadership (leadership.cc).
  Awaitable<void> WatchLease();
  Awaitable<void> CheckLease();
  Awaitable<bool> IsHolderRenewing();
  /// Exchanges leader and configuration with a peer; false without an answer.
  Awaitable<bool> ExchangeLeaderCheck(std::string address, bool* refused);
  [[nodiscard]] peer::gen::LeaderCheck BuildLeaderCheck(
      std::int64_t config_version);
  void ApplyLeaderCheck(const peer::gen::LeaderCheck& check);
  std::string RandomPeer();
  [[nodiscard]] std::vector<Candidate> TakeoverCandidates(Millis lately) const;
  [[nodiscard]] bool IsSmall() const;
  Awaitable<void> TakeLease(const LeaseView& view, std::int64_t store_ms);
  /// The store's clock now, from its newest answer; 0: not known yet.
  [[nodiscard]] std::int64_t StoreTime() const {
    return store_ms_ == 0
               ? 0
               : store_ms_ + (clock_.Now() - store_time_received_).count;
  }
  /// The store's clock less ours.
  [[nodiscard]] Millis StoreOffset() const {
    return Millis{StoreTime()} - clock_.Now();
  }
  void UpdateStoreTime(std::int64_t ms);
  Awaitable<bool> Load(std::uint64_t term);
  Awaitable<bool> LoadTable(std::uint64_t term, std::string table);
  void LoadRow(std::string_view table, const platform::StoreRow& row);

  // Commits (commits.cc).
  Awaitable<void> CommitLoop(std::uint64_t term);
  Awaitable<bool> CommitOnce(std::uint64_t term, bool release);
  Awaitable<void> SendCommit(std::shared_ptr<PendingCommit> pending);
  Awaitable<void> ReadBack(std::shared_ptr<PendingCommit> pending);
  Awaitable<CommitOutcome> AwaitCommit(std::uint64_t term,
                                       std::string heartbeat, bool release,
                                       std::shared_ptr<PendingCommit> pending);
  [[nodiscard]] platform::StoreTransaction ToTransaction(
      const jobs::Batch& batch, const std::string& heartbeat,
      bool release) const;
  /// The last commit of the term, with which the lease ends.
  Awaitable<void> HandOver(std::string_view reason, Millis limit);

  void StepDown(std::string_view reason);
  [[nodiscard]] bool IsLeading(std::uint64_t term) const {
    return leads_ && term_ == term;
  }
  /// Whether orders may be given now.
  [[nodiscard]] bool CanSendOrders() const {
    const bool renewed = clock_.Now() - renewed_ < kOrderValidity;
    return leads_ && loaded_ && !releasing_ && renewed;
  }
  /// Whether machines may be moved or taken down now. Stricter, so that the
  /// next leader needn't wait for long.
  [[nodiscard]] bool CanSendVmOrders() const {
    return CanSendOrders() && clock_.Now() - renewed_ < kVmOrderValidity;
  }

  // Leader's work (leader.cc).
  Awaitable<void> FollowWorkers(std::uint64_t term);
  Awaitable<bool> ReadWorkers(std::uint64_t term);
  void ApplyWorkerRow(const platform::StoreRow& row);
  void WatchWorkers(std::uint64_t term);
  Awaitable<void> RenewWorkerLoop(std::uint64_t term, std::string id);
  /// One report of the worker; with `may_wait` it may come when there is news.
  Awaitable<void> RenewWorker(std::uint64_t term, std::string id,
                              bool may_wait);
  Awaitable<void> PlanLoop(std::uint64_t term);
  void Execute(std::uint64_t term, jobs::Orders orders);
  Awaitable<void> ExecuteStart(std::uint64_t term, jobs::StartOrder order);
  Awaitable<void> ExecuteStop(std::uint64_t term, jobs::StopOrder order);
  Awaitable<void> ExecutePace(std::uint64_t term, jobs::PaceOrder order);
  Awaitable<void> ExecuteAdvice(std::uint64_t term, std::string step,
                                std::vector<std::string> workers);
  Awaitable<void> FleetLoop(std::uint64_t term);
  Awaitable<void> ExecuteVmOrder(std::uint64_t term, jobs::MachineOrder order);
  Awaitable<void> WriteWaveStates(std::uint64_t term);
  void RequestPlan() { plan_signal_.Notify(), plan_due_ = true; }

  kernel::WorkerPool& pool_;
  NodeSettings settings_;
  base::SystemClock clock_;
  base::Random random_;
  std::uint64_t incarnation_;
  base::Metrics metrics_;
  kernel::HttpClient http_;
  platform::PlatformClient platform_;
  peer::PeerClient peer_client_;

  // What the operator wrote.
  jobs::Configuration config_;
  std::string config_source_;  ///< The operator's row, for peers.
  Millis config_received_{0};  ///< When it came.
  std::map<int, jobs::WaveOrder> waves_;
  std::uint64_t operator_version_ = 0;

  // Leadership.
  LeaseView lease_;
  HeartbeatMonitor heartbeat_monitor_;
  bool holder_gone_ = false;     ///< Evidence that the holder leads no more.
  Millis holder_heard_{0};       ///< When it last said that it leads.
  bool holder_stopped_ = false;  ///< Another process answers at its address.
  bool holder_stalled_ = false;  ///< It says that it can't renew.
  std::optional<Millis> free_since_;  ///< The lease was first seen free.
  std::map<std::string, Peer> peers_;
  PeerStatus peer_status_;
  bool leads_ = false;
  bool loaded_ = false;
  bool stopping_ = false;
  bool committing_ = false;
  bool handing_over_ = false;  ///< The last commit of the term is due.
  bool releasing_ = false;     ///< It was sent: another may lead already.
  std::optional<Millis> last_handover_;  ///< To a larger node.
  std::uint64_t term_ = 0;
  std::uint64_t fence_ = 0;
  std::uint64_t heartbeat_version_ = 0;
  std::uint64_t heartbeat_number_ = 0;
  Millis renewed_{0};  ///< When the newest successful renewal was sent.
  Millis lease_taken_{0};
  Millis last_vm_order_{0};  ///< When the newest machine order was sent.
  Millis started_{0};
  Millis stop_limit_{0};  ///< With `stopping_`: when all answers are due.
  Millis commit_started_{0};
  CommitTimeout commit_timeout_;
  std::int64_t store_ms_ = 0;  ///< The store's clock at `store_time_received_`.
  Millis store_time_received_{0};
  kernel::Signal commit_signal_;     ///< There is something to commit.
  kernel::Signal committed_signal_;  ///< Something was committed, or lost.

  // Leader's work.
  jobs::Scheduler scheduler_;
  jobs::Fleet fleet_;
  std::uint64_t workers_version_ = 0;
  std::set<std::string> watched_workers_;
  std::map<std::string, std::unique_ptr<kernel::Signal>> worker_signals_;
  kernel::Signal plan_signal_;
  bool plan_due_ = false;
  std::map<int, bool> written_wave_states_;  ///< As written; true: completed.

  std::unique_ptr<kernel::HttpServer> front_;
  std::unique_ptr<kernel::HttpServer> readiness_;
  std::unique_ptr<peer::PeerServer> peer_server_;
};

}  // namespace hemlockward::node
