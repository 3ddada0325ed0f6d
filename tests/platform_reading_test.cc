// A table is read page by page, and may change in between.

#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

#include "blocking.h"
#include "platform/client.h"

namespace hemlockward::platform {
namespace {

using base::Millis;
using kernel::HttpRequest;
using kernel::HttpResponse;

// A store with two pages. Each page is as of a later version.
class ReadingTest : public ::testing::Test {
 protected:
  ReadingTest()
      : pool_(2),
        http_(pool_),
        server_(
            pool_, "127.0.0.1:0", {},
            [](HttpRequest request) -> boost::asio::awaitable<HttpResponse> {
              const bool first =
                  request.target.find("&from=") == std::string::npos;
              co_return kernel::JsonResponse(
                  200, first ? R"({"rows":[{"table":"t","part":"","key":"a",)"
                               R"("value":"","ver":7}],"more_pages":true,)"
                               R"("ver":10,"now_ms":1})"
                             : R"({"rows":[{"table":"t","part":"","key":"b",)"
                               R"("value":"","ver":12}],"more_pages":false,)"
                               R"("ver":12,"now_ms":2})");
            }),
        address_("127.0.0.1:" + std::to_string(server_.port())),
        client_(http_, {address_, address_, ""}),
        thread_([this] { pool_.Run(); }) {}
  ~ReadingTest() override {
    server_.CloseIdle();
    pool_.Stop();
  }

  kernel::WorkerPool pool_;
  kernel::HttpClient http_;
  kernel::HttpServer server_;
  std::string address_;
  PlatformClient client_;
  std::jthread thread_;
};

// Row `a` may have changed at version 11, after its page was read.
TEST_F(ReadingTest, ChangesAreFollowedFromTheFirstPage) {
  std::vector<std::string> keys;
  const auto version = tests::RunBlocking(
      pool_, client_.ReadAll("t", "", Millis{2000}, [&](const StoreRow& row) {
        keys.push_back(row.key);
        return true;
      }));
  EXPECT_EQ(keys, (std::vector<std::string>{"a", "b"}));
  ASSERT_TRUE(version);
  EXPECT_EQ(*version, 10U);
}

}  // namespace
}  // namespace hemlockward::platform
