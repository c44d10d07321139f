#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include "core/platform_documents.h"

namespace wisteriaflow::core::internal {
namespace {

using namespace std::chrono_literals;

constexpr clock_reading now{.mono = mono_time{1h}, .wall = from_unix_ms(1'800'000'000'000)};

TEST(PlatformDocumentsTest, ReadsAnEndpointOfTheInstanceList)
{
  const auto list = read_instance_list(boost::json::parse(
      R"({"instances":[{"id":"e1","address":"10.0.0.1:80","availability_zone":"a","class":"small",
          "reclaimable":true,"role":"engine","labels":{"k":"v"},"state":"leaving",
          "checks_fencing":true,"price_per_hour":1.5}]})"));
  ASSERT_EQ(list.endpoints.size(), 1U);
  const auto& m = list.endpoints.front();
  EXPECT_EQ(m.key.id, "e1");
  EXPECT_EQ(m.state, membership::member_state::leaving);
  EXPECT_EQ(m.attributes.address, "10.0.0.1:80");
  EXPECT_EQ(m.attributes.labels.at("k"), "v");
  EXPECT_TRUE(m.attributes.checks_fencing);
  EXPECT_EQ(m.attributes.price_per_hour, 1.5);
}

TEST(PlatformDocumentsTest, SkipsDaemons)
{
  const auto list = read_instance_list(
      boost::json::parse(R"({"instances":[{"id":"d","address":"10.0.0.1:80","role":"daemon"}]})"));
  EXPECT_TRUE(list.endpoints.empty());
}

TEST(PlatformDocumentsTest, CountsUnreadableInstancesAndKeepsTheRest)
{
  const auto list = read_instance_list(boost::json::parse(
      R"({"instances":[7,{"id":1,"address":"a"},{"id":"e","address":"10.0.0.1:80"}]})"));
  EXPECT_EQ(list.unreadable, 2U);
  EXPECT_EQ(list.endpoints.size(), 1U);
}

TEST(PlatformDocumentsTest, CountsADocumentWithoutInstancesAsUnreadable)
{
  EXPECT_EQ(read_instance_list(boost::json::parse("[]")).unreadable, 1U);
}

TEST(PlatformDocumentsTest, ReadsNotices)
{
  const auto notices = read_notices(boost::json::parse(
      R"({"notices":[{"sequence":1,"instance_id":"e1","reclaim_at_unix_ms":1800000000500}]})"));
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices.front().instance, "e1");
  EXPECT_EQ(notices.front().reclaim_at, now.wall + 500ms);
}

TEST(PlatformDocumentsTest, SkipsUnreadableNotices)
{
  const auto notices = read_notices(boost::json::parse(
      R"({"notices":[{"instance_id":7},{"instance_id":"e1","reclaim_at_unix_ms":"soon"},
                     {"instance_id":"e2","reclaim_at_unix_ms":1800000000000}]})"));
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices.front().instance, "e2");
}

TEST(PlatformDocumentsTest, ConvertsALoadsTimeToTheMonotonicClock)
{
  const auto load = read_load(boost::json::parse(R"({"running":2,"waiting":3,"max_running":8,
                             "measured_at_unix_ms":1799999999000})"),
                              now);
  ASSERT_TRUE(load.has_value());
  EXPECT_EQ(load->running, 2);
  EXPECT_EQ(load->waiting, 3);
  EXPECT_EQ(load->measured_at, now.mono - 1s);
}

TEST(PlatformDocumentsTest, TreatsALoadFromTheFutureAsCurrent)
{
  const auto load = read_load(boost::json::parse(R"({"measured_at_unix_ms":1800000009000})"), now);
  ASSERT_TRUE(load.has_value());
  EXPECT_EQ(load->measured_at, now.mono);
}

TEST(PlatformDocumentsTest, RejectsAnUnreadableLoad)
{
  EXPECT_FALSE(read_load(boost::json::parse(R"({"running":"many"})"), now).has_value());
}

TEST(PlatformDocumentsTest, ParsesTheRegistrationThatItMakes)
{
  membership::member self;
  self.key = {.kind = membership::member_kind::daemon, .id = "d1"};
  self.incarnation = 7;
  self.attributes.peer_address = "10.0.0.1:90";
  self.attributes.address = "10.0.0.1:80";
  self.attributes.zone = availability_zone("a");
  const auto read = read_registration(boost::json::object{{"spec", make_registration(self)}});
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->key, self.key);
  EXPECT_EQ(read->incarnation, 7U);
  EXPECT_EQ(read->attributes.peer_address, "10.0.0.1:90");
  EXPECT_EQ(read->attributes.address, "10.0.0.1:80");
}

TEST(PlatformDocumentsTest, RejectsARegistrationWithoutASpec)
{
  EXPECT_FALSE(read_registration(boost::json::object{}).has_value());
}

} // namespace
} // namespace wisteriaflow::core::internal
