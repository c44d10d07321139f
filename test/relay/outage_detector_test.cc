#include <gtest/gtest.h>

#include "relay/outage_detector.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

const mono_time start{1'000s};

TEST(OutageDetectorTest, CallsThatFailForLongAreAnOutage)
{
  outage_detector detector(2s);
  for (auto t = 0s; t <= 3s; t += 1s) {
    EXPECT_FALSE(detector.on_call_result(false, start + t));
  }
  EXPECT_EQ(detector.on_call_result(true, start + 4s), 3'000ms);
}

TEST(OutageDetectorTest, AnOutageIsReportedOnce)
{
  outage_detector detector(2s);
  static_cast<void>(detector.on_call_result(false, start));
  static_cast<void>(detector.on_call_result(false, start + 3s));
  EXPECT_TRUE(detector.on_call_result(true, start + 4s));
  EXPECT_FALSE(detector.on_call_result(true, start + 5s));
}

TEST(OutageDetectorTest, OneFailureLongAgoIsNoOutage)
{
  outage_detector detector(2s);
  static_cast<void>(detector.on_call_result(false, start));
  EXPECT_FALSE(detector.on_call_result(true, start + 10s));
}

TEST(OutageDetectorTest, AnAnswerInBetweenRestartsTheMeasurement)
{
  outage_detector detector(2s);
  static_cast<void>(detector.on_call_result(false, start));
  static_cast<void>(detector.on_call_result(true, start + 1s));
  static_cast<void>(detector.on_call_result(false, start + 3s));
  EXPECT_FALSE(detector.on_call_result(true, start + 4s));
}

} // namespace
} // namespace wisteriaflow::relay
