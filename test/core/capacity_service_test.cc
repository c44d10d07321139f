#include <algorithm>

#include <gtest/gtest.h>

#include "core/capacity_service.h"
#include "core/capacity_world.h"

namespace wisteriaflow::core {
namespace {

using namespace std::chrono_literals;

// Time after which a daemon without peers is ready and has planned.
constexpr std::chrono::milliseconds until_planned = 4s;

class CapacityServiceTest : public testing::Test {
 protected:
  [[nodiscard]] bool lease_names(const std::string& token) const
  {
    const auto text = boost::json::serialize(world_.leases.at("capacity").document);
    return text.find("\"" + token + "\"") != std::string::npos;
  }

  capacity_harness world_{true};
};

TEST_F(CapacityServiceTest, LaunchesWhatThePoolNeeds)
{
  world_.advance(until_planned);
  EXPECT_EQ(world_.launches().size(), 2U);
}

TEST_F(CapacityServiceTest, StoresTheTokenBeforeItLaunches)
{
  world_.advance(until_planned);
  const auto token = std::string(world_.launches().at(0).at("token").as_string());
  EXPECT_TRUE(lease_names(token)) << token;
}

TEST_F(CapacityServiceTest, LaunchesNothingThatCouldNotBeStored)
{
  world_.advance(100ms); // acquires the lease
  world_.store_answers = false;
  world_.advance(until_planned);
  EXPECT_EQ(world_.launches().size(), 0U);
}

TEST_F(CapacityServiceTest, IssuesNoOrderAfterTheLeaseHasExpired)
{
  world_.advance(until_planned);
  world_.store_answers = false;
  world_.advance(11s);
  const auto before = world_.cloud_calls.size();
  world_.advance(20s);
  EXPECT_EQ(world_.cloud_calls.size(), before);
}

TEST_F(CapacityServiceTest, RetriesALaunchWithTheSameTokenAfterALostAnswer)
{
  world_.cloud_answers_launches = false;
  world_.advance(until_planned);
  const auto first = world_.launches().at(0).at("token");
  world_.cloud_answers_launches = true;
  world_.advance(6s);
  const auto launches = world_.launches();
  const auto asked = std::count_if(launches.begin(), launches.end(),
                                   [&](const auto& s) { return s.at("token") == first; });
  EXPECT_EQ(asked, 2);
}

TEST_F(CapacityServiceTest, LabelsAnInstanceToMatchItsPoolsSelector)
{
  world_.advance(until_planned);
  const auto labels = world_.launches().at(0).at("labels");
  EXPECT_EQ(labels.at("tier"), "gold") << boost::json::serialize(labels);
}

TEST_F(CapacityServiceTest, OrdersAModelLoadWithTheFencingNumber)
{
  world_.advance(until_planned);
  world_.list({capacity_harness::instance(world_.launches().at(0), "i1")});
  world_.advance(1s);
  ASSERT_EQ(world_.orders.size(), 1U);
  EXPECT_EQ(boost::json::serialize(world_.orders.at(0)),
            R"({"order":"load","model":"m","adapter":"","fencing_number":1})");
}

TEST_F(CapacityServiceTest, AuditsALaunchWithItsCause)
{
  world_.advance(until_planned);
  const auto& records = world_.audit_records;
  const auto it = std::find_if(records.begin(), records.end(), [](const auto& r) {
    return r.at("spec").at("object").at("kind") == "Launch";
  });
  ASSERT_NE(it, records.end());
  EXPECT_TRUE(it->at("spec").at("cause").as_string().starts_with("cheapest mix: a/s/reclaimable"))
      << boost::json::serialize(*it);
}

TEST_F(CapacityServiceTest, ReportsTheStateOfAnInstanceToOperators)
{
  world_.advance(until_planned);
  world_.list({capacity_harness::instance(world_.launches().at(0), "i1")});
  world_.advance(2s);
  const auto view = world_.view();
  EXPECT_TRUE(view.at("held_here").as_bool());
  EXPECT_EQ(view.at("instances").at(0).at("state"), "serving") << boost::json::serialize(view);
}

TEST(CapacityServiceDisabledTest, UsesNeitherTheLeaseNorTheCloud)
{
  capacity_harness world(false);
  world.advance(until_planned);
  EXPECT_TRUE(world.leases.empty());
  EXPECT_TRUE(world.cloud_calls.empty());
}

} // namespace
} // namespace wisteriaflow::core
