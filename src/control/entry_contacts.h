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

/// State of the entries as reported by their heartbeat replies. Thread-safe.
namespace hemlockward::control {

class EntryContacts {
 public:
  explicit EntryContacts(base::Millis view_lease) : gate_(view_lease) {}

  /// Records a heartbeat reply; `now` is its arrival time.
  void OnReply(const peer::gen::HeartbeatReply& reply, base::Millis now);
  /// Records that this incarnation has definitely ended.
  void OnGone(const base::EntryId& entry, base::Incarnation incarnation,
              base::Millis now);

  /// Updates the majorities for the awaited revisions; drops other revisions.
  void Tick(std::span<const base::EntryRow> members,
            std::span<const base::Revision> awaited, base::Millis now);
  /// Whether all members have reached `revision` and none has work on `vm`.
  [[nodiscard]] peer::GateState VmState(std::span<const base::EntryRow> members,
                                        base::Revision revision,
                                        const base::VmId& vm,
                                        base::Millis now) const;
  /// Whether `leaver` has definitely stopped serving, as of `revision`.
  [[nodiscard]] peer::GateState RemovalState(
      std::span<const base::EntryRow> members, const base::EntryRow& leaver,
      base::Revision revision, base::Millis now) const;

  /// When this incarnation last replied; far in the past if never.
  [[nodiscard]] base::Millis LastHeard(const base::EntryRow& entry) const;
  /// Last revision reported by this incarnation; 0 if it never replied.
  [[nodiscard]] base::Revision RevisionOf(const base::EntryRow& entry) const;
  /// Requests in progress and waiting, per service, summed over the entries
  /// whose last reply is at most `max_age` old.
  [[nodiscard]] std::map<base::ServiceId, int> Demand(
      base::Millis now, base::Millis max_age) const;

 private:
  struct Contact {
    base::Incarnation incarnation = 0;
    base::Revision revision = 0;
    base::Millis replied_at;
    std::map<std::string, std::int32_t> demand;
  };

  [[nodiscard]] const Contact* Find(const base::EntryRow& entry) const;

  mutable std::mutex mutex_;  // Named "membership" in the lock order.
  peer::MoveGate gate_;
  std::map<base::EntryId, Contact> contacts_;
};

}  // namespace hemlockward::control
