// A table is read page by page, and may change in between.

#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "blocking.h"
#include "node/table_read.h"

namespace hemlockward::node {
namespace {

using base::Millis;
using kernel::HttpRequest;
using kernel::HttpResponse;
using platform::StoreRow;

constexpr Millis kSilence = base::Seconds(10);

// A store with two pages. Each page is as of a later version.
class ReadingTest : public ::testing::Test {
 protected:
  ReadingTest()
      : pool_(2),
        http_(pool_),
        server_(
            pool_, "127.0.0.1:0", {},
            [this](HttpRequest request) { return Serve(std::move(request)); }),
        address_("127.0.0.1:" + std::to_string(server_.port())),
        client_(http_, http_, {address_, address_, ""}),
        thread_([this] { pool_.Run(); }) {}
  ~ReadingTest() override {
    server_.CloseIdle();
    pool_.Stop();
  }

  boost::asio::awaitable<HttpResponse> Serve(HttpRequest request) {
    const int n = ++requests_;
    const bool first = request.target.find("&from=") == std::string::npos;
    if (!first) ++requests_of_second_page_;
    if (silent_ && n % 2 == 1) co_await kernel::Sleep(kSilence);
    if (!first && n <= lost_until_) {
      HttpResponse lost;
      lost.cut_after = 0;
      lost.body = "{}";
      co_return lost;
    }
    co_return kernel::JsonResponse(
        200, first ? R"({"rows":[{"table":"t","part":"","key":"a",)"
                     R"("value":"","ver":7}],"more_pages":true,)"
                     R"("ver":10,"now_ms":1})"
                   : R"({"rows":[{"table":"t","part":"","key":"b",)"
                     R"("value":"","ver":12}],"more_pages":false,)"
                     R"("ver":12,"now_ms":2})");
  }

  std::optional<std::uint64_t> Read() {
    TableRead read;
    read.table = "t";
    read.apply = [this](const StoreRow& row) { keys_.push_back(row.key); };
    read.may_continue = [this] {
      return requests_of_second_page_ < given_up_after_;
    };
    return tests::RunBlocking(pool_, ReadTable(client_, std::move(read)));
  }

  std::atomic<int> requests_{0};
  std::atomic<int> requests_of_second_page_{0};
  int lost_until_ = 0;
  bool silent_ = false;  ///< At each request with an odd number.
  int given_up_after_ = 1000;
  std::vector<std::string> keys_;
  kernel::WorkerPool pool_;
  kernel::HttpClient http_;
  kernel::HttpServer server_;
  std::string address_;
  platform::PlatformClient client_;
  std::jthread thread_;
};

// Row `a` may have changed at version 11, after its page was read.
TEST_F(ReadingTest, ChangesAreFollowedFromTheFirstPage) {
  const auto version = Read();
  EXPECT_EQ(keys_, (std::vector<std::string>{"a", "b"}));
  ASSERT_TRUE(version);
  EXPECT_EQ(*version, 10U);
}

TEST_F(ReadingTest, OnlyAPageWithoutAnAnswerIsRequestedAgain) {
  lost_until_ = 3;
  const auto version = Read();
  EXPECT_EQ(keys_, (std::vector<std::string>{"a", "b"}));
  ASSERT_TRUE(version);
  EXPECT_EQ(*version, 10U);
  EXPECT_EQ(requests_, 4);
}

// A connection on which an answer is lost stays open and silent.
TEST_F(ReadingTest, SilentStoreIsAskedAgainSoon) {
  silent_ = true;
  const base::SystemClock clock;
  const Millis begin = clock.Now();
  EXPECT_TRUE(Read());
  EXPECT_EQ(requests_, 4);
  EXPECT_LT(clock.Now() - begin, Millis{2500});
}

// The lease is lost while the second page has no answer.
TEST_F(ReadingTest, ReadingStopsWhenItsCallerMustNotGoOn) {
  lost_until_ = 1000;
  given_up_after_ = 2;
  EXPECT_FALSE(Read());
  EXPECT_EQ(keys_, std::vector<std::string>{"a"});
  EXPECT_EQ(requests_of_second_page_, 2);
}

}  // namespace
}  // namespace hemlockward::node
