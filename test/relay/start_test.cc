// How a daemon reads the list of endpoints at its start.
//
// Guards against slow starts of a whole fleet. After all 300 daemons of a fleet with 3,002
// endpoints were killed, calls were not served for 30 s: every daemon listed the endpoints in seven
// pages, each page counts towards the store's rate limit, and a daemon with one refused page read
// all pages again.

#include <algorithm>

#include "relay/gateway_fixture.h"

namespace wisteriaflow::relay {
namespace {

class StartTest : public gateway_fixture {
 protected:
  void expect_no_calls_to(const fake_endpoint& e)
  {
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(call("GET", "/safe/1").status, 200);
    }
    EXPECT_EQ(e.received.size(), 0U);
  }
};

TEST_F(StartTest, ReadsChangesMissingFromAStaleListBeforeItSendsACall)
{
  add_endpoint("i-1");
  auto& draining = add_endpoint("i-2");
  store_.snapshot_for_stale_lists();
  write_endpoint(draining, "draining");
  start_gateway(store_);
  wait_until_ready();
  expect_no_calls_to(draining);
}

TEST_F(StartTest, UsesAnEndpointAddedAfterAStaleList)
{
  store_.snapshot_for_stale_lists();
  auto& newer = add_endpoint("i-1");
  start_gateway(store_);
  wait_until_ready();
  EXPECT_EQ(call("GET", "/safe/1").status, 200);
  EXPECT_EQ(newer.received.size(), 1U);
}

TEST_F(StartTest, ReadsChangesMissingFromAStaleListOverSeveralPages)
{
  add_endpoint("i-1");
  auto& draining = add_endpoint("i-2");
  store_.snapshot_for_stale_lists();
  store_.page_size = 100;
  constexpr int other_changes = 250;
  for (int i = 0; i < other_changes; ++i) {
    store_.put("servers", "x-" + std::to_string(i), {{"service", "other"}});
  }
  write_endpoint(draining, "draining");
  start_gateway(store_);
  wait_until_ready();
  expect_no_calls_to(draining);
}

TEST_F(StartTest, ContinuesAListAtThePageThatWasRefused)
{
  constexpr std::size_t endpoints = 6;
  for (std::size_t i = 0; i < endpoints; ++i) {
    add_endpoint("i-" + std::to_string(i));
  }
  store_.page_size = 1;
  constexpr std::size_t all_kinds = 12; // enough calls for every list that a start takes
  for (std::size_t i = 0; i < all_kinds + endpoints; ++i) {
    store_.refused_lists.push_back(i % 3 == 2);
  }
  start_gateway(store_);
  wait_until_ready();
  // Every page is read once, plus one call for each refusal. If each refusal restarted the list, it
  // would never be complete.
  const auto refused = std::count(store_.refused_lists.begin(), store_.refused_lists.end(), true);
  EXPECT_LE(store_.list_calls, endpoints + 6 + static_cast<std::size_t>(refused));
}

} // namespace
} // namespace wisteriaflow::relay
