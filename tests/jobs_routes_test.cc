// A queue's route may lead to other services while its jobs run. What runs on a
// service that the route has left is still at work there.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>

#include "jobs/rows.h"
#include "jobs/scheduler.h"
#include "jobs_fixture.h"

namespace hemlockward::jobs {
namespace {

constexpr WallMillis kWall{1'700'000'000'000};

class RouteTest : public ::testing::Test {
 protected:
  RouteTest() {
    scheduler_.BeginTerm(0, {0});
    RouteTo("pool");
    AddWorker("a", "pool");
    AddWorker("b", "other");
  }

  void RouteTo(const std::string& service) {
    Configuration config = testing::OneQueue(2, Millis{500});
    config.services["other"] = {"other", true, false};
    config.queues[0].service = service;
    queue_ = config.queues[0];
    scheduler_.SetConfiguration(config);
  }

  void AddWorker(const std::string& id, const std::string& service) {
    WorkerEntry entry;
    entry.id = id;
    entry.address = "10.0.0.1:80";
    entry.service = service;
    entry.capacity = {8000, 64'000, 0};
    entry.started_at_ms = 1;
    scheduler_.UpsertWorker(entry, now_);
  }

  void Report(const std::string& id) {
    WorkerReport report;
    report.clock_ms = now_.count;
    report.started_at_ms = 1;
    scheduler_.OnReport(id, report, now_, now_);
  }

  void Submit() {
    scheduler_.Submit(queue_, "job", Spec(), "source", now_, kWall);
  }

  static JobSpec Spec() { return testing::OneStep(testing::Step(1, 1000)); }

  void Commit() {
    const Batch batch = scheduler_.TakeBatch();
    for (const RowWrite& it : batch.rows) {
      if (it.remove) {
        rows_.erase({it.table, it.key});
      } else {
        rows_[{it.table, it.key}] = it.value;
      }
    }
    scheduler_.OnCommitted(batch);
  }

  std::string StartedOn() {
    now_ += Millis{10};
    scheduler_.OnRenewed(now_);
    const Orders orders = scheduler_.Plan(now_, kWall, true);
    for (const StartOrder& it : orders.starts) {
      scheduler_.OnStart(it, StartAnswer::kStarted, now_);
    }
    return orders.starts.empty() ? "" : orders.starts[0].worker;
  }

  /// The next leader loads what is stored; earlier leases end in 6 s.
  void TakeOver() {
    scheduler_.BeginTerm(1, now_ + base::Seconds(6));
    for (const char* table : {kJobTable, kProgressTable, kWorkerTable}) {
      for (const auto& [name, value] : rows_) {
        if (name.first == table) Load(table, name.second, value);
      }
    }
    AddWorker("a", "pool");
    AddWorker("b", "other");
  }

  void Load(std::string_view table, const std::string& key,
            const std::string& value) {
    const auto spec = [](std::string_view) { return Spec(); };
    if (table == kJobTable) {
      EXPECT_TRUE(scheduler_.LoadJob(key, value, spec, now_, kWall));
    } else if (table == kProgressTable) {
      EXPECT_TRUE(scheduler_.LoadProgress(key, value, now_));
    } else {
      scheduler_.LoadWorker(key, value, now_);
    }
  }

  std::map<std::pair<std::string, std::string>, std::string> rows_;
  Scheduler scheduler_{SchedulerSettings{}};
  Queue queue_;
  Millis now_{1000};
};

// A route led to another service and back. The next leader started again what
// was at work on the worker there, which it hadn't reached yet (review/6:
// TWICE).
TEST_F(RouteTest, RunOnAServiceThatTheRouteHasLeftIsNotStartedAgain) {
  Report("a");
  Report("b");
  Submit();
  Commit();
  RouteTo("other");
  EXPECT_EQ(StartedOn(), "");
  Commit();
  ASSERT_EQ(StartedOn(), "b");
  RouteTo("pool");
  TakeOver();
  Report("a");
  Commit();
  EXPECT_EQ(StartedOn(), "");
  now_ += base::Seconds(6);
  Report("a");
  EXPECT_EQ(StartedOn(), "a");
}

// The next leader has to know of the service before anything runs there.
TEST_F(RouteTest, NothingStartsOnAServiceBeforeItIsStoredWithTheJob) {
  Report("a");
  Report("b");
  Submit();
  Commit();
  RouteTo("other");
  EXPECT_EQ(StartedOn(), "");
  EXPECT_EQ(StartedOn(), "");
  Batch failed = scheduler_.TakeBatch();
  scheduler_.OnCommitFailed(failed);
  EXPECT_EQ(StartedOn(), "");
  Commit();
  EXPECT_EQ(StartedOn(), "b");
}

TEST_F(RouteTest, WorkerOfAnotherServiceDoesNotDelayTheNextLeader) {
  Report("a");
  Report("b");
  Submit();
  Commit();
  TakeOver();
  Report("a");
  Commit();
  EXPECT_EQ(StartedOn(), "a");
}

// Earlier versions don't store the services.
TEST_F(RouteTest, RunOfAnEarlierVersionMayBeOnAnyService) {
  Report("a");
  Report("b");
  Submit();
  Commit();
  std::string& row = rows_.at({kJobTable, "job"});
  const std::string mark = ",\"services_stored\":true";
  ASSERT_NE(row.find(mark), std::string::npos);
  row.erase(row.find(mark), mark.size());
  TakeOver();
  Report("a");
  Commit();
  EXPECT_EQ(StartedOn(), "");
  Report("b");
  EXPECT_EQ(StartedOn(), "a");
}

}  // namespace
}  // namespace hemlockward::jobs
