#include <chrono>

#include <gtest/gtest.h>

#include "membership/fixtures.h"
#include "wisteriaflow/membership/internal/repair_pacer.h"

namespace wisteriaflow::membership::internal {
namespace {

using std::chrono::milliseconds;

const daemon_id d1{"d1"};
const daemon_id d2{"d2"};

// A pacer with a delay of two seconds whose view has once agreed with a peer's.
class repair_pacer_test : public testing::Test {
 protected:
  repair_pacer_test() { pacer_.note_agreement(d1); }

  static mono_time mono(std::int64_t ms) { return at(ms).mono; }

  repair_pacer pacer_{milliseconds{2000}, mono(0)};
};

using RepairPacerTest = repair_pacer_test; // NOLINT(readability-identifier-naming)

TEST_F(RepairPacerTest, ANewcomerAsksAtOnce)
{
  repair_pacer fresh(milliseconds{2000}, mono(0));
  EXPECT_TRUE(fresh.note_difference(d1, mono(1)));
}

TEST_F(RepairPacerTest, AFirstDifferenceIsOnlyCheckedAgain)
{
  EXPECT_FALSE(pacer_.note_difference(d1, mono(10'000)));
  EXPECT_FALSE(pacer_.take_recheck(mono(11'999)).has_value());
  EXPECT_EQ(pacer_.take_recheck(mono(12'000)), d1);
}

TEST_F(RepairPacerTest, ADifferenceThatLastsIsRepaired)
{
  pacer_.note_difference(d1, mono(10'000));
  EXPECT_TRUE(pacer_.note_difference(d1, mono(12'000)));
}

TEST_F(RepairPacerTest, AnotherPeersDifferenceDoesNotCount)
{
  pacer_.note_difference(d1, mono(10'000));
  EXPECT_FALSE(pacer_.note_difference(d2, mono(12'000)));
}

TEST_F(RepairPacerTest, AgreementEndsARecheck)
{
  pacer_.note_difference(d1, mono(10'000));
  pacer_.note_agreement(d1);
  EXPECT_FALSE(pacer_.note_difference(d1, mono(12'000)));
}

TEST_F(RepairPacerTest, ARecheckWithoutAnAnswerMakesRoomForAnother)
{
  pacer_.note_difference(d1, mono(10'000));
  EXPECT_FALSE(pacer_.note_difference(d2, mono(16'000)));
  EXPECT_TRUE(pacer_.note_difference(d2, mono(18'000)));
}

TEST_F(RepairPacerTest, ChangesPutRepairOffButNotForEver)
{
  for (std::int64_t ms = 10'000; ms < 16'000; ms += 1000) {
    pacer_.note_change(mono(ms));
    EXPECT_FALSE(pacer_.note_difference(d1, mono(ms))) << ms;
  }
  pacer_.note_change(mono(16'000));
  pacer_.note_difference(d1, mono(16'000));
  pacer_.note_change(mono(17'500));
  EXPECT_TRUE(pacer_.note_difference(d1, mono(18'000)));
}

} // namespace
} // namespace wisteriaflow::membership::internal
