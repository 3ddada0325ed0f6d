#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/fleet.h"
#include "peer/freshness.h"

namespace hemlockward::peer::gen {
class HeartbeatReply;
}  // namespace hemlockward::peer::gen

/// What control knows of the entries from their heartbeats. Thread-safe.
namespace hemlockward::control {

class EntryContacts {
 public:
  explicit EntryContacts(base::Millis view_lease) : gate_(view_lease) {}

  /// An entry answered a heartbeat; `now` is the arrival of its answer.
  void OnReply(const peer::gen::HeartbeatReply& reply, base::Millis now);
  /// That incarnation has surely ended.
  void OnGone(const base::EntryId& entry, base::Incarnation incarnation,
              base::Millis now);

  /// Notes majorities for the awaited revisions; others are forgotten.
  void Tick(std::span<const base::EntryRow> members,
            std::span<const base::Revision> awaited, base::Millis now);
  /// Whether all members are past `revision` and none has work on `vm`.
  [[nodiscard]] peer::GateState VmState(std::span<const base::EntryRow> members,
                                        base::Revision revision,
                                        const base::VmId& vm,
                                        base::Millis now) const;
  /// Whether `leaver` has surely stopped, as of `revision`.
  [[nodiscard]] peer::GateState RemovalState(
      std::span<const base::EntryRow> members, const base::EntryRow& leaver,
      base::Revision revision, base::Millis now) const;

  /// When this incarnation last answered; a time before any when never.
  [[nodiscard]] base::Millis LastHeard(const base::EntryRow& entry) const;
  /// The revision that this incarnation last reported; 0 when never heard.
  [[nodiscard]] base::Revision RevisionOf(const base::EntryRow& entry) const;
  /// Requests in progress and waiting per service, over the entries that
  /// answered within `recent` before `now`.
  [[nodiscard]] std::map<base::ServiceId, int> Demand(
      base::Millis now, base::Millis recent) const;

 private:
  struct Contact {
    base::Incarnation incarnation = 0;
    base::Revision revision = 0;
    base::Millis replied_at;
    std::map<std::string, std::int32_t> demand;
  };

  [[nodiscard]] const Contact* Find(const base::EntryRow& entry) const;

  mutable std::mutex mutex_;  // In the lock order as "membership".
  peer::MoveGate gate_;
  std::map<base::EntryId, Contact> contacts_;
};

}  // namespace hemlockward::control
