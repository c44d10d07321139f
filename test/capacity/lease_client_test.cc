#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "capacity/lease_simulation.h"
#include "wisteriaflow/capacity/lease_client.h"

namespace wisteriaflow::capacity {
namespace {

using namespace std::chrono_literals;

class LeaseClientTest : public testing::Test {
 protected:
  // Daemon 0 holds the lease from now on.
  void acquire()
  {
    simulation_.deliver(0, lease_wanted{true});
    simulation_.answer_all_calls(0);
  }

  lease_simulation simulation_{2};
};

TEST_F(LeaseClientTest, CreatesALeaseThatDoesNotExist)
{
  acquire();
  EXPECT_TRUE(simulation_.client(0).holds(simulation_.now()));
  EXPECT_EQ(simulation_.client(0).fencing_number(), 1U);
}

TEST_F(LeaseClientTest, FirstHolderMayOrderEveryEndpointAtOnce)
{
  acquire();
  EXPECT_TRUE(simulation_.client(0).may_issue_order(false, simulation_.now()));
}

TEST_F(LeaseClientTest, RenewsWhileItRuns)
{
  acquire();
  simulation_.advance_time(60s, {0});
  EXPECT_TRUE(simulation_.client(0).holds(simulation_.now()));
}

TEST_F(LeaseClientTest, TheLeaseExpiresOnTheHoldersOwnClock)
{
  acquire();
  EXPECT_FALSE(simulation_.client(0).holds(simulation_.now() + simulation_.options.duration));
}

TEST_F(LeaseClientTest, AnotherTakesOverWithAHigherFencingNumberWhenTheHolderStopsRenewing)
{
  acquire();
  simulation_.deliver(1, lease_wanted{true});
  simulation_.advance_time(20s, {1});
  EXPECT_TRUE(simulation_.client(1).holds(simulation_.now()));
  EXPECT_EQ(simulation_.client(1).fencing_number(), 2U);
}

TEST_F(LeaseClientTest, AnotherClaimsTheLeaseAsSoonAsItIsClaimable)
{
  acquire();
  simulation_.deliver(1, lease_wanted{true});
  simulation_.answer_all_calls(1); // observes the lease now
  const auto observed_at = simulation_.now();
  while (!simulation_.client(1).holds(simulation_.now())) {
    simulation_.advance_time(100ms, {1});
  }
  const auto claimable_after = simulation_.options.duration + simulation_.options.skew_margin;
  EXPECT_LE(simulation_.now() - observed_at, claimable_after + 200ms);
}

TEST_F(LeaseClientTest, ASuccessorWaitsForFormerOrdersToEndpointsThatIgnoreFencing)
{
  acquire();
  simulation_.deliver(1, lease_wanted{true});
  while (!simulation_.client(1).holds(simulation_.now())) {
    simulation_.advance_time(100ms, {1});
  }
  EXPECT_TRUE(simulation_.client(1).may_issue_order(true, simulation_.now()));
  EXPECT_FALSE(simulation_.client(1).may_issue_order(false, simulation_.now()));
  simulation_.advance_time(simulation_.options.order_timeout + simulation_.options.skew_margin,
                           {1});
  EXPECT_TRUE(simulation_.client(1).may_issue_order(false, simulation_.now()));
}

TEST_F(LeaseClientTest, AHolderThatResumesAfterExpiryMayIssueNoOrder)
{
  acquire();
  simulation_.deliver(1, lease_wanted{true});
  simulation_.advance_time(20s, {1});
  EXPECT_FALSE(simulation_.client(0).may_issue_order(true, simulation_.now()));
}

TEST_F(LeaseClientTest, TheHolderLosesTheLeaseWhenTheStoreIsRestored)
{
  acquire();
  simulation_.deliver(0, store_restored{});
  EXPECT_FALSE(simulation_.client(0).holds(simulation_.now()));
}

TEST_F(LeaseClientTest, NobodyClaimsTheLeaseBeforeAHolderThatTheCopyLacksHasEnded)
{
  simulation_.deliver(0, lease_wanted{true});
  simulation_.deliver(0, store_restored{});
  const auto restored_at = simulation_.now();
  while (!simulation_.client(0).holds(simulation_.now())) {
    simulation_.advance_time(100ms, {0});
  }
  EXPECT_GE(simulation_.now() - restored_at, simulation_.options.duration);
}

TEST_F(LeaseClientTest, ResolvesALostAnswerToItsClaimByReadingBack)
{
  simulation_.deliver(0, lease_wanted{true});
  simulation_.answer_next_call(0); // the read
  simulation_.answer_next_call(0, store_behaviour::loses_answer);
  simulation_.advance_time(1s, {0});
  EXPECT_TRUE(simulation_.client(0).holds(simulation_.now()));
  EXPECT_EQ(simulation_.stored().fencing_number, 1U);
}

TEST_F(LeaseClientTest, ResolvesALostAnswerToARenewalByReadingBack)
{
  acquire();
  simulation_.advance_time(2'900ms, {0});
  simulation_.advance_time(100ms, {});
  simulation_.deliver(0, lease_tick{});
  simulation_.answer_next_call(0, store_behaviour::loses_answer);
  simulation_.answer_all_calls(0);
  EXPECT_GT(simulation_.client(0).deadline(), simulation_.now() + 9s);
}

TEST_F(LeaseClientTest, RepeatsARenewalThatDidNotReachTheStore)
{
  acquire();
  simulation_.advance_time(2'900ms, {0});
  simulation_.advance_time(100ms, {});
  simulation_.deliver(0, lease_tick{});
  simulation_.answer_next_call(0, store_behaviour::loses_call);
  simulation_.answer_all_calls(0);
  EXPECT_GT(simulation_.client(0).deadline(), simulation_.now() + 9s);
}

TEST_F(LeaseClientTest, DoesNotTakeAnothersWriteWithTheSameNonceForItsOwn)
{
  lease_simulation simulation(2, true);
  simulation.deliver(0, lease_wanted{true});
  simulation.deliver(1, lease_wanted{true});
  simulation.answer_next_call(0); // both daemons find no lease
  simulation.answer_next_call(1);
  simulation.answer_all_calls(0);
  simulation.answer_all_calls(1);
  EXPECT_TRUE(simulation.client(0).holds(simulation.now()));
  EXPECT_FALSE(simulation.client(1).holds(simulation.now()));
}

TEST_F(LeaseClientTest, ReleasesTheLeaseWhenItIsNotWanted)
{
  acquire();
  simulation_.deliver(0, lease_wanted{false});
  simulation_.answer_all_calls(0);
  EXPECT_TRUE(simulation_.client(0).is_idle());
  EXPECT_TRUE(simulation_.stored().holder.empty()) << simulation_.stored().holder.value();
}

TEST_F(LeaseClientTest, AReleasedLeaseIsAcquiredAtOnce)
{
  acquire();
  simulation_.deliver(0, lease_wanted{false});
  simulation_.answer_all_calls(0);
  simulation_.deliver(1, lease_wanted{true});
  simulation_.answer_all_calls(1);
  EXPECT_EQ(simulation_.client(1).fencing_number(), 2U);
}

TEST_F(LeaseClientTest, NotesAreWrittenAtOnceAndFoundByTheSuccessor)
{
  acquire();
  simulation_.deliver(0, notes_changed{"launches"});
  EXPECT_FALSE(simulation_.client(0).notes_written());
  simulation_.answer_all_calls(0);
  EXPECT_TRUE(simulation_.client(0).notes_written());
  simulation_.deliver(1, lease_wanted{true});
  simulation_.advance_time(20s, {1});
  EXPECT_EQ(simulation_.client(1).notes(), "launches");
}

TEST_F(LeaseClientTest, AFormerHolderCannotWriteNotes)
{
  acquire();
  simulation_.deliver(1, lease_wanted{true});
  simulation_.advance_time(20s, {1});
  simulation_.deliver(0, notes_changed{"late"});
  simulation_.answer_all_calls(0);
  EXPECT_NE(simulation_.stored().notes, "late");
}

// With three daemons, arbitrary pauses and lost calls, no two daemons hold the lease at the same
// time, and a later holder never has a lower fencing number.
RC_GTEST_PROP(LeasePropertyTest, NeverHasTwoHolders, ())
{
  constexpr int daemons = 3;
  lease_simulation simulation(daemons);
  for (int i = 0; i < daemons; ++i) {
    simulation.deliver(i, lease_wanted{true});
  }
  std::uint64_t highest = 0;
  for (int step = 0; step < 300; ++step) {
    simulation.advance_time(100ms * *rc::gen::inRange(1, 40), {});
    const int i = *rc::gen::inRange(0, daemons);
    simulation.deliver(i, lease_tick{});
    for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
      simulation.answer_next_call(
          i, *rc::gen::weightedElement<store_behaviour>({{6, store_behaviour::answers},
                                                         {1, store_behaviour::loses_answer},
                                                         {1, store_behaviour::loses_call}}));
    }
    int holding = 0;
    for (int k = 0; k < daemons; ++k) {
      if (simulation.client(k).holds(simulation.now())) {
        ++holding;
        RC_ASSERT(simulation.client(k).fencing_number() >= highest);
        highest = simulation.client(k).fencing_number();
      }
    }
    RC_ASSERT(holding <= 1);
  }
}

} // namespace
} // namespace wisteriaflow::capacity
