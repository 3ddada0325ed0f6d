// Moves of VMs between pools, and upkeep waves. Guards against conflicting
// orders after a takeover, exceeded wave caps, and VMs powered off too early.

#include <gtest/gtest.h>

#include <algorithm>

#include "base/log.h"
#include "jobs/fleet.h"
#include "jobs/rows.h"
#include "jobs_fixture.h"

namespace hemlockward::jobs {
namespace {

constexpr WallMillis kWall{1'700'000'000'000};
// The store's clock minus the leader's clock.
constexpr Millis kOffset{50'000};

class FleetTest : public ::testing::Test {
 protected:
  FleetTest() {
    base::ConfigureLog(base::LogLevel::kError, base::LogFormat::kKeyValue, "",
                       "test");
    config_.version = 1;
    for (const char* name : {"busy", "calm"}) {
      Queue queue;
      queue.name = name;
      queue.service = name;
      queue.stretch = 2;
      config_.queues.push_back(queue);
      config_.services[name] = {name, true, false};
    }
    config_.services["off"] = {"off", true, true};
    scheduler_.BeginTerm(0, {0});
    scheduler_.SetConfiguration(config_);
    fleet_.BeginTerm(now_, now_);
  }

  void AddVm(const std::string& name, const std::string& pool) {
    Vm vm{name, pool, VmState::kUp, "", {8000, 64'000, 0}};
    if (pool != "off") {
      vm.worker = "w-" + name;
      WorkerEntry entry;
      entry.id = vm.worker;
      entry.address = "10.0.0.1:80";
      entry.service = pool;
      entry.capacity = vm.capacity;
      entry.started_at_ms = 1;
      scheduler_.UpsertWorker(entry, now_);
      WorkerReport report;
      report.clock_ms = 1;
      report.started_at_ms = 1;
      scheduler_.OnReport(entry.id, report, now_, now_);
      Commit();
    }
    vms_.push_back(vm);
  }

  void Commit() { scheduler_.OnCommitted(scheduler_.TakeBatch()); }

  void Submit(const std::string& queue, int tasks) {
    const JobSpec spec = testing::OneStep(testing::Step(tasks, 4000));
    for (const Queue& it : config_.queues) {
      if (it.name != queue) continue;
      scheduler_.Submit(it, "job" + std::to_string(next_++), spec, "source",
                        now_, kWall);
    }
    Commit();
  }

  void List() { fleet_.OnVms(vms_, now_); }

  std::vector<VmOrder> Plan(Millis by) {
    now_ += by;
    return fleet_.Plan(waves_, scheduler_, now_);
  }

  void Answer(const std::vector<VmOrder>& orders, VmAnswer answer) {
    for (const VmOrder& it : orders) {
      fleet_.OnAnswer(it, answer, scheduler_, now_);
    }
  }

  Configuration config_;
  Scheduler scheduler_{SchedulerSettings{}};
  Fleet fleet_{FleetSettings{}};
  std::vector<Vm> vms_;
  std::map<int, WaveOrder> waves_;
  Millis now_{10'000};
  int next_ = 0;
};

TEST_F(FleetTest, PoweredOffVmsMoveToThePoolWithDemand) {
  AddVm("m1", "busy");
  AddVm("m2", "off");
  AddVm("m3", "off");
  AddVm("m4", "off");
  List();
  Submit("busy", 8);
  const auto orders = Plan({1000});
  EXPECT_EQ(orders.size(), 3U);
  for (const VmOrder& it : orders) EXPECT_EQ(it.pool, "busy");
}

TEST_F(FleetTest, IdlePoolsLendVms) {
  AddVm("m1", "busy");
  AddVm("m2", "calm");
  AddVm("m3", "calm");
  List();
  now_ += Millis{500};
  Submit("busy", 6);
  const auto orders = Plan({10});
  ASSERT_FALSE(orders.empty());
  EXPECT_EQ(orders[0].pool, "busy");
  EXPECT_TRUE(scheduler_.FindWorker(orders[0].worker)->reserved);
}

// Every VM of the busy pool is at work, so none falls idle while its backlog
// lasts.
// Its VM moves, as connections left open at a worker end with its incarnation.
TEST_F(FleetTest, WorkerThatRefusesConnectionsGetsANewIncarnation) {
  AddVm("m1", "busy");
  List();
  Submit("busy", 1);
  Worker& worker = *scheduler_.FindWorker("w-m1");
  RecordContact(worker, true, now_);
  now_ += base::Seconds(5);
  WorkerEntry entry = worker.entry;
  ++entry.version;
  scheduler_.UpsertWorker(entry, now_);
  const auto orders = Plan(base::Seconds(5));
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].vm, "m1");
  EXPECT_EQ(orders[0].pool, "off");
  Answer(orders, VmAnswer::kDone);
  vms_[0].pool = "off";
  vms_[0].worker.clear();
  now_ += base::Seconds(2);
  List();
  const auto back = Plan({100});
  ASSERT_EQ(back.size(), 1U);
  EXPECT_EQ(back[0].pool, "busy");
}

TEST_F(FleetTest, PoolBeyondItsShareReleasesVmsToAPoolWithoutAny) {
  for (const char* it : {"m1", "m2", "m3", "m4"}) AddVm(it, "busy");
  List();
  Submit("busy", 100);
  now_ += Millis{10};
  const Orders starts = scheduler_.Plan(now_, kWall, true);
  ASSERT_EQ(starts.starts.size(), 8U);
  for (const StartOrder& it : starts.starts) {
    scheduler_.OnStart(it, StartAnswer::kStarted, now_);
  }
  Submit("calm", 2);
  EXPECT_TRUE(Plan({10}).empty());
  const auto released =
      std::find_if(vms_.begin(), vms_.end(), [this](const Vm& it) {
        return scheduler_.FindWorker(it.worker)->reserved;
      });
  ASSERT_NE(released, vms_.end());
  // Its tasks end; it gets no new ones and moves.
  Worker* worker = scheduler_.FindWorker(released->worker);
  WorkerReport report;
  report.clock_ms = 100;
  report.started_at_ms = 1;
  std::int64_t number = 0;
  for (const auto& [task, run] : worker->runs) {
    report.ended.push_back({++number, task, run.number, EndKind::kDone, ""});
  }
  now_ += Millis{500};
  scheduler_.OnReport(worker->entry.id, report, now_, now_);
  Commit();
  worker->confirmed_end_number = number;
  static_cast<void>(scheduler_.Plan(now_, kWall, true));
  const auto orders = Plan({10});
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].vm, released->name);
  EXPECT_EQ(orders[0].pool, "calm");
}

// VMs in upkeep counted as part of the fleet: no pool seemed to be above its
// share while a wave held a fifth of the VMs.
TEST_F(FleetTest, VmsInUpkeepAreNotShared) {
  for (const char* it : {"m1", "m2", "m3", "m4"}) AddVm(it, "busy");
  for (const char* it : {"m5", "m6"}) {
    AddVm(it, "busy");
    vms_.back().state = VmState::kUpkeep;
  }
  List();
  Submit("busy", 100);
  now_ += Millis{10};
  for (const StartOrder& it : scheduler_.Plan(now_, kWall, true).starts) {
    scheduler_.OnStart(it, StartAnswer::kStarted, now_);
  }
  Submit("calm", 2);
  Plan({10});
  EXPECT_GE(std::count_if(vms_.begin(), vms_.end(),
                          [this](const Vm& it) {
                            return scheduler_.FindWorker(it.worker)->reserved;
                          }),
            1);
}

TEST_F(FleetTest, ReleaseIsRevokedWhenTheOtherPoolNeedsItNoMore) {
  for (const char* it : {"m1", "m2"}) AddVm(it, "busy");
  List();
  Submit("busy", 100);
  now_ += Millis{10};
  for (const StartOrder& it : scheduler_.Plan(now_, kWall, true).starts) {
    scheduler_.OnStart(it, StartAnswer::kStarted, now_);
  }
  Submit("calm", 1);
  Plan({10});
  const auto reserved = [this] {
    return std::count_if(vms_.begin(), vms_.end(), [this](const Vm& it) {
      return scheduler_.FindWorker(it.worker)->reserved;
    });
  };
  EXPECT_EQ(reserved(), 1);
  scheduler_.Cancel("job1", now_);
  // The forecast of the cancelled job fades.
  Plan({5000});
  EXPECT_EQ(reserved(), 0);
}

TEST_F(FleetTest, NoVmIsPoweredOffBeforeTheFirstDemand) {
  for (const char* it : {"m1", "m2", "m3"}) AddVm(it, "calm");
  List();
  EXPECT_TRUE(Plan({5000}).empty());
  Submit("busy", 1);
  std::size_t off = 0;
  for (const VmOrder& it : Plan({5000})) off += it.pool == "off" ? 1 : 0;
  EXPECT_EQ(off, 1U);  // One VM goes to `busy`, one stays.
}

TEST_F(FleetTest, TimeBeforeTheFirstDemandDoesNotCountAsIdle) {
  for (const char* it : {"m1", "m2", "m3"}) AddVm(it, "calm");
  List();
  EXPECT_TRUE(Plan({20'000}).empty());
  Submit("calm", 1);
  EXPECT_TRUE(Plan({100}).empty());
}

TEST_F(FleetTest, VmsOrderedByThePreviousLeaderAreBlockedForATime) {
  for (const char* it : {"m1", "m2"}) AddVm(it, "off");
  fleet_.BeginTerm(now_ + Millis{3000}, now_);
  fleet_.LoadRecent(R"({"m1":null})", kOffset);
  List();
  Submit("busy", 8);
  const auto orders = Plan({1000});
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].vm, "m2");
  Answer(orders, VmAnswer::kDone);
  EXPECT_TRUE(Plan({1900}).empty());
  const auto later = Plan({200});
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later[0].vm, "m1");
}

TEST_F(FleetTest, UnreadableOrderRowBlocksAllVms) {
  for (const char* it : {"m1", "m2"}) AddVm(it, "off");
  fleet_.BeginTerm(now_ + Millis{3000}, now_);
  fleet_.LoadRecent("{", kOffset);
  List();
  Submit("busy", 4);
  EXPECT_TRUE(Plan({2900}).empty());
  EXPECT_FALSE(Plan({200}).empty());
}

TEST_F(FleetTest, UnansweredOrdersOfThePreviousLeaderCountTowardsTheWaveCap) {
  for (const char* it : {"m1", "m2", "m3"}) AddVm(it, "off");
  fleet_.BeginTerm(now_ + Millis{3000}, now_);
  fleet_.LoadRecent(R"({"m1":null})", kOffset);
  List();
  waves_[1] = {1, {"m1", "m2", "m3"}, Millis{20'000}, 1};
  EXPECT_TRUE(Plan({1000}).empty());
  EXPECT_EQ(Plan({2100}).size(), 1U);
}

TEST_F(FleetTest, UpkeepWaitsForWorkersThatHaveNotReportedToTheNewLeader) {
  AddVm("m1", "busy");
  const std::string row =
      EncodeWorkerRow(*scheduler_.FindWorker(vms_[0].worker));
  const Millis earlier_leases_expire_at = now_ + Millis{6000};
  scheduler_.BeginTerm(1, earlier_leases_expire_at);
  scheduler_.LoadWorker(vms_[0].worker, row, now_);
  fleet_.BeginTerm(now_, now_);
  List();
  waves_[1] = {1, {"m1"}, Millis{20'000}, 1};
  // The runs on the worker are not known yet.
  EXPECT_TRUE(Plan({1000}).empty());
  WorkerReport report;
  report.clock_ms = 1;
  report.started_at_ms = 1;
  scheduler_.OnReport(vms_[0].worker, report, now_, now_);
  EXPECT_EQ(Plan({10}).size(), 1U);
}

TEST_F(FleetTest, UpkeepProceedsWhenTheLeaseOfASilentWorkerHasExpired) {
  AddVm("m1", "busy");
  const std::string row =
      EncodeWorkerRow(*scheduler_.FindWorker(vms_[0].worker));
  scheduler_.BeginTerm(1, now_ + Millis{6000});
  scheduler_.LoadWorker(vms_[0].worker, row, now_);
  fleet_.BeginTerm(now_, now_);
  List();
  waves_[1] = {1, {"m1"}, Millis{20'000}, 1};
  EXPECT_TRUE(Plan({5900}).empty());
  EXPECT_EQ(Plan({200}).size(), 1U);
}

TEST_F(FleetTest, VmsOrderedLongBeforeATakeoverAreFreeAtOnce) {
  for (const char* it : {"m1", "m2", "m3"}) AddVm(it, "off");
  fleet_.BeginTerm(now_ + Millis{3000}, now_);
  const auto ago = [this](int ms) {
    return std::to_string((now_ + kOffset).count - ms);
  };
  fleet_.LoadRecent(
      "{\"m1\":" + ago(4000) + ",\"m2\":" + ago(1500) + ",\"m3\":null}",
      kOffset);
  List();
  Submit("busy", 6);
  const auto first = Plan({10});
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].vm, "m1");
  // The order row still lists the VM that is blocked, for the next leader.
  const std::string row = fleet_.RecentOrders(now_, kOffset).value;
  EXPECT_NE(row.find("\"m2\":"), std::string::npos);
  const auto second = Plan({2200});
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].vm, "m2");
  EXPECT_EQ(Plan({1000}).size(), 1U);
}

TEST_F(FleetTest, OrderRowListsOrdersBeforeTheyAreSent) {
  for (const char* it : {"m1", "m2", "m3"}) AddVm(it, "off");
  List();
  EXPECT_EQ(fleet_.RecentOrders(now_, kOffset).value, "{}");
  Submit("busy", 1);
  const auto orders = Plan({1000});
  ASSERT_EQ(orders.size(), 1U);
  const std::string name = "{\"" + orders[0].vm + "\":";
  EXPECT_EQ(fleet_.RecentOrders(now_, kOffset).value, name + "null}");
  Answer(orders, VmAnswer::kDone);
  // The row has the time on the store's clock once the order can no longer be
  // sent.
  const std::string at = std::to_string((now_ + kOffset).count);
  EXPECT_EQ(fleet_.RecentOrders(now_ + Millis{3000}, kOffset).value,
            name + at + "}");
  EXPECT_EQ(fleet_.RecentOrders(now_ + Millis{10'000}, kOffset).value, "{}");
}

TEST_F(FleetTest, WaveKeepsItsCapAndTakesPoweredOffVmsFirst) {
  AddVm("m1", "calm");
  AddVm("m2", "off");
  AddVm("m3", "off");
  AddVm("m4", "calm");
  List();
  waves_[1] = {1, {"m1", "m2", "m3", "m4"}, Millis{20'000}, 2};
  const auto orders = Plan({1000});
  ASSERT_EQ(orders.size(), 2U);
  EXPECT_TRUE(orders[0].worker.empty());
  EXPECT_TRUE(orders[1].worker.empty());
  // Unanswered orders may have been executed and count as down.
  Answer(orders, VmAnswer::kUnknown);
  EXPECT_TRUE(Plan({500}).empty());
  const auto again = Plan({1000});
  ASSERT_EQ(again.size(), 2U);
  EXPECT_EQ(again[0].vm, orders[0].vm);
  Answer(again, VmAnswer::kDone);
  EXPECT_TRUE(Plan({100}).empty());
  EXPECT_FALSE(fleet_.IsComplete(waves_[1]));
  // The listing shows both up after the upkeep time: the next two follow.
  now_ += Millis{3000};
  List();
  const auto next = Plan({10});
  ASSERT_EQ(next.size(), 2U);
  Answer(next, VmAnswer::kDone);
  EXPECT_TRUE(fleet_.IsComplete(waves_[1]));
}

TEST_F(FleetTest, BusyVmsAreDrainedBeforeTheirUpkeep) {
  AddVm("m1", "busy");
  List();
  Submit("busy", 1);
  const Orders started = scheduler_.Plan(now_, kWall, true);
  ASSERT_EQ(started.starts.size(), 1U);
  waves_[1] = {1, {"m1"}, Millis{20'000}, 1};
  EXPECT_TRUE(Plan({1000}).empty());
  EXPECT_TRUE(scheduler_.FindWorker("w-m1")->reserved);
  Submit("busy", 1);
  EXPECT_TRUE(scheduler_.Plan(now_, kWall, true).starts.empty());
}

// An upkeep whose answer was lost with the leader is ordered again and
// confirmed as done already. The worker that came after it was taken for ended
// (review/8: LOST).
TEST_F(FleetTest, WorkerThatCameAfterAnUpkeepIsUsedThoughItIsOrderedAgain) {
  AddVm("m1", "busy");
  List();
  waves_[1] = {1, {"m1"}, Millis{20'000}, 1};
  const auto orders = Plan({1000});
  ASSERT_EQ(orders.size(), 1U);
  Answer(orders, VmAnswer::kDone);
  Submit("busy", 1);
  const auto starts = [this] {
    WorkerReport report;
    report.clock_ms = now_.count;
    report.started_at_ms = 1;
    scheduler_.OnReport("w-m1", report, now_, now_);
    Commit();
    return scheduler_.Plan(now_, kWall, true).starts.size();
  };
  // A listing from before the answer proves nothing.
  scheduler_.OnVmsListed(vms_, now_, now_);
  EXPECT_EQ(starts(), 0U);
  now_ += Millis{500};
  vms_[0].state = VmState::kUpkeep;
  scheduler_.OnVmsListed(vms_, now_, now_);
  EXPECT_EQ(starts(), 0U);
  vms_[0].state = VmState::kUp;
  scheduler_.OnVmsListed(vms_, now_, now_);
  EXPECT_EQ(starts(), 1U);
}

TEST_F(FleetTest, VmsTakenDownByAnEarlierLeaderCountTowardsTheCap) {
  for (const char* it : {"m1", "m2", "m3"}) AddVm(it, "off");
  vms_[0].state = VmState::kUpkeep;
  List();
  fleet_.LoadWave("1", R"(["m1"])");
  waves_[1] = {1, {"m1", "m2", "m3"}, Millis{20'000}, 1};
  EXPECT_TRUE(Plan({1000}).empty());
  vms_[0].state = VmState::kUp;
  List();
  EXPECT_EQ(Plan({10}).size(), 1U);
}

TEST_F(FleetTest, ListingRequestedBeforeAnOrderIsIgnored) {
  AddVm("m1", "busy");
  AddVm("m2", "off");
  List();
  Submit("busy", 8);
  const Millis asked = now_;
  const auto orders = Plan({1000});
  ASSERT_EQ(orders.size(), 1U);
  Answer(orders, VmAnswer::kDone);
  fleet_.OnVms(vms_, asked);
  EXPECT_TRUE(Plan({10}).empty());
}

// A listing of several pages is no snapshot: a VM that moved meanwhile was on
// none of them, counted as gone, and its wave as complete.
TEST_F(FleetTest, VmMissingFromOneListingIsStillPartOfItsWave) {
  AddVm("m1", "calm");
  AddVm("m2", "calm");
  const WaveOrder wave{1, {"m2"}, Millis{10'000}, 1};
  List();
  EXPECT_FALSE(fleet_.IsComplete(wave));
  const Vm moving = vms_.back();
  vms_.pop_back();
  now_ += Millis{500};
  List();
  EXPECT_FALSE(fleet_.IsComplete(wave));
  vms_.push_back(moving);
  now_ += Millis{500};
  List();
  EXPECT_FALSE(fleet_.IsComplete(wave));
  // It is gone once two listings lack it.
  vms_.pop_back();
  for (int i = 0; i < 2; ++i) {
    now_ += Millis{500};
    List();
  }
  EXPECT_TRUE(fleet_.IsComplete(wave));
}

TEST_F(FleetTest, NextLeaderKnowsWhichVmsHaveBegunUpkeep) {
  AddVm("m1", "off");
  AddVm("m2", "off");
  List();
  fleet_.LoadWave("1", R"(["m1"])");
  waves_[1] = {1, {"m1", "m2"}, Millis{20'000}, 2};
  const auto orders = Plan({1000});
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].vm, "m2");
}

}  // namespace
}  // namespace hemlockward::jobs
