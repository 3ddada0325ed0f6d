#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "platform/codec.h"

/// Leader election through two rows of the store, in the same part as all
/// other rows. The `lease` row changes only with its holder: its version is the
/// fencing token and a condition of every commit. The `beat` row changes with
/// every commit and is a condition as well, so that a commit whose response was
/// lost can't take effect after a later commit.
namespace hemlockward::node {

using base::Millis;

inline constexpr const char* kPart = "main";
inline constexpr const char* kLeaseTable = "lead";
inline constexpr const char* kLeaseKey = "lease";
inline constexpr const char* kHeartbeatKey = "beat";

/// A leader sends orders for this long after it sent its last successful
/// renewal. Longer than most store outages; short enough to limit how long an
/// unreachable worker keeps running tasks after a takeover.
inline constexpr Millis kOrderValidity{4000};
/// The same for VM orders, which no worker checks against the fencing token.
inline constexpr Millis kVmOrderValidity{1000};
inline constexpr Millis kRenewInterval{400};
/// The holder counts as silent when its heartbeat is unchanged for this long
/// while the store is readable. Longer than the renewal interval plus one
/// commit at a sixtieth of the store's speed (0.55 s). Shorter than
/// `kOrderValidity`, which is safe because workers check the fencing token.
inline constexpr Millis kHolderSilenceLimit{1300};
/// A holder whose newest renewal is older than this may have lost the store.
/// Covers the renewal interval and one commit at the store's normal speed.
inline constexpr Millis kLateRenewalAge{700};
/// Replaces `kHolderSilenceLimit` when the holder reports a late renewal.
inline constexpr Millis kStalledHolderSilence{300};
/// The store counts as slow when a read takes longer; normally it takes 4 ms.
inline constexpr Millis kSlowStoreRead{60};
/// Delay between candidates of successive ranks, so that they don't all load a
/// slow store at once. At normal speed a free lease is taken within 10 ms.
inline constexpr Millis kTakeoverRankDelay{100};
/// Extra delay of a weak node that has just started, because stronger ones may
/// still be starting: the nodes of a deployment start within 0.3 s of each
/// other (DEPLOY.md), and each start takes 0.6 s.
inline constexpr Millis kWeakNodeDelay{1500};
/// For this long after its start a node may not know all its peers: they
/// contact the leader every 0.3 s, and a leader is elected within seconds.
inline constexpr Millis kPeerDiscoveryPeriod = base::Seconds(5);
/// A leader keeps the lease at least this long before it hands it over to a
/// stronger node: interrupting a takeover costs more than it gains.
inline constexpr Millis kMinLeadTime = base::Seconds(2);
/// Minimum time between two handovers by the same node, in case the stronger
/// nodes can't reach the store: each costs up to 1 s without a leader.
inline constexpr Millis kMinHandoverInterval = base::Seconds(20);
/// A holder is not silent until this many reads could have been made at the
/// store's current speed: a shorter silence may come from a slow store.
inline constexpr int kMinSilentReads = 5;
/// Reads further apart than this don't prove that the heartbeat was unchanged
/// in between.
inline constexpr Millis kMaxReadGap{900};

struct LeaseRow {
  std::string holder;
  std::string address;  ///< IP:port on which the holder serves peers.
  std::uint64_t incarnation = 0;
  std::uint64_t term = 0;
  bool released = false;
  /// Time from the last VM order to the release; valid when released.
  Millis vm_order_age{0};
  /// What the holder knew of earlier ones when it took the lease
  /// (`EarlierHolders`), by the store's clock in ms; 0: not known.
  std::int64_t earlier_orders_end_ms = 0;
  std::int64_t vm_orders_from_ms = 0;
  /// Holders so far that didn't release the lease.
  int lost_holders = 0;
};

std::string EncodeLease(const LeaseRow& row);
std::optional<LeaseRow> DecodeLease(std::string_view text);
/// `store_ms` is the holder's estimate of the store's clock, in ms. Candidates
/// compute the age of the newest renewal from it.
std::string EncodeHeartbeat(std::uint64_t term, std::uint64_t number,
                            std::int64_t store_ms);
/// The store time in a heartbeat row, in ms; nullopt if it is malformed.
std::optional<std::int64_t> ParseHeartbeatTime(std::string_view heartbeat);

/// A peer's last report of its own state.
struct PeerStatus {
  std::uint64_t incarnation = 0;
  bool leads = false;
  std::uint64_t term = 0;  ///< The newest term that it has led.
  std::int64_t renewal_age_ms = 0;
  std::int64_t commit_ms = 0;  ///< Typical duration of its commits.
  std::uint64_t heartbeat_version = 0;
};

/// State of the lease holder, from the report of the process at its address.
enum class HolderStatus : std::uint8_t {
  kLeads,
  kStalled,      ///< It leads, but its last renewal is too old.
  kSteppedDown,  ///< It sends no more orders of that term.
  kReplaced,     ///< Another process answers at the address.
  kAcquiring,    ///< It doesn't know yet that it holds the lease.
};

/// Derives the holder's state from the status `report`.
HolderStatus ClassifyHolder(const LeaseRow& holder, const PeerStatus& report);

/// Both rows as last read. A version is 0 if the row doesn't exist.
struct LeaseView {
  std::uint64_t lease_version = 0;
  std::uint64_t heartbeat_version = 0;
  std::string heartbeat;
  std::optional<LeaseRow> lease;
};

LeaseView ReadLease(std::span<const platform::StoreRow> rows);

/// A node that may take the lease.
struct Candidate {
  std::string address;
  int strength = 0;  ///< `LeaderStrength`; the strongest rank first.
};

/// Each step stands for twice the processor and twice the link: a leader is
/// bound by the scarcer of the two. Nodes of one step count as equal.
int LeaderStrength(double cpu_share, double link_mbps);

/// Rank of `self` among the candidates for the term after `term`: the number of
/// `peers` that precede it. Nodes that know the same peers compute the same
/// order.
int TakeoverRank(const Candidate& self, std::span<const Candidate> peers,
                 std::uint64_t term);

/// True for a weak node that started `up` ago, is still discovering its peers
/// and knows no stronger one.
bool ShouldWaitForStrongerPeers(const Candidate& self,
                                std::span<const Candidate> peers, Millis up);

/// How long the candidate of `rank` waits before it takes a free lease.
Millis TakeoverDelay(int rank, bool expects_stronger);

/// Whether a node that has led for `led` hands the lease over to a stronger
/// node.
/// `peers` are the nodes that contacted it recently; `since_last` is the time
/// since its last handover.
bool ShouldHandOver(const Candidate& self, std::span<const Candidate> peers,
                    Millis led, std::optional<Millis> since_last);

/// How long the heartbeat must be unchanged before a candidate with the
/// takeover delay `wait` takes the lease. `reading` is the duration of a store
/// read.
Millis RequiredSilence(bool holder_stalls, Millis reading, Millis wait);

/// A candidate and what it knows when it takes the lease.
struct Takeover {
  std::uint64_t incarnation = 0;
  /// The last holder is known to send no more orders.
  bool holder_stopped = false;
  /// The last holder's newest renewal was sent before this.
  Millis renewed_before{0};
  Millis now{0};
  std::int64_t store_ms = 0;  ///< The store's clock, at `now` or before.
  /// Minimum time between VM orders of two holders.
  Millis machine_turn{0};
};

/// Bounds on the orders of all earlier holders, by the candidate's clock.
struct EarlierHolders {
  Millis renewed{0};         ///< Their newest renewal was sent before this.
  Millis orders_end{0};      ///< They send no orders after this.
  Millis vm_orders_from{0};  ///< From then on the next holder may order VMs.
  /// The last two by the store's clock, for the new holder's row.
  std::int64_t orders_end_ms = 0;
  std::int64_t vm_orders_from_ms = 0;
};

EarlierHolders BoundEarlierHolders(const LeaseView& view,
                                   const Takeover& takeover);

/// Detects a holder that no longer renews the lease.
class HeartbeatMonitor {
 public:
  /// The rows were read at `now`. `age` is a lower bound of the newest
  /// renewal's age by the store's clock; 0: unknown.
  void OnRead(const LeaseView& view, Millis now, Millis age = {0});
  /// The holder reported the version of its newest heartbeat at `now`.
  void OnHolderReport(std::uint64_t version, Millis now);
  /// A read failed: the silence before it no longer counts.
  void OnReadFailed() { since_ = std::nullopt; }
  /// True when the heartbeat was unchanged for `length` while the store was
  /// readable.
  [[nodiscard]] bool IsSilent(Millis now, Millis length) const {
    return since_ && now - *since_ >= length;
  }
  /// The holder's last renewal was sent before this.
  [[nodiscard]] Millis renewed_before() const { return first_seen_; }

 private:
  std::uint64_t version_ = 0;
  Millis first_seen_{0};
  Millis last_read_{0};
  std::optional<Millis> since_;
};

/// State of an unanswered commit, derived from reading the lease rows.
enum class CommitStatus : std::uint8_t {
  kDone,
  kLeaseLost,
  kNotReceived,  ///< Not applied, and the store is fast: send it again.
  kStoreSlow,    ///< Not applied, and a resend would slow the store further.
};

/// Derives the state of the commit that writes `heartbeat` under the fencing
/// token `fence`. `read_time` is how long the read of `view` lasted.
CommitStatus ClassifyReadBack(const LeaseView& view, std::string_view heartbeat,
                              std::uint64_t fence, Millis read_time);

/// Counts the sends of one transaction and their outcomes. All sends carry the
/// same conditions, so at most one of them is applied.
class CommitSends {
 public:
  void OnSend() { ++sent_; }
  /// One send ended; `refused`: the store has certainly not applied it.
  void OnEnd(bool refused) {
    ++ended_;
    if (refused) ++refused_;
  }
  [[nodiscard]] int in_flight() const { return sent_ - ended_; }
  /// True when no send was applied or can still be applied.
  [[nodiscard]] bool AllRefused() const { return sent_ == refused_; }

 private:
  int sent_ = 0;
  int ended_ = 0;
  int refused_ = 0;
};

/// Adaptive timeout after which an unanswered transaction is sent again, which
/// is safe. It follows the store's response time, so that a lost response costs
/// little and a slow store isn't overloaded.
class CommitTimeout {
 public:
  [[nodiscard]] Millis value() const { return value_; }
  /// Moving average of recent commit durations.
  [[nodiscard]] Millis typical() const {
    return Millis{static_cast<std::int64_t>(typical_ms_)};
  }
  void OnAnswer(Millis latency);
  void OnTimeout();

 private:
  Millis value_{1000};
  double typical_ms_ = 150;
};

}  // namespace hemlockward::node
