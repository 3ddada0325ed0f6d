#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "base/fleet.h"
#include "peer/freshness.h"

namespace hemlockward::entry {

/// Decides whether the installed view may still be used for routing. The view
/// must be fresh by peer::ViewFreshness, and this incarnation must be a
/// committed entry. CanServe takes no lock. Thread-safe.
class ViewGuard {
 public:
  ViewGuard(base::EntryRow self, base::Millis view_lease);

  /// Replaces the view on which routing is based.
  void Install(std::shared_ptr<const base::FleetView> view);
  /// Records that a table read sent at `sent` returned `revision` as the
  /// newest.
  void OnTableRead(base::Millis sent, base::Revision revision);
  /// Records a peer's answer to the heartbeat sent at `sent`.
  void OnPeerReply(const base::EntryId& peer, base::Incarnation incarnation,
                   base::Millis sent, base::Revision revision);

  [[nodiscard]] bool CanServe(base::Millis now) const {
    return now.count < serves_until_ms_;
  }
  /// Why CanServe is false; empty if it is true.
  [[nodiscard]] std::string Reason(base::Millis now) const;

 private:
  void UpdateServingDeadline();
  [[nodiscard]] bool IsCommitted() const;

  base::EntryRow self_;
  mutable std::mutex mutex_;  // Guards all members below except the atomic.
  peer::ViewFreshness freshness_;
  std::shared_ptr<const base::FleetView> view_;
  std::atomic<std::int64_t> serves_until_ms_{0};
};

}  // namespace hemlockward::entry
