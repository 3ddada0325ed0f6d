// A client that misreads a lost, late or malformed response reports a write as
// failed although it was applied, or applies it twice. Covers the table,
// object, VM and monitor clients against the platform stand-in with injected
// faults.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <future>
#include <map>
#include <thread>

#include "platform/services.h"
#include "platform/table.h"
#include "standin/platform_service.h"

namespace hemlockward::platform {
namespace {

namespace asio = boost::asio;
using kernel::HttpRequest;
using kernel::HttpResponse;

// Fault injected into one call.
enum class Fault : std::uint8_t {
  kPass,
  kRefuse,   // 503, not executed.
  kDrop,     // Connection closed, not executed.
  kLose,     // Executed, connection closed.
  kCut,      // Executed, response truncated.
  kLate,     // Executed, response after the client's timeout.
  kDelay,    // Executed after the client's timeout.
  kGarbage,  // Executed, response malformed.
};

constexpr base::Millis kTimeout{100};
constexpr base::Millis kBeyondTimeout{200};

// The platform stand-in with scripted faults, and its clients. Wait() blocks
// the calling thread.
class ClientFixture {
 public:
  ClientFixture()
      : pool_(2),
        service_(pool_, Settings(), Vms()),
        http_(pool_),
        server_(
            pool_, "127.0.0.1:0", {},
            [this](HttpRequest request) { return Handle(std::move(request)); }),
        address_("127.0.0.1:" + std::to_string(server_.port())),
        table(http_, {address_, kTimeout, 2, {1}}),
        objects(http_, {address_, kTimeout}),
        vms(http_, {address_, kTimeout}),
        monitor(http_, {address_, kTimeout}),
        thread_([this] { pool_.Run(); }) {}
  ~ClientFixture() {
    server_.CloseIdle();
    pool_.Stop();
  }
  ClientFixture(const ClientFixture&) = delete;
  ClientFixture& operator=(const ClientFixture&) = delete;

  void Script(const std::vector<Fault>& faults) {
    const std::lock_guard lock(mutex_);
    faults_.assign(faults.begin(), faults.end());
  }

  template <class T>
  tl::expected<T, TableError> Wait(Result<T> call) {
    auto promise =
        std::make_shared<std::promise<tl::expected<T, TableError>>>();
    auto future = promise->get_future();
    pool_.Spawn("call", SetPromise(std::move(call), std::move(promise)));
    return future.get();
  }

  // The stored value of a row, read without injected faults.
  std::string Value(const std::string& key) {
    Script({});
    const auto rows = Wait(table.Read({key}));
    return rows && !rows->empty() ? rows->front().value : std::string();
  }

 private:
  static standin::PlatformSettings Settings() {
    standin::PlatformSettings settings;
    settings.list_lag = {0};
    return settings;
  }
  static std::vector<ListedVm> Vms() {
    ListedVm vm{base::VmId("scan-01"), base::ZoneId("a"), base::RackId("a-r1"),
                "127.0.0.1:1", ListedState::kLive};
    return {vm};
  }

  template <class T>
  static asio::awaitable<void> SetPromise(
      Result<T> call,
      std::shared_ptr<std::promise<tl::expected<T, TableError>>> promise) {
    promise->set_value(co_await std::move(call));
  }

  Fault NextFault() {
    const std::lock_guard lock(mutex_);
    if (faults_.empty()) return Fault::kPass;
    const Fault fault = faults_.front();
    faults_.pop_front();
    return fault;
  }

  asio::awaitable<HttpResponse> Handle(HttpRequest request) {
    const Fault fault = NextFault();
    if (fault == Fault::kRefuse) {
      co_return kernel::ProblemResponse(503, "unavailable", "script");
    }
    if (fault == Fault::kDrop) co_return standin::LostAnswer();
    if (fault == Fault::kDelay) co_await kernel::Sleep(kBeyondTimeout);
    HttpResponse response;
    if (request.Path() == "/verdicts") {
      response = kernel::JsonResponse(
          200, R"({"verdicts":[{"vm":"scan-01","up":true,"age_ms":700}]})");
    } else {
      response = co_await service_.Handle(std::move(request));
    }
    if (fault == Fault::kLose) co_return standin::LostAnswer();
    if (fault == Fault::kCut) response.cut_after = 3;
    if (fault == Fault::kLate) co_await kernel::Sleep(kBeyondTimeout);
    if (fault == Fault::kGarbage) response.body = "{\"committed\":";
    co_return response;
  }

  kernel::WorkerPool pool_;
  standin::PlatformService service_;
  std::mutex mutex_;  // Guards faults_.
  std::deque<Fault> faults_;
  kernel::HttpClient http_;
  kernel::HttpServer server_;
  std::string address_;

 public:
  TableClient table;
  ObjectClient objects;
  VmClient vms;
  MonitorClient monitor;

 private:
  std::jthread thread_;
};

Transaction Put(std::string nonce, std::string key, std::string value,
                RowVersion version) {
  Transaction transaction;
  transaction.nonce = std::move(nonce);
  transaction.conditions = {{key, version}};
  transaction.writes = {{key, std::move(value), false}};
  return transaction;
}

constexpr auto kCommitted = static_cast<TableFailure>(255);

TableFailure FailureOf(const tl::expected<Committed, TableError>& result) {
  return result ? kCommitted : result.error().failure;
}

TEST(TableClientTest, ReportsTransactionOutcomeUnderEachFault) {
  struct Case {
    std::string_view name;
    std::vector<Fault> faults;
    TableFailure expected;
    bool written;
  };
  using enum Fault;
  using enum TableFailure;
  const Case cases[] = {
      {"whole", {}, kCommitted, true},
      {"refused", {kRefuse}, kUnavailable, false},
      {"answer lost once", {kLose}, kCommitted, true},
      {"answer lost twice", {kLose, kLose}, kCommitted, true},
      {"answer lost always", {kLose, kLose, kLose}, kUnknown, true},
      {"answer cut once", {kCut}, kCommitted, true},
      {"answer late once", {kLate}, kCommitted, true},
      {"effect late once", {kDelay}, kCommitted, true},
      {"answer unreadable once", {kGarbage}, kCommitted, true},
      {"dropped once", {kDrop}, kCommitted, true},
      {"dropped always", {kDrop, kDrop, kDrop}, kUnknown, false},
      {"lost, then refused", {kLose, kRefuse, kRefuse}, kUnknown, true},
      {"dropped, then refused", {kDrop, kRefuse, kRefuse}, kUnknown, false},
      {"lost, refused, then told", {kLose, kRefuse}, kCommitted, true},
  };
  ClientFixture fixture;
  for (const Case& it : cases) {
    const std::string key(it.name);
    fixture.Script(it.faults);
    const auto result =
        fixture.Wait(fixture.table.Transact(Put(key, key, "v", 0)));
    EXPECT_EQ(FailureOf(result), it.expected) << it.name;
    EXPECT_EQ(fixture.Value(key) == "v", it.written) << it.name;
  }
}

TEST(TableClientTest, ConflictWritesNothingAndReportsTheRow) {
  ClientFixture fixture;
  ASSERT_TRUE(fixture.Wait(fixture.table.Transact(Put("n1", "row", "a", 0))));
  for (const auto& faults : {std::vector<Fault>{}, {Fault::kLose}}) {
    fixture.Script(faults);
    const std::string nonce = "n2" + std::to_string(faults.size());
    const auto result =
        fixture.Wait(fixture.table.Transact(Put(nonce, "row", "b", 0)));
    EXPECT_EQ(FailureOf(result), TableFailure::kConflict);
    EXPECT_NE(result.error().what.find("row"), std::string::npos);
    EXPECT_EQ(fixture.Value("row"), "a");
  }
}

TEST(TableClientTest, FailedConditionLeavesAllRowsUnchanged) {
  ClientFixture fixture;
  Transaction both = Put("n1", "a", "1", 0);
  both.conditions.push_back({"b", 7});
  both.writes.push_back({"c", "1", false});
  EXPECT_FALSE(fixture.Wait(fixture.table.Transact(both)));
  EXPECT_EQ(fixture.Value("a"), "");
  EXPECT_EQ(fixture.Value("c"), "");
}

// A retried transaction could be applied twice, or reported as failed although
// it was applied. Conditional transactions write under random faults: each
// committed one is applied once, each unknown one at most once, and each
// refused one never.
RC_GTEST_PROP(TableClientProperty, TransactionIsAppliedOnceAndReportedCorrectly,
              ()) {
  static ClientFixture fixture;
  static int run = 0;
  constexpr int kWrites = 4;
  const std::string key = "counter" + std::to_string(++run);
  int least = 0;
  int most = 0;
  for (int i = 0; i < kWrites; ++i) {
    const auto faults = *rc::gen::container<std::vector<Fault>>(
        3, rc::gen::element(Fault::kPass, Fault::kRefuse, Fault::kDrop,
                            Fault::kLose, Fault::kCut, Fault::kGarbage));
    const auto rows = fixture.Wait(fixture.table.Read({key}));
    RC_ASSERT(rows.has_value());
    const bool exists = !rows->empty();
    const int value = exists ? std::stoi(rows->front().value) : 0;
    RC_ASSERT(value >= least && value <= most);
    least = most = value;
    fixture.Script(faults);
    const std::string nonce = key + "." + std::to_string(i);
    const RowVersion version = exists ? rows->front().version : 0;
    const auto result = fixture.Wait(fixture.table.Transact(
        Put(nonce, key, std::to_string(value + 1), version)));
    fixture.Script({});
    const TableFailure failure = FailureOf(result);
    RC_ASSERT(failure != TableFailure::kConflict);
    if (failure == kCommitted) ++least;
    if (failure == kCommitted || failure == TableFailure::kUnknown) ++most;
  }
}

TEST(TableClientTest, ReadsAndScansFailOrAreComplete) {
  ClientFixture fixture;
  for (const std::string key : {"p/1", "p/2", "p/3", "q/1"}) {
    ASSERT_TRUE(fixture.Wait(fixture.table.Transact(Put(key, key, key, 0))));
  }
  const auto first = fixture.Wait(fixture.table.Scan("p/", "", 2));
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->more);
  const auto rest =
      fixture.Wait(fixture.table.Scan("p/", first->rows.back().key, 2));
  ASSERT_TRUE(rest);
  EXPECT_FALSE(rest->more);
  ASSERT_EQ(rest->rows.size(), 1U);
  EXPECT_EQ(rest->rows[0].key, "p/3");

  using enum Fault;
  for (const Fault fault : {kRefuse, kDrop, kLose, kCut, kLate, kGarbage}) {
    fixture.Script({fault});
    EXPECT_FALSE(fixture.Wait(fixture.table.Read({"p/1"})));
    fixture.Script({fault});
    EXPECT_FALSE(fixture.Wait(fixture.table.Scan("p/", "", 2)));
  }
}

TEST(ObjectClientTest, PutOnceIsIdempotentAndNeverOverwrites) {
  ClientFixture fixture;
  const std::string bytes("a\0b\xff", 4);
  EXPECT_EQ(fixture.Wait(fixture.objects.PutIfAbsent("outcome/k", bytes)),
            true);
  EXPECT_EQ(fixture.Wait(fixture.objects.PutIfAbsent("outcome/k", bytes)),
            true);
  EXPECT_EQ(fixture.Wait(fixture.objects.PutIfAbsent("outcome/k", "other")),
            false);
  EXPECT_EQ(fixture.Wait(fixture.objects.Get("outcome/k")), bytes);

  struct Case {
    Fault fault;
    TableFailure expected;
  };
  using enum Fault;
  const Case cases[] = {{kRefuse, TableFailure::kUnavailable},
                        {kDrop, TableFailure::kUnknown},
                        {kLose, TableFailure::kUnknown},
                        {kLate, TableFailure::kUnknown}};
  for (const Case& it : cases) {
    fixture.Script({it.fault});
    const auto result =
        fixture.Wait(fixture.objects.PutIfAbsent("outcome/l", "x"));
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().failure, it.expected);
  }
  EXPECT_EQ(fixture.Wait(fixture.objects.PutIfAbsent("outcome/l", "x")), true);
}

TEST(ObjectClientTest, AbsentObjectDiffersFromAFault) {
  ClientFixture fixture;
  const auto absent = fixture.Wait(fixture.objects.Get("outcome/none"));
  ASSERT_FALSE(absent);
  EXPECT_EQ(absent.error().failure, TableFailure::kConflict);
  fixture.Script({Fault::kDrop});
  const auto fault = fixture.Wait(fixture.objects.Get("outcome/none"));
  ASSERT_FALSE(fault);
  EXPECT_EQ(fault.error().failure, TableFailure::kUnavailable);
}

TEST(VmClientTest, ActsOncePerNonceAndListsTheEffect) {
  ClientFixture fixture;
  const base::VmId vm("scan-01");
  fixture.Script({Fault::kLose});
  const auto lost = fixture.Wait(fixture.vms.Drain(vm, "n"));
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().failure, TableFailure::kUnknown);
  EXPECT_EQ(fixture.Wait(fixture.vms.Drain(vm, "n")), true);
  EXPECT_EQ(fixture.Wait(fixture.vms.Checkpoint(vm, "n")), true);
  EXPECT_EQ(fixture.Wait(fixture.vms.Reboot(base::VmId("none"), "n")), false);
  const auto list = fixture.Wait(fixture.vms.List());
  ASSERT_TRUE(list);
  ASSERT_EQ(list->size(), 1U);
  EXPECT_EQ(list->front().state, ListedState::kLeaving);
}

TEST(MonitorClientTest, VerdictsAreReadOrTheFaultIsReported) {
  ClientFixture fixture;
  const auto verdicts = fixture.Wait(fixture.monitor.Verdicts());
  ASSERT_TRUE(verdicts);
  ASSERT_EQ(verdicts->size(), 1U);
  EXPECT_TRUE(verdicts->front().up);
  EXPECT_EQ(verdicts->front().age, base::Millis{700});
  fixture.Script({Fault::kCut});
  EXPECT_FALSE(fixture.Wait(fixture.monitor.Verdicts()));
}

}  // namespace
}  // namespace hemlockward::platform
