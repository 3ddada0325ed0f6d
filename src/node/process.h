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
#include "node/peer_table.h"
#include "node/settings.h"
#include "node/start_window.h"
#include "node/table_read.h"
#include "peer/transport.h"
#include "platform/client.h"

namespace hemlockward::peer::gen {
class LeaderCheck;
}  // namespace hemlockward::peer::gen

/// The node process, one on each VM that accepts client requests. All nodes
/// serve clients; the leader decides and the others forward requests to it.
namespace hemlockward::node {

using base::Millis;
template <class T>
using Awaitable = boost::asio::awaitable<T>;

/// Timeout of one transaction, which takes 0.65 s on a store that slow.
inline constexpr Millis kCommitTimeout{1500};

/// A client's job request, received directly or forwarded by a peer.
struct Call {
  std::string method;
  std::string host;
  std::string path;
  std::string body;
  Millis deadline{0};  ///< Local time at which the client stops waiting.
  /// Configuration by which it was admitted; no older one may answer it.
  std::uint64_t config_version = 0;
};

struct Reply {
  int status = 503;  ///< HTTP status; 0: no reply, this node doesn't lead.
  std::string body;
  std::int64_t retry_after_s = 0;
  bool may_have_run = false;  ///< With status 0: the call may take effect.
};

/// A transaction that is being committed, possibly by several sends.
struct PendingCommit {
  explicit PendingCommit(boost::asio::io_context& context)
      : answered(context) {}

  platform::StoreTransaction transaction;
  CommitSends sends;
  struct Answer {
    tl::expected<platform::StoreCommit, platform::CallError> result;
    Millis latency{0};
  };
  std::vector<Answer> answers;
  /// Lease rows read while the commit was unanswered, and each read's duration.
  std::vector<std::pair<LeaseView, Millis>> read_back;
  int readings = 0;  ///< Reads in flight.
  kernel::Signal answered;
};

enum class CommitOutcome : std::uint8_t {
  kDone,
  kNotDone,  ///< Not applied, and can't be applied later.
  kLost,     ///< Unknown; this node has lost or is releasing the lease.
};

class NodeProcess {
 public:
  /// Starts immediately; runs on one thread. Throws if an address is in use.
  NodeProcess(kernel::WorkerPool& pool, NodeSettings settings);
  ~NodeProcess();
  /// Releases the lease, finishes requests in progress, then stops the pool.
  void BeginStop();
  /// Applies new settings, except the listen addresses.
  void Reload(NodeSettings settings);

 private:
  // Every node (process.cc).
  Awaitable<void> Stop();
  void SetGauges();
  Awaitable<kernel::HttpResponse> ServeReadiness(kernel::HttpRequest request);
  Awaitable<kernel::HttpResponse> ServeClient(kernel::HttpRequest request);
  Awaitable<peer::gen::Message> ServePeer(peer::gen::Message message);

  // The operator's rows (operator_rows.cc).
  Awaitable<void> FollowOperatorRows();
  Awaitable<void> ConfirmOperatorRows();
  Awaitable<void> ReadOperatorRows();
  void ApplyOperatorRows(const platform::StorePage& page, Millis asked,
                         std::string_view source);
  /// `source`: how the row came here, for the log.
  void ApplyOperatorRow(const platform::StoreRow& row, std::string_view source);
  /// Another node has configuration `version`.
  void OnConfigurationSeen(std::uint64_t version);
  /// Waits for configuration `version` or a newer one. Returns false if it
  /// isn't known by `limit`.
  Awaitable<bool> AwaitConfiguration(std::uint64_t version, Millis limit);

  // Job requests (calls.cc).
  Awaitable<Reply> Route(Call call);
  Awaitable<Reply> HandleAsLeader(Call call);
  Awaitable<Reply> Submit(const jobs::Queue& queue, std::string id, Call call);
  Awaitable<Reply> Cancel(std::string id, Call call);
  Awaitable<Reply> JobState(std::string id, Call call);
  Awaitable<std::optional<Reply>> ConfirmUnknown(std::string_view id,
                                                 const Call& call);
  [[nodiscard]] bool IsStoreStalled(Millis now) const;
  Awaitable<Reply> Forward(const Call& call, bool* may_have_run);

  // Leadership (leadership.cc).
  Awaitable<void> WatchLease();
  Awaitable<void> CheckLease();
  Awaitable<void> HandOverIfWeaker();
  Awaitable<bool> IsHolderRenewing();
  /// Exchanges leader and configuration with a peer; false if it didn't answer.
  Awaitable<bool> ExchangeLeaderCheck(std::string address, bool* refused);
  /// `all_peers`: the receiver is new and gets all peers in one report.
  [[nodiscard]] peer::gen::LeaderCheck BuildLeaderCheck(
      std::int64_t config_version, bool all_peers);
  /// Returns true if the sender was unknown.
  bool ApplyLeaderCheck(const peer::gen::LeaderCheck& check);
  /// Peers other than the last holder of the lease.
  [[nodiscard]] std::vector<Candidate> TakeoverCandidates() const;
  /// This node's rank among the candidates for the next term.
  [[nodiscard]] int NextRank() const;
  [[nodiscard]] Candidate Self() const;
  Awaitable<void> TakeLease(const LeaseView& view, std::int64_t store_ms);
  /// Estimate of the store's clock, in ms; 0: not known yet.
  [[nodiscard]] std::int64_t StoreTime() const {
    return store_ms_ == 0
               ? 0
               : store_ms_ + (clock_.Now() - store_time_received_).count;
  }
  /// The store's clock minus the local clock.
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
  /// Releases the lease with the last commit of the term.
  Awaitable<void> HandOver(std::string_view reason, Millis limit);

  void StepDown(std::string_view reason);
  [[nodiscard]] bool IsLeading(std::uint64_t term) const {
    return leads_ && term_ == term;
  }
  /// Whether the last renewal is recent enough to send orders.
  [[nodiscard]] bool CanSendOrders() const {
    const bool renewed = clock_.Now() - renewed_ < kOrderValidity;
    return leads_ && loaded_ && !releasing_ && renewed;
  }
  /// Whether VMs may be moved or taken down now. The limit is stricter, so that
  /// the next leader needs to wait less before its first VM order.
  [[nodiscard]] bool CanSendVmOrders() const {
    return CanSendOrders() && clock_.Now() - renewed_ < kVmOrderValidity;
  }
  /// The same checks for the moment when an order of this term is sent.
  [[nodiscard]] platform::MaySend OrderPermission(std::uint64_t term) const {
    return [this, term] { return IsLeading(term) && CanSendOrders(); };
  }
  [[nodiscard]] platform::MaySend VmOrderPermission(std::uint64_t term) const {
    return [this, term] { return IsLeading(term) && CanSendVmOrders(); };
  }

  // Leader's work (leader.cc).
  Awaitable<void> FollowWorkers(std::uint64_t term);
  Awaitable<bool> ReadWorkers(std::uint64_t term);
  void ApplyWorkerRow(std::uint64_t term, const platform::StoreRow& row);
  /// Makes a worker that has restarted refuse orders to its former incarnation.
  /// A report of that one may still be awaited.
  Awaitable<void> FenceOffFormerOrders(std::uint64_t term, std::string id);
  void WatchWorker(std::uint64_t term, const std::string& id);
  void WatchAllWorkers(std::uint64_t term);
  Awaitable<void> RenewWorkerLoop(std::uint64_t term, std::string id);
  /// Renews the worker's lease and reads one report; with `may_wait` the worker
  /// may delay its report until a run ends.
  Awaitable<void> RenewWorker(std::uint64_t term, std::string id,
                              bool may_wait);
  Awaitable<void> PlanLoop(std::uint64_t term);
  void RecordFeed(const platform::StorePage& page);
  /// Time since all registrations were as this leader knows them.
  [[nodiscard]] Millis RegistrationsAge(Millis now) const;
  /// Whether the registrations that were read still tell where tasks may start.
  /// While the store doesn't answer, no worker registers as draining.
  [[nodiscard]] bool KnowsDrainingWorkers(Millis now) const;
  /// `turn`: how long a coroutine that was ready waited for the event loop.
  void RecordTurn(Millis turn);
  void Execute(std::uint64_t term, jobs::Orders orders);
  Awaitable<void> ExecuteStart(std::uint64_t term, jobs::StartOrder order);
  Awaitable<void> ExecuteStop(std::uint64_t term, jobs::StopOrder order);
  Awaitable<void> ExecutePace(std::uint64_t term, jobs::PaceOrder order);
  Awaitable<void> ExecuteAdvice(std::uint64_t term, std::string step,
                                std::vector<std::string> workers);
  Awaitable<void> FleetLoop(std::uint64_t term);
  Awaitable<void> ExecuteVmOrder(std::uint64_t term, jobs::VmOrder order);
  Awaitable<void> WriteWaveStates(std::uint64_t term);
  /// Fencing token for an order to the worker.
  std::uint64_t FenceFor(jobs::Worker& worker) {
    return scheduler_.FenceFor(worker, fence_, heartbeat_version_,
                               clock_.Now());
  }
  /// Whether orders to the worker have a higher token by now.
  [[nodiscard]] bool IsOutdated(std::string_view worker, std::uint64_t fence) {
    const jobs::Worker* it = scheduler_.FindWorker(worker);
    return !it || it->fence > fence;
  }
  void RequestPlan() { plan_signal_.Notify(), plan_due_ = true; }

  kernel::WorkerPool& pool_;
  NodeSettings settings_;
  base::SystemClock clock_;
  base::Random random_;
  std::uint64_t incarnation_;
  base::Metrics metrics_;
  kernel::HttpClient http_;
  kernel::HttpClient worker_http_;
  platform::PlatformClient platform_;
  peer::PeerClient peer_client_;

  // Rows written by the operator.
  jobs::Configuration config_;
  std::string config_source_;  ///< The undecoded row, sent to peers.
  Millis config_received_{0};
  std::map<int, jobs::WaveOrder> waves_;
  std::uint64_t operator_version_ = 0;
  /// Versions of the rows applied, by key.
  std::map<std::string, std::uint64_t> operator_row_versions_;
  /// The operator's rows are known as they were at this time.
  Millis operator_rows_as_of_{0};
  bool operator_rows_behind_ = false;  ///< Another node knows newer ones.
  kernel::Signal operator_rows_signal_;
  kernel::Signal config_signal_;  ///< A newer configuration is in force.

  // Leadership.
  LeaseView lease_;
  LeaseRow own_lease_;  ///< As written when this node took the lease.
  HeartbeatMonitor heartbeat_monitor_;
  bool holder_gone_ = false;          ///< The holder appears to lead no longer.
  Millis holder_heard_{0};            ///< When it last reported that it leads.
  bool holder_stopped_ = false;       ///< It stepped down or was replaced.
  bool holder_stalled_ = false;       ///< It reported a late renewal.
  std::optional<Millis> free_since_;  ///< When the lease was first seen free.
  PeerTable peers_;
  /// A request couldn't be forwarded: the leader is checked at once.
  kernel::Signal check_signal_;
  PeerStatus peer_status_;
  bool leads_ = false;
  bool loaded_ = false;
  bool stopping_ = false;
  bool committing_ = false;
  bool handing_over_ = false;  ///< The next commit is the last of the term.
  bool releasing_ = false;     ///< It was sent: another node may lead already.
  std::optional<Millis> last_handover_;  ///< Last one to a stronger node.
  std::uint64_t term_ = 0;
  std::uint64_t fence_ = 0;
  std::uint64_t heartbeat_version_ = 0;
  std::uint64_t heartbeat_number_ = 0;
  Millis renewed_{0};  ///< Send time of the newest successful renewal.
  /// A renewal that is sent after this time is awaited.
  Millis renewal_wanted_since_{-1};
  Millis lease_taken_{0};
  Millis last_vm_order_{0};  ///< Send time of the newest VM order.
  Millis started_{0};
  Millis stop_limit_{0};  ///< With `stopping_`: deadline for all replies.
  Millis commit_started_{0};
  bool commit_failed_ = false;  ///< The newest commit that has ended.
  CommitTimeout commit_timeout_;
  std::int64_t store_ms_ = 0;  ///< The store's clock at `store_time_received_`.
  Millis store_time_received_{0};
  kernel::Signal commit_signal_;     ///< Changes are waiting for a commit.
  kernel::Signal committed_signal_;  ///< A commit has ended, or leadership.

  // Leader's work.
  jobs::Scheduler scheduler_;
  jobs::Fleet fleet_;
  std::uint64_t workers_version_ = 0;
  std::set<std::string> watched_workers_;
  std::map<std::string, std::unique_ptr<kernel::Signal>> worker_signals_;
  kernel::Signal plan_signal_;
  bool plan_due_ = false;
  bool plan_awaits_renewal_ = false;  ///< Tasks start after the next commit.
  StartWindow start_window_;
  int starts_in_flight_ = 0;                 ///< Starts without an answer yet.
  std::map<int, bool> written_wave_states_;  ///< By wave; true: completed.

  std::unique_ptr<kernel::HttpServer> front_;
  std::unique_ptr<kernel::HttpServer> readiness_;
  std::unique_ptr<peer::PeerServer> peer_server_;
};

}  // namespace hemlockward::node
