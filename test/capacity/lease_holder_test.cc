#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "capacity/lease_world.h"
#include "wisteriaflow/capacity/lease_holder.h"

namespace wisteriaflow::capacity {
namespace {

using namespace std::chrono_literals;

class LeaseHolderTest : public testing::Test {
 protected:
  // Daemon 0 holds the lease from now on.
  void acquire()
  {
    world_.feed(0, lease_wanted{true});
    world_.serve_all(0);
  }

  lease_world world_{2};
};

TEST_F(LeaseHolderTest, TakesALeaseThatDoesNotExist)
{
  acquire();
  EXPECT_TRUE(world_.holder(0).holds(world_.now()));
  EXPECT_EQ(world_.holder(0).fencing_number(), 1U);
}

TEST_F(LeaseHolderTest, FirstHolderOrdersEveryEndpointAtOnce)
{
  acquire();
  EXPECT_TRUE(world_.holder(0).may_order(false, world_.now()));
}

TEST_F(LeaseHolderTest, RenewsWhileItRuns)
{
  acquire();
  world_.pass(60s, {0});
  EXPECT_TRUE(world_.holder(0).holds(world_.now()));
}

TEST_F(LeaseHolderTest, ItsRightEndsByItsOwnClock)
{
  acquire();
  EXPECT_FALSE(world_.holder(0).holds(world_.now() + world_.options.duration));
}

TEST_F(LeaseHolderTest, AnotherTakesOverWithAHigherNumberWhenTheHolderFallsSilent)
{
  acquire();
  world_.feed(1, lease_wanted{true});
  world_.pass(20s, {1});
  EXPECT_TRUE(world_.holder(1).holds(world_.now()));
  EXPECT_EQ(world_.holder(1).fencing_number(), 2U);
}

TEST_F(LeaseHolderTest, AnotherClaimsAsSoonAsTheLeaseIsFree)
{
  acquire();
  world_.feed(1, lease_wanted{true});
  world_.serve_all(1); // sees the lease now
  const auto seen_at = world_.now();
  while (!world_.holder(1).holds(world_.now())) {
    world_.pass(100ms, {1});
  }
  const auto free_after = world_.options.duration + world_.options.skew_margin;
  EXPECT_LE(world_.now() - seen_at, free_after + 200ms);
}

TEST_F(LeaseHolderTest, ASuccessorWaitsForTheFormerOrdersWhereNumbersAreIgnored)
{
  acquire();
  world_.feed(1, lease_wanted{true});
  while (!world_.holder(1).holds(world_.now())) {
    world_.pass(100ms, {1});
  }
  EXPECT_TRUE(world_.holder(1).may_order(true, world_.now()));
  EXPECT_FALSE(world_.holder(1).may_order(false, world_.now()));
  world_.pass(world_.options.order_timeout + world_.options.skew_margin, {1});
  EXPECT_TRUE(world_.holder(1).may_order(false, world_.now()));
}

TEST_F(LeaseHolderTest, AHolderThatWakesLateGivesNoOrder)
{
  acquire();
  world_.feed(1, lease_wanted{true});
  world_.pass(20s, {1});
  EXPECT_FALSE(world_.holder(0).may_order(true, world_.now()));
}

TEST_F(LeaseHolderTest, SettlesALostAnswerOfItsClaimByReadingBack)
{
  world_.feed(0, lease_wanted{true});
  world_.serve(0); // the read
  world_.serve(0, store_mood::loses_answer);
  world_.pass(1s, {0});
  EXPECT_TRUE(world_.holder(0).holds(world_.now()));
  EXPECT_EQ(world_.stored().fencing_number, 1U);
}

TEST_F(LeaseHolderTest, SettlesALostAnswerOfARenewalByReadingBack)
{
  acquire();
  world_.pass(2'900ms, {0});
  world_.pass(100ms, {});
  world_.feed(0, lease_tick{});
  world_.serve(0, store_mood::loses_answer);
  world_.serve_all(0);
  EXPECT_GT(world_.holder(0).deadline(), world_.now() + 9s);
}

TEST_F(LeaseHolderTest, WritesAgainWhenARenewalDidNotLand)
{
  acquire();
  world_.pass(2'900ms, {0});
  world_.pass(100ms, {});
  world_.feed(0, lease_tick{});
  world_.serve(0, store_mood::loses_call);
  world_.serve_all(0);
  EXPECT_GT(world_.holder(0).deadline(), world_.now() + 9s);
}

TEST_F(LeaseHolderTest, DoesNotTakeAnothersWriteWithTheSameNonceForItsOwn)
{
  lease_world world(2, true);
  world.feed(0, lease_wanted{true});
  world.feed(1, lease_wanted{true});
  world.serve(0); // both read that there is no lease
  world.serve(1);
  world.serve_all(0);
  world.serve_all(1);
  EXPECT_TRUE(world.holder(0).holds(world.now()));
  EXPECT_FALSE(world.holder(1).holds(world.now()));
}

TEST_F(LeaseHolderTest, GivesTheLeaseBackWhenItIsNotWanted)
{
  acquire();
  world_.feed(0, lease_wanted{false});
  world_.serve_all(0);
  EXPECT_TRUE(world_.holder(0).is_idle());
  EXPECT_TRUE(world_.stored().holder.empty()) << world_.stored().holder.value();
}

TEST_F(LeaseHolderTest, ALeaseGivenBackIsTakenAtOnce)
{
  acquire();
  world_.feed(0, lease_wanted{false});
  world_.serve_all(0);
  world_.feed(1, lease_wanted{true});
  world_.serve_all(1);
  EXPECT_EQ(world_.holder(1).fencing_number(), 2U);
}

TEST_F(LeaseHolderTest, NotesAreWrittenAtOnceAndFoundByTheSuccessor)
{
  acquire();
  world_.feed(0, notes_changed{"launches"});
  EXPECT_FALSE(world_.holder(0).notes_written());
  world_.serve_all(0);
  EXPECT_TRUE(world_.holder(0).notes_written());
  world_.feed(1, lease_wanted{true});
  world_.pass(20s, {1});
  EXPECT_EQ(world_.holder(1).notes(), "launches");
}

TEST_F(LeaseHolderTest, AFormerHolderCannotWriteNotes)
{
  acquire();
  world_.feed(1, lease_wanted{true});
  world_.pass(20s, {1});
  world_.feed(0, notes_changed{"late"});
  world_.serve_all(0);
  EXPECT_NE(world_.stored().notes, "late");
}

// Three daemons, any pauses and lost calls: never two holders at once, and a later holder's number
// is higher.
RC_GTEST_PROP(LeasePropertyTest, NeverHasTwoHolders, ())
{
  constexpr int daemons = 3;
  lease_world world(daemons);
  for (int i = 0; i < daemons; ++i) {
    world.feed(i, lease_wanted{true});
  }
  std::uint64_t highest = 0;
  for (int step = 0; step < 300; ++step) {
    world.pass(100ms * *rc::gen::inRange(1, 40), {});
    const int i = *rc::gen::inRange(0, daemons);
    world.feed(i, lease_tick{});
    for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
      world.serve(i, *rc::gen::weightedElement<store_mood>({{6, store_mood::answers},
                                                            {1, store_mood::loses_answer},
                                                            {1, store_mood::loses_call}}));
    }
    int holding = 0;
    for (int k = 0; k < daemons; ++k) {
      if (world.holder(k).holds(world.now())) {
        ++holding;
        RC_ASSERT(world.holder(k).fencing_number() >= highest);
        highest = world.holder(k).fencing_number();
      }
    }
    RC_ASSERT(holding <= 1);
  }
}

} // namespace
} // namespace wisteriaflow::capacity
