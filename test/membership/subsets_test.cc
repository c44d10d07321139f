#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/subsets.h"

namespace wisteriaflow::membership {
namespace {

std::vector<member> daemons_numbered(int n)
{
  std::vector<member> daemons;
  daemons.reserve(n);
  for (int i = 0; i < n; ++i) {
    daemons.push_back(daemon_member("d" + std::to_string(i)));
  }
  return daemons;
}

std::vector<member> endpoints_numbered(int n)
{
  std::vector<member> endpoints;
  endpoints.reserve(n);
  for (int i = 0; i < n; ++i) {
    endpoints.push_back(endpoint_member("e" + std::to_string(i)));
  }
  return endpoints;
}

using assignment = std::map<std::string, std::set<endpoint_id>>;

assignment assign(const std::vector<member>& daemons, const std::vector<member>& endpoints)
{
  assignment subsets;
  for (const member& d : daemons) {
    const auto subset =
        subset_of(daemon_id{d.key.id}, pointers_to(daemons), pointers_to(endpoints));
    subsets[d.key.id] = {subset.begin(), subset.end()};
  }
  return subsets;
}

std::map<endpoint_id, int> holders_in(const assignment& subsets)
{
  std::map<endpoint_id, int> holders;
  for (const auto& [daemon, subset] : subsets) {
    for (const auto& e : subset) {
      ++holders[e];
    }
  }
  return holders;
}

TEST(SubsetsTest, ASmallFleetIsReachedWhole)
{
  const auto subsets = assign(daemons_numbered(7), endpoints_numbered(22));
  for (const auto& [daemon, subset] : subsets) {
    EXPECT_EQ(subset.size(), 22U) << daemon;
  }
}

TEST(SubsetsTest, EveryEndpointHasThreeHoldersAlsoWithFewDaemons)
{
  const auto holders = holders_in(assign(daemons_numbered(5), endpoints_numbered(500)));
  ASSERT_EQ(holders.size(), 500U);
  for (const auto& [endpoint, n] : holders) {
    EXPECT_GE(n, 3) << endpoint.value();
  }
}

TEST(SubsetsTest, EveryDaemonHoldsEndpointsAlsoWithManyDaemons)
{
  const auto subsets = assign(daemons_numbered(300), endpoints_numbered(70));
  for (const auto& [daemon, subset] : subsets) {
    EXPECT_GE(subset.size(), 16U) << daemon;
  }
}

TEST(SubsetsTest, ALeavingDaemonMovesOnlyItsOwnEndpoints)
{
  const auto endpoints = endpoints_numbered(1000);
  auto daemons = daemons_numbered(100);
  const auto before = assign(daemons, endpoints);
  const auto left = daemons.back().key.id;
  daemons.pop_back();
  const auto after = assign(daemons, endpoints);
  std::size_t moved = 0;
  for (const auto& [daemon, subset] : after) {
    for (const auto& e : subset) {
      moved += before.at(daemon).contains(e) ? 0U : 1U;
    }
  }
  EXPECT_LE(moved, before.at(left).size());
}

TEST(SubsetsTest, ALeavingEndpointMovesNoOther)
{
  const auto daemons = daemons_numbered(100);
  auto endpoints = endpoints_numbered(1000);
  const auto before = assign(daemons, endpoints);
  endpoints.erase(endpoints.begin());
  for (const auto& [daemon, subset] : assign(daemons, endpoints)) {
    for (const auto& e : subset) {
      EXPECT_TRUE(before.at(daemon).contains(e)) << e.value() << " moved to " << daemon;
    }
  }
}

} // namespace
} // namespace wisteriaflow::membership
