#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/fleet_groups.h"

namespace wisteriaflow::gateway {
namespace {

std::vector<daemon_id> daemons(std::size_t number)
{
  std::vector<daemon_id> out;
  for (std::size_t n = 0; n < number; ++n) {
    out.emplace_back("d" + std::to_string(n));
  }
  return out;
}

TEST(FleetGroupsTest, ASmallFleetHasNone)
{
  const fleet_groups groups({}, daemons(100));
  EXPECT_TRUE(groups.empty());
  EXPECT_TRUE(groups.relays_of(daemon_id("d1")).empty());
}

TEST(FleetGroupsTest, EachDaemonHasTwoRelays)
{
  const auto all = daemons(986);
  const fleet_groups groups({}, all);
  for (const auto& id : all) {
    EXPECT_EQ(groups.relays_of(id).size(), 2U);
  }
}

TEST(FleetGroupsTest, ARelayServesFewDaemonsInAFleetOfAnySize)
{
  for (const std::size_t number : {101U, 390U, 986U, 1'972U}) {
    const auto all = daemons(number);
    const fleet_groups groups({}, all);
    std::map<daemon_id, std::size_t> members;
    for (const auto& id : all) {
      ++members[groups.relays_of(id).front()];
    }
    for (const auto& [relay, n] : members) {
      EXPECT_LE(n, 130U) << number; // a daemon may be relay of two groups
    }
  }
}

TEST(FleetGroupsTest, ADaemonThatLeavesMovesOnlyTheGroupsThatItServed)
{
  const auto all = daemons(390);
  auto fewer = all;
  fewer.pop_back();
  const fleet_groups before({}, all);
  const fleet_groups after({}, fewer);
  for (const auto& id : fewer) {
    const auto& relays = before.relays_of(id);
    if (std::find(relays.begin(), relays.end(), all.back()) == relays.end()) {
      EXPECT_EQ(after.relays_of(id), relays) << id.value();
    }
  }
}

} // namespace
} // namespace wisteriaflow::gateway
