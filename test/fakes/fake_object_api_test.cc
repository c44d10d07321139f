#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_object_api.h"
#include "fakes/run.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::fakes {
namespace {

namespace json = boost::json;

class FakeObjectApiTest : public testing::Test {
 protected:
  http::response call(std::string method, std::string target, std::string body = "")
  {
    return fakes::call(
        context_, client_, api_.address(),
        {.method = method, .target = "/apis/wisteriaflow.dev/v1/" + target, .body = body});
  }

  http::response create(const std::string& name)
  {
    return call("POST", "leases", R"({"metadata":{"name":")" + name + R"("},"spec":{"a":1}})");
  }

  // Watches for one second from `version` on and returns the events, one per line.
  std::string watch(std::string version)
  {
    return call("GET", "leases?watch=true&timeoutSeconds=1&resourceVersion=" + version).body;
  }

  boost::asio::io_context context_;
  fake_object_api api_{context_};
  http::client client_{context_};
};

TEST_F(FakeObjectApiTest, CreatesANameOnce)
{
  EXPECT_EQ(create("a").status, 201);
  const auto again = create("a");
  EXPECT_EQ(again.status, 409);
  EXPECT_EQ(json::parse(again.body).at("reason"), "AlreadyExists");
}

TEST_F(FakeObjectApiTest, ReplacesOnlyTheVersionNamed)
{
  create("a");
  const std::string update = R"({"metadata":{"name":"a","resourceVersion":"1"},"spec":{"a":2}})";
  EXPECT_EQ(call("PUT", "leases/a", update).status, 200);
  EXPECT_EQ(call("PUT", "leases/a", update).status, 409);
  EXPECT_EQ(json::parse(call("GET", "leases/a").body).at("spec").at("a"), 2);
}

TEST_F(FakeObjectApiTest, DeletesOnlyTheVersionNamed)
{
  create("a");
  EXPECT_EQ(call("DELETE", "leases/a", R"({"preconditions":{"resourceVersion":"9"}})").status, 409);
  EXPECT_EQ(call("DELETE", "leases/a").status, 200);
  EXPECT_EQ(call("GET", "leases/a").status, 404);
}

TEST_F(FakeObjectApiTest, ListsOneResourceBySelector)
{
  call("POST", "leases", R"({"metadata":{"name":"a","labels":{"tier":"x"}}})");
  create("b");
  call("POST", "others", R"({"metadata":{"name":"c","labels":{"tier":"x"}}})");
  const auto list = json::parse(call("GET", "leases?labelSelector=tier%3Dx").body);
  ASSERT_EQ(list.at("items").as_array().size(), 1U) << list;
  EXPECT_EQ(list.at("items").at(0).at("metadata").at("name"), "a");
  EXPECT_EQ(list.at("metadata").at("resourceVersion"), "3");
}

TEST_F(FakeObjectApiTest, RefusesAValueOverAMegabyte)
{
  EXPECT_EQ(call("POST", "leases", std::string(1 + (1 << 20), 'x')).status, 413);
}

TEST_F(FakeObjectApiTest, WatchesShowChangesAfterAVersion)
{
  create("a");
  create("b");
  const auto lines = watch("1");
  EXPECT_EQ(lines.find(R"("name":"a")"), std::string::npos) << lines;
  EXPECT_EQ(lines.find(R"({"type":"ADDED","object":{"metadata":{"name":"b")"), 0U) << lines;
  EXPECT_NE(lines.find("BOOKMARK"), std::string::npos) << lines;
}

TEST_F(FakeObjectApiTest, WatchesFromAForgottenVersionExpire)
{
  create("a");
  api_.forget_history();
  EXPECT_EQ(call("GET", "leases?watch=true&resourceVersion=0").status, 410);
}

TEST_F(FakeObjectApiTest, DropsEventsFromWatches)
{
  api_.set_faults({{"drop_events", 1}});
  create("a");
  create("b");
  const auto lines = watch("0");
  EXPECT_EQ(lines.find(R"("name":"a")"), std::string::npos) << lines;
  EXPECT_NE(lines.find(R"("name":"b")"), std::string::npos) << lines;
}

TEST_F(FakeObjectApiTest, LosesTheAnswerOfAWriteThatTookEffect)
{
  api_.set_faults({{"lose_answers", 1}});
  EXPECT_THROW(create("a"), http::broken_exchange_error);
  EXPECT_EQ(call("GET", "leases/a").status, 200);
}

TEST_F(FakeObjectApiTest, RefusesEverythingInAnOutage)
{
  api_.set_faults({{"outage", "refuse"}});
  EXPECT_EQ(create("a").status, 503);
  api_.set_faults({{"outage", "none"}});
  EXPECT_EQ(call("GET", "leases/a").status, 404) << "a refused write took effect";
}

TEST_F(FakeObjectApiTest, HangsUntilTheOutageEnds)
{
  api_.set_faults({{"outage", "hang"}});
  boost::asio::steady_timer end(context_, std::chrono::milliseconds(20));
  end.async_wait([&](boost::system::error_code) { api_.set_faults({{"outage", "none"}}); });
  EXPECT_THROW(create("a"), http::broken_exchange_error);
  EXPECT_EQ(api_.version(), 0U);
}

TEST_F(FakeObjectApiTest, ShowsStaleReads)
{
  create("a");
  api_.set_faults({{"stale_for_ms", 60'000}});
  create("b");
  EXPECT_EQ(call("GET", "leases/b").status, 404);
  api_.set_faults({{"stale_for_ms", 0}});
  EXPECT_EQ(call("GET", "leases/b").status, 200);
}

TEST_F(FakeObjectApiTest, CountsCallsByKind)
{
  create("a");
  call("GET", "leases");
  call("GET", "leases/a");
  EXPECT_EQ(api_.counts().writes, 1U);
  EXPECT_EQ(api_.counts().reads, 2U);
}

} // namespace
} // namespace wisteriaflow::fakes
