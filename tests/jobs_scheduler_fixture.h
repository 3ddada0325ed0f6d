#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "jobs/rows.h"
#include "jobs/scheduler.h"
#include "jobs_fixture.h"

namespace hemlockward::jobs::testing {

inline constexpr WallMillis kWall{1'700'000'000'000};

class SchedulerTest : public ::testing::Test {
 protected:
  SchedulerTest() {
    scheduler_.BeginTerm(0, {0});
    scheduler_.SetConfiguration(config_);
  }

  void AddWorker(const std::string& id, std::int64_t cpu = 8000,
                 std::vector<std::string> labels = {}) {
    WorkerEntry entry;
    entry.id = id;
    entry.address = "10.0.0.1:80";
    entry.service = "pool";
    entry.labels = std::move(labels);
    entry.capacity = {cpu, 64'000, 0};
    entry.started_at_ms = 1;
    scheduler_.UpsertWorker(entry, now_);
    Report(id, {});
    Commit();
  }

  void Report(const std::string& id, std::vector<ActiveRun> active,
              std::vector<EndedRun> ended = {}) {
    WorkerReport report;
    report.clock_ms = now_.count + 500;
    report.started_at_ms = 1;
    report.active = std::move(active);
    report.ended = std::move(ended);
    scheduler_.OnReport(id, report, now_, now_);
  }

  Batch Commit() {
    Batch batch = scheduler_.TakeBatch();
    scheduler_.OnCommitted(batch);
    return batch;
  }

  void Submit(const std::string& id, const JobSpec& spec) {
    scheduler_.Submit(config_.queues[0], id, spec, "source", now_, kWall);
    Commit();
  }

  Orders Plan(Millis by = {10}) {
    now_ += by;
    scheduler_.OnRenewed(now_);
    return scheduler_.Plan(now_, kWall + Millis{now_.count}, true);
  }

  // Plans and commits until something starts: a task that was lost with its
  // worker starts again once that is stored, and its new run with it.
  Orders PlanStarts() {
    constexpr int kMaxPlans = 3;
    for (int i = 0; i < kMaxPlans; ++i) {
      Orders orders = Plan();
      if (!orders.starts.empty()) return orders;
      Commit();
    }
    return {};
  }

  void Started(const Orders& orders) {
    for (const StartOrder& it : orders.starts) {
      scheduler_.OnStart(it, StartAnswer::kStarted, now_);
    }
  }

  Configuration config_ = testing::OneQueue(2, Millis{500});
  Scheduler scheduler_{SchedulerSettings{Millis{4000}}};
  Millis now_{1000};
};

}  // namespace hemlockward::jobs::testing
