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
enum class Fate : std::uint8_t {
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
class Bench {
 public:
  Bench()
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
  ~Bench() {
    server_.CloseIdle();
    pool_.Stop();
  }
  Bench(const Bench&) = delete;
  Bench& operator=(const Bench&) = delete;

  void Script(const std::vector<Fate>& fates) {
    const std::lock_guard lock(mutex_);
    fates_.assign(fates.begin(), fates.end());
  }

  template <class T>
  tl::expected<T, TableError> Wait(Result<T> call) {
    auto promise =
        std::make_shared<std::promise<tl::expected<T, TableError>>>();
    auto future = promise->get_future();
    pool_.Spawn("call", Fulfil(std::move(call), std::move(promise)));
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
  static asio::awaitable<void> Fulfil(
      Result<T> call,
      std::shared_ptr<std::promise<tl::expected<T, TableError>>> promise) {
    promise->set_value(co_await std::move(call));
  }

  Fate NextFate() {
    const std::lock_guard lock(mutex_);
    if (fates_.empty()) return Fate::kPass;
    const Fate fate = fates_.front();
    fates_.pop_front();
    return fate;
  }

  asio::awaitable<HttpResponse> Handle(HttpRequest request) {
    const Fate fate = NextFate();
    if (fate == Fate::kRefuse) {
      co_return kernel::ProblemResponse(503, "unavailable", "script");
    }
    if (fate == Fate::kDrop) co_return standin::LostAnswer();
    if (fate == Fate::kDelay) co_await kernel::Sleep(kBeyondTimeout);
    HttpResponse response;
    if (request.Path() == "/verdicts") {
      response = kernel::JsonResponse(
          200, R"({"verdicts":[{"vm":"scan-01","up":true,"age_ms":700}]})");
    } else {
      response = co_await service_.Handle(std::move(request));
    }
    if (fate == Fate::kLose) co_return standin::LostAnswer();
    if (fate == Fate::kCut) response.cut_after = 3;
    if (fate == Fate::kLate) co_await kernel::Sleep(kBeyondTimeout);
    if (fate == Fate::kGarbage) response.body = "{\"committed\":";
    co_return response;
  }

  kernel::WorkerPool pool_;
  standin::PlatformService service_;
  std::mutex mutex_;  // Guards fates_.
  std::deque<Fate> fates_;
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

TEST(TableClientTest, ReportsWhatIsKnownOfATransactionUnderEachFault) {
  struct Case {
    std::string_view name;
    std::vector<Fate> fates;
    TableFailure expected;
    bool written;
  };
  using enum Fate;
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
  Bench bench;
  for (const Case& it : cases) {
    const std::string key(it.name);
    bench.Script(it.fates);
    const auto result = bench.Wait(bench.table.Transact(Put(key, key, "v", 0)));
    EXPECT_EQ(FailureOf(result), it.expected) << it.name;
    EXPECT_EQ(bench.Value(key) == "v", it.written) << it.name;
  }
}

TEST(TableClientTest, ConflictWritesNothingAndNamesTheRow) {
  Bench bench;
  ASSERT_TRUE(bench.Wait(bench.table.Transact(Put("n1", "row", "a", 0))));
  for (const auto& fates : {std::vector<Fate>{}, {Fate::kLose}}) {
    bench.Script(fates);
    const std::string nonce = "n2" + std::to_string(fates.size());
    const auto result =
        bench.Wait(bench.table.Transact(Put(nonce, "row", "b", 0)));
    EXPECT_EQ(FailureOf(result), TableFailure::kConflict);
    EXPECT_NE(result.error().what.find("row"), std::string::npos);
    EXPECT_EQ(bench.Value("row"), "a");
  }
}

TEST(TableClientTest, OneFailingConditionKeepsAllRowsAsTheyWere) {
  Bench bench;
  Transaction both = Put("n1", "a", "1", 0);
  both.conditions.push_back({"b", 7});
  both.writes.push_back({"c", "1", false});
  EXPECT_FALSE(bench.Wait(bench.table.Transact(both)));
  EXPECT_EQ(bench.Value("a"), "");
  EXPECT_EQ(bench.Value("c"), "");
}

// A retried transaction could be applied twice, or reported as failed although
// it was applied. Conditional transactions write under random faults: each
// committed one is applied once, each unknown one at most once, and each
// refused one never.
RC_GTEST_PROP(TableClientProperty, NothingIsWrittenTwiceOrDenied, ()) {
  static Bench bench;
  static int run = 0;
  constexpr int kWrites = 4;
  const std::string key = "counter" + std::to_string(++run);
  int least = 0;
  int most = 0;
  for (int i = 0; i < kWrites; ++i) {
    const auto fates = *rc::gen::container<std::vector<Fate>>(
        3, rc::gen::element(Fate::kPass, Fate::kRefuse, Fate::kDrop,
                            Fate::kLose, Fate::kCut, Fate::kGarbage));
    const auto rows = bench.Wait(bench.table.Read({key}));
    RC_ASSERT(rows.has_value());
    const bool exists = !rows->empty();
    const int value = exists ? std::stoi(rows->front().value) : 0;
    RC_ASSERT(value >= least && value <= most);
    least = most = value;
    bench.Script(fates);
    const std::string nonce = key + "." + std::to_string(i);
    const RowVersion version = exists ? rows->front().version : 0;
    const auto result = bench.Wait(bench.table.Transact(
        Put(nonce, key, std::to_string(value + 1), version)));
    bench.Script({});
    const TableFailure failure = FailureOf(result);
    RC_ASSERT(failure != TableFailure::kConflict);
    if (failure == kCommitted) ++least;
    if (failure == kCommitted || failure == TableFailure::kUnknown) ++most;
  }
}

TEST(TableClientTest, ReadsAndScansFailOrAreWhole) {
  Bench bench;
  for (const std::string key : {"p/1", "p/2", "p/3", "q/1"}) {
    ASSERT_TRUE(bench.Wait(bench.table.Transact(Put(key, key, key, 0))));
  }
  const auto first = bench.Wait(bench.table.Scan("p/", "", 2));
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->more);
  const auto rest =
      bench.Wait(bench.table.Scan("p/", first->rows.back().key, 2));
  ASSERT_TRUE(rest);
  EXPECT_FALSE(rest->more);
  ASSERT_EQ(rest->rows.size(), 1U);
  EXPECT_EQ(rest->rows[0].key, "p/3");

  using enum Fate;
  for (const Fate fate : {kRefuse, kDrop, kLose, kCut, kLate, kGarbage}) {
    bench.Script({fate});
    EXPECT_FALSE(bench.Wait(bench.table.Read({"p/1"})));
    bench.Script({fate});
    EXPECT_FALSE(bench.Wait(bench.table.Scan("p/", "", 2)));
  }
}

TEST(ObjectClientTest, PutOnceIsIdempotentAndNeverOverwrites) {
  Bench bench;
  const std::string bytes("a\0b\xff", 4);
  EXPECT_EQ(bench.Wait(bench.objects.PutIfAbsent("outcome/k", bytes)), true);
  EXPECT_EQ(bench.Wait(bench.objects.PutIfAbsent("outcome/k", bytes)), true);
  EXPECT_EQ(bench.Wait(bench.objects.PutIfAbsent("outcome/k", "other")), false);
  EXPECT_EQ(bench.Wait(bench.objects.Get("outcome/k")), bytes);

  struct Case {
    Fate fate;
    TableFailure expected;
  };
  using enum Fate;
  const Case cases[] = {{kRefuse, TableFailure::kUnavailable},
                        {kDrop, TableFailure::kUnknown},
                        {kLose, TableFailure::kUnknown},
                        {kLate, TableFailure::kUnknown}};
  for (const Case& it : cases) {
    bench.Script({it.fate});
    const auto result = bench.Wait(bench.objects.PutIfAbsent("outcome/l", "x"));
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().failure, it.expected);
  }
  EXPECT_EQ(bench.Wait(bench.objects.PutIfAbsent("outcome/l", "x")), true);
}

TEST(ObjectClientTest, AnAbsentObjectIsToldFromAFault) {
  Bench bench;
  const auto absent = bench.Wait(bench.objects.Get("outcome/none"));
  ASSERT_FALSE(absent);
  EXPECT_EQ(absent.error().failure, TableFailure::kConflict);
  bench.Script({Fate::kDrop});
  const auto fault = bench.Wait(bench.objects.Get("outcome/none"));
  ASSERT_FALSE(fault);
  EXPECT_EQ(fault.error().failure, TableFailure::kUnavailable);
}

TEST(VmClientTest, ActsOncePerNonceAndListsTheEffect) {
  Bench bench;
  const base::VmId vm("scan-01");
  bench.Script({Fate::kLose});
  const auto lost = bench.Wait(bench.vms.Drain(vm, "n"));
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().failure, TableFailure::kUnknown);
  EXPECT_EQ(bench.Wait(bench.vms.Drain(vm, "n")), true);
  EXPECT_EQ(bench.Wait(bench.vms.Checkpoint(vm, "n")), true);
  EXPECT_EQ(bench.Wait(bench.vms.Reboot(base::VmId("none"), "n")), false);
  const auto list = bench.Wait(bench.vms.List());
  ASSERT_TRUE(list);
  ASSERT_EQ(list->size(), 1U);
  EXPECT_EQ(list->front().state, ListedState::kLeaving);
}

TEST(MonitorClientTest, VerdictsAreReadOrTheFaultIsTold) {
  Bench bench;
  const auto verdicts = bench.Wait(bench.monitor.Verdicts());
  ASSERT_TRUE(verdicts);
  ASSERT_EQ(verdicts->size(), 1U);
  EXPECT_TRUE(verdicts->front().up);
  EXPECT_EQ(verdicts->front().age, base::Millis{700});
  bench.Script({Fate::kCut});
  EXPECT_FALSE(bench.Wait(bench.monitor.Verdicts()));
}

}  // namespace
}  // namespace hemlockward::platform
