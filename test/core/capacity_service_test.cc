#include <algorithm>

#include <gtest/gtest.h>

#include "core/capacity_harness.h"
#include "core/capacity_service.h"

namespace wisteriaflow::core {
namespace {

using namespace std::chrono_literals;

// Time after which a daemon without peers is ready and has planned.
constexpr std::chrono::milliseconds until_planned = 4s;

class CapacityServiceTest : public testing::Test {
 protected:
  [[nodiscard]] bool lease_names(const std::string& token) const
  {
    const auto text = boost::json::serialize(harness_.leases.at("capacity").document);
    return text.find("\"" + token + "\"") != std::string::npos;
  }

  capacity_harness harness_{true};
};

TEST_F(CapacityServiceTest, LaunchesWhatThePoolNeeds)
{
  harness_.advance(until_planned);
  EXPECT_EQ(harness_.launches().size(), 2U);
}

TEST_F(CapacityServiceTest, StoresTheTokenBeforeItLaunches)
{
  harness_.advance(until_planned);
  const auto token = std::string(harness_.launches().at(0).at("token").as_string());
  EXPECT_TRUE(lease_names(token)) << token;
}

TEST_F(CapacityServiceTest, LaunchesNothingThatCouldNotBeStored)
{
  harness_.advance(100ms); // acquires the lease
  harness_.store_answers = false;
  harness_.advance(until_planned);
  EXPECT_EQ(harness_.launches().size(), 0U);
}

TEST_F(CapacityServiceTest, IssuesNoOrderAfterTheLeaseHasExpired)
{
  harness_.advance(until_planned);
  harness_.store_answers = false;
  harness_.advance(11s);
  const auto before = harness_.cloud_calls.size();
  harness_.advance(20s);
  EXPECT_EQ(harness_.cloud_calls.size(), before);
}

TEST_F(CapacityServiceTest, RetriesALaunchWithTheSameTokenAfterALostAnswer)
{
  harness_.cloud_answers_launches = false;
  harness_.advance(until_planned);
  const auto first = harness_.launches().at(0).at("token");
  harness_.cloud_answers_launches = true;
  harness_.advance(6s);
  const auto launches = harness_.launches();
  const auto asked = std::count_if(launches.begin(), launches.end(),
                                   [&](const auto& s) { return s.at("token") == first; });
  EXPECT_EQ(asked, 2);
}

TEST_F(CapacityServiceTest, LabelsAnInstanceToMatchItsPoolsSelector)
{
  harness_.advance(until_planned);
  const auto labels = harness_.launches().at(0).at("labels");
  EXPECT_EQ(labels.at("tier"), "gold") << boost::json::serialize(labels);
}

TEST_F(CapacityServiceTest, OrdersAModelLoadWithTheFencingNumber)
{
  harness_.advance(until_planned);
  harness_.list({capacity_harness::instance(harness_.launches().at(0), "i1")});
  harness_.advance(1s);
  ASSERT_EQ(harness_.orders.size(), 1U);
  EXPECT_EQ(boost::json::serialize(harness_.orders.at(0)),
            R"({"order":"load","model":"m","adapter":"","fencing_number":1})");
}

TEST_F(CapacityServiceTest, AuditsALaunchWithItsCause)
{
  harness_.advance(until_planned);
  const auto& records = harness_.audit_records;
  const auto it = std::find_if(records.begin(), records.end(), [](const auto& r) {
    return r.at("spec").at("object").at("kind") == "Launch";
  });
  ASSERT_NE(it, records.end());
  EXPECT_TRUE(it->at("spec").at("cause").as_string().starts_with("cheapest mix: a/s/reclaimable"))
      << boost::json::serialize(*it);
}

TEST_F(CapacityServiceTest, ReportsTheStateOfAnInstanceToOperators)
{
  harness_.advance(until_planned);
  harness_.list({capacity_harness::instance(harness_.launches().at(0), "i1")});
  harness_.advance(2s);
  const auto view = harness_.view();
  EXPECT_TRUE(view.at("held_here").as_bool());
  EXPECT_EQ(view.at("instances").at(0).at("state"), "serving") << boost::json::serialize(view);
}

TEST(CapacityServiceDisabledTest, UsesNeitherTheLeaseNorTheCloud)
{
  capacity_harness harness(false);
  harness.advance(until_planned);
  EXPECT_TRUE(harness.leases.empty());
  EXPECT_TRUE(harness.cloud_calls.empty());
}

} // namespace
} // namespace wisteriaflow::core
