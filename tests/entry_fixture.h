#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/fleet.h"
#include "base/random.h"
#include "blocking.h"
#include "entry/process.h"
#include "kernel/http.h"
#include "kernel/worker_pool.h"
#include "platform/table.h"
#include "standin/platform_service.h"

/// Test fixture with entries, the platform stand-in and scripted targets in one
/// process, connected over loopback.
namespace hemlockward::entry {

using kernel::HttpRequest;
using kernel::HttpResponse;
using HttpResult = tl::expected<HttpResponse, kernel::HttpError>;

inline std::string FreeAddress() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// A worker with scripted answers that counts the requests it runs.
class FakeTarget {
 public:
  enum class Act { kAnswer, kCut, kWrongId, kRefuse, kServerError };

  explicit FakeTarget(kernel::WorkerPool& pool)
      : server_(pool, "127.0.0.1:0", {}, [this](HttpRequest request) {
          return Handle(std::move(request));
        }) {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }
  int Runs(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return runs_[key];
  }

  std::atomic<Act> act{Act::kAnswer};
  std::atomic<int> service_ms{5};
  std::atomic<int> total{0};
  std::atomic<int> most_at_once{0};

 private:
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request) {
    HttpResponse response;
    response.With("Hemlockward-Request-Id",
                  std::string(request.Header("Hemlockward-Request-Id")));
    if (act == Act::kRefuse) {
      response.status = 503;
      response.With("Hemlockward-Refused", "slots");
      co_return response;
    }
    ++total;
    {
      const std::lock_guard lock(mutex_);
      ++runs_[std::string(request.Header("Idempotency-Key"))];
    }
    const int now = ++at_once_;
    int most = most_at_once;
    while (now > most && !most_at_once.compare_exchange_weak(most, now)) {
    }
    co_await kernel::Sleep({service_ms});
    --at_once_;
    response.body = "answer to " + request.body;
    if (act == Act::kCut) response.cut_after = 3;
    if (act == Act::kServerError) response.status = 500;
    if (act == Act::kWrongId) {
      response.headers.front().value = "another request's";
    }
    co_return response;
  }

  std::mutex mutex_;  // Guards runs_.
  std::map<std::string, int> runs_;
  std::atomic<int> at_once_{0};
  kernel::HttpServer server_;
};

/// One entry with its own threads.
class RunningEntry {
 public:
  explicit RunningEntry(EntrySettings settings)
      : settings_(std::move(settings)),
        pool_(std::make_unique<kernel::WorkerPool>(kThreads)),
        process_(std::make_unique<EntryProcess>(*pool_, settings_)),
        thread_([this] { pool_->Run(); }) {}
  ~RunningEntry() { Kill(); }

  /// Stops the entry at once, as kill -9 does; its connections close.
  void Kill() {
    if (!pool_) return;
    pool_->Stop();
    if (thread_.joinable()) thread_.join();
    process_.reset();
    pool_.reset();
  }
  /// Pauses all its threads for `time`, as SIGSTOP and SIGCONT do.
  void Pause(std::chrono::milliseconds time) {
    for (int i = 0; i < kThreads; ++i) {
      boost::asio::post(pool_->context(),
                        [time] { std::this_thread::sleep_for(time); });
    }
  }
  EntryProcess& process() { return *process_; }
  const EntrySettings& settings() const { return settings_; }
  /// Waits until a planned stop has finished.
  void Join() { thread_.join(); }

 private:
  static constexpr int kThreads = 2;
  EntrySettings settings_;
  std::unique_ptr<kernel::WorkerPool> pool_;
  std::unique_ptr<EntryProcess> process_;
  std::thread thread_;
};

inline std::string OutcomeOf(const HttpResult& answer) {
  if (!answer) return "no answer: " + answer.error().what;
  return std::string(answer->Header("Hemlockward-Outcome"));
}

class EntryTest : public testing::Test {
 protected:
  static constexpr base::Millis kLease{800};
  static constexpr std::size_t kMaxEntries = 8;

  EntryTest()
      : pool_(2),
        client_(pool_),
        platform_(pool_, standin::PlatformSettings{}, {}),
        platform_address_(FreeAddress()),
        first_platform_address_(FreeAddress()),
        table_(client_, {platform_address_, base::Seconds(2), 2}) {
    entries_.reserve(kMaxEntries);  // Callers index it during AddEntry.
    StartPlatform();
    thread_ = std::jthread([this] { pool_.Run(); });
  }
  ~EntryTest() override {
    entries_.clear();
    pool_.Stop();
  }

  // Two servers for one platform; the second serves only the first entry.
  void StartPlatform() {
    platform_server_ = MakePlatformServer(platform_address_, platform_down_);
    first_platform_server_ =
        MakePlatformServer(first_platform_address_, first_entry_cut_off_);
  }
  std::unique_ptr<kernel::HttpServer> MakePlatformServer(
      const std::string& address, const std::atomic<bool>& closed) {
    return std::make_unique<kernel::HttpServer>(
        pool_, address, kernel::HttpLimits{},
        [this, &closed](HttpRequest request) {
          const bool down = platform_down_ || closed;
          return down ? Unavailable() : platform_.Handle(std::move(request));
        });
  }
  static boost::asio::awaitable<HttpResponse> Unavailable() {
    co_return kernel::ProblemResponse(503, "down", "down");
  }

  HttpResult Call(const std::string& address, HttpRequest request,
                  base::Millis timeout = base::Seconds(10)) {
    return tests::RunBlocking(
        pool_, client_.Call(address, std::move(request), timeout));
  }
  HttpResult Get(int entry, const std::string& path) {
    return Call(entries_[entry]->settings().listen, {"GET", path, {}, ""});
  }
  /// POST to the service `scan`.
  HttpRequest Post(const std::string& body,
                   std::vector<kernel::HttpHeader> headers = {}) {
    return {"POST", "/v1/services/scan/requests", std::move(headers), body};
  }
  HttpRequest KeyedPost(const std::string& key, const std::string& body) {
    return Post(
        body, {{"Idempotency-Key", key}, {"Hemlockward-Repeatable", "false"}});
  }
  HttpResult Send(int entry, HttpRequest request) {
    return Call(entries_[entry]->settings().listen, std::move(request));
  }
  std::string Mint(int entry) {
    const auto answer = Send(entry, {"POST", "/v1/keys", {}, "{\"count\": 1}"});
    EXPECT_TRUE(answer && answer->status == 200);
    const std::size_t begin = answer->body.find("hk1.");
    return answer->body.substr(begin, answer->body.find('"', begin) - begin);
  }

  /// Commits one change as the control process does.
  void Commit(std::vector<base::RowChange> rows) {
    base::ChangeRecord record{++revision_, rows};
    platform::Transaction change;
    change.nonce = base::RandomHex(random_);
    rows.push_back({base::LogKey(revision_), base::Encode(record)});
    rows.push_back({"head", std::to_string(revision_)});
    for (const base::RowChange& it : rows) {
      change.writes.push_back({it.key, it.value, false});
    }
    ASSERT_TRUE(tests::RunBlocking(pool_, table_.Transact(change)));
  }
  void CommitDocument(int quota_normal = 0) {
    base::ServiceDocument document;
    document.team = base::TeamId("feet");
    document.service = base::ServiceId("scan");
    document.pool = base::PoolId("scan");
    document.slots_per_vm = 8;
    document.limits[1].quota = quota_normal;
    Commit({{"doc/feet", base::Encode(document)}});
  }
  void CommitVm(int number, base::VmState state) {
    base::VmRow row;
    row.vm = base::VmId("vm-" + std::to_string(number));
    row.pool = base::PoolId("scan");
    row.state = state;
    row.zone = base::ZoneId("zone-a");
    row.rack = base::RackId("rack-" + std::to_string(number));
    row.address = targets_[number]->Address();
    Commit({{"vm/" + row.vm.value, base::Encode(row)}});
  }

  void AddEntry() {
    EntrySettings settings;
    settings.id = "entry-" + std::to_string(entries_.size());
    settings.zone = "zone-a";
    settings.listen = FreeAddress();
    settings.peer_listen = FreeAddress();
    settings.platform =
        entries_.empty() ? first_platform_address_ : platform_address_;
    for (const auto& it : entries_) {
      settings.peers.push_back(it->settings().peer_listen);
    }
    settings.view_poll = {50};
    settings.view_lease = kLease;
    settings.heartbeat = {40};
    settings.peer_timeout = {200};
    settings.platform_timeout = {300};
    settings.orphan_hold = {600};
    settings.stop_notice = {100};
    entries_.push_back(std::make_unique<RunningEntry>(settings));
  }
  /// Commits a membership of all entries once all are registered.
  void CommitMembership() {
    base::Membership membership;
    membership.number = ++membership_number_;
    membership.effective_from = base::WallMillis{1};
    WaitUntil([&] {
      const auto page =
          tests::RunBlocking(pool_, table_.Scan("entry/", "", 100));
      if (!page || page->rows.size() < entries_.size()) return false;
      membership.entries.clear();
      for (const auto& it : page->rows) {
        membership.entries.push_back(*base::DecodeEntryRow(it.value));
      }
      return true;
    });
    Commit({{"membership", base::Encode(membership)}});
  }
  /// Starts entries and targets that are pool members, and commits a
  /// membership.
  void Start(int entries, int targets, int quota_normal = 0) {
    for (int i = 0; i < targets; ++i) {
      targets_.push_back(std::make_unique<FakeTarget>(pool_));
    }
    CommitDocument(quota_normal);
    for (int i = 0; i < targets; ++i) CommitVm(i, base::VmState::kMember);
    for (int i = 0; i < entries; ++i) AddEntry();
    CommitMembership();
    for (int i = 0; i < entries; ++i) WaitReady(i);
    WaitUntil([&] { return TotalHeld() == 8 * targets; });
  }
  void WaitReady(int entry) {
    WaitUntil(
        [&] { return entries_[entry]->process().NotReadyReason().empty(); });
  }
  /// Total of the slots held by all entries, from their metrics.
  int TotalHeld() {
    int held = 0;
    for (int i = 0; i < static_cast<int>(entries_.size()); ++i) {
      const auto answer = Get(i, "/metrics");
      const std::string name = "hemlockward_slots_held{service=\"scan\"} ";
      const std::size_t at =
          answer ? answer->body.find(name) : std::string::npos;
      if (at == std::string::npos) continue;
      held += std::stoi(answer->body.substr(at + name.size()));
    }
    return held;
  }
  void WaitUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < 1000; ++i) {
      if (condition()) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    FAIL() << "the condition never held";
  }
  /// A time-ordered key with the present time, owned by any entry.
  std::string TimeOrderedKey() {
    const auto ms =
        static_cast<unsigned long long>(base::SystemClock().Wall().count);
    char buf[64];
    std::snprintf(buf, sizeof buf, "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                  ms >> 16, ms & 0xffff,
                  static_cast<unsigned long long>(random_() & 0xfff),
                  static_cast<unsigned long long>(random_() & 0xfff),
                  static_cast<unsigned long long>(random_() & 0xffffffffffff));
    return buf;
  }
  int TotalRuns(const std::string& key) {
    int runs = 0;
    for (const auto& it : targets_) runs += it->Runs(key);
    return runs;
  }

  kernel::WorkerPool pool_;
  kernel::HttpClient client_;
  standin::PlatformService platform_;
  std::string platform_address_;
  std::string first_platform_address_;
  platform::TableClient table_;
  std::atomic<bool> platform_down_{false};
  std::atomic<bool> first_entry_cut_off_{false};  ///< Entry 0 can't reach it.
  std::unique_ptr<kernel::HttpServer> platform_server_;
  std::unique_ptr<kernel::HttpServer> first_platform_server_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::vector<std::unique_ptr<RunningEntry>> entries_;
  base::Random random_{20261204};
  base::Revision revision_ = 0;
  std::uint64_t membership_number_ = 0;
  std::jthread thread_;
};

}  // namespace hemlockward::entry
