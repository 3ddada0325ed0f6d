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

/// Carries out the decisions on the committed set of entries, while this
/// process holds the first shard.
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

  /// One round; the view was polled just before.
  boost::asio::awaitable<void> Tick() {
    const auto fence = leases_.Held(0);
    if (!fence) co_return Forget();
    auto page = co_await table_.Scan("entry/", "", kMostEntries);
    if (!page) co_return;
    std::vector<std::string> keys{"membership"};
    auto rows = co_await table_.Read(std::move(keys));
    if (!rows) co_return;
    const platform::Row row =
        rows->empty() ? platform::Row{"membership", 0, {}} : rows->front();
    const auto view = store_.Snapshot();
    if (!Prepare(*page, row, *view)) co_return;
    MembershipStep step = NextMembershipStep(input_, contacts_, settings_,
                                             clock_.Now(), clock_.Wall());
    if (step.act == MembershipAct::kNone) co_return;
    co_await Write(std::move(step), row.version, *fence);
  }

  /// Entries to exchange heartbeats with: members and those that may join.
  [[nodiscard]] std::vector<base::EntryRow> Registered() const {
    const std::lock_guard lock(mutex_);
    return registered_;
  }

 private:
  static constexpr int kMostEntries = 256;
  static constexpr std::string_view kWaiter = "membership";

  void Forget() {
    watching_ = false;
    pending_row_ = 0;
    state_.SetAwaitedRevisions(kWaiter, {});
    const std::lock_guard lock(mutex_);
    registered_.clear();
  }

  // Gathers what the decision needs. Returns false while the view lags behind
  // the row, since the revision of the pending change isn't known then.
  bool Prepare(const platform::ScanPage& page, const platform::Row& row,
               const base::FleetView& view) {
    const base::Millis now = clock_.Now();
    input_.registered.clear();
    for (const platform::Row& it : page.rows) {
      const auto entry = base::DecodeEntryRow(it.value);
      if (entry) input_.registered.push_back(*entry);
    }
    if (!watching_ && !input_.registered.empty()) {
      watching_ = true;
      input_.watching_since = now;
    }
    {
      const std::lock_guard lock(mutex_);
      registered_ = input_.registered;
    }
    input_.membership = view.membership;
    if (row.version != 0 && base::Encode(view.membership) != row.value) {
      return false;
    }
    NotePending(row.version, view, now);
    for (const base::EntryRow& it :
         EndedMembers(input_.membership, input_.registered)) {
      contacts_.OnGone(it.entry, it.incarnation, now);
    }
    NoteListedAsGone(now);
    return true;
  }

  // The platform's word that an entry's VM is gone, for entries that are named
  // after their VM.
  void NoteListedAsGone(base::Millis now) {
    for (const base::EntryRow& it : input_.membership.entries) {
      const auto listed = state_.Listed(base::VmId(it.entry.value));
      if (listed != platform::ListedState::kGone) continue;
      contacts_.OnGone(it.entry, it.incarnation, now);
    }
  }

  void NotePending(platform::RowVersion version, const base::FleetView& view,
                   base::Millis now) {
    const bool pending = !view.membership.pending.entry.empty();
    if (!pending) {
      pending_row_ = 0;
      return state_.SetAwaitedRevisions(kWaiter, {});
    }
    if (pending_row_ != version) {
      pending_row_ = version;
      input_.pending_since = view.revision;
      state_.SetAwaitedRevisions(kWaiter, {view.revision});
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
  MembershipView input_;
  bool watching_ = false;
  platform::RowVersion pending_row_ = 0;
  mutable std::mutex mutex_;  // Guards registered_.
  std::vector<base::EntryRow> registered_;
};

}  // namespace hemlockward::control
