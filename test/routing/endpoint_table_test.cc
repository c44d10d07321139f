#include <gtest/gtest.h>

#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/errors.h"

namespace wisteriaflow::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{seconds(1000)};

class EndpointTableTest : public testing::Test {
 protected:
  endpoint_table table_{{}};
  endpoint_slot slot_ = table_.upsert({.id = endpoint_id("e"), .address = "10.0.0.1:1"});
};

TEST_F(EndpointTableTest, AddsOwnRequestsSentAfterTheReport)
{
  table_.on_report(slot_, {.waiting = 2, .max_running = 8, .measured_at = start});
  static_cast<void>(table_.on_sent(slot_, 100, start + milliseconds(1)));
  EXPECT_EQ(table_.at(slot_).waiting_now(), 3);
}

TEST_F(EndpointTableTest, DoesNotCountTwiceTheRequestsThatTheReportIncludes)
{
  static_cast<void>(table_.on_sent(slot_, 100, start));
  table_.on_report(slot_, {.waiting = 1, .max_running = 8, .measured_at = start + milliseconds(1)});
  EXPECT_EQ(table_.at(slot_).waiting_now(), 1);
}

TEST_F(EndpointTableTest, SubtractsOwnRequestsFinishedAfterTheReport)
{
  auto attempt = table_.on_sent(slot_, 100, start);
  table_.on_first_token(attempt, start + milliseconds(1));
  table_.on_report(slot_, {.running = 3, .max_running = 8, .measured_at = start + milliseconds(2)});
  table_.on_finished(attempt, 10, start + milliseconds(3));
  EXPECT_EQ(table_.at(slot_).running_now(), 2);
}

TEST_F(EndpointTableTest, TheQueueTimeBehindThousandsOfRequestsIsFinite)
{
  table_.on_report(slot_, {.waiting = 5'000, .max_running = 8, .measured_at = start});
  const double longest = 5'000 * 10; // seconds, at 10 s per request
  EXPECT_GT(table_.at(slot_).queue_seconds({.now = start}), 1);
  EXPECT_LT(table_.at(slot_).queue_seconds({.now = start}), longest);
}

TEST_F(EndpointTableTest, IgnoresAReportOlderThanTheOneHeld)
{
  table_.on_report(slot_, {.waiting = 5, .max_running = 8, .measured_at = start});
  table_.on_report(slot_, {.waiting = 1, .max_running = 8, .measured_at = start - seconds(1)});
  EXPECT_EQ(table_.at(slot_).waiting_now(), 5);
}

TEST_F(EndpointTableTest, MeasuresThePrefillRateOfARequestThatDidNotQueue)
{
  auto attempt = table_.on_sent(slot_, 1000, start);
  table_.on_first_token(attempt, start + milliseconds(500));
  EXPECT_DOUBLE_EQ(table_.at(slot_).prefill_rate.value(), 2000);
}

TEST_F(EndpointTableTest, ComputesTheUtilisationOfTheGivenSlots)
{
  const auto other = table_.upsert({.id = endpoint_id("other")});
  table_.on_report(slot_, {.running = 6, .max_running = 8, .measured_at = start});
  table_.on_report(other, {.running = 0, .max_running = 8, .measured_at = start});
  EXPECT_DOUBLE_EQ(table_.utilisation(std::vector{slot_}), 0.75);
  table_.on_leaving(slot_);
  EXPECT_DOUBLE_EQ(table_.utilisation(table_.slots()), 0);
}

TEST_F(EndpointTableTest, LeavingSurvivesANewDescription)
{
  table_.on_leaving(slot_);
  table_.upsert({.id = endpoint_id("e"), .address = "10.0.0.1:2"});
  EXPECT_TRUE(table_.at(slot_).leaving);
}

TEST_F(EndpointTableTest, DoublesTheBackoffWithEachConnectFailure)
{
  table_.on_connect_failure(slot_, start);
  const auto first = table_.at(slot_).unreachable_until - start;
  table_.on_connect_failure(slot_, start);
  EXPECT_EQ(table_.at(slot_).unreachable_until - start, 2 * first);
}

TEST_F(EndpointTableTest, IgnoresTheEndOfAnAttemptOnARemovedEndpoint)
{
  auto attempt = table_.on_sent(slot_, 100, start);
  table_.remove(endpoint_id("e"));
  EXPECT_NO_THROW(table_.on_finished(attempt, 0, start));
  EXPECT_THROW(static_cast<void>(table_.at(slot_)), unknown_endpoint);
}

} // namespace
} // namespace wisteriaflow::routing
