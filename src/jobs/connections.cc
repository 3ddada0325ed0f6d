// A leader's share of the connections that a worker accepts. A worker keeps an
// end open for good if the leader's VM loses power, or if the path loses the
// connection's state before the leader closes it.

#include <algorithm>

#include "jobs/scheduler.h"

namespace hemlockward::jobs {

namespace {

constexpr int kAccepted = 64;  // By each worker.

}  // namespace

int MaxConnections(int left_open) {
  struct Share {
    int left_open;
    int connections;
  };
  // A leader that takes its whole share with it leaves the next one a step
  // down. The first three leave 25 open, 39 later ones one each.
  static constexpr Share kShares[] = {{16, 16}, {22, 6}, {25, 3}};
  for (const Share& it : kShares) {
    if (left_open < it.left_open) return it.connections;
  }
  return 1;
}

int MostLeftOpen(int lost) {
  int left_open = 0;
  for (int i = 0; i < lost; ++i) left_open += MaxConnections(left_open);
  return left_open;
}

void RecordContact(Worker& worker, bool refused, Millis now) {
  if (!refused) {
    worker.refuses_since = {-1};
  } else if (worker.refuses_since.count < 0) {
    worker.refuses_since = now;
  }
}

bool NeedsNewIncarnation(const Worker& worker, Millis now) {
  // A worker that is gone refuses connections too, but has no heartbeat; its
  // registration is removed after three intervals.
  constexpr Millis kHeartbeatInterval{1500};
  constexpr int kIntervals = 3;
  const Millis since = worker.refuses_since;
  return since.count >= 0 && now - since >= kHeartbeatInterval * kIntervals &&
         worker.registered_at - since >= kHeartbeatInterval && worker.listed &&
         !worker.ended && worker.runs.empty() && now > worker.lease_expires_by;
}

int HalfOpen(const LeftConnections& left) {
  return left.half_open_before + *left.half_open;
}

int Scheduler::MostLeftOpenAt(const Worker& worker) const {
  const LeftConnections& left = worker.left;
  const int lost = std::max(0, leaders_lost_ - left.leaders_lost_before);
  return MostLeftOpen(lost) + HalfOpen(left);
}

WorkerEntry Scheduler::EntryForCalls(const Worker& worker) const {
  WorkerEntry entry = worker.entry;
  const int share = MaxConnections(MostLeftOpenAt(worker));
  entry.max_connections = std::max(share, worker.left.granted);
  // Those of a leader that keeps none unused are rarely open when it is lost.
  entry.brief_connections = share == 1;
  entry.half_open = worker.left.half_open;
  return entry;
}

void Scheduler::ReserveConnections(Worker& worker, Millis now) const {
  // Leaders are often lost in series: one that has led for a while is likely to
  // stay.
  constexpr Millis kSettled = base::Seconds(5);
  constexpr int kMost = 8;
  if (now - worker.known_since < kSettled) return;
  const int left_open = MostLeftOpenAt(worker);
  const int most = std::min(kMost, (kAccepted - left_open) / 2);
  if (most <= std::max(MaxConnections(left_open), worker.left.reserved)) return;
  worker.left.reserved = most;
  worker.left.reserved_at = leaders_lost_;
}

}  // namespace hemlockward::jobs
