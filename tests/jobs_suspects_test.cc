// Tasks that must run alone: they get a worker, and the others get theirs.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "jobs_crashes_fixture.h"

namespace hemlockward::jobs {
namespace {

using testing::CrashTest;
using testing::OneStep;
using testing::Step;

class SuspectTest : public CrashTest {
 protected:
  // The job's task has been lost with two workers.
  void MakeSuspect(const std::string& job) {
    Submit(job, OneStep(Step(1, 1000)));
    for (int i = 0; i < 2; ++i) Crash(Start().starts.at(0).worker);
  }

  // Plays `length` with workers that are as full as the scheduler makes them:
  // runs take 0.4 to 0.75 s and there are always jobs that wait. Returns the
  // jobs of the tasks that started.
  std::vector<std::string> PlayFull(Millis length) {
    constexpr Millis kTick{50};
    constexpr Millis kRunTime{400};
    constexpr Millis kSpread{50};
    constexpr std::size_t kWaitingJobs = 8;
    std::vector<std::string> started;
    for (const Millis end = now_ + length; now_ < end;) {
      while (scheduler_.Pending("queue") < kWaitingJobs) {
        Submit("full" + std::to_string(++jobs_), OneStep(Step(8, 1000)));
      }
      const Orders orders = Plan(kTick);
      Started(orders);
      Commit();
      for (const StartOrder& it : orders.starts) {
        started.push_back(it.task.job);
        runs_.push_back({it, now_ + kRunTime + kSpread * (++starts_ % 8)});
      }
      EndRuns();
    }
    return started;
  }

 private:
  struct Work {
    StartOrder start;
    Millis ends{0};
  };

  void EndRuns() {
    std::map<std::string, WorkerReport> reports;
    for (const auto& [id, worker] : scheduler_.workers()) {
      if (worker.ended) continue;
      reports[id].clock_ms = now_.count + 500;
      reports[id].started_at_ms = worker.entry.started_at_ms;
    }
    for (const Work& it : runs_) {
      WorkerReport& report = reports.at(it.start.worker);
      if (it.ends > now_) {
        report.active.push_back({it.start.task, it.start.run, "", percent_, 0});
        continue;
      }
      const std::int64_t number =
          scheduler_.FindWorker(it.start.worker)->reported_end_number + 1 +
          static_cast<std::int64_t>(report.ended.size());
      report.ended.push_back(
          {number, it.start.task, it.start.run, EndKind::kDone, ""});
    }
    std::erase_if(runs_, [this](const Work& it) { return it.ends <= now_; });
    now_ += Millis{1};
    percent_ = (percent_ + 1) % 100;
    for (const auto& [id, report] : reports) {
      scheduler_.OnReport(id, report, now_, now_);
    }
    Commit();
  }

  int jobs_ = 0;
  int starts_ = 0;
  int percent_ = 0;
  std::vector<Work> runs_;
};

TEST_F(SuspectTest, TaskThatMustRunAloneGetsAWorkerOfAFullPool) {
  AddVms(4);
  MakeSuspect("a");
  const auto started = PlayFull(base::Seconds(6));
  EXPECT_EQ(std::count(started.begin(), started.end(), "a"), 1);
}

TEST_F(SuspectTest, GangThatMustRunAloneGetsWorkersOfAFullPool) {
  AddVms(4);
  StepSpec step = Step(12, 1000);
  step.gang = true;
  Submit("gang", OneStep(step));
  CrashGang(Start());
  CrashGang(Start());
  const auto started = PlayFull(base::Seconds(6));
  EXPECT_EQ(std::count(started.begin(), started.end(), "gang"), 12);
}

TEST_F(SuspectTest, TaskIsStartedThoughAnotherOneOfItsStepFindsNoRoom) {
  AddVms(4);
  Submit("a", OneStep(Step(4, 5000)));
  const Orders orders = Start();
  ASSERT_EQ(orders.starts.size(), 4U);
  const StartOrder& deadly = orders.starts[3];
  Crash(deadly.worker);
  Crash(Start().starts.at(0).worker);
  const auto started = PlayFull(base::Seconds(6));
  EXPECT_GE(std::count(started.begin(), started.end(), "a"), 1);
}

TEST_F(SuspectTest, OtherTasksGetTheRoomThatSuspectsLeave) {
  constexpr int kWorkers = 4;
  AddVms(kWorkers);
  MakeSuspect("a");
  const std::size_t beside = PlayFull(base::Seconds(6)).size();
  const std::size_t without = PlayFull(base::Seconds(6)).size();
  EXPECT_GE(beside, without * (kWorkers - 1) / kWorkers);
}

// Three workers crash under it, and it is the other task's fault.
TEST_F(SuspectTest, LongRunningTaskBesideADeadlyOneIsNotGivenUp) {
  AddVms(1);
  StepSpec step = Step(1, 1000);
  step.long_running = true;
  Submit("sound", OneStep(step));
  Submit("deadly", OneStep(Step(1, 1000)));
  std::map<std::string, StartOrder> running;
  int crashes = 0;
  for (int i = 0; i < 100 && crashes < 3; ++i) {
    const Orders orders = Plan(Millis{100});
    Started(orders);
    Store();
    for (const StartOrder& it : orders.starts) running[it.task.job] = it;
    if (running.contains("sound")) {
      const StartOrder& start = running["sound"];
      WorkerReport report;
      report.clock_ms = now_.count + 500;
      report.started_at_ms =
          scheduler_.workers().at(start.worker).started_at_ms;
      report.active = {{start.task, start.run, "", 100, 0}};
      if (running.contains("deadly")) {
        const StartOrder& deadly = running["deadly"];
        report.active.push_back({deadly.task, deadly.run, "", i, 0});
      }
      now_ += Millis{10};
      scheduler_.OnReport(start.worker, report, now_, now_);
      Store();
    }
    if (running.size() < 2) continue;
    ++crashes;
    Crash(running["deadly"].worker);
    running.clear();
  }
  EXPECT_EQ(crashes, 3);
  EXPECT_EQ(scheduler_.FindJob("deadly")->state, JobState::kFailed);
  EXPECT_EQ(scheduler_.FindJob("sound")->state, JobState::kRunning);
}

// The next leader hears the worker that was silent, in the same incarnation.
TEST_F(SuspectTest, RunsOfAWorkerThatReturnsToTheNextLeaderAreNotLost) {
  AddVms(4);
  Submit("deadly", OneStep(Step(1, 1000)));
  row_ = EncodeJobRow(*scheduler_.FindJob("deadly"));
  const StartOrder start = Start().starts.at(0);
  scheduler_.workers().at(start.worker).unresponsive = true;
  Plan();
  Store();
  for (const bool at_work : {true, false}) {
    const WorkerEntry entry = scheduler_.workers().at(start.worker).entry;
    TakeOver("deadly", start.worker);
    EXPECT_EQ(FirstTask("deadly").crashes.lost_runs.size(), 1U);
    scheduler_.UpsertWorker(entry, now_);
    WorkerReport report;
    report.clock_ms = now_.count + 500;
    report.started_at_ms = entry.started_at_ms;
    if (at_work) report.active = {{start.task, start.run, "", 5, 0}};
    now_ += Millis{10};
    scheduler_.OnReport(start.worker, report, now_, now_);
    EXPECT_TRUE(FirstTask("deadly").crashes.empty());
    EXPECT_EQ(FirstTask("deadly").crashes.RunsToStore().size(), at_work);
    Store();
  }
}

// After four crashes a task is given up in any case.
RC_GTEST_FIXTURE_PROP(CrashTest, JobIsGivenUpOnlyAfterTwoCrashesUnderItsTask,
                      ()) {
  constexpr int kCrashesToGiveUp = 2;
  constexpr int kMaxCrashesElsewhere = 2;
  AddVms(4);
  Submit("deadly", OneStep(Step(1, 1000)));
  row_ = EncodeJobRow(*scheduler_.FindJob("deadly"));
  int crashes = 0;
  int crashes_elsewhere = 0;
  for (int i = 0; i < 12; ++i) {
    const int how = *rc::gen::inRange(0, 4);
    Orders orders;
    for (int n = 0; orders.starts.empty() && n < 50; ++n) {
      orders = Plan(Millis{200});
      if (orders.starts.empty()) Store();
    }
    if (orders.starts.empty()) break;
    const StartOrder& start = orders.starts[0];
    const std::string vm = scheduler_.workers().at(start.worker).entry.vm;
    if (how == 1 && crashes_elsewhere < kMaxCrashesElsewhere) {
      ++crashes_elsewhere;
      scheduler_.OnStart(start, StartAnswer::kUnknown, now_);
      Restart(vm);
      continue;
    }
    Started(orders);
    if (how == 0) {
      ++crashes;
      Restart(vm);
    } else if (how == 2) {
      GoSilent(start.worker);
      scheduler_.workers().at(start.worker).listed = true;
      const std::int64_t n =
          scheduler_.workers().at(start.worker).reported_end_number + 1;
      now_ += Millis{10};
      Return(start.worker, {{n, start.task, start.run, EndKind::kLapsed, ""}});
      Store();
    } else {
      Store();
      TakeOver("deadly", "");
    }
    if (scheduler_.FindJob("deadly")->state == JobState::kFailed) {
      RC_ASSERT(crashes >= kCrashesToGiveUp);
    }
  }
}

// Each crash is seen at once, after the lease, or by the next leader.
RC_GTEST_FIXTURE_PROP(CrashTest, DeadlyTaskIsGivenUpIfWorkersKeepTheirIds, ()) {
  constexpr int kStartsIfSeen = 3;
  constexpr int kMaxUnseen = 2;
  AddVms(4);
  Submit("deadly", OneStep(Step(1, 1000)));
  row_ = EncodeJobRow(*scheduler_.FindJob("deadly"));
  int unseen = 0;
  int starts = 0;
  for (int i = 0; i < 10; ++i) {
    const StartOrder start = StartWithin(base::Seconds(30));
    if (start.worker.empty()) break;
    ++starts;
    const bool first = FirstTask("deadly").crashes.empty();
    const int how = *rc::gen::inRange(0, first && unseen == kMaxUnseen ? 3 : 4);
    if (how == 1) GoSilent(start.worker);
    if (how == 2) {
      scheduler_.workers().at(start.worker).unresponsive = true;
      Plan();
      Store();
    }
    if (how == 3 && first) ++unseen;
    if (how >= 2) TakeOver("deadly", start.worker);
    RestartUnderItsId(start.worker);
  }
  RC_ASSERT(scheduler_.FindJob("deadly")->state == JobState::kFailed);
  RC_ASSERT(starts <= kStartsIfSeen + unseen);
}

}  // namespace
}  // namespace hemlockward::jobs
