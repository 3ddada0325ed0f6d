#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "node/lease.h"

/// The other nodes that a node knows. Every node contacts the leader, so the
/// leader hears of all of them and reports a part of them in each answer: the
/// size of an answer must not grow with the number of nodes.
namespace hemlockward::node {

/// A peer without contact and without report for this long is forgotten.
inline constexpr Millis kPeerExpiry = base::Seconds(30);
/// A peer is reported to others only if it was in contact this recently, so
/// that nodes that have gone don't keep circulating.
inline constexpr Millis kReportedPeerAge = base::Seconds(3);
/// Least number of peers in one report.
inline constexpr std::size_t kMinPeersPerReport = 16;
/// A report holds at least one peer in this many: a node that reads three
/// reports a second then misses a peer for `kPeerExpiry` once in a million.
inline constexpr std::size_t kReportsPerRound = 8;
/// The candidates of the lowest ranks check the leader every `kCheckInterval`,
/// the others less often: the leader answers all of them.
inline constexpr int kPromptCandidates = 8;
inline constexpr Millis kCheckInterval{300};
inline constexpr Millis kRelaxedCheckInterval{900};

inline Millis CheckInterval(int rank) {
  return rank < kPromptCandidates ? kCheckInterval : kRelaxedCheckInterval;
}

class PeerTable {
 public:
  /// `own` is this node's address, which is never in the table.
  explicit PeerTable(std::string own) : own_(std::move(own)) {}

  /// The peer was in contact. Returns true if it was unknown.
  bool OnContact(const std::string& address, Millis now);
  /// Another node reported these peers and the strengths of some.
  void OnReport(std::span<const std::string> peers,
                const std::map<std::string, int>& strengths, Millis now);
  void SetConfigVersion(const std::string& address, std::int64_t version);
  /// Version of the configuration that the peer reported last.
  [[nodiscard]] std::optional<std::int64_t> ConfigVersion(
      const std::string& address) const;
  void Expire(Millis now);

  /// Peers to report now; successive reports go through all of them. With
  /// `all`, every peer that was in contact lately.
  std::vector<std::string> NextReport(Millis now, bool all);
  /// 0: unknown.
  [[nodiscard]] int Strength(const std::string& address) const;
  /// Peers known within `max_age`, except `excluded`. With `in_contact`, only
  /// those that were in contact themselves.
  [[nodiscard]] std::vector<Candidate> Candidates(
      Millis now, Millis max_age, bool in_contact,
      std::string_view excluded) const;
  /// The peer at position `random` modulo the size; empty if there is none.
  [[nodiscard]] std::string At(std::uint64_t random) const;
  [[nodiscard]] std::size_t size() const { return peers_.size(); }

 private:
  struct Peer {
    std::optional<Millis> contact;
    Millis known{0};  ///< Last contact or report.
    std::optional<std::int64_t> config_version;
    int strength = 0;
  };

  std::string own_;
  std::map<std::string, Peer, std::less<>> peers_;
  std::string last_reported_;
};

}  // namespace hemlockward::node
