// A node that can't tell whether the leader acted on a forwarded request must
// not answer that it never runs.

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <functional>
#include <memory>
#include <thread>

#include "blocking.h"
#include "node/process.h"
#include "peer/gen/peer_types.h"

namespace hemlockward::node {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using kernel::HttpRequest;
using kernel::HttpResponse;
using peer::gen::Message;

constexpr std::string_view kConfiguration =
    R"({"version":1,"routes":[{"name":"q","host":"jobs.example",)"
    R"("path_prefix":"/q/","service":"pool"}],"services":[{"name":"pool"}]})";
constexpr std::string_view kNewerConfiguration =
    R"({"version":2,"routes":[{"name":"q","host":"jobs.example",)"
    R"("path_prefix":"/q/","service":"pool"},{"name":"added",)"
    R"("host":"jobs.example","path_prefix":"/added/","service":"pool"}],)"
    R"("services":[{"name":"pool"}]})";
constexpr std::string_view kHost = "jobs.example";
constexpr std::string_view kPath = "/q/0123456789abcdef";
constexpr std::string_view kAddedPath = "/added/0123456789abcdef";
constexpr std::string_view kJob =
    R"({"task_spec":"text","steps":[{"count":1,"cpu":1,"mem_mb":1}]})";
constexpr Millis kTimeout{5000};
constexpr int kMaxCalls = 50;

std::string FreeAddress() {
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(context,
                                         {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// A page with one row, whose value is encoded as in a transaction.
std::string Page(std::string_view table, std::string_view key,
                 std::string value) {
  platform::StoreTransaction transaction;
  transaction.writes.push_back(
      {std::string(table), std::string(key), std::move(value)});
  json::value body = json::parse(platform::Encode(transaction));
  json::value rows = body.as_object()["writes"];
  rows.as_array()[0].as_object()["ver"] = 1;
  return json::serialize(
      json::object{{"rows", rows}, {"ver", 1}, {"now_ms", 1}});
}

// A follower, a store that it can only read, and a leader that answers calls as
// the test says.
class ForwardTest : public ::testing::Test {
 protected:
  ForwardTest()
      : pool_(2),
        http_(pool_),
        store_(
            pool_, "127.0.0.1:0", {},
            [this](HttpRequest request) { return Serve(std::move(request)); }),
        leader_(pool_, "127.0.0.1:0",
                [this](const Message& call) {
                  return Lead(call.__isset.job_call);
                }),
        lease_{"leader", "127.0.0.1:" + std::to_string(leader_.port()), 77, 3},
        node_pool_(1),
        node_(std::make_unique<NodeProcess>(node_pool_, Settings())),
        thread_([this] { pool_.Run(); }),
        node_thread_([this] { node_pool_.Run(); }) {}
  ~ForwardTest() override {
    node_pool_.Stop();
    pool_.Stop();
  }

  NodeSettings Settings() {
    NodeSettings settings;
    settings.name = "follower";
    settings.front = front_;
    settings.readiness = FreeAddress();
    settings.peer = FreeAddress();
    settings.store = "127.0.0.1:" + std::to_string(store_.port());
    // The node asks for changes only when it hears of one.
    settings.configuration_bound = base::Minutes(10);
    return settings;
  }

  Awaitable<HttpResponse> Serve(HttpRequest request) {
    const std::string table = request.Query("table");
    if (request.Path() == "/v1/rows-feed") {
      if (request.Query("wait_ms") == "0") {
        co_return kernel::JsonResponse(
            200, Page(platform::kOperatorTable, platform::kConfigKey,
                      std::string(kNewerConfiguration)));
      }
      co_await kernel::Sleep(kTimeout);
    }
    if (request.Path() != "/v1/rows-get") {
      co_return kernel::JsonResponse(503, "{}");
    }
    std::string page = R"({"rows":[],"ver":1,"now_ms":1})";
    if (table == platform::kOperatorTable) {
      page = Page(table, platform::kConfigKey, std::string(kConfiguration));
    } else if (table == kLeaseTable) {
      page = Page(table, kLeaseKey, EncodeLease(lease_));
    }
    co_return kernel::JsonResponse(200, std::move(page));
  }

  Awaitable<Message> Lead(bool is_job_call) {
    if (is_job_call) {
      ++job_calls_;
      co_return on_job_call_(job_calls_);
    }
    Message answer;
    peer::gen::LeaderCheck check;
    check.__set_incarnation(static_cast<std::int64_t>(lease_.incarnation));
    check.__set_leads(true);
    check.__set_term(static_cast<std::int64_t>(lease_.term));
    check.__set_lease(EncodeLease(lease_));
    check.__set_sender(lease_.address);
    answer.__set_leader_check(check);
    co_return answer;
  }

  // Hands a job in until the leader has been called `calls` times.
  int Submit(std::string_view path = kPath, int calls = 1) {
    int status = 0;
    for (int i = 0; i < kMaxCalls && job_calls_ < calls; ++i) {
      HttpRequest request;
      request.method = "POST";
      request.target = path;
      request.headers.push_back({"Host", std::string(kHost)});
      request.body = kJob;
      const auto response = tests::RunBlocking(
          pool_, http_.Call(front_, std::move(request), kTimeout));
      EXPECT_TRUE(response);
      if (!response) break;
      status = response->status;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_GE(job_calls_, calls);
    return status;
  }

  std::function<Message(int)> on_job_call_;
  std::atomic<int> job_calls_{0};
  const std::string front_ = FreeAddress();
  kernel::WorkerPool pool_;
  kernel::HttpClient http_;
  kernel::HttpServer store_;
  peer::PeerServer leader_;
  LeaseRow lease_;
  kernel::WorkerPool node_pool_;
  std::unique_ptr<NodeProcess> node_;
  std::jthread thread_;
  std::jthread node_thread_;
};

Message JobReply(int status, std::int64_t config_version = 1) {
  peer::gen::JobReply reply;
  reply.__set_config_version(config_version);
  reply.__set_status(status);
  reply.__set_body("{}");
  Message message;
  message.__set_job_reply(reply);
  return message;
}

TEST_F(ForwardTest, JobThatTheLeaderRefusedIsAnswered503) {
  on_job_call_ = [](int) { return JobReply(503); };
  EXPECT_EQ(Submit(), 503);
}

// The leader's handler threw, maybe after it had accepted the job.
TEST_F(ForwardTest, JobIsNotAnswered503AfterAnErrorOfTheLeader) {
  on_job_call_ = [](int n) {
    return n == 1 ? peer::ErrorMessage("out of memory") : JobReply(503);
  };
  EXPECT_EQ(Submit(), 504);
}

// Its queue was removed after the first attempt, which may have been accepted.
TEST_F(ForwardTest, JobThatMayHaveRunIsNotAnswered404) {
  on_job_call_ = [](int n) {
    return n == 1 ? peer::ErrorMessage("out of memory") : JobReply(404);
  };
  EXPECT_EQ(Submit(), 504);
}

TEST_F(ForwardTest, JobIsNotAnswered503AfterErrorsOnly) {
  on_job_call_ = [](int) { return peer::ErrorMessage("out of memory"); };
  EXPECT_EQ(Submit(), 504);
}

TEST_F(ForwardTest, ConfigurationThatTheLeaderAnsweredByIsReadAtOnce) {
  on_job_call_ = [](int) { return JobReply(200, 2); };
  EXPECT_EQ(Submit(), 200);
  EXPECT_EQ(Submit(kAddedPath, 2), 200);
}

}  // namespace
}  // namespace hemlockward::node
