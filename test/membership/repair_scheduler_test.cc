#include <chrono>

#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/internal/repair_scheduler.h"

namespace wisteriaflow::membership::internal {
namespace {

using std::chrono::milliseconds;

const daemon_id d1{"d1"};
const daemon_id d2{"d2"};

// A scheduler with a delay of two seconds, whose view has agreed with a peer's once.
class repair_scheduler_test : public testing::Test {
 protected:
  repair_scheduler_test() { scheduler_.note_agreement(d1); }

  static mono_time mono(std::int64_t ms) { return at(ms).mono; }

  repair_scheduler scheduler_{milliseconds{2000}, mono(0)};
};

using RepairSchedulerTest = repair_scheduler_test; // NOLINT(readability-identifier-naming)

TEST_F(RepairSchedulerTest, ANewDaemonRequestsRepairAtOnce)
{
  repair_scheduler fresh(milliseconds{2000}, mono(0));
  EXPECT_TRUE(fresh.note_difference(d1, mono(1)));
}

TEST_F(RepairSchedulerTest, AFirstDifferenceIsOnlyCheckedAgain)
{
  EXPECT_FALSE(scheduler_.note_difference(d1, mono(10'000)));
  EXPECT_FALSE(scheduler_.take_recheck(mono(11'999)).has_value());
  EXPECT_EQ(scheduler_.take_recheck(mono(12'000)), d1);
}

TEST_F(RepairSchedulerTest, ADifferenceThatLastsIsRepaired)
{
  scheduler_.note_difference(d1, mono(10'000));
  EXPECT_TRUE(scheduler_.note_difference(d1, mono(12'000)));
}

TEST_F(RepairSchedulerTest, AnotherPeersDifferenceDoesNotCount)
{
  scheduler_.note_difference(d1, mono(10'000));
  EXPECT_FALSE(scheduler_.note_difference(d2, mono(12'000)));
}

TEST_F(RepairSchedulerTest, AgreementCancelsARecheck)
{
  scheduler_.note_difference(d1, mono(10'000));
  scheduler_.note_agreement(d1);
  EXPECT_FALSE(scheduler_.note_difference(d1, mono(12'000)));
}

TEST_F(RepairSchedulerTest, AnUnansweredRecheckIsReplacedByAnother)
{
  scheduler_.note_difference(d1, mono(10'000));
  EXPECT_FALSE(scheduler_.note_difference(d2, mono(16'000)));
  EXPECT_TRUE(scheduler_.note_difference(d2, mono(18'000)));
}

TEST_F(RepairSchedulerTest, ChangesDelayRepairOnlyForALimitedTime)
{
  for (std::int64_t ms = 10'000; ms < 16'000; ms += 1000) {
    scheduler_.note_change(mono(ms));
    EXPECT_FALSE(scheduler_.note_difference(d1, mono(ms))) << ms;
  }
  scheduler_.note_change(mono(16'000));
  scheduler_.note_difference(d1, mono(16'000));
  scheduler_.note_change(mono(17'500));
  EXPECT_TRUE(scheduler_.note_difference(d1, mono(18'000)));
}

} // namespace
} // namespace wisteriaflow::membership::internal
