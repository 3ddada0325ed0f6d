// A process may be paused, or wait for a connection, between the check of its
// lease and the first byte of an order. Another node may lead by then.

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "blocking.h"
#include "platform/client.h"

namespace hemlockward::platform {
namespace {

using base::Millis;
using kernel::HttpRequest;
using kernel::HttpResponse;

constexpr Millis kTimeout{2000};

class OrdersTest : public ::testing::Test {
 protected:
  OrdersTest()
      : pool_(2),
        http_(pool_),
        server_(pool_, "127.0.0.1:0", {},
                [this](HttpRequest) -> boost::asio::awaitable<HttpResponse> {
                  ++received_;
                  co_return kernel::JsonResponse(
                      200, R"({"clock_ms":1,"active":[],"ended_runs":[]})");
                }),
        address_("127.0.0.1:" + std::to_string(server_.port())),
        client_(http_, http_, {address_, address_, ""}),
        thread_([this] { pool_.Run(); }) {
    worker_.id = "w";
    worker_.address = address_;
  }
  ~OrdersTest() override {
    server_.CloseIdle();
    pool_.Stop();
  }

  // The lease has run out when the connection is there.
  MaySend LeaseRanOut() {
    return [this] {
      ++asked_;
      return false;
    };
  }

  template <class T>
  T Run(boost::asio::awaitable<T> call) {
    return tests::RunBlocking(pool_, std::move(call));
  }

  kernel::WorkerPool pool_;
  std::atomic<int> received_{0};
  std::atomic<int> asked_{0};
  kernel::HttpClient http_;
  kernel::HttpServer server_;
  std::string address_;
  PlatformClient client_;
  jobs::WorkerEntry worker_;
  std::jthread thread_;
};

TEST_F(OrdersTest, NoVmOrderIsSentOnceTheLeaseHasRunOut) {
  const Authority authority{"node", 7};
  const auto moved =
      Run(client_.Move(authority, "m", "pool", kTimeout, LeaseRanOut()));
  const auto upkeep =
      Run(client_.Upkeep(authority, "m", 1, kTimeout, LeaseRanOut()));
  ASSERT_FALSE(moved);
  EXPECT_EQ(moved.error().failure, CallFailure::kNothingDone);
  ASSERT_FALSE(upkeep);
  EXPECT_EQ(upkeep.error().failure, CallFailure::kNothingDone);
  EXPECT_EQ(asked_, 2);
  EXPECT_EQ(received_, 0);
}

TEST_F(OrdersTest, NoOrderReachesAWorkerOnceTheLeaseHasRunOut) {
  const std::string checkpoint;
  const std::string payload = "payload";
  StartRequest request{{"job", 0, 0, 0}, 1, payload, 100, 7, checkpoint, ""};
  OrderReply reply;
  EXPECT_EQ(
      Run(client_.Start(worker_, request, kTimeout, &reply, LeaseRanOut())),
      jobs::StartAnswer::kRefused);
  EXPECT_FALSE(Run(client_.Stop(worker_, "{}", kTimeout, LeaseRanOut())));
  EXPECT_FALSE(Run(client_.Pace(worker_, "{}", kTimeout, LeaseRanOut())));
  EXPECT_FALSE(Run(client_.Hold(worker_, "{}", kTimeout, LeaseRanOut())));
  EXPECT_EQ(asked_, 4);
  EXPECT_EQ(received_, 0);
}

TEST_F(OrdersTest, OrdersAreSentWhileTheLeaseHolds) {
  const auto holds = [] { return true; };
  EXPECT_TRUE(Run(client_.Move({"node", 7}, "m", "pool", kTimeout, holds)));
  EXPECT_TRUE(Run(client_.Stop(worker_, "{}", kTimeout, holds)));
  EXPECT_EQ(received_, 2);
}

}  // namespace
}  // namespace hemlockward::platform
