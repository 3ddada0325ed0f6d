#include "node/lease.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <tuple>

#include "base/random.h"

namespace hemlockward::node {

namespace json = boost::json;

// The incarnation is a string because JSON readers may round 64-bit numbers.
std::string EncodeLease(const LeaseRow& row) {
  return json::serialize(
      json::object{{"holder", row.holder},
                   {"address", row.address},
                   {"incarnation", std::to_string(row.incarnation)},
                   {"term", row.term},
                   {"released", row.released},
                   {"machine_order_age", row.vm_order_age.count},
                   {"earlier_orders_end", row.earlier_orders_end_ms},
                   {"machine_orders_from", row.vm_orders_from_ms},
                   {"lost_holders", row.lost_holders}});
}

std::optional<LeaseRow> DecodeLease(std::string_view text) {
  boost::system::error_code ec;
  const json::value value = json::parse(text, ec);
  if (ec || !value.is_object()) return std::nullopt;
  const json::object& object = value.get_object();
  const json::value* holder = object.if_contains("holder");
  const json::value* address = object.if_contains("address");
  const json::value* incarnation = object.if_contains("incarnation");
  const json::value* term = object.if_contains("term");
  const json::value* released = object.if_contains("released");
  if (!holder || !holder->is_string() || !address || !address->is_string() ||
      !incarnation || !incarnation->is_string() || !term ||
      !term->is_number() || !released || !released->is_bool()) {
    return std::nullopt;
  }
  LeaseRow row;
  row.holder = std::string_view(holder->get_string());
  row.address = std::string_view(address->get_string());
  row.incarnation =
      std::strtoull(incarnation->get_string().c_str(), nullptr, 10);
  row.term = term->to_number<std::uint64_t>(ec);
  if (ec) return std::nullopt;
  row.released = released->get_bool();
  const auto integer = [&object](std::string_view name) {
    const json::value* it = object.if_contains(name);
    return it && it->is_int64() ? it->get_int64() : 0;
  };
  row.vm_order_age = {integer("machine_order_age")};
  row.earlier_orders_end_ms = integer("earlier_orders_end");
  row.vm_orders_from_ms = integer("machine_orders_from");
  row.lost_holders = static_cast<int>(integer("lost_holders"));
  return row;
}

std::string EncodeHeartbeat(std::uint64_t term, std::uint64_t number,
                            std::int64_t store_ms) {
  return std::to_string(term) + "." + std::to_string(number) + "@" +
         std::to_string(store_ms);
}

std::optional<std::int64_t> ParseHeartbeatTime(std::string_view heartbeat) {
  const std::size_t at = heartbeat.find('@');
  if (at == std::string_view::npos) return std::nullopt;
  std::int64_t ms = 0;
  const char* end = heartbeat.data() + heartbeat.size();
  const auto [stop, ec] = std::from_chars(heartbeat.data() + at + 1, end, ms);
  if (ec != std::errc() || stop != end) return std::nullopt;
  return ms;
}

HolderStatus ClassifyHolder(const LeaseRow& holder, const PeerStatus& report) {
  if (report.incarnation != holder.incarnation) return HolderStatus::kReplaced;
  if (!report.leads) {
    return report.term < holder.term || holder.term == 0
               ? HolderStatus::kAcquiring
               : HolderStatus::kSteppedDown;
  }
  // A slow store delays renewals.
  const Millis slow = kRenewInterval + Millis{2 * report.commit_ms};
  const Millis max_age = std::max(kLateRenewalAge, slow);
  return report.renewal_age_ms >= max_age.count ? HolderStatus::kStalled
                                                : HolderStatus::kLeads;
}

LeaseView ReadLease(std::span<const platform::StoreRow> rows) {
  LeaseView view;
  for (const platform::StoreRow& it : rows) {
    if (it.table != kLeaseTable) continue;
    if (it.key == kLeaseKey) {
      view.lease_version = it.version;
      view.lease = DecodeLease(it.value);
    }
    if (it.key == kHeartbeatKey) {
      view.heartbeat_version = it.version;
      view.heartbeat = it.value;
    }
  }
  return view;
}

namespace {

// Weaker nodes wait for stronger ones after a start. A leader sends each task's
// payload, up to 4 kB, 1,500 times a second in the largest deployments.
constexpr int kUsualStrength = 2;
// Processor and link of the lowest step.
constexpr double kStepCpuShare = 0.05;
constexpr double kStepLinkMbps = 12.5;

/// A time by the store's clock may lag by one slow response of the store (0.55
/// s at 1/60 of its speed), because nodes learn the store's clock from
/// responses.
constexpr Millis kHeartbeatTimeSlack{600};

bool HasStrongerNode(std::span<const Candidate> peers, int strength) {
  return std::any_of(
      peers.begin(), peers.end(),
      [strength](const Candidate& it) { return it.strength > strength; });
}

}  // namespace

CommitStatus ClassifyReadBack(const LeaseView& view, std::string_view heartbeat,
                              std::uint64_t fence, Millis read_time) {
  if (view.lease_version != fence) return CommitStatus::kLeaseLost;
  if (view.heartbeat == heartbeat) return CommitStatus::kDone;
  return read_time < kSlowStoreRead ? CommitStatus::kNotReceived
                                    : CommitStatus::kStoreSlow;
}

int LeaderStrength(double cpu_share, double link_mbps) {
  const double steps =
      std::min(cpu_share / kStepCpuShare, link_mbps / kStepLinkMbps);
  return steps < 1 ? 0 : static_cast<int>(std::log2(steps));
}

int TakeoverRank(const Candidate& self, std::span<const Candidate> peers,
                 std::uint64_t term) {
  const auto place = [term](const Candidate& it) {
    return std::tuple(-it.strength, base::StableHash(it.address, term),
                      it.address);
  };
  const auto own = place(self);
  return static_cast<int>(
      std::count_if(peers.begin(), peers.end(), [&](const Candidate& it) {
        return it.address != self.address && place(it) < own;
      }));
}

bool ShouldWaitForStrongerPeers(const Candidate& self,
                                std::span<const Candidate> peers, Millis up) {
  return self.strength < kUsualStrength && up < kPeerDiscoveryPeriod &&
         !HasStrongerNode(peers, self.strength);
}

Millis TakeoverDelay(int rank, bool expects_stronger) {
  return kTakeoverRankDelay * rank +
         (expects_stronger ? kWeakNodeDelay : Millis{0});
}

bool ShouldHandOver(const Candidate& self, std::span<const Candidate> peers,
                    Millis led, std::optional<Millis> since_last) {
  if (led < kMinLeadTime || !HasStrongerNode(peers, self.strength)) {
    return false;
  }
  return !since_last || *since_last >= kMinHandoverInterval;
}

EarlierHolders BoundEarlierHolders(const LeaseView& view,
                                   const Takeover& takeover) {
  const Millis now = takeover.now;
  const bool first = !view.lease;
  const bool released = view.lease && view.lease->released;
  const bool ended = first || released || takeover.holder_stopped ||
                     view.lease->incarnation == takeover.incarnation;
  EarlierHolders earlier;
  earlier.renewed = takeover.renewed_before;
  if (const auto heartbeat = ParseHeartbeatTime(view.heartbeat);
      heartbeat && takeover.store_ms > *heartbeat) {
    const Millis age{takeover.store_ms - *heartbeat};
    earlier.renewed =
        std::min(earlier.renewed, now - age + kHeartbeatTimeSlack);
  }
  earlier.orders_end = earlier.renewed + kOrderValidity;
  if (ended) earlier.orders_end = std::min(now, earlier.orders_end);
  earlier.vm_orders_from = now + takeover.machine_turn;
  if (first) {
    earlier.vm_orders_from = now;
  } else if (released) {
    earlier.vm_orders_from = earlier.vm_orders_from - view.lease->vm_order_age;
  } else if (!ended) {
    earlier.vm_orders_from =
        std::max(now, takeover.renewed_before + kVmOrderValidity) +
        takeover.machine_turn;
  }
  if (takeover.store_ms <= 0) return earlier;
  // Holders before the last one may still act, on what the last one knew.
  const auto bound = [&](Millis& time, std::int64_t known_ms) {
    const Millis lag = kHeartbeatTimeSlack;
    const std::int64_t own_ms = takeover.store_ms + (time + lag - now).count;
    if (known_ms > 0) {
      time = std::max(time, now + Millis{known_ms - takeover.store_ms});
    }
    return std::max(known_ms, own_ms);
  };
  const LeaseRow known = view.lease.value_or(LeaseRow{});
  earlier.orders_end_ms =
      bound(earlier.orders_end, known.earlier_orders_end_ms);
  earlier.vm_orders_from_ms =
      bound(earlier.vm_orders_from, known.vm_orders_from_ms);
  return earlier;
}

Millis RequiredSilence(bool holder_stalls, Millis reading, Millis wait) {
  const Millis least =
      holder_stalls ? kStalledHolderSilence : kHolderSilenceLimit;
  return std::max(least, reading * kMinSilentReads) + wait;
}

void HeartbeatMonitor::OnHolderReport(std::uint64_t version, Millis now) {
  version_ = version;
  first_seen_ = last_read_ = now;
  since_ = now;
}

void HeartbeatMonitor::OnRead(const LeaseView& view, Millis now, Millis age) {
  const bool gap = !since_ || now - last_read_ > kMaxReadGap;
  if (view.heartbeat_version != version_) {
    version_ = view.heartbeat_version;
    first_seen_ = now;
    // Silence starts at the renewal, but not before the last successful read.
    since_ = gap ? now : std::max(last_read_, now - age);
  } else if (gap) {
    since_ = now;
  }
  last_read_ = now;
}

namespace {

constexpr Millis kMinTimeout{150};
constexpr Millis kMaxTimeout{1500};
// Ratio of the timeout to the typical response time.
constexpr double kTimeoutFactor = 6;
// Weight of the newest response time in the moving average.
constexpr double kNewestWeight = 0.2;

}  // namespace

void CommitTimeout::OnAnswer(Millis latency) {
  typical_ms_ +=
      kNewestWeight * (static_cast<double>(latency.count) - typical_ms_);
  value_ = {static_cast<std::int64_t>(typical_ms_ * kTimeoutFactor)};
  value_ = std::clamp(value_, kMinTimeout, kMaxTimeout);
}

void CommitTimeout::OnTimeout() { value_ = std::min(value_ * 2, kMaxTimeout); }

}  // namespace hemlockward::node
