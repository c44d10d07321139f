#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include "wisteriaflow/gateway/endpoint_links.h"

namespace wisteriaflow::gateway {
namespace {

using namespace std::chrono_literals;

class EndpointLinksTest : public testing::Test {
 protected:
  static endpoint_id id(int n) { return endpoint_id("i-" + std::to_string(n)); }

  void fail(int n) { links_.on_connect_failure(id(n), now_, now_); }

  void pass(std::chrono::milliseconds time) { now_ += time; }

  // The links that are tested within `time`, in order.
  std::vector<endpoint_id> probes_within(std::chrono::milliseconds time)
  {
    std::vector<endpoint_id> out;
    for (const auto end = now_ + time; now_ < end; pass(50ms)) {
      for (auto& due : links_.take_due_probes(known_, now_)) {
        out.push_back(std::move(due));
      }
    }
    return out;
  }

  endpoint_links links_{{.seed = 1}};
  mono_time now_{1'000s};
  std::vector<endpoint_id> known_{id(1), id(2), id(3), id(4), id(5)};
};

TEST_F(EndpointLinksTest, AFailedConnectionLosesItsLinkAlone)
{
  fail(1);
  EXPECT_TRUE(links_.is_lost(id(1)));
  EXPECT_FALSE(links_.is_lost(id(2)));
}

TEST_F(EndpointLinksTest, FailuresAtAFewEndpointsAndSilenceFromAllStandForAllLinks)
{
  links_.on_received(now_);
  pass(1ms);
  fail(1);
  fail(2);
  EXPECT_FALSE(links_.is_cut_off());
  fail(3);
  EXPECT_TRUE(links_.is_cut_off());
  EXPECT_TRUE(links_.is_lost(id(5)));
}

TEST_F(EndpointLinksTest, BytesFromAnEndpointAmongTheFailuresShowThatOthersWork)
{
  fail(1);
  fail(2);
  pass(1ms);
  links_.on_received(now_);
  pass(1ms);
  fail(3);
  EXPECT_FALSE(links_.is_cut_off());
  EXPECT_FALSE(links_.is_lost(id(4)));
}

TEST_F(EndpointLinksTest, RepeatedFailuresAtOneEndpointDoNotStandForAll)
{
  for (int i = 0; i < 5; ++i) {
    fail(1);
  }
  EXPECT_FALSE(links_.is_cut_off());
}

TEST_F(EndpointLinksTest, BytesFromAnEndpointEndACutOffButRestoreNoLinkThatFailed)
{
  fail(1);
  fail(2);
  fail(3);
  pass(1ms);
  links_.on_received(now_);
  EXPECT_FALSE(links_.is_cut_off());
  EXPECT_FALSE(links_.is_lost(id(4)));
  EXPECT_TRUE(links_.is_lost(id(1)));
}

TEST_F(EndpointLinksTest, ALinkIsRestoredAfterTwoSuccessfulProbesInARow)
{
  fail(1);
  EXPECT_FALSE(links_.on_probe_success(id(1), now_));
  fail(1);
  EXPECT_FALSE(links_.on_probe_success(id(1), now_));
  EXPECT_TRUE(links_.is_lost(id(1)));
  EXPECT_TRUE(links_.on_probe_success(id(1), now_));
  EXPECT_FALSE(links_.is_lost(id(1)));
}

TEST_F(EndpointLinksTest, ALinkThatKeepsFailingIsTestedMoreAndMoreRarely)
{
  fail(1);
  for (int i = 0; i < 10; ++i) {
    fail(1);
  }
  EXPECT_LE(probes_within(12s).size(), 20U);
}

TEST_F(EndpointLinksTest, ADaemonThatIsCutOffTestsOneLinkAtATime)
{
  fail(1);
  fail(2);
  fail(3);
  const auto tested = probes_within(3s);
  EXPECT_GE(tested.size(), 10U);
  EXPECT_LE(tested.size(), 20U);
}

TEST_F(EndpointLinksTest, LinksToEndpointsThatAreGoneAreForgotten)
{
  fail(1);
  known_ = {id(2)};
  EXPECT_TRUE(probes_within(3s).empty());
  EXPECT_FALSE(links_.is_lost(id(1)));
}

TEST_F(EndpointLinksTest, AnEndpointThatPeersCannotReachEitherHasNoLostLink)
{
  fail(1);
  links_.on_endpoint_unreachable(id(1));
  EXPECT_FALSE(links_.is_lost(id(1)));
}

} // namespace
} // namespace wisteriaflow::gateway
