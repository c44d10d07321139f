#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wisteriaflow/admission/admission_control.h"

namespace wisteriaflow::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr mono_time start{seconds(1000)};
const workspace_id workspace("w");

class AdmissionControlTest : public testing::Test {
 protected:
  AdmissionControlTest()
  {
    control_.limiter().set_shares({{workspace, {.values = {1000, 1e6, 1e6}}}}, start);
  }

  admission admit() { return control_.admit(request_, start, rng_); }
  refusal_reason refused_for() { return std::get<refused>(admit()).reason; }

  admission_control control_{{.max_in_flight = 4}, {.self = daemon_id("d")}};
  std::mt19937_64 rng_{7};
  admission_request request_{.workspace = workspace,
                             .tokens = 100,
                             .deadline = start + seconds(2),
                             .first_token_at = start + seconds(1)};
};

TEST_F(AdmissionControlTest, BoundsRequestsInFlight)
{
  for (int i = 0; i < 4; ++i) {
    ASSERT_TRUE(std::holds_alternative<admitted>(admit()));
  }
  EXPECT_EQ(refused_for(), refusal_reason::daemon_full);
  control_.finish({.workspace = workspace, .tokens = 100}, 100, start + seconds(1));
  EXPECT_TRUE(std::holds_alternative<admitted>(admit()));
}

TEST_F(AdmissionControlTest, RefusesBatchRequestsOnBusyEndpoints)
{
  request_.utilisation = 0.8;
  EXPECT_TRUE(std::holds_alternative<admitted>(admit()));
  request_.priority = request_priority::batch;
  EXPECT_EQ(refused_for(), refusal_reason::batch_shed);
}

TEST_F(AdmissionControlTest, LimitsTheBatchRequestsInFlight)
{
  request_.priority = request_priority::batch;
  static_cast<void>(admit());
  static_cast<void>(admit());
  EXPECT_EQ(refused_for(), refusal_reason::batch_shed);
}

TEST_F(AdmissionControlTest, RefusesARequestThatWouldMissItsDeadline)
{
  request_.first_token_at = start + seconds(5);
  const auto no = std::get<refused>(admit());
  EXPECT_EQ(no.reason, refusal_reason::deadline_unreachable);
  EXPECT_GE(no.retry_at, start + seconds(3)) << "the deadline is missed by 3 s";
}

TEST_F(AdmissionControlTest, SpacesTheRetryTimesOfRefusedRequests)
{
  for (int i = 0; i < 4; ++i) {
    static_cast<void>(admit());
  }
  const auto first = std::get<refused>(admit()).retry_at;
  mono_time last = first;
  for (int i = 0; i < 20; ++i) {
    last = std::get<refused>(admit()).retry_at;
  }
  EXPECT_GT(last, first + seconds(10)) << "the minimum drain rate is one request per second";
}

RC_GTEST_FIXTURE_PROP(AdmissionControlTest, ARefusalHasARetryTimeInTheFuture, ())
{
  request_.tokens = *rc::gen::inRange(1, 1'000'000);
  request_.utilisation = *rc::gen::inRange(0, 100) / 100.0;
  request_.priority = *rc::gen::element(request_priority::interactive, request_priority::batch);
  request_.first_token_at = start + milliseconds(*rc::gen::inRange(0, 4000));
  for (int i = 0; i < 8; ++i) {
    const auto made = admit();
    if (const auto* no = std::get_if<refused>(&made)) {
      RC_ASSERT(no->retry_at > start);
    }
  }
}

} // namespace
} // namespace wisteriaflow::admission
