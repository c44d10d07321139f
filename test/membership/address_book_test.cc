#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/address_book.h"

namespace wisteriaflow::membership {
namespace {

class address_book_test : public testing::Test {
 public:
  address_book_test()
  {
    for (int i = 0; i < 40; ++i) {
      daemons.push_back(daemon_member("d" + std::to_string(i), "z" + std::to_string(i % 4)));
    }
  }

  address_answer ask(const std::string& caller, double share = 0, const std::string& zone = "z1")
  {
    return book.addresses_for({.zone = availability_zone{zone},
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
        found.insert(ask(std::to_string(i), share, zone).addresses.front().address);
      }
    }
    return found;
  }

  std::vector<member> daemons;
  address_book book{{}};
};

using AddressBookTest = address_book_test; // NOLINT(readability-identifier-naming)

TEST_F(AddressBookTest, GivesThreeAddressesAndADeadline)
{
  const auto answer = ask("caller", 1);
  EXPECT_EQ(answer.addresses.size(), 3U);
  EXPECT_EQ(answer.good_until, at(10'000).wall);
}

TEST_F(AddressBookTest, PrefersTheCallersZone)
{
  EXPECT_EQ(ask("caller", 1).addresses.front().zone, availability_zone{"z1"});
}

TEST_F(AddressBookTest, NamesASecondZoneLast)
{
  EXPECT_NE(ask("caller", 1).addresses.back().zone, availability_zone{"z1"});
}

TEST_F(AddressBookTest, KeepsASmallWorkspaceOnFewDaemons)
{
  EXPECT_LE(first_addresses(0.01).size(), 4U);
}

TEST_F(AddressBookTest, SpreadsALargeWorkspaceOverMany)
{
  EXPECT_EQ(first_addresses(0.5).size(), 40U);
}

TEST_F(AddressBookTest, GivesOneCallerTheSameAnswer)
{
  EXPECT_EQ(ask("caller"), ask("caller"));
}

TEST_F(AddressBookTest, LeavesOutADaemonThatTheViewKnowsToLeave)
{
  auto view = view_of("d1");
  view.apply(daemon_member("d2"), at(0));
  view.announce_leaving(daemon_key("d2"), std::nullopt, at(0));
  const auto answer = book.addresses_for({}, view.live_daemons(), at(0).wall);
  ASSERT_EQ(answer.addresses.size(), 1U);
  EXPECT_EQ(answer.addresses.front().address, "d1:2");
}

TEST_F(AddressBookTest, IsEmptyWithoutDaemons)
{
  EXPECT_TRUE(book.addresses_for({}, {}, at(0).wall).addresses.empty());
}

} // namespace
} // namespace wisteriaflow::membership
