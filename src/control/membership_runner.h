#pragma once

#include <boost/asio/awaitable.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "base/log.h"
#include "control/change_writer.h"
#include "control/entry_contacts.h"
#include "control/fleet_state.h"
#include "control/lease_keeper.h"
#include "control/membership_keeper.h"
#include "platform/platform.h"

/// Writes the membership decisions to the table while this process holds the
/// first shard.
namespace hemlockward::control {

template <platform::Table TableT, base::ClockSource Clock>
class MembershipRunner {
 public:
  MembershipRunner(TableT& table, const Clock& clock, peer::ViewStore& store,
                   ChangeWriter<TableT>& writer,
                   LeaseKeeper<TableT, Clock>& leases, EntryContacts& contacts,
                   FleetState& state, MembershipSettings settings)
      : table_(table),
        clock_(clock),
        store_(store),
        writer_(writer),
        leases_(leases),
        contacts_(contacts),
        state_(state),
        settings_(settings) {}

  /// Takes at most one membership step. Poll the view just before.
  boost::asio::awaitable<void> Tick() {
    const auto fence = leases_.FenceIfHeld(0);
    if (!fence) co_return Reset();
    auto page = co_await table_.Scan("entry/", "", kMaxEntries);
    if (!page) co_return;
    std::vector<std::string> keys{"membership"};
    auto rows = co_await table_.Read(std::move(keys));
    if (!rows) co_return;
    const platform::Row row =
        rows->empty() ? platform::Row{"membership", 0, {}} : rows->front();
    const auto view = store_.Snapshot();
    if (!GatherInputs(*page, row, *view)) co_return;
    MembershipStep step = NextMembershipStep(inputs_, contacts_, settings_,
                                             clock_.Now(), clock_.Wall());
    if (step.act == MembershipAction::kNone) co_return;
    co_await Write(std::move(step), row.version, *fence);
  }

  /// All registered entries, whether members or not yet. Each gets heartbeats.
  [[nodiscard]] std::vector<base::EntryRow> Registered() const {
    const std::lock_guard lock(mutex_);
    return registered_;
  }

 private:
  static constexpr int kMaxEntries = 256;
  static constexpr std::string_view kWaiterName = "membership";

  void Reset() {
    watching_ = false;
    pending_row_version_ = 0;
    state_.SetAwaitedRevisions(kWaiterName, {});
    const std::lock_guard lock(mutex_);
    registered_.clear();
  }

  // Fills `inputs_`. Returns false while the view lags behind the row, because
  // the revision of the pending change isn't known then.
  bool GatherInputs(const platform::ScanPage& page, const platform::Row& row,
                    const base::FleetView& view) {
    const base::Millis now = clock_.Now();
    inputs_.registered.clear();
    for (const platform::Row& it : page.rows) {
      const auto entry = base::DecodeEntryRow(it.value);
      if (entry) inputs_.registered.push_back(*entry);
    }
    if (!watching_ && !inputs_.registered.empty()) {
      watching_ = true;
      inputs_.watching_since = now;
    }
    {
      const std::lock_guard lock(mutex_);
      registered_ = inputs_.registered;
    }
    inputs_.membership = view.membership;
    if (row.version != 0 && base::Encode(view.membership) != row.value) {
      return false;
    }
    TrackPending(row.version, view, now);
    for (const base::EntryRow& it :
         EndedMembers(inputs_.membership, inputs_.registered)) {
      contacts_.OnGone(it.entry, it.incarnation, now);
    }
    ReportGoneVms(now);
    return true;
  }

  // Reports entries whose VM the platform lists as gone. This applies to
  // entries that are named after their VM.
  void ReportGoneVms(base::Millis now) {
    for (const base::EntryRow& it : inputs_.membership.entries) {
      const auto listed = state_.Listed(base::VmId(it.entry.value));
      if (listed != platform::ListedState::kGone) continue;
      contacts_.OnGone(it.entry, it.incarnation, now);
    }
  }

  void TrackPending(platform::RowVersion version, const base::FleetView& view,
                    base::Millis now) {
    const bool pending = !view.membership.pending.entry.empty();
    if (!pending) {
      pending_row_version_ = 0;
      return state_.SetAwaitedRevisions(kWaiterName, {});
    }
    if (pending_row_version_ != version) {
      pending_row_version_ = version;
      inputs_.pending_since = view.revision;
      state_.SetAwaitedRevisions(kWaiterName, {view.revision});
    }
    contacts_.Tick(view.membership.entries, state_.AwaitedRevisions(), now);
  }

  boost::asio::awaitable<void> Write(MembershipStep step,
                                     platform::RowVersion version,
                                     Fence fence) {
    Change change;
    change.conditions = {{"membership", version}, fence.condition()};
    change.rows = {{"membership", base::Encode(step.next)}};
    auto accepted = co_await writer_.Write(std::move(change));
    if (!accepted) co_return;
    base::LogLine(base::LogLevel::kInfo, "membership")
        .With("act", ToText(step.act))
        .With("number", step.next.number)
        .With("entries", step.next.entries.size())
        .With("pending", step.next.pending.entry.value)
        .With("revision", accepted->revision)
        .With("reason", step.reason);
  }

  TableT& table_;
  const Clock& clock_;
  peer::ViewStore& store_;
  ChangeWriter<TableT>& writer_;
  LeaseKeeper<TableT, Clock>& leases_;
  EntryContacts& contacts_;
  FleetState& state_;
  MembershipSettings settings_;
  MembershipInputs inputs_;
  bool watching_ = false;
  platform::RowVersion pending_row_version_ = 0;
  mutable std::mutex mutex_;  // Guards registered_.
  std::vector<base::EntryRow> registered_;
};

}  // namespace hemlockward::control
