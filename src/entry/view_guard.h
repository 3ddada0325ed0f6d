#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "base/fleet.h"
#include "peer/freshness.h"

namespace hemlockward::entry {

/// Says at any moment, without a lock, whether the installed view may still be
/// routed by: peer::ViewFreshness over what this entry has heard, and this
/// incarnation being a committed entry. Thread-safe.
class ViewGuard {
 public:
  ViewGuard(base::EntryRow self, base::Millis view_lease);

  /// The view that decisions are taken on from now on.
  void Install(std::shared_ptr<const base::FleetView> view);
  /// A table read sent at `sent` saw `revision` as the newest.
  void OnTableRead(base::Millis sent, base::Revision revision);
  /// A peer answered the heartbeat sent at `sent`.
  void OnPeerReply(const base::EntryId& peer, base::Incarnation incarnation,
                   base::Millis sent, base::Revision revision);

  [[nodiscard]] bool CanServe(base::Millis now) const {
    return now.count < serves_until_ms_;
  }
  /// Why CanServe is false; empty when it is true.
  [[nodiscard]] std::string Reason(base::Millis now) const;

 private:
  void UpdateServingDeadline();
  [[nodiscard]] bool IsCommitted() const;

  base::EntryRow self_;
  mutable std::mutex mutex_;  // Guards all below but the atomic.
  peer::ViewFreshness freshness_;
  std::shared_ptr<const base::FleetView> view_;
  std::atomic<std::int64_t> serves_until_ms_{0};
};

}  // namespace hemlockward::entry
