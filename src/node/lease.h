#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "base/clock.h"
#include "platform/codec.h"

/// Who leads. Two rows of the store in the same part as all others: `lease`
/// changes hands only, so its version is the fencing token and a condition of
/// every commit; `beat` changes with every commit, so that a commit whose
/// answer was lost can't take effect once another one has.
namespace hemlockward::node {

using base::Millis;

inline constexpr const char* kPart = "main";
inline constexpr const char* kLeaseTable = "lead";
inline constexpr const char* kLeaseKey = "lease";
inline constexpr const char* kBeatKey = "beat";

/// A leader gives orders for so long after its last renewal was sent. Longer
/// than most outages of the store; short enough to bound what an unreachable
/// worker may still be running after a takeover.
inline constexpr Millis kOrderLimit{4000};
/// The same for machine orders, which no worker's fence guards.
inline constexpr Millis kMachineOrderLimit{1000};
inline constexpr Millis kRenewInterval{400};
/// A renewal this late, while the store can be read, is taken as silence.
/// Above the renewal interval and one commit at a sixtieth of the store's
/// speed (0.55 s); below `kOrderLimit`, which workers' fences make safe.
inline constexpr Millis kSilence{1300};
/// Enough when the holder itself says that it can't renew.
inline constexpr Millis kStall{300};
/// Candidates follow one another at this distance, so that a store that is slow
/// isn't flooded by all of them: a free lease is taken within 10 ms at its
/// usual speed.
inline constexpr Millis kRankStep{100};
/// Silence shorter than this many readings at the store's present speed may
/// only show that the store is slow.
inline constexpr int kSlowReadings = 5;
/// Readings further apart than this don't show that the beat stood still.
inline constexpr Millis kReadingGap{900};

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
std::string EncodeBeat(std::uint64_t term, std::uint64_t number,
                       std::int64_t store_ms);
/// The time in a beat row; nullopt when it can't be read.
std::optional<std::int64_t> BeatTime(std::string_view beat);

/// The two rows as last read; versions are 0 while a row doesn't exist.
struct LeaseView {
  std::uint64_t lease_version = 0;
  std::uint64_t beat_version = 0;
  std::string beat;
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

/// How long the holder's beat must stand still before the candidate of `rank`
/// takes the lease, when a reading of the store takes `reading`.
Millis TakeoverSilence(bool holder_stalls, Millis reading, int rank);

/// Watches the beat and says when its holder is silent.
class BeatWatch {
 public:
  /// The rows were read at `now`.
  void OnRead(const LeaseView& view, Millis now);
  /// The holder itself named its newest beat at `now`.
  void OnHeard(std::uint64_t version, Millis now);
  /// A reading failed: the time before it proves nothing.
  void OnUnreadable() { since_ = std::nullopt; }
  /// True when the beat stood still for so long while the store was read.
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

/// How long a commit's answer is awaited before the same transaction is sent
/// again, which is safe: it follows the store's pace, so that a lost answer
/// costs little and a slow store isn't flooded.
class CommitTimeout {
 public:
  [[nodiscard]] Millis value() const { return value_; }
  void OnAnswer(Millis took);
  void OnSilence();

 private:
  Millis value_{1000};
  double usual_ms_ = 150;
};

}  // namespace hemlockward::node
