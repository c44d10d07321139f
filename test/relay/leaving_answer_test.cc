// Endpoints that state in their answers that they are leaving.
//
// Guards against daemons that ignore the statement and go by the store's entry alone. Thirteen
// endpoints of a reclaimed zone stated it while the store acknowledged nothing for thirteen
// seconds. Daemons forwarded answers with the statement, and 2.1 and 2.3 s later sent those
// endpoints further requests. Two are the most that is allowed.
//
// The store's entries still listed the endpoints as serving, so the statement must override them.

#include <chrono>
#include <string>

#include "relay/gateway_fixture.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

class LeavingAnswerTest : public gateway_fixture {
 protected:
  // Makes the endpoint state that it leaves, and waits until it has answered the first daemon.
  void announce_leaving(fake_endpoint& e)
  {
    e.extra_headers = {{"Server-Leaving", "1"}};
    const auto before = e.received.size();
    wait_until(
        [&] {
          call("GET", "/safe/1");
          return e.received.size() > before;
        },
        "an answer has stated that the endpoint leaves");
  }

  // Sends 20 requests to the daemon. Returns how many of them reach the endpoint.
  std::size_t send_and_count_received(const fake_endpoint& e, const running_gateway& by,
                                      const std::string& path = "/unsafe/1")
  {
    const auto before = e.received.size();
    for (int i = 0; i < 20; ++i) {
      try {
        send(by.options.callers, request_for(path.starts_with("/safe") ? "GET" : "POST", path));
      } catch (const http::http_error&) {
        // A stream that could not be resumed is aborted.
      }
    }
    return e.received.size() - before;
  }
};

TEST_F(LeavingAnswerTest, StopsRequestsToTheEndpoint)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(1);
  announce_leaving(leaving);
  EXPECT_EQ(send_and_count_received(leaving, *gateways_[0]), 0U);
}

TEST_F(LeavingAnswerTest, StopsRequestsWhenNoOtherEndpointIsLeft)
{
  auto& leaving = add_endpoint("i-1");
  start_fleet(1);
  announce_leaving(leaving);
  EXPECT_EQ(send_and_count_received(leaving, *gateways_[0]), 0U);
  EXPECT_EQ(call("POST", "/unsafe/1").status, 503);
}

TEST_F(LeavingAnswerTest, StopsRetriesToTheEndpoint)
{
  auto& leaving = add_endpoint("i-1");
  auto& failing = add_endpoint("i-2");
  start_fleet(1);
  announce_leaving(leaving);
  failing.behaviour = endpoint_behaviour::fails;
  EXPECT_EQ(send_and_count_received(leaving, *gateways_[0], "/safe/1"), 0U);
}

TEST_F(LeavingAnswerTest, StopsResumedStreamsToTheEndpoint)
{
  auto& leaving = add_endpoint("i-1");
  auto& truncating = add_endpoint("i-2");
  start_fleet(1);
  announce_leaving(leaving);
  truncating.behaviour = endpoint_behaviour::streams_then_disconnects;
  EXPECT_EQ(send_and_count_received(leaving, *gateways_[0], "/resumable/1"), 0U);
}

TEST_F(LeavingAnswerTest, OverridesANewerEntryOfTheStore)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(1);
  announce_leaving(leaving);
  write_endpoint(leaving, "ready");
  run_for(3s); // the daemon has read it
  EXPECT_EQ(send_and_count_received(leaving, *gateways_[0]), 0U);
}

TEST_F(LeavingAnswerTest, OverridesAnEntryThatWasDeletedAndCreatedAgain)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(1);
  announce_leaving(leaving);
  store_.erase("servers", leaving.id());
  run_for(3s);
  write_endpoint(leaving, "ready");
  run_for(3s);
  EXPECT_EQ(send_and_count_received(leaving, *gateways_[0]), 0U);
}

TEST_F(LeavingAnswerTest, ReachesOtherDaemons)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(3);
  store_.unavailable = true;
  announce_leaving(leaving);
  run_for(1s);
  EXPECT_EQ(send_and_count_received(leaving, *gateways_[1]), 0U);
  EXPECT_EQ(send_and_count_received(leaving, *gateways_[2]), 0U);
}

TEST_F(LeavingAnswerTest, ReachesADaemonThatJoins)
{
  auto& leaving = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(2);
  announce_leaving(leaving);
  run_for(6s); // urgent updates no longer carry it
  start_fleet(1);
  EXPECT_EQ(send_and_count_received(leaving, *gateways_[2]), 0U);
}

TEST_F(LeavingAnswerTest, DoesNotApplyToTheNextProcessOfTheEndpoint)
{
  auto& leaving = add_endpoint("i-1");
  start_fleet(1);
  announce_leaving(leaving);
  leaving.extra_headers.clear();
  write_endpoint(leaving, "ready", 2'000);
  wait_until([this] { return call("POST", "/unsafe/1").status == 200; },
             "the endpoint is used again");
}

TEST_F(LeavingAnswerTest, IsIgnoredWhenAnotherEndpointAnswersAtTheAddress)
{
  auto& endpoint = add_endpoint("i-1");
  start_fleet(1);
  endpoint.behaviour = endpoint_behaviour::answers_misdirected;
  endpoint.extra_headers = {{"Server-Leaving", "1"}};
  call("POST", "/unsafe/1");
  endpoint.behaviour = endpoint_behaviour::answers;
  endpoint.extra_headers.clear();
  EXPECT_EQ(call("POST", "/unsafe/1").status, 200);
}

TEST_F(LeavingAnswerTest, IsIgnoredWhenItsValueIsInvalid)
{
  auto& endpoint = add_endpoint("i-1");
  start_fleet(1);
  for (const char* text : {"0", "", "perhaps", "-1"}) {
    endpoint.extra_headers = {{"Server-Leaving", text}};
    EXPECT_EQ(call("POST", "/unsafe/1").status, 200) << text;
    EXPECT_EQ(call("POST", "/unsafe/1").status, 200) << text;
  }
}

} // namespace
} // namespace wisteriaflow::relay
