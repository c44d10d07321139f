#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/address_selector.h"

namespace wisteriaflow::membership {
namespace {

class address_selector_test : public testing::Test {
 public:
  address_selector_test()
  {
    for (int i = 0; i < 40; ++i) {
      daemons.push_back(daemon_member("d" + std::to_string(i), "z" + std::to_string(i % 4)));
    }
  }

  address_answer addresses_for(const std::string& caller, double share = 0,
                               const std::string& zone = "z1")
  {
    return selector.addresses_for({.zone = availability_zone{zone},
                                   .workspace = workspace_id{"banking"},
                                   .caller = caller,
                                   .share = share},
                                  pointers_to(daemons), at(0).wall);
  }

  std::set<std::string> first_addresses(double share)
  {
    std::set<std::string> found;
    for (int i = 0; i < 400; ++i) {
      for (const auto* zone : {"z0", "z1", "z2", "z3"}) {
        found.insert(addresses_for(std::to_string(i), share, zone).addresses.front().address);
      }
    }
    return found;
  }

  std::vector<member> daemons;
  address_selector selector{{}};
};

using AddressSelectorTest = address_selector_test; // NOLINT(readability-identifier-naming)

TEST_F(AddressSelectorTest, GivesThreeAddressesAndADeadline)
{
  const auto answer = addresses_for("caller", 1);
  EXPECT_EQ(answer.addresses.size(), 3U);
  EXPECT_EQ(answer.valid_until, at(10'000).wall);
}

TEST_F(AddressSelectorTest, PrefersTheCallersZone)
{
  EXPECT_EQ(addresses_for("caller", 1).addresses.front().zone, availability_zone{"z1"});
}

TEST_F(AddressSelectorTest, EndsWithAnAddressInASecondZone)
{
  EXPECT_NE(addresses_for("caller", 1).addresses.back().zone, availability_zone{"z1"});
}

TEST_F(AddressSelectorTest, KeepsASmallWorkspaceOnFewDaemons)
{
  EXPECT_LE(first_addresses(0.01).size(), 4U);
}

TEST_F(AddressSelectorTest, SpreadsALargeWorkspaceOverMany)
{
  EXPECT_EQ(first_addresses(0.5).size(), 40U);
}

TEST_F(AddressSelectorTest, GivesOneCallerTheSameAnswer)
{
  EXPECT_EQ(addresses_for("caller"), addresses_for("caller"));
}

TEST_F(AddressSelectorTest, OmitsADaemonThatTheViewKnowsToBeLeaving)
{
  auto view = view_of("d1");
  view.apply(daemon_member("d2"), at(0));
  view.mark_leaving(daemon_key("d2"), std::nullopt, at(0));
  const auto answer = selector.addresses_for({}, view.live_daemons(), at(0).wall);
  ASSERT_EQ(answer.addresses.size(), 1U);
  EXPECT_EQ(answer.addresses.front().address, "d1:2");
}

TEST_F(AddressSelectorTest, IsEmptyWithoutDaemons)
{
  EXPECT_TRUE(selector.addresses_for({}, {}, at(0).wall).addresses.empty());
}

} // namespace
} // namespace wisteriaflow::membership
