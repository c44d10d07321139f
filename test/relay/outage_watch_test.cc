#include <gtest/gtest.h>

#include "relay/outage_watch.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

TEST(OutageWatchTest, CallsThatFailForLongAreAnOutage)
{
  outage_watch watch(2s);
  for (auto t = 0s; t <= 3s; t += 1s) {
    EXPECT_FALSE(watch.note(false, start + t));
  }
  EXPECT_EQ(watch.note(true, start + 4s), 3'000ms);
}

TEST(OutageWatchTest, AnOutageIsToldOnce)
{
  outage_watch watch(2s);
  static_cast<void>(watch.note(false, start));
  static_cast<void>(watch.note(false, start + 3s));
  EXPECT_TRUE(watch.note(true, start + 4s));
  EXPECT_FALSE(watch.note(true, start + 5s));
}

TEST(OutageWatchTest, OneFailureLongAgoIsNone)
{
  outage_watch watch(2s);
  static_cast<void>(watch.note(false, start));
  EXPECT_FALSE(watch.note(true, start + 10s));
}

TEST(OutageWatchTest, AnAnswerInBetweenEndsIt)
{
  outage_watch watch(2s);
  static_cast<void>(watch.note(false, start));
  static_cast<void>(watch.note(true, start + 1s));
  static_cast<void>(watch.note(false, start + 3s));
  EXPECT_FALSE(watch.note(true, start + 4s));
}

} // namespace
} // namespace wisteriaflow::relay
