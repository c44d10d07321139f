// Endpoints that refuse a request and ask the daemon for a pause (Retry-After).
//
// Guards against daemons that ignore the pause. An endpoint without capacity answered 503 and asked
// one daemon for three seconds without requests. It got 7 and then 10 more from that daemon and
// refused each, and each call was retried at another endpoint, until the retry budget was used up.
// The daemon did not count a refusal as a failure, and the idle endpoint was the best candidate for
// the next call.
//
// A request of that daemon still reached it 2.3 s after the refusal.
//
// From half a second after the answer until the end of the pause, two requests are allowed.

#include <chrono>
#include <string>

#include "relay/gateway_fixture.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t tolerated_requests = 2;
// In seconds; longer than the test runs.
constexpr const char* long_pause = "600";

class EndpointPauseTest : public gateway_fixture {
 protected:
  // Makes the endpoint refuse requests with the pause, and waits until it has refused one of the
  // first daemon.
  void make_endpoint_refuse(fake_endpoint& e, const std::string& pause)
  {
    e.behaviour = endpoint_behaviour::refuses_not_executed;
    e.extra_headers = {{"Retry-After", pause}};
    const auto before = e.received.size();
    wait_until(
        [&] {
          call("GET", "/safe/1");
          return e.received.size() > before;
        },
        "a request is refused");
  }

  // Sends 20 requests to the first daemon. Returns how many of them reach the endpoint.
  std::size_t send_and_count_received(const fake_endpoint& e, const std::string& path = "/unsafe/1")
  {
    const auto before = e.received.size();
    for (int i = 0; i < 20; ++i) {
      try {
        call(path.starts_with("/safe") ? "GET" : "POST", path);
      } catch (const http::http_error&) {
        // A stream that could not be resumed is aborted.
      }
    }
    return e.received.size() - before;
  }
};

TEST_F(EndpointPauseTest, IsHonored)
{
  auto& paused = add_endpoint("i-1");
  add_endpoint("i-2");
  start_fleet(1);
  make_endpoint_refuse(paused, long_pause);
  EXPECT_LE(send_and_count_received(paused), tolerated_requests);
}

TEST_F(EndpointPauseTest, IsHonoredWhenNoOtherEndpointIsLeft)
{
  auto& paused = add_endpoint("i-1");
  start_fleet(1);
  make_endpoint_refuse(paused, long_pause);
  EXPECT_LE(send_and_count_received(paused), tolerated_requests);
}

TEST_F(EndpointPauseTest, IsHonoredByRetries)
{
  auto& paused = add_endpoint("i-1");
  auto& failing = add_endpoint("i-2");
  start_fleet(1);
  make_endpoint_refuse(paused, long_pause);
  failing.behaviour = endpoint_behaviour::fails;
  EXPECT_LE(send_and_count_received(paused, "/safe/1"), tolerated_requests);
}

TEST_F(EndpointPauseTest, IsHonoredByStreamsThatResumeElsewhere)
{
  auto& paused = add_endpoint("i-1");
  auto& truncating = add_endpoint("i-2");
  start_fleet(1);
  make_endpoint_refuse(paused, long_pause);
  truncating.behaviour = endpoint_behaviour::streams_then_disconnects;
  EXPECT_LE(send_and_count_received(paused, "/resumable/1"), tolerated_requests);
}

TEST_F(EndpointPauseTest, MakesTheDaemonRefuseCallsAtOnceUntilItEnds)
{
  auto& paused = add_endpoint("i-1");
  start_fleet(1);
  make_endpoint_refuse(paused, long_pause);
  const auto before = paused.received.size();
  const auto out = call("POST", "/unsafe/1");
  EXPECT_EQ(out.status, 503);
  EXPECT_GT(std::stod("0" + std::string(http::find_header(out.fields, "Retry-After"))), 60);
  EXPECT_EQ(paused.received.size(), before);
}

TEST_F(EndpointPauseTest, Ends)
{
  auto& paused = add_endpoint("i-1");
  start_fleet(1);
  make_endpoint_refuse(paused, "0.5");
  paused.behaviour = endpoint_behaviour::answers;
  paused.extra_headers.clear();
  wait_until([this] { return call("POST", "/unsafe/1").status == 200; },
             "the endpoint is used again");
}

TEST_F(EndpointPauseTest, AppliesOnlyToTheDaemonThatGotIt)
{
  auto& paused = add_endpoint("i-1");
  start_fleet(2);
  make_endpoint_refuse(paused, long_pause);
  paused.behaviour = endpoint_behaviour::answers;
  paused.extra_headers.clear();
  const auto message = request_for("POST", "/unsafe/1");
  EXPECT_EQ(send(gateways_[1]->options.callers, message).status, 200);
}

TEST_F(EndpointPauseTest, IsIgnoredWhenItsValueIsInvalid)
{
  auto& endpoint = add_endpoint("i-1");
  start_fleet(1);
  for (const char* pause : {"-5", "soon", "1e9", "nan", "99999999", ""}) {
    make_endpoint_refuse(endpoint, pause);
    endpoint.behaviour = endpoint_behaviour::answers;
    EXPECT_EQ(call("POST", "/unsafe/1").status, 200) << pause;
  }
}

} // namespace
} // namespace wisteriaflow::relay
