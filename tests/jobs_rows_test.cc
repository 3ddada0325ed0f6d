// A malformed row once threw while the state was loaded: it ended the coroutine
// that watches the lease, and the node kept the lease without leading.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobs/rows.h"
#include "jobs_fixture.h"

namespace hemlockward::jobs {
namespace {

Job JobWithProgress() {
  Job job;
  job.id = "job";
  job.spec = testing::OneStep(testing::Step(4, 1000));
  job.occurrences[0] = NewOccurrence(job.spec, {0});
  return job;
}

TEST(RowsTest, ProgressRowsWithWrongNumbersAreRejected) {
  for (const char* it : {R"({"state":"running","done":[["a",0,"1111"]]})",
                         R"({"state":"running","done":[[0,-1,"1111"]]})",
                         R"({"state":"running","done":[[0,1e300,"1111"]]})",
                         R"({"state":"running","done":[[0,0.5,"1111"]]})",
                         R"({"state":"running","failed":[[0,0,"x",[1]]]})",
                         R"({"state":"running","failed":[[0,0,0,["x"]]]})",
                         R"({"state":"running","failed":[[0,0,9,[1]]]})",
                         R"({"state":"running","unanswered":[[0,0,0,["x"]]]})",
                         R"({"state":"running","lost":[[0,0,0,[1]]]})",
                         R"({"state":"running","lost":[[0,0,0,[[1,2,3]]]]})",
                         R"({"state":"running","lost":[[0,0,0,[[1,"w"]]]]})"}) {
    Job job = JobWithProgress();
    bool read = true;
    EXPECT_NO_THROW(read = DecodeProgressRow(it, job, {0})) << it;
    EXPECT_FALSE(read) << it;
  }
}

TEST(RowsTest, JobRowKeepsTheConfigurationOfItsQueue) {
  Job job;
  job.queue = "queue";
  Queue queue = testing::OneQueue(3, Millis{700}).queues[0];
  queue.priority = 2;
  queue.stretch = 1.5;
  queue.needs_tickets = true;
  job.accepted_queue = queue;
  job.accepted_wall = {5};
  job.source = "{}\n";
  const auto row = DecodeJobRow(EncodeJobRow(job));
  ASSERT_TRUE(row);
  EXPECT_EQ(row->queue.name, queue.name);
  EXPECT_EQ(row->queue.service, queue.service);
  EXPECT_EQ(row->queue.priority, queue.priority);
  EXPECT_EQ(row->queue.attempts, queue.attempts);
  EXPECT_EQ(row->queue.stretch, queue.stretch);
  EXPECT_EQ(row->queue.target, queue.target);
  EXPECT_TRUE(row->queue.needs_tickets);
  EXPECT_EQ(row->accepted, job.accepted_wall);
  EXPECT_EQ(row->source, job.source);
}

TEST(RowsTest, LostRunsAreReadAsWritten) {
  Job job = JobWithProgress();
  CrashHistory& crashes = job.occurrences.at(0).steps[0].tasks[2].crashes;
  crashes.lost_runs = {{1, "w1", true, false}, {2, "w2", false}};
  crashes.announced_run = 3;
  crashes.announced_worker = "w3";
  Job read = JobWithProgress();
  ASSERT_TRUE(DecodeProgressRow(EncodeProgressRow(job), read, {0}));
  const auto& runs = read.occurrences.at(0).steps[0].tasks[2].crashes.lost_runs;
  ASSERT_EQ(runs.size(), 3U);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(runs[i].run, i + 1);
    EXPECT_EQ(runs[i].worker, "w" + std::to_string(i + 1));
    EXPECT_EQ(runs[i].crashed, i == 0);
    EXPECT_EQ(runs[i].started, i > 0);
  }
}

TEST(RowsTest, WorkerRowKeepsTheIncarnation) {
  Worker worker;
  worker.started_at_ms = 1'700'000'000'000;
  Worker read;
  ASSERT_TRUE(DecodeWorkerRow(EncodeWorkerRow(worker), read, true));
  EXPECT_EQ(read.row_started_at_ms, worker.started_at_ms);
  ASSERT_TRUE(DecodeWorkerRow("{}", read, true));
  EXPECT_EQ(read.row_started_at_ms, 0);
}

RC_GTEST_PROP(RowsTest, DamagedProgressRowsDoNotThrow, ()) {
  Job job = JobWithProgress();
  Step& step = job.occurrences.at(0).steps[0];
  step.tasks[1].done = true;
  step.done = 1;
  step.tasks[2].failed_runs = {1, 2};
  step.tasks[3].crashes.lost_runs = {{1, "w", true, false}};
  std::string row = EncodeProgressRow(job);
  const auto changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, row.size());
    row[at] = *rc::gen::elementOf(std::string("0129-.eE\"[]{},:nx"));
  }
  Job read = JobWithProgress();
  static_cast<void>(DecodeProgressRow(row, read, {0}));
}

}  // namespace
}  // namespace hemlockward::jobs
