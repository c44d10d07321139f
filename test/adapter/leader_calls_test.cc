#include <gtest/gtest.h>

#include "leader_calls.h"

namespace wisteriaflow::adapter {
namespace {

const leader_identity leader{.holder = daemon_id("d1"), .fencing_number = 12};

TEST(LeaderCallsTest, CarryTheHolderAndFencingNumber)
{
  const auto out = usage_report_call(leader, 3, {});
  EXPECT_EQ(http::find_header(out.fields, "Duty-Holder"), "d1");
  EXPECT_EQ(http::find_header(out.fields, "Fence-Token"), "12");
}

TEST(LeaderCallsTest, ReportCountsByWorkspace)
{
  EXPECT_EQ(usage_report_call(leader, 3, {{workspace_id("hotel"), 5}}).body,
            R"({"windowId":3,"counts":{"hotel":5}})");
}

TEST(LeaderCallsTest, OrderEndpoints)
{
  gateway::endpoint_order order{.group = {.service = "s", .zone = availability_zone("z")},
                                .wanted = 6};
  EXPECT_EQ(endpoint_order_call(leader, order).body, R"({"service":"s","zone":"z","desired":6})");
  order.group.reclaimable = true;
  EXPECT_EQ(endpoint_order_call(leader, order).body,
            R"({"service":"s","zone":"z","desired":6,"spot":true})");
}

TEST(LeaderCallsTest, ReadTheAnswerToAnOrder)
{
  EXPECT_EQ(decode_order_answer(200), gateway::order_result::accepted);
  EXPECT_EQ(decode_order_answer(409), gateway::order_result::capacity_exhausted);
  EXPECT_EQ(decode_order_answer(503), gateway::order_result::unanswered);
}

} // namespace
} // namespace wisteriaflow::adapter
