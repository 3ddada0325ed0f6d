#include "peer/freshness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace hemlockward::peer {
namespace {

using base::EntryId;
using base::EntryRow;
using base::Millis;
using base::Revision;

constexpr Millis kLease{2500};

std::vector<EntryRow> Members(int n) {
  std::vector<EntryRow> rows;
  for (int i = 0; i < n; ++i) {
    rows.push_back({EntryId("e" + std::to_string(i)), 7, "", "", {}});
  }
  return rows;
}

TEST(ViewFreshness, TableReadCountsFromWhenItWasSent) {
  const auto members = Members(3);
  ViewFreshness view(members[0].entry, kLease);
  EXPECT_FALSE(view.CanServe(members, 5, {100}));
  view.OnTableRead({100}, 5);
  EXPECT_TRUE(view.CanServe(members, 5, {2599}));
  EXPECT_FALSE(view.CanServe(members, 5, {2600}));
  EXPECT_FALSE(view.CanServe(members, 4, {200})) << "head is not installed";
}

TEST(ViewFreshness, MajorityOfTheCommittedIncarnationsCounts) {
  const auto members = Members(5);
  ViewFreshness view(members[0].entry, kLease);
  view.OnPeerReply(members[1].entry, 7, {1000}, 5);
  EXPECT_FALSE(view.CanServe(members, 5, {1100}));
  view.OnPeerReply(members[2].entry, 8, {1000}, 5);
  EXPECT_FALSE(view.CanServe(members, 5, {1100})) << "another incarnation";
  view.OnPeerReply(members[3].entry, 7, {1050}, 6);
  EXPECT_FALSE(view.CanServe(members, 5, {1100})) << "revision 6 is missing";
  EXPECT_TRUE(view.CanServe(members, 6, {1100}));
}

TEST(ViewFreshness, AnEntryThatWasRemovedMayNotServe) {
  const auto members = Members(3);
  ViewFreshness view(EntryId("other"), kLease);
  view.OnTableRead({100}, 5);
  EXPECT_FALSE(view.CanServe(members, 5, {200}));
}

TEST(MoveGate, WaitsForMajorityThenSilenceThenWork) {
  const auto members = Members(3);
  const base::VmId vm("v");
  const std::vector<Revision> awaited = {9};
  const std::vector<std::string> busy = {"v"};
  MoveGate gate(kLease);
  gate.OnHeartbeat(members[0].entry, 7, 9, {}, {100});
  gate.Tick(members, awaited, {100});
  EXPECT_EQ(gate.State(members, 9, vm, {9000}), GateState::kNoMajority);
  gate.OnHeartbeat(members[1].entry, 7, 9, busy, {9000});
  gate.Tick(members, awaited, {9000});
  EXPECT_EQ(gate.State(members, 9, vm, {9100}), GateState::kBusy);
  gate.OnHeartbeat(members[1].entry, 7, 9, {}, {9200});
  EXPECT_EQ(gate.State(members, 9, vm, {11499}), GateState::kWaitingForSilence);
  EXPECT_EQ(gate.State(members, 9, vm, {11500}), GateState::kPassed);
  gate.OnHeartbeat(members[2].entry, 7, 8, {}, {11500});
  EXPECT_EQ(gate.State(members, 9, vm, {11600}), GateState::kWaitingForSilence);
}

TEST(MoveGate, DeadMajorityDoesNotBlock) {
  const auto members = Members(3);
  const std::vector<Revision> awaited = {9};
  MoveGate gate(kLease);
  gate.OnHeartbeat(members[0].entry, 7, 9, {}, {100});
  gate.OnGone(members[1].entry, 7, {100});
  gate.Tick(members, awaited, {100});
  EXPECT_EQ(gate.State(members, 9, base::VmId("v"), {100}),
            GateState::kNoMajority);
  gate.Tick(members, awaited, {2600});
  EXPECT_EQ(gate.State(members, 9, base::VmId("v"), {5100}),
            GateState::kPassed);
}

// Which part of the rule a run leaves out, to see the property fail.
enum class Variant { kFull, kNoSilence, kAnyPeer };

struct Wire {
  Millis arrives;
  bool to_mover;
  int from;
  int to;
  Millis sent;  // When the exchange began, on the asker's clock.
  Revision revision;
};

// One move under random delays, cuts, pauses, deaths and table outages.
// Returns false when an entry may serve on the old view after the gate passed.
class Schedule {
 public:
  Schedule(std::uint64_t seed, Variant variant)
      : random_(seed), variant_(variant), gate_(kLease) {
    constexpr int kSizes[] = {3, 4, 5, 7};
    n_ = kSizes[Below(4)];
    members_ = Members(n_);
    for (int i = 0; i < n_; ++i) {
      entries_.push_back({ViewFreshness(members_[i].entry, kLease)});
    }
  }

  bool Holds() {
    for (now_ = {kStep.count}; now_.count < 200 * kStep.count; now_ += kStep) {
      Disturb();
      Deliver();
      if (!committed_ && table_up_ && now_.count > 40 * kStep.count) {
        committed_ = true;
      }
      for (int i = 0; i < n_; ++i) Send(i);
      if (committed_ && mover_up_) StepMover();
      if (moved_ && AnyServesOldView()) return false;
    }
    return true;
  }

  [[nodiscard]] bool moved() const { return moved_; }

 private:
  struct Entry {
    ViewFreshness view;
    Revision installed = 1;
    bool table_up = true;
    bool dead = false;
    int paused = 0;
  };

  static constexpr Millis kStep{250};

  int Below(int n) {
    return static_cast<int>(random_() % static_cast<unsigned>(n));
  }
  bool Chance(int per_mille) { return Below(1000) < per_mille; }

  void Disturb() {
    if (Chance(60)) table_up_ = !table_up_;
    if (Chance(60)) mover_up_ = !mover_up_;
    if (Chance(60)) cut_ = Below(n_ + 1);
    if (Chance(30)) cut_ = 0;
    for (Entry& it : entries_) {
      if (Chance(80)) it.table_up = !it.table_up;
      if (Chance(2)) it.dead = true;
      if (it.paused > 0) --it.paused;
      if (it.paused == 0 && Chance(20)) it.paused = 1 + Below(25);
    }
  }

  bool Linked(int a, int b) { return (a < cut_) == (b < cut_) && !Chance(50); }

  void Send(int i) {
    Entry& entry = entries_[i];
    if (entry.dead || entry.paused > 0) return;
    const Revision head = committed_ ? 2 : 1;
    if (table_up_ && entry.table_up) {
      wires_.push_back({now_ + kStep * Below(4), false, i, i, now_, head});
    }
    // The peer answers at once; the answer takes the whole delay.
    for (int j = 0; j < n_; ++j) {
      Entry& peer = entries_[j];
      if (j == i || peer.dead || peer.paused > 0 || !Linked(i, j)) continue;
      wires_.push_back(
          {now_ + kStep * Below(4), false, j, i, now_, peer.installed});
    }
    if (!Chance(300)) {
      wires_.push_back(
          {now_ + kStep * Below(4), true, i, 0, now_, entry.installed});
    }
  }

  void Deliver() {
    std::vector<Wire> rest;
    for (const Wire& it : wires_) {
      const bool waits =
          it.arrives > now_ || (!it.to_mover && entries_[it.to].paused > 0);
      if (waits) {
        rest.push_back(it);
      } else {
        DeliverOne(it);
      }
    }
    wires_ = std::move(rest);
  }

  void DeliverOne(const Wire& wire) {
    if (wire.to_mover) {
      gate_.OnHeartbeat(members_[wire.from].entry, 7, wire.revision, {}, now_);
      return;
    }
    Entry& entry = entries_[wire.to];
    entry.installed = std::max(entry.installed, wire.revision);
    if (wire.from == wire.to) {
      entry.view.OnTableRead(wire.sent, wire.revision);
    } else {
      entry.view.OnPeerReply(members_[wire.from].entry, 7, wire.sent,
                             wire.revision);
      if (variant_ == Variant::kAnyPeer)
        any_peer_until_[wire.to] = wire.sent + kLease;
    }
  }

  void StepMover() {
    const std::vector<Revision> awaited = {2};
    gate_.Tick(members_, awaited, now_);
    const GateState state = gate_.State(members_, 2, base::VmId("v"), now_);
    const bool skipped = variant_ == Variant::kNoSilence &&
                         state == GateState::kWaitingForSilence;
    moved_ = moved_ || state == GateState::kPassed || skipped;
  }

  bool AnyServesOldView() {
    for (int i = 0; i < n_; ++i) {
      const Entry& it = entries_[i];
      if (it.dead || it.paused > 0 || it.installed >= 2) continue;
      if (it.view.CanServe(members_, it.installed, now_)) return true;
      if (now_ < any_peer_until_[i]) return true;
    }
    return false;
  }

  std::mt19937_64 random_;
  Variant variant_;
  MoveGate gate_;
  int n_ = 0;
  int cut_ = 0;
  std::vector<EntryRow> members_;
  std::vector<Entry> entries_;
  std::vector<Wire> wires_;
  Millis any_peer_until_[7] = {};
  Millis now_{0};
  bool table_up_ = true;
  bool mover_up_ = true;
  bool committed_ = false;
  bool moved_ = false;
};

struct Tally {
  int violated = 0;
  int moved = 0;
};

Tally RunSchedules(int n, Variant variant) {
  Tally tally;
  for (int seed = 0; seed < n; ++seed) {
    Schedule schedule(static_cast<std::uint64_t>(seed), variant);
    if (!schedule.Holds()) ++tally.violated;
    if (schedule.moved()) ++tally.moved;
  }
  testing::Test::RecordProperty("violated", tally.violated);
  testing::Test::RecordProperty("moved", tally.moved);
  return tally;
}

constexpr int kSchedules = 5000;

TEST(StaleViewProperty, NoNewWorkAfterTheMoveFinished) {
  const Tally tally = RunSchedules(kSchedules, Variant::kFull);
  EXPECT_EQ(tally.violated, 0);
  EXPECT_GT(tally.moved, kSchedules / 2);
}

// The same schedules find the fault when a part of the rule is left out.
TEST(StaleViewProperty, FailsWithoutTheWaitForSilence) {
  EXPECT_GT(RunSchedules(kSchedules, Variant::kNoSilence).violated, 0);
}

TEST(StaleViewProperty, FailsWhenAnyPeerIsEnough) {
  EXPECT_GT(RunSchedules(kSchedules, Variant::kAnyPeer).violated, 0);
}

}  // namespace
}  // namespace hemlockward::peer
