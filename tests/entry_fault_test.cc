#include "entry_fixture.h"

namespace hemlockward::entry {
namespace {

using std::chrono::milliseconds;

// Longer than a view lease, so that a view from before the fault has expired.
constexpr milliseconds kLongerThanLease{1200};

class EntryFaultTest : public EntryTest {
 protected:
  // Sends `n` requests to an entry and counts the answers by outcome.
  std::map<std::string, int> Burst(int entry, int n) {
    std::map<std::string, int> outcomes;
    for (int i = 0; i < n; ++i) ++outcomes[OutcomeOf(Send(entry, Post("x")))];
    return outcomes;
  }
  int RevisionOf(int entry) {
    const auto answer = Get(entry, "/metrics");
    const std::string name = "hemlockward_revision ";
    const std::size_t at = answer->body.find("\n" + name);
    if (at == std::string::npos) return 0;
    return std::stoi(answer->body.substr(at + 1 + name.size()));
  }
};

TEST_F(EntryFaultTest, EntriesServeDuringATableOutageWithAMajority) {
  Start(3, 2);
  platform_down_ = true;
  std::this_thread::sleep_for(kLongerThanLease);
  for (int entry = 0; entry < 3; ++entry) {
    EXPECT_EQ(Burst(entry, 10)["done"], 10) << entry;
    const std::string key = Mint(entry);
    EXPECT_EQ(OutcomeOf(Send((entry + 1) % 3, KeyedPost(key, "x"))), "done");
    EXPECT_EQ(TotalRuns(key), 1);
  }
  entries_[2]->Kill();
  std::this_thread::sleep_for(kLongerThanLease);
  EXPECT_EQ(Burst(0, 10)["done"], 10);
}

TEST_F(EntryFaultTest, EntryWithoutTableAndMajorityStops) {
  Start(3, 2);
  platform_down_ = true;
  entries_[1]->Kill();
  entries_[2]->Kill();
  std::this_thread::sleep_for(kLongerThanLease);
  EXPECT_EQ(Burst(0, 3)["not-run"], 3);
  EXPECT_EQ(targets_[0]->total + targets_[1]->total, 0);
  platform_down_ = false;
  WaitReady(0);
  EXPECT_EQ(Burst(0, 5)["done"], 5);
}

TEST_F(EntryFaultTest, EntryWithoutTheTableGetsChangesFromPeers) {
  Start(3, 2);
  first_entry_cut_off_ = true;
  CommitVm(0, base::VmState::kLeaving);
  WaitUntil([&] { return RevisionOf(0) == static_cast<int>(revision_); });
  const int before = targets_[0]->total;
  std::this_thread::sleep_for(kLongerThanLease);
  EXPECT_EQ(Burst(0, 20)["done"], 20);
  EXPECT_EQ(targets_[0]->total, before);
}

TEST_F(EntryFaultTest, EntryStartedInAnOutageGetsItsViewFromPeers) {
  Start(2, 1);
  platform_down_ = true;
  AddEntry();
  WaitUntil([&] { return RevisionOf(2) == static_cast<int>(revision_); });
  EXPECT_EQ(Burst(2, 2)["not-run"], 2);  // Not in a committed membership yet.
  platform_down_ = false;
  CommitMembership();
  WaitReady(2);
  EXPECT_EQ(Burst(2, 5)["done"], 5);
}

TEST_F(EntryFaultTest, ResumedEntryUsesNoExpiredView) {
  Start(3, 2);
  entries_[0]->Pause(2 * kLongerThanLease);
  std::this_thread::sleep_for(milliseconds(50));
  std::vector<std::jthread> callers;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back([&] { Send(0, Post("sent to a paused entry")); });
  }
  std::this_thread::sleep_for(milliseconds(50));
  CommitVm(0, base::VmState::kLeaving);
  std::this_thread::sleep_for(kLongerThanLease);
  const int before = targets_[0]->total;
  callers.clear();
  EXPECT_EQ(targets_[0]->total, before);
  WaitReady(0);
  EXPECT_EQ(Burst(0, 5)["done"], 5);
  EXPECT_EQ(targets_[0]->total, before);
}

// Guards against a second run of a key at another entry after the entry that
// ran it was killed.
TEST_F(EntryFaultTest, KeysOfADeadOwnerAreUnknownAndNotRunAgain) {
  Start(3, 2);
  const std::string ran = Mint(1);
  const std::string unused = Mint(1);
  ASSERT_EQ(OutcomeOf(Send(0, KeyedPost(ran, "x"))), "done");
  entries_[1]->Kill();
  for (const std::string& key : {ran, unused}) {
    HttpRequest request = KeyedPost(key, "x");
    request.headers.push_back({"Hemlockward-Timeout-Ms", "300"});
    EXPECT_EQ(OutcomeOf(Send(0, request)), "unknown");
    EXPECT_EQ(OutcomeOf(Send(2, request)), "unknown");
  }
  EXPECT_EQ(TotalRuns(ran), 1);
  EXPECT_EQ(TotalRuns(unused), 0);
}

// Callers get not-run for these keys and may retry with a new key at once.
TEST_F(EntryFaultTest, KeysMadeAfterTheirOwnerTerminatedAreNotRun) {
  Start(3, 2);
  const std::string before = Mint(1);
  entries_[1]->Kill();
  // More than twice the maximum skew after the first refused heartbeat.
  std::this_thread::sleep_for(milliseconds(1500));
  int not_run = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string key = TimeOrderedKey();
    const std::string outcome = OutcomeOf(Send(0, KeyedPost(key, "x")));
    const std::string repeated = OutcomeOf(Send(2, KeyedPost(key, "x")));
    EXPECT_EQ(outcome, repeated);
    EXPECT_EQ(TotalRuns(key), outcome == "done" ? 1 : 0);
    if (outcome == "not-run") ++not_run;
  }
  EXPECT_GT(not_run, 0);
  HttpRequest request = KeyedPost(before, "x");
  request.headers.push_back({"Hemlockward-Timeout-Ms", "300"});
  EXPECT_EQ(OutcomeOf(Send(0, request)), "unknown");
}

TEST_F(EntryFaultTest, OutcomeIsUnknownWhenTheOwnerDiesDuringTheRun) {
  Start(3, 1);
  targets_[0]->service_ms = 600;
  const std::string key = Mint(1);
  std::string outcome;
  std::jthread caller([&] {
    HttpRequest request = KeyedPost(key, "x");
    request.headers.push_back({"Hemlockward-Timeout-Ms", "900"});
    outcome = OutcomeOf(Send(0, request));
  });
  WaitUntil([&] { return targets_[0]->total == 1; });
  entries_[1]->Kill();
  caller.join();
  EXPECT_EQ(outcome, "unknown");
  EXPECT_EQ(TotalRuns(key), 1);
}

// Guards against freeing the slot of a request that still runs after its caller
// has timed out: the VM would then run more requests than it has slots.
TEST_F(EntryFaultTest, TimedOutRequestsKeepTheirSlots) {
  Start(2, 1);
  targets_[0]->service_ms = 300;
  std::vector<std::jthread> callers;
  for (int i = 0; i < 24; ++i) {
    callers.emplace_back([&, i] {
      HttpRequest request = Post("x", {{"Hemlockward-Timeout-Ms", "60"}});
      for (int n = 0; n < 4; ++n) Send(i % 2, request);
    });
  }
  callers.clear();
  EXPECT_GT(targets_[0]->most_at_once, 0);
  EXPECT_LE(targets_[0]->most_at_once, 8);
}

TEST_F(EntryFaultTest, QuotaHoldsOverAllEntries) {
  Start(3, 2, 2);
  targets_[0]->service_ms = 20;
  targets_[1]->service_ms = 20;
  std::atomic<int> done{0};
  std::vector<std::jthread> callers;
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; n < 3; ++n) {
        if (OutcomeOf(Send(i % 3, Post("x"))) == "done") ++done;
      }
    });
  }
  callers.clear();
  EXPECT_EQ(done, 36);
  EXPECT_LE(targets_[0]->most_at_once + targets_[1]->most_at_once, 4);
  EXPECT_LE(targets_[0]->most_at_once, 2);
}

// Guards against the use of a slot by two entries while a membership change
// moves slots between them.
TEST_F(EntryFaultTest, MembershipChangesUnderLoadNeverExceedSlots) {
  Start(2, 2);
  targets_[0]->service_ms = 15;
  targets_[1]->service_ms = 15;
  std::atomic<bool> stop{false};
  std::atomic<int> done{0};
  std::vector<std::jthread> callers;
  for (int i = 0; i < 32; ++i) {
    callers.emplace_back([&, i] {
      while (!stop) {
        if (OutcomeOf(Send(i % 2, Post("x"))) == "done") ++done;
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(200));
  AddEntry();
  CommitMembership();
  WaitReady(2);
  WaitUntil([&] { return TotalHeld() == 16; });
  entries_[2]->Kill();
  std::this_thread::sleep_for(milliseconds(300));
  stop = true;
  callers.clear();
  EXPECT_GT(done, 100);
  for (const auto& it : targets_) EXPECT_LE(it->most_at_once, 8);
}

}  // namespace
}  // namespace hemlockward::entry
