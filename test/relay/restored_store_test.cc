// A store that is restored from an older copy.
//
// Guards against daemons that order what they read from the store by its revision alone: after the
// store had been restored, a departure with a lower revision than what was known of the endpoint
// was taken for an outdated one, and calls reached the endpoint for seconds.

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "relay/gateway_fixture.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

// Calls must not reach an endpoint later than this after the store has acknowledged its departure.
constexpr auto departure_notice = 2s;

class RestoredStoreTest : public gateway_fixture {
 protected:
  RestoredStoreTest()
  {
    customize_settings_ = [](settings& s) { s.endpoint_notice = departure_notice; };
  }

  // Starts a fleet that knows two endpoints at revisions that the copy of the store does not have.
  void start()
  {
    add_endpoint("i-1");
    add_endpoint("i-2");
    start_fleet(3);
    store_.back_up();
    for (int i = 0; i < 10; ++i) {
      for (const auto& e : endpoints_) {
        write_endpoint(*e, "ready", 1'000, "v1." + std::to_string(i));
      }
    }
    run_for(departure_notice);
  }

  // Number of calls that reach the endpoint out of some at each daemon.
  std::size_t calls_reaching(const fake_endpoint& e)
  {
    const auto before = e.received.size();
    for (const auto& g : gateways_) {
      for (int i = 0; i < 10; ++i) {
        send(g->options.callers, request_for("POST", "/unsafe/1"));
      }
    }
    return e.received.size() - before;
  }
};

TEST_F(RestoredStoreTest, ADepartureIsObeyedAlthoughItsRevisionIsLowerThanBefore)
{
  start();
  store_.restore();
  run_for(1s);
  write_endpoint(*endpoints_[0], "draining");
  run_for(departure_notice);
  EXPECT_EQ(calls_reaching(*endpoints_[0]), 0U);
  EXPECT_GT(calls_reaching(*endpoints_[1]), 0U);
}

TEST_F(RestoredStoreTest, AnEndpointThatLeftBeforeIsNotUsedAgain)
{
  start();
  write_endpoint(*endpoints_[0], "draining");
  run_for(departure_notice);
  store_.restore();
  run_for(departure_notice);
  EXPECT_EQ(calls_reaching(*endpoints_[0]), 0U);
}

TEST_F(RestoredStoreTest, AnEndpointThatTheCopyLacksIsUsedOnceItIsWrittenAgain)
{
  start();
  auto& added = add_endpoint("i-3");
  run_for(departure_notice);
  store_.restore();
  run_for(1s);
  EXPECT_GT(calls_reaching(added), 0U);
  write_endpoint(added, "ready");
  run_for(3s);
  EXPECT_GT(calls_reaching(added), 0U);
}

TEST_F(RestoredStoreTest, AnEndpointThatTheCopyLacksAndNobodyWritesAgainIsGone)
{
  start();
  auto& added = add_endpoint("i-3");
  run_for(departure_notice);
  store_.restore();
  run_for(6s);
  EXPECT_EQ(calls_reaching(added), 0U);
}

TEST_F(RestoredStoreTest, DaemonsWriteTheirRegistrationAgain)
{
  add_endpoint("i-1");
  store_.back_up();
  start_fleet(2);
  ASSERT_FALSE(store_.get("gateway-daemons", "d0").is_null());
  store_.restore();
  wait_until([this] { return !store_.get("gateway-daemons", "d0").is_null(); },
             "the daemon registers again");
}

TEST_F(RestoredStoreTest, AConfigurationInForceDoesNotRevert)
{
  start();
  write_configuration(2, "safe");
  run_for(departure_notice);
  store_.restore();
  run_for(departure_notice);
  for (const auto& g : gateways_) {
    EXPECT_EQ(send(g->options.callers, request_for("POST", "/safe/1")).status, 404);
  }
}

TEST_F(RestoredStoreTest, AConfigurationThatIsWrittenAfterwardsComesIntoForce)
{
  start();
  store_.restore();
  run_for(1s);
  write_configuration(2, "safe");
  run_for(departure_notice);
  for (const auto& g : gateways_) {
    EXPECT_EQ(send(g->options.callers, request_for("POST", "/safe/1")).status, 404);
  }
}

} // namespace
} // namespace wisteriaflow::relay
