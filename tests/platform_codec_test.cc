// Bodies of other processes may be malformed and must not crash a node: decodes
// valid examples and invalid input.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

#include "platform/codec.h"

namespace hemlockward::platform {
namespace {

TEST(CodecTest, ReadsAJob) {
  const auto job = DecodeJob(
      R"({"task_spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
      R"("est_runtime_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
      R"("after":[0],"checkpointing":true,"daemon":true,"may_miss":2}]})");
  ASSERT_TRUE(job) << job.error().what;
  EXPECT_EQ(job->payload, "text");
  ASSERT_EQ(job->steps.size(), 2U);
  EXPECT_EQ(job->steps[0].data_rack, "r1-3");
  EXPECT_EQ(job->steps[0].estimate.count, 900);
  EXPECT_EQ(job->steps[1].after, std::vector<int>{0});
  EXPECT_TRUE(job->steps[1].checkpoints);
  EXPECT_TRUE(job->steps[1].long_running);
  EXPECT_EQ(job->steps[1].may_miss, 2);
}

TEST(CodecTest, RejectsInvalidJobs) {
  for (const char* body :
       {"", "{", "[]", "7", R"({"task_spec":"a"})",
        R"({"task_spec":"a","steps":[]})",
        R"({"task_spec":7,"steps":[{"count":1}]})",
        R"({"task_spec":"a","steps":[{"count":0}]})",
        R"({"task_spec":"a","steps":[{"count":-3}]})",
        R"({"task_spec":"a","steps":[{"count":1000000}]})",
        R"({"task_spec":"a","steps":[{"count":1,"after":[0]}]})",
        R"({"task_spec":"a","steps":[{"count":1,"after":[-1]}]})",
        R"({"task_spec":"a","steps":[{"count":1,"cpu":"much"}]})"}) {
    EXPECT_FALSE(DecodeJob(body)) << body;
  }
  const std::string payload(5000, 'x');
  EXPECT_FALSE(
      DecodeJob(R"({"task_spec":")" + payload + R"(","steps":[{"count":1}]})"));
}

TEST(CodecTest, ReadsAWorkersReport) {
  const auto report = DecodeReport(
      R"({"clock_ms":482113,"born":1700000000123,)"
      R"("active":[["5c0e7a21d94b36f8.0.1.17",2,"00ab",41,12]],)"
      R"("ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
  ASSERT_TRUE(report) << report.error().what;
  EXPECT_EQ(report->clock_ms, 482113);
  EXPECT_EQ(report->started_at_ms, 1700000000123);
  ASSERT_EQ(report->active.size(), 1U);
  EXPECT_EQ(report->active[0].task.index, 17);
  EXPECT_EQ(report->active[0].percent, 41);
  EXPECT_EQ(report->active[0].load, 12);
  ASSERT_EQ(report->ended.size(), 1U);
  EXPECT_EQ(report->ended[0].number, 58);
  EXPECT_EQ(report->ended[0].kind, jobs::EndKind::kDone);
}

// The feed of registrations once counted as read up to now after such a page.
TEST(CodecTest, PageWithAsManyRowsOrBytesAsTheStoreReturnsIsFull) {
  const auto page = [](std::size_t rows, std::size_t value_bytes) {
    std::string body = R"({"rows":[)";
    for (std::size_t i = 0; i < rows; ++i) {
      body += i > 0 ? "," : "";
      body += R"({"table":"t","part":"","key":")" + std::to_string(i) +
              R"(","value":")" + std::string(value_bytes, 'A') +
              R"(","ver":1})";
    }
    return DecodePage(body + R"(],"ver":1,"now_ms":1})");
  };
  EXPECT_FALSE(page(kMaxPageRows - 1, 400)->full);
  EXPECT_TRUE(page(kMaxPageRows, 400)->full);
  EXPECT_TRUE(page(11, 87'380)->full);
}

TEST(CodecTest, ReportWithAsManyEndsAsAWorkerListsMayLackSome) {
  const auto report = [](std::size_t ends) {
    std::string body = R"({"clock_ms":1,"active":[],"ended_runs":[)";
    for (std::size_t i = 1; i <= ends; ++i) {
      body += i > 1 ? "," : "";
      body +=
          "[" + std::to_string(i) + R"(,"0123456789abcdef.0.0.0",1,"done",""])";
    }
    return DecodeReport(body + "]}");
  };
  EXPECT_FALSE(report(kMaxEndsPerReport - 1)->more_ended);
  EXPECT_TRUE(report(kMaxEndsPerReport)->more_ended);
}

TEST(CodecTest, RejectsWorkerEntriesOfOtherWriters) {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
      R"("capacity":{"cpu":16000,"mem_mb":1},"labels":["a"],"seq":4})";
  ASSERT_TRUE(DecodeWorker("id", good));
  for (
      const char* body :
      {R"({"service":"s"})", "\x01\x02", "null",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"sleeping",)"
       R"("capacity":{}})",
       R"({"service":1,"address":"10.0.0.1:80","zone":"z","state":"ready",)"
       R"("capacity":{}})",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
       R"("capacity":7})"}) {
    EXPECT_FALSE(DecodeWorker("id", body)) << body;
  }
}

std::string WorkerEntryBody(std::string_view address, std::string_view cpu) {
  return R"({"service":"s","zone":"z","state":"ready","address":")" +
         std::string(address) + R"(","capacity":{"cpu":)" + std::string(cpu) +
         "}}";
}

TEST(CodecTest, RejectsWorkerEntriesWithImpossibleAddresses) {
  ASSERT_TRUE(DecodeWorker("id", WorkerEntryBody("10.0.0.1:80", "16000")));
  for (const char* it : {"10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1",
                         "10.0.0.1", "host:80", "10.0.0.1:99999999999", ""}) {
    EXPECT_FALSE(DecodeWorker("id", WorkerEntryBody(it, "16000"))) << it;
  }
}

TEST(CodecTest, RejectsWorkerEntriesWithImpossibleCapacities) {
  for (const char* it : {"9200000000000000000", "9223372036854775808", "-1",
                         "1e300", "1000000000000000000000000000000"}) {
    EXPECT_FALSE(DecodeWorker("id", WorkerEntryBody("10.0.0.1:80", it))) << it;
  }
}

TEST(CodecTest, RejectsWavesWhoseDurationDoesNotFit) {
  EXPECT_TRUE(DecodeWave(R"({"wave":1,"duration_s":16.5})"));
  EXPECT_FALSE(DecodeWave(R"({"wave":1,"duration_s":1e300})"));
  EXPECT_FALSE(DecodeWave(R"({"wave":1,"duration_s":-1})"));
}

TEST(CodecTest, TransactionsCarryConditionsWritesAndRemovals) {
  StoreTransaction transaction;
  transaction.part = "p";
  transaction.conditions.push_back({"t", "lease", 7});
  transaction.writes.push_back({"t", "a", "node-1", false});
  transaction.writes.push_back({"t", "b", "", true});
  EXPECT_EQ(
      Encode(transaction),
      R"({"expected_rev":[{"table":"t","part":"p","key":"lease","ver":7}],)"
      R"("writes":[{"table":"t","part":"p","key":"a","value":"bm9kZS0x"}],)"
      R"("remove":[{"table":"t","part":"p","key":"b"}]})");
}

TEST(CodecTest, ReadsPagesOfRows) {
  const auto page = DecodePage(
      R"({"rows":[{"table":"t","part":"p","key":"a","value":"bm9kZS0x",)"
      R"("ver":412},{"table":"t","part":"p","key":"b","ver":413,)"
      R"("tombstone":true}],"more_pages":false,"ver":530,"now_ms":1})");
  ASSERT_TRUE(page) << page.error().what;
  ASSERT_EQ(page->rows.size(), 2U);
  EXPECT_EQ(page->rows[0].value, "node-1");
  EXPECT_EQ(page->rows[0].version, 412U);
  EXPECT_TRUE(page->rows[1].removed);
  EXPECT_EQ(page->version, 530U);
  EXPECT_EQ(page->store_ms, 1);
  EXPECT_FALSE(DecodePage(R"({"rows":[{"key":"a","value":"***"}]})"));
}

TEST(CodecTest, ConfigurationPicksTheLongestPrefix) {
  const auto config = DecodeConfiguration(
      R"({"version":7,"routes":[)"
      R"({"name":"r1","host":"h","path_prefix":"/a/","service":"s1"},)"
      R"({"name":"r2","host":"h","path_prefix":"/a/b/","service":"s2",)"
      R"("attempts":3,"stretch":1.6,"advice":{"decision_ms":5}}],)"
      R"("services":[{"name":"s1","headroom":true}]})");
  ASSERT_TRUE(config) << config.error().what;
  EXPECT_EQ(config->Match("h", "/a/b/0")->name, "r2");
  EXPECT_EQ(config->Match("h", "/a/0")->name, "r1");
  EXPECT_EQ(config->Match("other", "/a/0"), nullptr);
  EXPECT_TRUE(config->Match("h", "/a/b/0")->needs_tickets);
  EXPECT_TRUE(config->services.at("s1").headroom);
  EXPECT_FALSE(DecodeConfiguration(R"({"routes":[]})"));
}

// Calls every decoder of input from other processes.
void DecodeAll(const std::string& body) {
  static_cast<void>(DecodePage(body));
  static_cast<void>(DecodeCommit(body));
  static_cast<void>(DecodeConfiguration(body));
  static_cast<void>(DecodeWorker("id", body));
  static_cast<void>(DecodeWave(body));
  static_cast<void>(DecodeJob(body));
  static_cast<void>(DecodeReport(body));
  static_cast<void>(DecodeOrderReply(body));
  static_cast<void>(DecodeAdvice(body));
  static_cast<void>(DecodeMachines(body));
}

TEST(CodecTest, RejectsRowsThatAreNotLists) {
  EXPECT_FALSE(DecodeReport(R"({"clock_ms":1,"active":[7]})"));
  EXPECT_FALSE(DecodeReport(R"({"clock_ms":1,"ended_runs":[{"a":1}]})"));
  EXPECT_FALSE(DecodeAdvice(R"({"good":["i-1"]})"));
  EXPECT_FALSE(DecodeReport(R"({"clock_ms":1e300})"));
}

// Known field names with values of any type: decoders return errors and never
// throw.
TEST(CodecTest, NoBodyThrows) {
  const bool holds = rc::check([] {
    const auto any = rc::gen::element<std::string>(
        "null", "7", "-1", "1e300", "true", "\"text\"", "[]", "{}", "[7]",
        "[[1,2,3,4,5]]", "[[\"a.0.0.0\",1,\"\",2,3]]", "[{\"key\":\"k\"}]");
    const auto name = rc::gen::element<std::string>(
        "rows", "ver", "now_ms", "version", "routes", "services", "address",
        "service", "zone", "state", "labels", "capacity", "born", "wave",
        "machines", "task_spec", "steps", "clock_ms", "active", "ended_runs",
        "reason", "good", "next_token", "more_pages", "cap", "duration_s");
    std::string body = "{";
    for (int i = *rc::gen::inRange(0, 6); i >= 0; --i) {
      body += "\"" + *name + "\":" + *any + (i > 0 ? "," : "");
    }
    DecodeAll(body + "}");
    DecodeAll(*rc::gen::arbitrary<std::string>());
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace hemlockward::platform
