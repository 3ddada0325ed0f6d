#include "entry_fixture.h"

namespace hemlockward::entry {
namespace {

TEST_F(EntryTest, ReturnsTheCompleteAnswerOfATarget) {
  Start(2, 2);
  for (int entry = 0; entry < 2; ++entry) {
    const auto answer =
        Send(entry, Post("foot", {{"Hemlockward-Request-Id", "r1"}}));
    ASSERT_TRUE(answer) << answer.error().what;
    EXPECT_EQ(answer->status, 200) << answer->body;
    EXPECT_EQ(answer->body, "answer to foot");
    EXPECT_EQ(answer->Header("Hemlockward-Outcome"), "done");
    EXPECT_EQ(answer->Header("Hemlockward-Request-Id"), "r1");
    const auto why = Get(entry, "/v1/why/request/r1");
    ASSERT_TRUE(why);
    EXPECT_NE(why->body.find("\"action\":\"route\""), std::string::npos);
  }
}

// Every invalid request is answered with not-run and reaches no target.
TEST_F(EntryTest, InvalidRequestsAreRefused) {
  Start(1, 1);
  const struct {
    const char* name;
    HttpRequest request;
    int status;
  } cases[] = {
      {"not repeatable without a key",
       Post("x", {{"Hemlockward-Repeatable", "false"}}), 400},
      {"not repeatable under a key of no kind", KeyedPost("abc", "x"), 400},
      {"repeatable neither true nor false",
       Post("x", {{"Hemlockward-Repeatable", "maybe"}}), 400},
      {"unknown class", Post("x", {{"Hemlockward-Class", "vip"}}), 400},
      {"timeout of no number", Post("x", {{"Hemlockward-Timeout-Ms", "1s"}}),
       400},
      {"timeout of 0", Post("x", {{"Hemlockward-Timeout-Ms", "0"}}), 400},
      {"unknown service", {"POST", "/v1/services/none/requests", {}, "x"}, 404},
      {"unknown path", {"POST", "/v2/anything", {}, "x"}, 404},
      {"wrong method", {"PUT", "/v1/services/scan/requests", {}, "x"}, 405},
      {"key count of 0", {"POST", "/v1/keys", {}, "{\"count\": 0}"}, 400},
      {"key body not JSON", {"POST", "/v1/keys", {}, "{"}, 400},
  };
  for (const auto& it : cases) {
    const auto answer = Send(0, it.request);
    ASSERT_TRUE(answer) << it.name;
    EXPECT_EQ(answer->status, it.status) << it.name;
    EXPECT_EQ(OutcomeOf(answer), "not-run") << it.name;
    EXPECT_FALSE(answer->Header("Hemlockward-Request-Id").empty()) << it.name;
    EXPECT_EQ(answer->Header("Content-Type"), "application/problem+json")
        << it.name;
  }
  EXPECT_EQ(targets_[0]->total, 0);
}

TEST_F(EntryTest, NotReadyUntilCommitted) {
  targets_.push_back(std::make_unique<FakeTarget>(pool_));
  CommitDocument();
  CommitVm(0, base::VmState::kMember);
  AddEntry();
  WaitUntil([&] { return Get(0, "/readyz")->status == 503; });
  const auto refused = Send(0, Post("x"));
  EXPECT_EQ(OutcomeOf(refused), "not-run");
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(targets_[0]->total, 0);
  CommitMembership();
  WaitReady(0);
  EXPECT_EQ(Get(0, "/readyz")->status, 200);
  EXPECT_EQ(OutcomeOf(Send(0, Post("x"))), "done");
}

// The outcome returned to the caller when a target fails during a request.
TEST_F(EntryTest, TargetThatFailsIsRetriedOnlyWhenRepeatable) {
  using Act = FakeTarget::Act;
  Start(1, 2);
  const struct {
    const char* name;
    Act act;
    const char* keyed_outcome;
    int keyed_runs;
  } cases[] = {
      {"ends in mid-answer", Act::kCut, "unknown", 1},
      {"answers another request", Act::kWrongId, "unknown", 1},
      {"refuses for want of slots", Act::kRefuse, "not-run", 0},
  };
  for (const auto& it : cases) {
    targets_[0]->act = it.act;
    targets_[1]->act = it.act;
    const std::string key = Mint(0);
    const auto keyed = Send(0, KeyedPost(key, "x"));
    EXPECT_EQ(OutcomeOf(keyed), it.keyed_outcome) << it.name;
    EXPECT_EQ(TotalRuns(key), it.keyed_runs) << it.name;

    targets_[1]->act = Act::kAnswer;
    const auto repeatable = Send(0, Post("again"));
    EXPECT_EQ(OutcomeOf(repeatable), "done") << it.name;
    EXPECT_EQ(repeatable->body, "answer to again") << it.name;

    // The outcome of the key stays the same after the targets recover.
    targets_[0]->act = Act::kAnswer;
    EXPECT_EQ(OutcomeOf(Send(0, KeyedPost(key, "x"))), it.keyed_outcome)
        << it.name;
    EXPECT_EQ(TotalRuns(key), it.keyed_runs) << it.name;
  }
}

TEST_F(EntryTest, LateAnswerIsReturnedForItsKey) {
  Start(2, 1);
  targets_[0]->service_ms = 400;
  const std::string key = Mint(0);
  HttpRequest request = KeyedPost(key, "slow");
  request.headers.push_back({"Hemlockward-Timeout-Ms", "100"});
  const auto answer = Send(0, request);
  EXPECT_EQ(OutcomeOf(answer), "unknown");
  EXPECT_EQ(answer->status, 504);
  WaitUntil([&] { return OutcomeOf(Get(1, "/v1/requests/" + key)) == "done"; });
  EXPECT_EQ(Get(1, "/v1/requests/" + key)->body, "answer to slow");
  EXPECT_EQ(TotalRuns(key), 1);
}

TEST_F(EntryTest, ConcurrentDuplicatesAtAllEntriesRunOnce) {
  Start(3, 2);
  targets_[0]->service_ms = 30;
  targets_[1]->service_ms = 30;
  constexpr int kKeys = 40;
  std::vector<std::string> keys;
  for (int i = 0; i < kKeys; ++i) {
    keys.push_back(i % 2 == 0 ? Mint(i % 3) : TimeOrderedKey());
  }
  std::vector<std::jthread> callers;
  std::atomic<int> done{0};
  std::atomic<int> wrong{0};
  for (int entry = 0; entry < 3; ++entry) {
    for (int part = 0; part < 4; ++part) {
      callers.emplace_back([&, entry, part] {
        for (int i = part; i < kKeys; i += 4) {
          const auto answer = Send(entry, KeyedPost(keys[i], keys[i]));
          if (OutcomeOf(answer) == "done") ++done;
          if (answer && answer->status == 200 &&
              answer->body != "answer to " + keys[i]) {
            ++wrong;
          }
        }
      });
    }
  }
  callers.clear();
  EXPECT_EQ(done, 3 * kKeys);
  EXPECT_EQ(wrong, 0);
  for (const std::string& it : keys) EXPECT_EQ(TotalRuns(it), 1) << it;
}

TEST_F(EntryTest, RespondAsyncOutcomeSurvivesItsEntry) {
  Start(3, 1);
  targets_[0]->service_ms = 100;
  const std::string key = Mint(0);
  HttpRequest request = KeyedPost(key, "rebuild");
  request.headers.push_back({"Prefer", "respond-async"});
  const auto accepted = Send(1, request);
  ASSERT_TRUE(accepted);
  EXPECT_EQ(accepted->status, 202);
  EXPECT_EQ(accepted->Header("Location"), "/v1/requests/" + key);
  WaitUntil([&] {
    const auto stored =
        Call(platform_address_, {"GET", "/objects/outcome/" + key, {}, ""});
    return stored && stored->status == 200;
  });
  entries_[0]->Kill();
  const auto answer = Get(2, "/v1/requests/" + key);
  EXPECT_EQ(OutcomeOf(answer), "done");
  EXPECT_EQ(answer->body, "answer to rebuild");
  EXPECT_EQ(TotalRuns(key), 1);
}

TEST_F(EntryTest, CancelledBeforeItIsSentNeverRuns) {
  Start(1, 1);
  targets_[0]->service_ms = 300;
  std::vector<std::jthread> fillers;
  for (int i = 0; i < 8; ++i) {
    fillers.emplace_back([&] { Send(0, Post("filler")); });
  }
  WaitUntil([&] { return targets_[0]->total == 8; });
  const std::string key = Mint(0);
  std::string told;
  std::jthread caller(
      [&] { told = OutcomeOf(Send(0, KeyedPost(key, "cancel me"))); });
  WaitUntil([&] { return Get(0, "/v1/requests/" + key)->status == 202; });
  const auto cancelled = Call(entries_[0]->settings().listen,
                              {"DELETE", "/v1/requests/" + key, {}, ""});
  EXPECT_EQ(OutcomeOf(cancelled), "not-run");
  caller.join();
  fillers.clear();
  EXPECT_EQ(told, "not-run");
  EXPECT_EQ(OutcomeOf(Send(0, KeyedPost(key, "cancel me"))), "not-run");
  EXPECT_EQ(TotalRuns(key), 0);
}

TEST_F(EntryTest, PlannedStopLetsRequestsFinish) {
  Start(2, 1);
  targets_[0]->service_ms = 400;
  HttpResult answer;
  std::jthread caller([&] { answer = Send(0, Post("last")); });
  WaitUntil([&] { return targets_[0]->total == 1; });
  entries_[0]->process().BeginStop();
  EXPECT_EQ(Get(0, "/readyz")->status, 503);
  caller.join();
  EXPECT_EQ(OutcomeOf(answer), "done");
  EXPECT_EQ(answer->Header("Connection"), "close");
  entries_[0]->Join();
  WaitUntil([&] { return TotalHeld() == 8; });
}

// Guards against more requests in progress on a VM, over all entries, than it
// has slots.
TEST_F(EntryTest, SlotsAreNeverExceeded) {
  Start(3, 2);
  targets_[0]->service_ms = 10;
  targets_[1]->service_ms = 10;
  std::atomic<int> done{0};
  std::vector<std::jthread> callers;
  for (int i = 0; i < 48; ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; n < 10; ++n) {
        if (OutcomeOf(Send(i < 40 ? 0 : i % 3, Post("burst"))) == "done") {
          ++done;
        }
      }
    });
  }
  callers.clear();
  EXPECT_EQ(done, 480);
  for (const auto& it : targets_) EXPECT_LE(it->most_at_once, 8);
}

}  // namespace
}  // namespace hemlockward::entry
