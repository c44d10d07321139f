#include <gtest/gtest.h>

#include "wisteriaflow/gateway/version_gate.h"

namespace wisteriaflow::gateway {
namespace {

class VersionGateTest : public testing::Test {
 protected:
  bool uses(const std::string& version, std::uint64_t revision)
  {
    return gate_.is_usable({.service = "chat", .version = version, .revision = revision},
                           registry_);
  }

  version_gate gate_{true};
  rollout_registry registry_;
};

TEST_F(VersionGateTest, RefusesANewVersionBeforeTheOrdersAreKnown)
{
  EXPECT_FALSE(uses("v2", 7));
  EXPECT_TRUE(gate_.awaits_rollouts());
  gate_.set_rollouts_revision(6);
  EXPECT_FALSE(uses("v2", 7));
}

TEST_F(VersionGateTest, UsesAVersionThatNoOrderNames)
{
  EXPECT_FALSE(uses("v2", 7));
  gate_.set_rollouts_revision(7);
  EXPECT_TRUE(uses("v2", 7));
  EXPECT_FALSE(gate_.awaits_rollouts());
}

TEST_F(VersionGateTest, UsesFurtherEndpointsOfAKnownVersionAtOnce)
{
  gate_.set_rollouts_revision(7);
  EXPECT_TRUE(uses("v1", 3));
  EXPECT_TRUE(uses("v1", 90));
}

TEST_F(VersionGateTest, RefusesAVersionThatWasUsedAndRolledBack)
{
  gate_.set_rollouts_revision(7);
  EXPECT_TRUE(uses("v2", 3));
  registry_.update({.service = "chat",
                    .order = 1,
                    .revision = 8,
                    .target = "v2",
                    .phase = rollout_phase::rolled_back});
  EXPECT_FALSE(uses("v2", 3));
}

TEST_F(VersionGateTest, AnEndpointWithoutAVersionIsUsed)
{
  EXPECT_TRUE(uses("", 7));
}

TEST_F(VersionGateTest, WithoutRolloutsEveryVersionIsUsed)
{
  gate_ = version_gate(false);
  EXPECT_TRUE(uses("v9", 7));
}

} // namespace
} // namespace wisteriaflow::gateway
