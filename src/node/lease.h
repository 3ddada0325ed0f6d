#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "platform/codec.h"

/// Who leads. Two rows of the store in the same part as all others: `lease`
/// changes hands only, so its version is the fencing token and a condition of
/// every commit; `heartbeat` changes with every commit, so that a commit whose
/// answer was lost can't take effect once another one has.
namespace hemlockward::node {

using base::Millis;

inline constexpr const char* kPart = "main";
inline constexpr const char* kLeaseTable = "lead";
inline constexpr const char* kLeaseKey = "lease";
inline constexpr const char* kHeartbeatKey = "beat";

/// A leader gives orders for so long after its last renewal was sent. Longer
/// than most outages of the store; short enough to bound what an unreachable
/// worker may still be running after a takeover.
inline constexpr Millis kOrderValidity{4000};
/// The same for machine orders, which no worker's fence guards.
inline constexpr Millis kVmOrderValidity{1000};
inline constexpr Millis kRenewInterval{400};
/// A renewal this late, while the store can be read, is taken as silence.
/// Above the renewal interval and one commit at a sixtieth of the store's
/// speed (0.55 s); below `kOrderValidity`, which workers' fences make safe.
inline constexpr Millis kHolderSilenceLimit{1300};
/// A holder whose newest renewal is older than this may be cut off from the
/// store: one renewal and what it takes while the store is well.
inline constexpr Millis kLateRenewalAge{700};
/// Enough when the holder itself says that it can't renew.
inline constexpr Millis kStalledHolderSilence{300};
/// A reading that takes longer shows that the store is slow: it answers in 4
/// ms.
inline constexpr Millis kSlowStoreRead{60};
/// Candidates follow one another at this distance, so that a store that
/// is slow isn't flooded by all of them: a free lease is taken within 10 ms at
/// its typical speed.
inline constexpr Millis kTakeoverRankDelay{100};
/// A small node that has just started waits this much longer, as larger ones
/// may be about to come: the nodes of a deployment start within 0.3 s of each
/// other (DEPLOY.md), and a start takes 0.6 s.
inline constexpr Millis kSmallNodeDelay{1500};
/// For so long after its start a node may not have heard of its peers: they
/// ask the leader every 0.3 s, and a leader is found within seconds.
inline constexpr Millis kPeerDiscoveryPeriod = base::Seconds(5);
/// A small leader keeps the lease this long before it hands it to a larger
/// node: a takeover in the middle of another would cost more than it gains.
inline constexpr Millis kMinLeadTime = base::Seconds(2);
/// The least time between two of its hand-overs, in case the larger nodes can't
/// reach the store: each costs up to a second without a leader.
inline constexpr Millis kMinHandoverInterval = base::Seconds(20);
/// Silence shorter than this many readings at the store's present speed may
/// only show that the store is slow.
inline constexpr int kMinSilentReads = 5;
/// Readings further apart than this don't show that the heartbeat stood still.
inline constexpr Millis kMaxReadGap{900};

struct LeaseRow {
  std::string holder;
  std::string address;  ///< For peers' calls.
  std::uint64_t incarnation = 0;
  std::uint64_t term = 0;
  bool released = false;
  /// When released: time since the last machine order.
  Millis machine_order_age{0};
};

std::string EncodeLease(const LeaseRow& row);
std::optional<LeaseRow> DecodeLease(std::string_view text);
/// `store_ms` is the store's clock as the holder knows it; it tells a taker
/// how old the newest renewal is.
std::string EncodeHeartbeat(std::uint64_t term, std::uint64_t number,
                            std::int64_t store_ms);
/// The time in a heartbeat row; nullopt when it can't be read.
std::optional<std::int64_t> ParseHeartbeatTime(std::string_view heartbeat);

/// What a peer last said of itself.
struct PeerStatus {
  std::uint64_t incarnation = 0;
  bool leads = false;
  std::uint64_t term = 0;  ///< The newest that it has led.
  std::int64_t renewal_age_ms = 0;
  std::int64_t commit_ms = 0;  ///< What its commits usually take.
  std::uint64_t heartbeat_version = 0;
};

/// What the process at the holder's address says of the lease.
enum class HolderStatus : std::uint8_t {
  kLeads,
  kStalled,      ///< It leads, but hasn't renewed for long.
  kSteppedDown,  ///< It gives no more orders of that term.
  kReplaced,     ///< Another process answers there.
  kAcquiring,    ///< It doesn't know yet that it has the lease.
};

/// Judges the answer of the holder.
HolderStatus ClassifyHolder(const LeaseRow& holder, const PeerStatus& heard);

/// The two rows as last read; versions are 0 while a row doesn't exist.
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
  bool small = false;  ///< Little processor time or bandwidth: leads last.
};

/// The place of `self` among the candidates for the term after `term`: how many
/// of `peers` go before it. All nodes that know the same peers agree.
int TakeoverRank(const Candidate& self, std::span<const Candidate> peers,
                 std::uint64_t term);

/// True for a small node that started `up` ago and knows of no larger one.
bool ShouldWaitForLargerPeers(const Candidate& self,
                              std::span<const Candidate> peers, Millis up);

/// How long the candidate of `rank` leaves a free lease to others.
Millis TakeoverDelay(int rank, bool expects_larger);

/// Whether a node that has led for `led` hands the lease over. `peers` are
/// those that have asked it lately; its last hand-over was `since_last` ago.
bool ShouldHandOver(const Candidate& self, std::span<const Candidate> peers,
                    Millis led, std::optional<Millis> since_last);

/// How long the holder's heartbeat must stand still before a candidate that
/// waits for `wait` takes the lease, when a reading of the store takes
/// `reading`.
Millis RequiredSilence(bool holder_stalls, Millis reading, Millis wait);

/// Watches the heartbeat and says when its holder is silent.
class HeartbeatMonitor {
 public:
  /// The rows were read at `now`. `age` is how long ago, by the store's clock,
  /// the newest renewal was surely done; 0: not known.
  void OnRead(const LeaseView& view, Millis now, Millis age = {0});
  /// The holder itself named its newest heartbeat at `now`.
  void OnHolderReport(std::uint64_t version, Millis now);
  /// A reading failed: the time before it proves nothing.
  void OnReadFailed() { since_ = std::nullopt; }
  /// True when the heartbeat stood still for so long while the store was read.
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

/// What the lease's rows, read while a commit awaits its answer, say of it.
enum class CommitStatus : std::uint8_t {
  kDone,
  kLeaseLost,
  kNotReceived,  ///< The store is well and hasn't done it: send it again.
  kStoreSlow,    ///< The store is slow: sending again would slow it further.
};

/// Judges rows that took `took` to read while the commit of `heartbeat` under
/// `fence` was unanswered.
CommitStatus ClassifyReadBack(const LeaseView& view, std::string_view heartbeat,
                              std::uint64_t fence, Millis took);

/// How long a commit's answer is awaited before the same transaction is sent
/// again, which is safe: it follows the store's pace, so that a lost answer
/// costs little and a slow store isn't flooded.
class CommitTimeout {
 public:
  [[nodiscard]] Millis value() const { return value_; }
  /// What commits took lately.
  [[nodiscard]] Millis typical() const {
    return Millis{static_cast<std::int64_t>(typical_ms_)};
  }
  void OnAnswer(Millis took);
  void OnTimeout();

 private:
  Millis value_{1000};
  double typical_ms_ = 150;
};

}  // namespace hemlockward::node
