// Endpoints that write nothing for a while and then go on.
//
// Guards against daemons that give up a silent endpoint's answer although they may not send the
// call to another one: with the retry budget used up, the caller got a cut stream or an error in
// place of an answer that was about to come.

#include <chrono>
#include <string>

#include "relay/gateway_fixture.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class SilentEndpointTest : public gateway_fixture {
 protected:
  SilentEndpointTest()
  {
    customize_settings_ = [this](settings& s) {
      s.retry_ratio = 0;
      s.retry_slack = retry_slack_;
    };
    for (const auto* id : {"i-1", "i-2"}) {
      auto& e = add_endpoint(id);
      e.behaviour = endpoint_behaviour::streams;
      e.stream_delay = 2'000ms; // longer than a daemon waits for an endpoint if it may retry
    }
  }

  std::size_t requests() const
  {
    std::size_t n = 0;
    for (const auto& e : endpoints_) {
      n += e->received.size();
    }
    return n;
  }

  double retry_slack_ = 0;
};

TEST_F(SilentEndpointTest, IsWaitedForWhenNoRetryIsLeft)
{
  start_gateway(store_);
  wait_until_ready();
  const auto answer = call("POST", "/resumable/1");
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_NE(answer.body.find("id: 6"), std::string::npos) << answer.body;
  EXPECT_EQ(requests(), 1U);
}

TEST_F(SilentEndpointTest, IsLeftForAnotherWhenARetryIsLeft)
{
  retry_slack_ = 100;
  start_gateway(store_);
  wait_until_ready();
  const auto answer = call("POST", "/resumable/1");
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(requests(), 2U);
}

} // namespace
} // namespace wisteriaflow::relay
