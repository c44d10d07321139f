// Endpoints that say in their answers that they leave.
//
// Thirteen endpoints of a reclaimed zone said so while the store acknowledged nothing for thirteen
// seconds. Daemons passed answers on that said it, and 2.1 and 2.3 s later sent those endpoints
// further requests; two are all that is allowed.
//
//   6.902 s  front-tan-binh-1 has passed on an answer of i-5cf3b809ed that says so
//   9.008 s  request 963f4b2147bece0e reaches i-5cf3b809ed from front-tan-binh-1
//
// The store's entry went on saying that they serve, so what was heard must hold against it.

#include <chrono>
#include <string>

#include "relay/gateway_fixture.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class LeavingAnswerTest : public gateway_fixture {
 protected:
  // The endpoint leaves, and an answer of it to the first daemon has said so.
  void leave(fake_endpoint& e)
  {
    e.statements = {{"Server-Leaving", "1"}};
    const auto before = e.received.size();
    wait_until(
        [&] {
          call("GET", "/safe/1");
          return e.received.size() > before;
        },
        "an answer has said it");
  }

  // Requests that the endpoint gets of 20 that come to the daemon.
  std::size_t requests_at(const fake_endpoint& e, const running_gateway& by,
                          const std::string& path = "/unsafe/1")
  {
    const auto before = e.received.size();
    for (int i = 0; i < 20; ++i) {
      try {
        send(by.options.callers, request_for(path.starts_with("/safe") ? "GET" : "POST", path));
      } catch (const http::http_error&) {
        // A stream that could not go on is cut.
      }
    }
    return e.received.size() - before;
  }
};

TEST_F(LeavingAnswerTest, KeepsRequestsAway)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(1);
  leave(leaving);
  EXPECT_EQ(requests_at(leaving, *gateways_[0]), 0U);
}

TEST_F(LeavingAnswerTest, KeepsRequestsAwayWhereNoOtherEndpointIsLeft)
{
  auto& leaving = add_endpoint("i-1");
  start_fleet(1);
  leave(leaving);
  EXPECT_EQ(requests_at(leaving, *gateways_[0]), 0U);
  EXPECT_EQ(call("POST", "/unsafe/1").status, 503);
}

TEST_F(LeavingAnswerTest, KeepsRepeatsAway)
{
  auto& leaving = add_endpoint("i-1");
  auto& failing = add_endpoint("i-2");
  start_fleet(1);
  leave(leaving);
  failing.mood = endpoint_mood::fails;
  EXPECT_EQ(requests_at(leaving, *gateways_[0], "/safe/1"), 0U);
}

TEST_F(LeavingAnswerTest, KeepsStreamsAwayThatGoOnElsewhere)
{
  auto& leaving = add_endpoint("i-1");
  auto& cutting = add_endpoint("i-2");
  start_fleet(1);
  leave(leaving);
  cutting.mood = endpoint_mood::streams_and_cuts;
  EXPECT_EQ(requests_at(leaving, *gateways_[0], "/resumable/1"), 0U);
}

TEST_F(LeavingAnswerTest, HoldsAgainstANewerEntryOfTheStore)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(1);
  leave(leaving);
  write_endpoint(leaving, "ready");
  run_for(3s); // the daemon has read it
  EXPECT_EQ(requests_at(leaving, *gateways_[0]), 0U);
}

TEST_F(LeavingAnswerTest, HoldsForAnEntryThatLapsedAndCameBack)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(1);
  leave(leaving);
  store_.erase("servers", leaving.id());
  run_for(3s);
  write_endpoint(leaving, "ready");
  run_for(3s);
  EXPECT_EQ(requests_at(leaving, *gateways_[0]), 0U);
}

TEST_F(LeavingAnswerTest, IsHeardOfByOtherDaemons)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(3);
  store_.away = true;
  leave(leaving);
  run_for(1s);
  EXPECT_EQ(requests_at(leaving, *gateways_[1]), 0U);
  EXPECT_EQ(requests_at(leaving, *gateways_[2]), 0U);
}

TEST_F(LeavingAnswerTest, IsHeardOfByADaemonThatJoins)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(2);
  leave(leaving);
  run_for(6s); // it is no news any more
  start_fleet(1);
  EXPECT_EQ(requests_at(leaving, *gateways_[2]), 0U);
}

TEST_F(LeavingAnswerTest, DoesNotHoldForTheNextProcessOfTheEndpoint)
{
  auto& leaving = add_endpoint("i-1");
  start_fleet(1);
  leave(leaving);
  leaving.statements.clear();
  write_endpoint(leaving, "ready", 2'000);
  wait_until([this] { return call("POST", "/unsafe/1").status == 200; },
             "the endpoint is used again");
}

TEST_F(LeavingAnswerTest, OfAnotherEndpointAtTheAddressSaysNothing)
{
  auto& endpoint = add_endpoint("i-1");
  start_fleet(1);
  endpoint.mood = endpoint_mood::is_another;
  endpoint.statements = {{"Server-Leaving", "1"}};
  call("POST", "/unsafe/1");
  endpoint.mood = endpoint_mood::answers;
  endpoint.statements.clear();
  EXPECT_EQ(call("POST", "/unsafe/1").status, 200);
}

TEST_F(LeavingAnswerTest, ChangesNothingWhereItIsUnreadable)
{
  auto& endpoint = add_endpoint("i-1");
  start_fleet(1);
  for (const char* text : {"0", "", "perhaps", "-1"}) {
    endpoint.statements = {{"Server-Leaving", text}};
    EXPECT_EQ(call("POST", "/unsafe/1").status, 200) << text;
    EXPECT_EQ(call("POST", "/unsafe/1").status, 200) << text;
  }
}

} // namespace
} // namespace wisteriaflow::relay
