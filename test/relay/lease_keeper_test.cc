// The lease of an instance that was suspended.
//
// The steady clock stops while an instance is suspended. A leader that was suspended for longer
// than its lease continued to act when it resumed, because by that clock its deadline had not
// passed, although another daemon had taken the lease with a higher fencing number. Until the next
// renewal, two thirds of a second later, its orders had the old fencing number.

#include <chrono>
#include <cstdint>

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
    state_.apply_configuration_if_newer(
        {{"version", 1}, {"routes", boost::json::array()}, {"services", boost::json::array()}},
        "test");
  }

  // Calls tick() until it holds the lease, under another number than `former_number`.
  void acquire_lease(std::uint64_t former_number = 0)
  {
    const auto deadline = std::chrono::steady_clock::now() + 60s;
    while (!lease_.holds_lease() || lease_.fencing_number() == former_number) {
      ASSERT_LT(std::chrono::steady_clock::now(), deadline) << "the lease was not acquired in time";
      lease_.tick();
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
  lease_keeper lease_{context_, state_, client_, [this] {
                        auto uptime = read_uptime();
                        // The real readings differ by themselves; here they differ by
                        // suspended_ alone.
                        uptime.since_boot = uptime.monotonic.time_since_epoch() + suspended_;
                        return uptime;
                      }};
};

TEST_F(LeaseKeeperTest, KeepsTheLeaseAfterAShortSuspension)
{
  acquire_lease();
  suspended_ = 200ms;
  EXPECT_TRUE(lease_.holds_lease());
}

TEST_F(LeaseKeeperTest, HasLostTheLeaseWhenASuspensionOutlastedIt)
{
  acquire_lease();
  suspended_ = 5s;
  EXPECT_FALSE(lease_.holds_lease());
}

TEST_F(LeaseKeeperTest, AcquiresTheLeaseAgainAfterASuspension)
{
  acquire_lease();
  const auto before = lease_.fencing_number();
  suspended_ = 5s;
  acquire_lease();
  EXPECT_GT(lease_.fencing_number(), before);
}

// A store that was restored from a copy forgets which fencing numbers have been used.
TEST_F(LeaseKeeperTest, UsesNoFencingNumberAgainAfterTheStoreHasLostTheLease)
{
  fake_.back_up();
  acquire_lease();
  const auto before = lease_.fencing_number();
  fake_.restore();
  acquire_lease(before);
  EXPECT_GT(lease_.fencing_number(), before);
}

TEST_F(LeaseKeeperTest, UsesNoFencingNumberAgainAfterTheStoreHasAnEarlierOne)
{
  acquire_lease();
  fake_.back_up();
  suspended_ = 5s;
  acquire_lease();
  const auto before = lease_.fencing_number();
  fake_.restore();
  acquire_lease(before);
  EXPECT_GT(lease_.fencing_number(), before);
}

TEST_F(LeaseKeeperTest, UsesNoFencingNumberThatAPeerHasReported)
{
  state_.record_fencing_number(7);
  acquire_lease();
  EXPECT_EQ(lease_.fencing_number(), 8U);
}

TEST_F(LeaseKeeperTest, ReportsHowLongTheInstanceWasSuspended)
{
  acquire_lease();
  suspended_ = 5s;
  lease_.tick();
  EXPECT_NE(state_.counters.exposition().find("suspended_ms_total 5000"), std::string::npos);
}

} // namespace
} // namespace wisteriaflow::relay
