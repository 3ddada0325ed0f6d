// Jobs that repeat. A request with a repeat_count of a million once took each
// leader in turn over its memory.

#include "jobs_scheduler_fixture.h"

namespace hemlockward::jobs::testing {
namespace {

JobSpec Repeating(int times, Millis interval, WallMillis first_due) {
  JobSpec spec = OneStep(Step(1, 1000));
  spec.occurrences = times;
  spec.interval = interval;
  spec.first_due = first_due;
  return spec;
}

class OccurrencesTest : public SchedulerTest {
 protected:
  OccurrencesTest() { AddWorker("w", 4'000'000); }

  // All runs end as done.
  void EndAll(const Orders& orders) {
    Started(orders);
    now_ += Millis{10};
    std::vector<EndedRun> ended;
    for (const StartOrder& it : orders.starts) {
      ended.push_back({++last_end_, it.task, it.run, EndKind::kDone, ""});
    }
    Report("w", {}, ended);
  }

  // Another leader reads what is stored of the job "a".
  void TakeOver(const JobSpec& spec) {
    const std::string row = EncodeJobRow(*scheduler_.FindJob("a"));
    TakeOver(spec, row, EncodeProgressRow(*scheduler_.FindJob("a")));
  }
  void TakeOver(const JobSpec& spec, const std::string& job,
                const std::string& progress) {
    scheduler_.BeginTerm(++term_, now_);
    ASSERT_TRUE(scheduler_.LoadJob(
        "a", job, [&spec](std::string_view) { return spec; }, now_, kWall));
    ASSERT_TRUE(scheduler_.LoadProgress("a", progress, now_));
    AddWorker("w", 4'000'000);
  }

  std::int64_t last_end_ = 0;
  std::uint64_t term_ = 0;
};

TEST_F(OccurrencesTest, JobThatRepeatsForYearsTakesLittleMemory) {
  constexpr std::size_t kMaxBytes = 2'000'000;
  Submit("later", Repeating(1'000'000'000, Millis{60'000}, kWall));
  Submit("overdue", Repeating(1'000'000'000, Millis{1}, {0}));
  for (int i = 0; i < 3; ++i) {
    EndAll(Plan());
    Commit();
  }
  EXPECT_LT(scheduler_.FindJob("later")->held_bytes, kMaxBytes);
  EXPECT_LT(scheduler_.FindJob("overdue")->held_bytes, kMaxBytes);
}

// The row once had an entry for each occurrence that was done.
TEST_F(OccurrencesTest, ProgressDoesNotGrowWithTheOccurrencesThatAreDone) {
  constexpr std::size_t kRowBytes = 65'536;
  Submit("a", Repeating(1'000'000, Millis{1}, {0}));
  std::size_t done = 0;
  while (done < 20'000) {
    const Orders orders = Plan();
    done += orders.starts.size();
    EndAll(orders);
    Commit();
    ASSERT_LT(EncodeProgressRow(*scheduler_.FindJob("a")).size(), kRowBytes);
  }
}

TEST_F(OccurrencesTest, NextLeaderGoesOnWithThoseThatAreOpen) {
  const JobSpec spec = Repeating(5, Millis{1000}, kWall + now_);
  Submit("a", spec);
  Plan();
  Commit();
  Orders orders = Plan({2000});
  ASSERT_EQ(orders.starts.size(), 3U);
  // The second one is lost with its leader.
  std::swap(orders.starts[1], orders.starts[2]);
  orders.starts.resize(2);
  EndAll(orders);
  Commit();
  TakeOver(spec);
  EXPECT_EQ(scheduler_.FindJob("a")->occurrences_done, 2);
  orders = Plan();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].task.occurrence, 1);
  EndAll(orders);
  orders = Plan({2000});
  ASSERT_EQ(orders.starts.size(), 2U);
  EXPECT_EQ(orders.starts[0].task.occurrence, 3);
  EXPECT_EQ(orders.starts[1].task.occurrence, 4);
  EndAll(orders);
  EXPECT_EQ(scheduler_.FindJob("a")->state, JobState::kCompleted);
}

// A job is given up with too many failed runs to be stored: those of tasks that
// are done aren't.
TEST_F(OccurrencesTest, FailedRunsOfDoneTasksDoNotCount) {
  Submit("a", Repeating(3, Millis{1}, {0}));
  Plan();
  Commit();
  const Orders failing = Plan();
  ASSERT_EQ(failing.starts.size(), 3U);
  Started(failing);
  now_ += Millis{10};
  std::vector<EndedRun> ended;
  for (const StartOrder& it : failing.starts) {
    ended.push_back({++last_end_, it.task, it.run, EndKind::kFailed, ""});
  }
  Report("w", {}, ended);
  EXPECT_EQ(scheduler_.FindJob("a")->failed_runs, 3);
  EndAll(Plan());
  EXPECT_EQ(scheduler_.FindJob("a")->state, JobState::kCompleted);
  EXPECT_EQ(scheduler_.FindJob("a")->failed_runs, 0);
}

// A leader that isn't known to have opened an occurrence may not start it.
TEST_F(OccurrencesTest, NothingStartsBeforeTheStoreKnowsOfIt) {
  Submit("a", Repeating(3, Millis{1000}, {0}));
  EXPECT_TRUE(Plan().starts.empty());
  const Batch batch = scheduler_.TakeBatch();
  EXPECT_TRUE(Plan().starts.empty());
  scheduler_.OnCommitted(batch);
  EXPECT_EQ(Plan().starts.size(), 3U);
}

TEST_F(OccurrencesTest, RowsOfEarlierVersionsAreRead) {
  const JobSpec spec = Repeating(4, Millis{1000}, kWall + now_);
  Submit("a", spec);
  TakeOver(spec, EncodeJobRow(*scheduler_.FindJob("a")),
           R"({"state":"running","done":[[0,0,"1"],[2,0,"1"]]})");
  EXPECT_EQ(scheduler_.FindJob("a")->occurrences_done, 2);
  const Orders orders = Plan({2000});
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].task.occurrence, 1);
}

TEST_F(OccurrencesTest, DamagedRowsDoNotOpenMore) {
  const JobSpec spec = Repeating(1'000'000'000, Millis{1}, kWall);
  for (const char* it :
       {R"({"state":"running","next":1000000000,"open":[[0,999999999]]})",
        R"({"state":"running","next":2000000000,"open":[]})",
        R"({"state":"running","next":5,"open":[[4,5]]})",
        R"({"state":"running","next":-1})",
        R"({"state":"running","done":[[999999999,0,"1"]]})"}) {
    Job job;
    job.spec = spec;
    EXPECT_FALSE(DecodeProgressRow(it, job, now_)) << it;
  }
}

TEST(MemoryTest, JobsAreRefusedBeforeTheyTakeTooMuch) {
  SchedulerSettings settings;
  settings.max_held_bytes = 10'000'000;
  Scheduler scheduler(settings);
  const Configuration config = OneQueue(2, Millis{500});
  scheduler.SetConfiguration(config);
  int accepted = 0;
  const auto submit = [&] {
    return scheduler.Submit(config.queues[0], "job" + std::to_string(accepted),
                            OneStep(Step(10'000, 1)), "source", {0}, kWall);
  };
  while (submit() == Submission::kQueued) {
    ASSERT_LT(++accepted, 1000);
  }
  EXPECT_GT(accepted, 1);
  // Its memory is free for others soon after a job has ended.
  scheduler.OnCommitted(scheduler.TakeBatch());
  scheduler.Cancel("job0", {0});
  scheduler.OnCommitted(scheduler.TakeBatch());
  scheduler.Plan(Millis{5000}, kWall, true);
  EXPECT_EQ(submit(), Submission::kQueued);
}

}  // namespace
}  // namespace hemlockward::jobs::testing
