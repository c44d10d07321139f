#include <stdexcept>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/gateway/daemon_ages.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

TEST(DaemonAgesTest, AnAgeOfZeroStaysZero)
{
  EXPECT_EQ(decode_age(encode_age(0ms)), 0ms);
}

TEST(DaemonAgesTest, AHighAgeIsNotEncoded)
{
  EXPECT_EQ(decode_age(encode_age(25s)), std::nullopt);
}

TEST(DaemonAgesTest, RejectsACharacterThatIsNoAge)
{
  for (const char c : {' ', '"', '\\', '~', '\0'}) {
    EXPECT_THROW(static_cast<void>(decode_age(c)), std::invalid_argument) << static_cast<int>(c);
  }
}

// If an age became smaller on its way, a daemon that has stopped would never be silent.
RC_GTEST_PROP(DaemonAgesPropertyTest, AnAgeNeverBecomesSmaller, ())
{
  const milliseconds age(*rc::gen::inRange(0, 24'001));
  const auto decoded = decode_age(encode_age(age));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded >= age);
}

RC_GTEST_PROP(DaemonAgesPropertyTest, AnAgeThatMattersIsExactToATenthOfASecond, ())
{
  const milliseconds age(*rc::gen::inRange(0, 4'001));
  RC_ASSERT(decode_age(encode_age(age)).value() < age + 100ms);
}

TEST(DaemonAgesTest, APartSurvivesEncoding)
{
  const age_part part{
      .index = age_parts - 1, .members = 0xABCDEF, .ages = {encode_age(50ms), encode_age(30s)}};
  EXPECT_EQ(decode_age_part(encode_age_part(part)), part);
}

TEST(DaemonAgesTest, RejectsUnreadableParts)
{
  const auto good = encode_age_part({.members = 7, .ages = {encode_age(0ms)}});
  EXPECT_THROW(static_cast<void>(decode_age_part("")), std::invalid_argument);
  EXPECT_THROW(static_cast<void>(decode_age_part(good.substr(0, 5))), std::invalid_argument);
  EXPECT_THROW(static_cast<void>(decode_age_part("~" + good.substr(1))), std::invalid_argument);
  EXPECT_THROW(static_cast<void>(decode_age_part(good + " ")), std::invalid_argument);
  EXPECT_THROW(static_cast<void>(decode_age_part(good.substr(0, 1) + "~~~~" + good.substr(5))),
               std::invalid_argument);
}

TEST(DaemonRosterTest, TwoThatKnowTheSameDaemonsAgree)
{
  int a = 0;
  daemon_roster<int> first;
  daemon_roster<int> second;
  first.add(daemon_id("a"), nullptr);
  first.add(daemon_id("b"), &a);
  second.add(daemon_id("b"), nullptr);
  second.add(daemon_id("a"), &a);
  for (std::size_t i = 0; i < age_parts; ++i) {
    EXPECT_EQ(first.parts().at(i).hash, second.parts().at(i).hash);
  }
}

TEST(DaemonRosterTest, AnotherDaemonChangesThePartItBelongsTo)
{
  daemon_roster<int> roster;
  const daemon_id id("a");
  roster.add(id, nullptr);
  EXPECT_NE(roster.parts().at(daemon_roster<int>::part_of(id)).hash, 0U);
}

} // namespace
} // namespace wisteriaflow::gateway
