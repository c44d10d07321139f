#include <gtest/gtest.h>

#include "objects/test_documents.h"
#include "wisteriaflow/objects/fleet_configuration.h"

namespace wisteriaflow::objects {
namespace {

std::vector<boost::json::value> small_fleet()
{
  return {document("RoutingIntent", "drafts", 6,
                   R"({"workspace_selector":"tier=gold","pool":"big","priority":50})"),
          document("RoutingIntent", "any", 7, R"({"pool":"big","priority":10})"),
          document("RoutingIntent", "also-drafts", 8,
                   R"({"workspace_selector":"wisteriaflow.dev/name=bank","pool":"big",
                       "request_selector":"kind=draft","priority":50})"),
          document("Pool", "big", 5,
                   R"({"model":"m","max_instances":3,"availability_zones":["a"],
                       "instance_selector":"gpu"})"),
          document("ModelVersion", "m-1", 4, R"({"model":"m","version":"1"})"),
          document("Workspace", "bank", 3, "{}", R"({"tier":"gold"})"),
          document("Workspace", "hotel", 2),
          document("Service", "desk", 1)};
}

std::vector<std::string> names_of(const std::vector<const routing_intent*>& intents)
{
  std::vector<std::string> names;
  names.reserve(intents.size());
  for (const auto* intent : intents) {
    names.push_back(intent->metadata.name);
  }
  return names;
}

class fleet_configuration_test : public testing::Test {
 protected:
  const fleet_configuration configuration_ = make_fleet_configuration(8, small_fleet());
};
using FleetConfigurationTest = fleet_configuration_test; // NOLINT(readability-identifier-naming)

TEST_F(FleetConfigurationTest, FindsObjectsByName)
{
  EXPECT_NE(configuration_.find_workspace(workspace_id("bank")), nullptr);
  EXPECT_NE(configuration_.find_pool("big"), nullptr);
  EXPECT_NE(configuration_.find_service("desk"), nullptr);
  EXPECT_EQ(configuration_.find_pool("desk"), nullptr);
  EXPECT_TRUE(configuration_.has_model(model_id("m")));
}

TEST_F(FleetConfigurationTest, OrdersIntentsByPriorityThenName)
{
  const auto matching = configuration_.matching_intents(
      {.workspace = workspace_id("bank"), .labels = {{"kind", "draft"}}});
  EXPECT_EQ(names_of(matching), (std::vector<std::string>{"also-drafts", "drafts", "any"}));
}

TEST_F(FleetConfigurationTest, OmitsIntentsThatDoNotSelectTheRequest)
{
  const auto of_bank = configuration_.matching_intents({.workspace = workspace_id("bank")});
  EXPECT_EQ(names_of(of_bank), (std::vector<std::string>{"drafts", "any"}));
  const auto of_hotel = configuration_.matching_intents({.workspace = workspace_id("hotel")});
  EXPECT_EQ(names_of(of_hotel), (std::vector<std::string>{"any"}));
}

TEST_F(FleetConfigurationTest, OmitsIntentsOfAnotherModel)
{
  EXPECT_TRUE(
      configuration_.matching_intents({.workspace = workspace_id("bank"), .model = model_id("n")})
          .empty());
}

TEST_F(FleetConfigurationTest, MatchesInstancesByZoneLabelsAndRole)
{
  const auto& intent = configuration_.intents().front();
  const instance_description matching{.labels = {{"gpu", ""}}, .zone = availability_zone("a")};
  auto other_zone = matching;
  other_zone.zone = availability_zone("b");
  auto other_role = matching;
  other_role.role = pool_role::service;
  EXPECT_TRUE(configuration_.is_eligible(intent, matching));
  EXPECT_FALSE(configuration_.is_eligible(intent, other_zone));
  EXPECT_FALSE(configuration_.is_eligible(intent, other_role));
  EXPECT_FALSE(configuration_.is_eligible(intent, {.zone = availability_zone("a")}));
}

TEST(FleetConfigurationErrorTest, ReportsAllViolationsAtOnce)
{
  try {
    (void)make_fleet_configuration(1, {document("RoutingIntent", "i", 1, R"({"pool":"none"})"),
                                       document("Pool", "p", 1, R"({"model":"none"})"),
                                       document("Workspace", "w", 1), document("Service", "w", 1),
                                       document("Service", "s", 1, R"({"timeout_ms":0})")});
    FAIL() << "accepted";
  } catch (const configuration_error& e) {
    EXPECT_EQ(e.violations().size(), 4U) << e.what();
  }
}

TEST(FleetConfigurationErrorTest, RejectsAnIntentForAModelThatItsPoolDoesNotServe)
{
  auto documents = small_fleet();
  documents.push_back(document("RoutingIntent", "odd", 9, R"({"pool":"big","model":"n"})"));
  EXPECT_THROW((void)make_fleet_configuration(9, documents), configuration_error);
}

TEST(FleetConfigurationErrorTest, AcceptsUnsupportedObjects)
{
  auto documents = small_fleet();
  documents.push_back(document("Teapot", "t", 9));
  EXPECT_EQ(make_fleet_configuration(9, documents).unsupported().size(), 1U);
}

} // namespace
} // namespace wisteriaflow::objects
