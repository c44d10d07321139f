// Tests that an accepted configuration takes effect on every daemon and never reverts, also during
// faults of the store, restarts and pauses of a daemon.

#include <algorithm>

#include <boost/json.hpp>

#include "system/fleet_fixture.h"

namespace wisteriaflow::system_tests {
namespace {

namespace json = boost::json;

class ConfigurationTest : public fleet_fixture {
 protected:
  static json::value workspace(const std::string& name)
  {
    return {{"kind", "Workspace"},
            {"metadata", {{"name", name}, {"labels", {{"tier", "guest"}}}}},
            {"spec", json::object()}};
  }

  static http::request request_of(const std::string& name)
  {
    auto out = completion_request({.max_tokens = 2});
    for (auto& field : out.fields) {
      field.value = field.name == "Wisteriaflow-Workspace" ? name : field.value;
    }
    return out;
  }

  // Returns whether `daemon` answers a request of the workspace `name`. This checks the behaviour
  // of the daemon, not the configuration that it reports.
  bool serves(const std::string& daemon, const std::string& name)
  {
    return call(f.address_of(daemon), request_of(name)).status == 200;
  }

  void expect_in_force_everywhere(const std::string& name)
  {
    for (const auto& d : f.daemons()) {
      EXPECT_TRUE(eventually([&] { return serves(d, name); })) << d << " does not serve " << name;
    }
  }

  // Checks 30 times, 50 ms apart, because a reversion may come late.
  void expect_stays_in_force(const std::string& name)
  {
    for (int i = 0; i < 30; ++i) {
      for (const auto& d : f.daemons()) {
        EXPECT_TRUE(serves(d, name)) << d << " reverted, round " << i;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  void restart(const std::string& id)
  {
    const auto zone = f.at(id).zone;
    f.kill(id);
    f.start_daemon(id, zone);
  }
};

TEST_F(ConfigurationTest, ComesIntoForceOnEveryDaemon)
{
  EXPECT_EQ(f.create("declarations", workspace("hotel-2")).status, 201);
  expect_in_force_everywhere("hotel-2");
  expect_stays_in_force("hotel-2");
}

TEST_F(ConfigurationTest, ARestartedDaemonTakesItFromPeersWhileTheStoreIsDown)
{
  EXPECT_EQ(f.create("declarations", workspace("hotel-2")).status, 201);
  expect_in_force_everywhere("hotel-2");
  f.set_object_api_faults(R"({"outage":"refuse"})");
  restart("d1");
  expect_in_force_everywhere("hotel-2");
  expect_stays_in_force("hotel-2");
}

TEST_F(ConfigurationTest, DoesNotRevertWhenReadsAreStale)
{
  f.set_object_api_faults(R"({"stale_for_ms":4000})");
  EXPECT_EQ(f.create("declarations", workspace("hotel-2")).status, 201);
  expect_in_force_everywhere("hotel-2");
  restart("d1");
  // The daemon may refuse the request until it is ready, but must not answer 404 (no such
  // workspace).
  EXPECT_TRUE(eventually([&] {
    const auto got = call(f.address_of("d1"), request_of("hotel-2"));
    EXPECT_NE(got.status, 404) << "served an old configuration";
    return got.status == 200;
  }));
  expect_stays_in_force("hotel-2");
}

TEST_F(ConfigurationTest, ComesIntoForceEvenIfWatchesLoseTheChange)
{
  f.set_object_api_faults(R"({"drop_events":1})");
  EXPECT_EQ(f.create("declarations", workspace("hotel-2")).status, 201);
  expect_in_force_everywhere("hotel-2");
  expect_stays_in_force("hotel-2");
}

TEST_F(ConfigurationTest, DoesNotRevertWhenADaemonResumesAfterALongPause)
{
  f.signal("d1", SIGSTOP);
  EXPECT_EQ(f.create("declarations", workspace("hotel-2")).status, 201);
  EXPECT_TRUE(eventually([&] { return serves("d2", "hotel-2"); }));
  std::this_thread::sleep_for(std::chrono::seconds(4));
  f.signal("d1", SIGCONT);
  expect_in_force_everywhere("hotel-2");
  expect_stays_in_force("hotel-2");
}

TEST_F(ConfigurationTest, OfTwoConcurrentUpdatesOneWinsEverywhereAndTheOtherGetsAConflict)
{
  EXPECT_EQ(f.create("declarations", workspace("hotel-2")).status, 201);
  auto mine = f.get_object("declarations", "hotel-2");
  auto theirs = mine;
  mine.at("metadata").as_object()["labels"] = {{"tier", "guest"}};
  theirs.at("metadata").as_object()["labels"] = {{"tier", "staff"}};
  EXPECT_EQ(f.replace("declarations", "hotel-2", mine).status, 200);
  EXPECT_EQ(f.replace("declarations", "hotel-2", theirs).status, 409);
  expect_in_force_everywhere("hotel-2"); // no intent selects "staff"
  expect_stays_in_force("hotel-2");
}

} // namespace
} // namespace wisteriaflow::system_tests
