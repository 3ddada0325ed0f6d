// A transaction or an order that was carried out, but counts as refused, is
// repeated or given up by its sender while its effect stays.

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

// Answers each call with one status.
class AnswersTest : public ::testing::Test {
 protected:
  AnswersTest()
      : pool_(2),
        http_(pool_),
        server_(pool_, "127.0.0.1:0", {},
                [this](HttpRequest) -> boost::asio::awaitable<HttpResponse> {
                  co_return kernel::JsonResponse(status_, "{}");
                }),
        address_("127.0.0.1:" + std::to_string(server_.port())),
        client_(http_, http_, {address_, address_, ""}),
        thread_([this] { pool_.Run(); }) {}
  ~AnswersTest() override {
    server_.CloseIdle();
    pool_.Stop();
  }

  CallFailure FailureOfCommit(int status) {
    status_ = status;
    const StoreTransaction transaction;
    const auto result =
        tests::RunBlocking(pool_, client_.Commit(transaction, kTimeout));
    EXPECT_FALSE(result) << status;
    return result ? CallFailure::kUnknown : result.error().failure;
  }

  CallFailure FailureOfMove(int status) {
    status_ = status;
    const Authority authority{"node", 7};
    const auto result = tests::RunBlocking(
        pool_, client_.Move(authority, "m", "pool", kTimeout, {}));
    EXPECT_FALSE(result) << status;
    return result ? CallFailure::kUnknown : result.error().failure;
  }

  jobs::StartAnswer AnswerOfStart(int status) {
    status_ = status;
    jobs::WorkerEntry worker;
    worker.id = "w";
    worker.address = address_;
    StartRequest request;
    request.task = {"job", 0, 0, 0};
    OrderReply reply;
    return tests::RunBlocking(
        pool_, client_.Start(worker, request, kTimeout, &reply, {}));
  }

  std::atomic<int> status_{200};
  kernel::WorkerPool pool_;
  kernel::HttpClient http_;
  kernel::HttpServer server_;
  std::string address_;
  PlatformClient client_;
  std::jthread thread_;
};

// The store may have applied the transaction before it answered so.
TEST_F(AnswersTest, OnlyADocumentedRefusalMeansThatNothingWasDone) {
  for (const int it : {400, 403, 404, 503}) {
    EXPECT_EQ(FailureOfCommit(it), CallFailure::kNothingDone) << it;
    EXPECT_EQ(FailureOfMove(it), CallFailure::kNothingDone) << it;
  }
  for (const int it : {408, 500, 502, 504, 507}) {
    EXPECT_EQ(FailureOfCommit(it), CallFailure::kUnknown) << it;
    EXPECT_EQ(FailureOfMove(it), CallFailure::kUnknown) << it;
  }
  EXPECT_EQ(FailureOfCommit(429), CallFailure::kOverload);
  EXPECT_EQ(FailureOfMove(429), CallFailure::kOverload);
  EXPECT_EQ(FailureOfCommit(412), CallFailure::kConflict);
}

// The run may be there, so the task must not start elsewhere at once.
TEST_F(AnswersTest, StartWithAnUndocumentedAnswerMayHaveStarted) {
  using jobs::StartAnswer;
  EXPECT_EQ(AnswerOfStart(200), StartAnswer::kStarted);
  EXPECT_EQ(AnswerOfStart(421), StartAnswer::kOtherIncarnation);
  EXPECT_EQ(AnswerOfStart(409), StartAnswer::kNoCapacity);
  for (const int it : {400, 403, 404, 429, 503}) {
    EXPECT_EQ(AnswerOfStart(it), StartAnswer::kRefused) << it;
  }
  for (const int it : {408, 500, 502, 504, 507}) {
    EXPECT_EQ(AnswerOfStart(it), StartAnswer::kUnknown) << it;
  }
}

}  // namespace
}  // namespace hemlockward::platform
