// The lease of an instance that was suspended.
//
// While an instance is suspended its steady clock stands still. A daemon that held the duties and
// was suspended for longer than its lease went on with them when it woke, as its deadline by that
// clock had not passed, though another daemon had taken them with a higher fencing number: up to
// the next renewal, two thirds of a second later, its orders bore the old one.

#include <chrono>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_store.h"
#include "relay/lease_keeper.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class LeaseKeeperTest : public testing::Test {
 protected:
  LeaseKeeperTest()
  {
    state_.offer_configuration(
        {{"version", 1}, {"routes", boost::json::array()}, {"services", boost::json::array()}},
        "test");
  }

  // Holds the duties from then on.
  void acquire()
  {
    const auto deadline = std::chrono::steady_clock::now() + 60s;
    while (!keeper_.may_act()) {
      ASSERT_LT(std::chrono::steady_clock::now(), deadline) << "the lease is not taken";
      keeper_.tick();
      context_.restart();
      context_.run_for(10ms);
    }
  }

  static settings settings_for(const fakes::fake_store& store)
  {
    return {
        .id = daemon_id("d"), .store = store.address(), .lease_duration = 3s, .usage_window = 5s};
  }

  std::chrono::nanoseconds suspended_{0};
  boost::asio::io_context context_;
  fakes::fake_store fake_{context_};
  event_log log_{[](daemon::log_line) { return true; }};
  fleet_state state_{settings_for(fake_), log_};
  store_client client_{context_, state_};
  lease_keeper keeper_{context_, state_, client_, [this] {
                         auto uptime = read_uptime();
                         // By themselves the two readings lie some time apart.
                         uptime.since_boot = uptime.running.time_since_epoch() + suspended_;
                         return uptime;
                       }};
};

TEST_F(LeaseKeeperTest, HoldsTheDutiesAfterAShortSuspension)
{
  acquire();
  suspended_ = 200ms;
  EXPECT_TRUE(keeper_.may_act());
}

TEST_F(LeaseKeeperTest, HasLostTheDutiesWhenASuspensionOutlastedTheLease)
{
  acquire();
  suspended_ = 5s;
  EXPECT_FALSE(keeper_.may_act());
}

TEST_F(LeaseKeeperTest, TakesTheDutiesAgainAfterASuspension)
{
  acquire();
  const auto before = keeper_.fencing_number();
  suspended_ = 5s;
  acquire();
  EXPECT_GT(keeper_.fencing_number(), before);
}

TEST_F(LeaseKeeperTest, TellsHowLongTheInstanceWasSuspended)
{
  acquire();
  suspended_ = 5s;
  keeper_.tick();
  EXPECT_NE(state_.counters.exposition().find("suspended_ms_total 5000"), std::string::npos);
}

} // namespace
} // namespace wisteriaflow::relay
