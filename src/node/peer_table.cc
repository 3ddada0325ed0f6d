#include "node/peer_table.h"

#include <algorithm>
#include <iterator>

namespace hemlockward::node {

bool PeerTable::OnContact(const std::string& address, Millis now) {
  if (address.empty() || address == own_) return false;
  const auto [it, added] = peers_.try_emplace(address);
  it->second.contact = it->second.known = now;
  return added;
}

void PeerTable::OnReport(std::span<const std::string> peers,
                         const std::map<std::string, int>& strengths,
                         Millis now) {
  for (const std::string& it : peers) {
    if (it != own_ && !it.empty()) peers_[it].known = now;
  }
  for (const auto& [address, strength] : strengths) {
    const auto peer = peers_.find(address);
    if (peer != peers_.end()) peer->second.strength = strength;
  }
}

void PeerTable::SetConfigVersion(const std::string& address,
                                 std::int64_t version) {
  const auto it = peers_.find(address);
  if (it != peers_.end()) it->second.config_version = version;
}

std::optional<std::int64_t> PeerTable::ConfigVersion(
    const std::string& address) const {
  const auto it = peers_.find(address);
  return it == peers_.end() ? std::nullopt : it->second.config_version;
}

void PeerTable::Expire(Millis now) {
  std::erase_if(peers_, [now](const auto& it) {
    return now - it.second.known >= kPeerExpiry;
  });
}

std::vector<std::string> PeerTable::NextReport(Millis now, bool all) {
  std::vector<std::string> report;
  const std::size_t part =
      std::max(kMinPeersPerReport, peers_.size() / kReportsPerRound);
  const std::size_t limit = all ? peers_.size() : part;
  auto it = peers_.upper_bound(last_reported_);
  for (std::size_t i = 0; i < peers_.size() && report.size() < limit; ++i) {
    if (it == peers_.end()) it = peers_.begin();
    const auto& [address, peer] = *it;
    if (peer.contact && now - *peer.contact < kReportedPeerAge) {
      report.push_back(address);
    }
    ++it;
  }
  if (!report.empty()) last_reported_ = report.back();
  return report;
}

int PeerTable::Strength(const std::string& address) const {
  const auto it = peers_.find(address);
  return it == peers_.end() ? 0 : it->second.strength;
}

std::vector<Candidate> PeerTable::Candidates(Millis now, Millis max_age,
                                             bool in_contact,
                                             std::string_view excluded) const {
  std::vector<Candidate> candidates;
  for (const auto& [address, peer] : peers_) {
    if (address == excluded || (in_contact && !peer.contact)) continue;
    const Millis last = in_contact ? *peer.contact : peer.known;
    if (now - last < max_age) candidates.push_back({address, peer.strength});
  }
  return candidates;
}

std::string PeerTable::At(std::uint64_t random) const {
  if (peers_.empty()) return {};
  const auto position = static_cast<std::ptrdiff_t>(random % peers_.size());
  return std::next(peers_.begin(), position)->first;
}

}  // namespace hemlockward::node
