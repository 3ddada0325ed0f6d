#include "entry/view_guard.h"

#include <algorithm>
#include <utility>

namespace hemlockward::entry {

ViewGuard::ViewGuard(base::EntryRow self, base::Millis view_lease)
    : self_(std::move(self)),
      freshness_(self_.entry, view_lease),
      view_(std::make_shared<base::FleetView>()) {}

void ViewGuard::Install(std::shared_ptr<const base::FleetView> view) {
  const std::lock_guard lock(mutex_);
  if (view->revision < view_->revision) return;  // From a slower thread.
  view_ = std::move(view);
  UpdateServingDeadline();
}

void ViewGuard::OnTableRead(base::Millis sent, base::Revision revision) {
  const std::lock_guard lock(mutex_);
  freshness_.OnTableRead(sent, revision);
  UpdateServingDeadline();
}

void ViewGuard::OnPeerReply(const base::EntryId& peer,
                            base::Incarnation incarnation, base::Millis sent,
                            base::Revision revision) {
  const std::lock_guard lock(mutex_);
  freshness_.OnPeerReply(peer, incarnation, sent, revision);
  UpdateServingDeadline();
}

std::string ViewGuard::Reason(base::Millis now) const {
  if (CanServe(now)) return {};
  const std::lock_guard lock(mutex_);
  if (view_->revision == 0) return "no view of the fleet yet";
  if (!IsCommitted()) return "this entry isn't in the membership yet";
  return "the view of the fleet is too old";
}

bool ViewGuard::IsCommitted() const {
  return std::ranges::any_of(
      view_->membership.entries, [this](const base::EntryRow& it) {
        return it.entry == self_.entry && it.incarnation == self_.incarnation;
      });
}

void ViewGuard::UpdateServingDeadline() {
  if (!IsCommitted()) {
    serves_until_ms_ = 0;
    return;
  }
  serves_until_ms_ =
      freshness_.CanServeUntil(view_->membership.entries, view_->revision)
          .count;
}

}  // namespace hemlockward::entry
