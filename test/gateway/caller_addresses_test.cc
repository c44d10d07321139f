#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/caller_addresses.h"

namespace wisteriaflow::gateway {
namespace {

constexpr std::size_t max_addresses = 64;

daemon_contact make_daemon(unsigned zone, unsigned index)
{
  const auto name = "d-" + std::to_string(zone) + "-" + std::to_string(index);
  const auto host = "10." + std::to_string(zone) + ".0." + std::to_string(index);
  return {.id = daemon_id(name),
          .caller_address = {.host = host, .port = 80},
          .zone = availability_zone("zone-" + std::to_string(zone)),
          .ready = true};
}

std::vector<daemon_contact> make_fleet(unsigned zones, unsigned in_zone)
{
  std::vector<daemon_contact> out;
  for (unsigned z = 0; z < zones; ++z) {
    for (unsigned n = 0; n < in_zone; ++n) {
      out.push_back(make_daemon(z, n));
    }
  }
  return out;
}

std::size_t count_in_zone(const std::vector<http::socket_address>& addresses, unsigned zone)
{
  const auto prefix = "10." + std::to_string(zone) + ".";
  const auto is_in_zone = [&prefix](const auto& a) { return a.host.starts_with(prefix); };
  return static_cast<std::size_t>(std::count_if(addresses.begin(), addresses.end(), is_in_zone));
}

TEST(CallerAddressesTest, ListsAllOfASmallFleet)
{
  const auto fleet = make_fleet(3, 4);
  EXPECT_EQ(addresses_for_callers(availability_zone("zone-1"), fleet, max_addresses).size(), 12U);
}

TEST(CallerAddressesTest, ListsNoMoreThanTheLimit)
{
  const auto fleet = make_fleet(6, 32);
  EXPECT_EQ(addresses_for_callers(availability_zone("zone-1"), fleet, max_addresses).size(), 64U);
}

TEST(CallerAddressesTest, LeavesOutDaemonsThatAreNotReady)
{
  auto fleet = make_fleet(1, 2);
  fleet.front().ready = false;
  const auto addresses = addresses_for_callers(availability_zone("zone-0"), fleet, max_addresses);
  EXPECT_EQ(addresses, std::vector{fleet.back().caller_address});
}

TEST(CallerAddressesTest, EveryDaemonOfALargeFleetCarriesItsShareOfTheCalls)
{
  constexpr unsigned zones = 6;
  const auto fleet = make_fleet(zones, 32);
  std::map<http::socket_address, double> share; // of all calls
  for (unsigned z = 0; z < zones; ++z) {
    const availability_zone zone("zone-" + std::to_string(z));
    const auto addresses = addresses_for_callers(zone, fleet, max_addresses);
    for (const auto& a : addresses) {
      share[a] += 1.0 / zones / static_cast<double>(addresses.size());
    }
  }
  ASSERT_EQ(share.size(), fleet.size());
  const auto busiest = std::max_element(
      share.begin(), share.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  EXPECT_LE(busiest->second, 3.0 / static_cast<double>(fleet.size()));
}

TEST(CallerAddressesTest, AnswersOfTwoDaemonsAreTheSame)
{
  auto fleet = make_fleet(6, 32);
  const availability_zone zone("zone-3");
  const auto one = addresses_for_callers(zone, fleet, max_addresses);
  std::reverse(fleet.begin(), fleet.end());
  EXPECT_EQ(addresses_for_callers(zone, fleet, max_addresses), one);
}

TEST(CallerAddressesTest, RemovingADaemonChangesOneAddress)
{
  auto fleet = make_fleet(6, 32);
  const availability_zone zone("zone-3");
  const auto before = addresses_for_callers(zone, fleet, max_addresses);
  const auto is_first = [&](const auto& d) { return d.caller_address == before.front(); };
  std::erase_if(fleet, is_first);
  const auto after = addresses_for_callers(zone, fleet, max_addresses);
  const std::set<http::socket_address> kept(after.begin(), after.end());
  const auto is_kept = [&kept](const auto& a) { return kept.contains(a); };
  EXPECT_EQ(std::count_if(before.begin(), before.end(), is_kept), 63);
}

TEST(CallerAddressesTest, HalfOfTheAddressesAreInOtherZones)
{
  const auto fleet = make_fleet(2, 100);
  const auto addresses = addresses_for_callers(availability_zone("zone-0"), fleet, max_addresses);
  EXPECT_EQ(count_in_zone(addresses, 0), 32U);
  EXPECT_EQ(count_in_zone(addresses, 1), 32U);
}

TEST(CallerAddressesTest, FillsUpFromTheCallersZoneIfTheOthersHaveFewDaemons)
{
  auto fleet = make_fleet(1, 100);
  fleet.push_back(make_daemon(1, 0));
  const auto addresses = addresses_for_callers(availability_zone("zone-0"), fleet, max_addresses);
  EXPECT_EQ(count_in_zone(addresses, 0), 63U);
  EXPECT_EQ(count_in_zone(addresses, 1), 1U);
}

} // namespace
} // namespace wisteriaflow::gateway
