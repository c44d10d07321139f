#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_cloud_api.h"
#include "fakes/run.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::fakes {
namespace {

namespace json = boost::json;

class FakeCloudApiTest : public testing::Test {
 protected:
  http::response call(std::string method, std::string target, std::string body = "")
  {
    return fakes::call(context_, client_, cloud_.address(),
                       {.method = method, .target = target, .body = body});
  }

  http::response launch(const std::string& token, const std::string& zone)
  {
    return call("POST", "/instances",
                R"({"token":")" + token + R"(","class":"c1","availability_zone":")" + zone +
                    R"(","reclaimable":true,"role":"engine","labels":{}})");
  }

  json::value get(std::string target) { return json::parse(call("GET", target).body); }

  void add(std::string_view id, std::string_view zone)
  {
    const json::value instance = {
        {"id", id}, {"address", "127.0.0.1:1"}, {"availability_zone", zone}};
    cloud_.control("instances", {{"instances", json::array{instance}}});
  }

  boost::asio::io_context context_;
  fake_cloud_api cloud_{context_};
  http::client client_{context_};
};

TEST_F(FakeCloudApiTest, LaunchesOneInstanceForAToken)
{
  const auto first = launch("t", "a");
  EXPECT_EQ(first.status, 201);
  EXPECT_EQ(launch("t", "a").body, first.body);
  EXPECT_EQ(get("/_fake/stats").at("launched").as_array().size(), 1U);
}

TEST_F(FakeCloudApiTest, LosesTheAnswerOfAStartThatTookEffect)
{
  cloud_.control("settings", {{"lose_answers", 1}});
  EXPECT_THROW(launch("t", "a"), http::broken_exchange_error);
  EXPECT_EQ(json::parse(launch("t", "a").body).at("id"), "launched-1");
}

TEST_F(FakeCloudApiTest, RefusesStartsOfAZoneAndClass)
{
  cloud_.control("refuse", {{"availability_zone", "a"}, {"class", "c1"}, {"refuse", true}});
  const auto refused = launch("t", "a");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(json::parse(refused.body).at("reason"), "InsufficientCapacity");
  EXPECT_EQ(launch("u", "b").status, 201);
}

TEST_F(FakeCloudApiTest, GivesLaunchedInstancesTheSpareAddresses)
{
  cloud_.control("addresses", {{"addresses", {"127.0.0.1:7"}}});
  launch("t", "a");
  launch("u", "a");
  const auto listed = get("/instances").at("instances");
  ASSERT_EQ(listed.as_array().size(), 1U) << listed;
  EXPECT_EQ(listed.at(0).at("address"), "127.0.0.1:7");
  EXPECT_EQ(listed.at(0).at("launched_with"), "t");
}

TEST_F(FakeCloudApiTest, GivesNoticeToAWholeZone)
{
  add("i1", "a");
  add("i2", "a");
  add("i3", "b");
  cloud_.control("notice", {{"availability_zone", "a"}, {"reclaim_in_ms", 60'000}});
  const auto notices = get("/notices?after=1").at("notices");
  ASSERT_EQ(notices.as_array().size(), 1U) << notices;
  EXPECT_EQ(notices.at(0).at("instance_id"), "i2");
  EXPECT_EQ(cloud_.instances().at(0).at("state"), "leaving");
  EXPECT_EQ(cloud_.instances().at(2).at("state"), "live");
}

TEST_F(FakeCloudApiTest, ListsNoReclaimedInstance)
{
  add("i1", "a");
  cloud_.control("notice", {{"instance_id", "i1"}, {"reclaim_in_ms", 0}});
  EXPECT_TRUE(cloud_.instances().empty());
}

TEST_F(FakeCloudApiTest, ListsLate)
{
  cloud_.control("settings", {{"list_lag_ms", 60'000}});
  add("i1", "a");
  EXPECT_TRUE(get("/instances").at("instances").as_array().empty());
  EXPECT_EQ(cloud_.instances().size(), 1U);
}

TEST_F(FakeCloudApiTest, ReleasesAnInstanceAnyNumberOfTimes)
{
  add("i1", "a");
  EXPECT_EQ(call("DELETE", "/instances/i1").status, 200);
  EXPECT_EQ(call("DELETE", "/instances/i1").status, 200);
  EXPECT_TRUE(cloud_.instances().empty());
}

TEST_F(FakeCloudApiTest, ChangesAPrice)
{
  json::value price = {{"availability_zone", "a"}, {"class", "c1"}, {"reclaimable", true}};
  for (const double amount : {1.0, 0.5}) {
    price.as_object()["price_per_hour"] = amount;
    cloud_.control("prices", {{"prices", json::array{price}}});
  }
  const auto prices = get("/prices").at("prices");
  ASSERT_EQ(prices.as_array().size(), 1U) << prices;
  EXPECT_EQ(prices.at(0).at("price_per_hour"), 0.5);
}

} // namespace
} // namespace wisteriaflow::fakes
