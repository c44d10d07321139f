// Answers without a length or chunks, which end with their connection.
//
// Guards against an answer that passes for complete because the process of its endpoint ended in
// the middle of it: the connection of such a process is closed like any other. It is so for an
// endpoint that is known to leave, too, whose process is about to end.

#include <chrono>
#include <string>

#include "fakes/free_addresses.h"
#include "fakes/unframed_endpoint.h"
#include "relay/gateway_fixture.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

using fakes::unframed_ending;

constexpr const char* two_events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

class UnframedAnswerTest : public gateway_fixture {
 protected:
  UnframedAnswerTest()
  {
    write_entry();
    start_fleet(1);
  }

  // Writes the endpoint's entry to the store.
  void write_entry()
  {
    store_.put("servers", endpoint_.id(),
               {{"service", "chat"},
                {"address", to_string(endpoint_.address())},
                {"zone", "z"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"born", 1'000}});
  }

  // Starts a daemon that cannot connect to the endpoint and sends calls through the first one.
  running_gateway& start_cut_off_daemon()
  {
    cut_off_view_.endpoint_addresses[endpoint_.id()] =
        fakes::free_addresses(fakes::process_loopback_host(9), 1).front();
    auto& out = start_gateway(cut_off_view_);
    wait_until([&] { return send(out.options.readiness, {.target = "/ready"}).status == 200; },
               "the daemon becomes ready");
    run_for(std::chrono::seconds(1));
    return out;
  }

  // The answer to a caller; status 0 if it did not arrive completely.
  http::response answer_to(const std::string& path) { return answer_of(*gateways_[0], path); }

  http::response answer_of(const running_gateway& daemon, const std::string& path)
  {
    try {
      return send(daemon.options.callers, request_for("POST", path));
    } catch (const http::http_error&) {
      return {.status = 0};
    }
  }

  void stream(const std::string& body)
  {
    endpoint_.content_type = "text/event-stream";
    endpoint_.body = body;
  }

  fakes::unframed_endpoint endpoint_{context_, "i-1"};
  fake_store cut_off_view_{context_, store_};
};

TEST_F(UnframedAnswerTest, IsForwarded)
{
  endpoint_.body = "all of it";
  const auto answer = answer_to("/unsafe/1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "all of it");
}

TEST_F(UnframedAnswerTest, IsForwardedAsAStream)
{
  stream(two_events);
  const auto answer = answer_to("/stream/1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, two_events);
}

TEST_F(UnframedAnswerTest, IsIncompleteIfTheConnectionIsReset)
{
  endpoint_.body = "half of it";
  endpoint_.ending = unframed_ending::resets;
  EXPECT_NE(answer_to("/unsafe/1").status, 200);
}

TEST_F(UnframedAnswerTest, IsIncompleteIfAStreamEndsInsideAnEvent)
{
  stream(std::string(two_events) + "id: 3\nda");
  EXPECT_NE(answer_to("/stream/1").status, 200);
}

TEST_F(UnframedAnswerTest, IsIncompleteIfTheEndpointEndsWithIt)
{
  endpoint_.body = "half of it";
  endpoint_.ending = unframed_ending::process_ends;
  EXPECT_NE(answer_to("/unsafe/1").status, 200);
}

TEST_F(UnframedAnswerTest, IsForwardedThroughAPeer)
{
  stream(two_events);
  const auto answer = answer_of(start_cut_off_daemon(), "/resumable/1");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, two_events);
}

TEST_F(UnframedAnswerTest, IsIncompleteThroughAPeerIfTheEndpointEndsWithIt)
{
  stream(two_events);
  endpoint_.ending = unframed_ending::process_ends;
  EXPECT_NE(answer_of(start_cut_off_daemon(), "/resumable/1").status, 200);
  EXPECT_EQ(endpoint_.received, 1U);
}

TEST_F(UnframedAnswerTest, IsACrashIfTheEndpointEndsWithIt)
{
  stream(two_events);
  endpoint_.ending = unframed_ending::process_ends;
  answer_to("/stream/1");
  const auto page = send(gateways_[0]->options.peers, {.target = "/metrics"}).body;
  EXPECT_NE(page.find("calls_under_ended_endpoints_total{service=\"chat\"} 1\n"),
            std::string::npos);
}

TEST_F(UnframedAnswerTest, IsIncompleteIfTheEndpointEndsBetweenTwoEvents)
{
  stream(two_events);
  endpoint_.ending = unframed_ending::process_ends;
  EXPECT_NE(answer_to("/stream/1").status, 200);
}

TEST_F(UnframedAnswerTest, IsForwardedFromAnEndpointThatLeaves)
{
  endpoint_.body = "all of it";
  endpoint_.leaves = true;
  EXPECT_EQ(answer_to("/unsafe/1").status, 200);
}

TEST_F(UnframedAnswerTest, IsIncompleteIfALeavingEndpointEndsWithIt)
{
  endpoint_.body = "half of it";
  endpoint_.leaves = true;
  endpoint_.ending = unframed_ending::process_ends;
  EXPECT_EQ(answer_to("/unsafe/1").status, 502);
}

TEST_F(UnframedAnswerTest, IsIncompleteIfALeavingEndpointEndsBetweenTwoEvents)
{
  stream(two_events);
  endpoint_.leaves = true;
  endpoint_.ending = unframed_ending::process_ends;
  EXPECT_NE(answer_to("/stream/1").status, 200);
}

TEST_F(UnframedAnswerTest, IsIncompleteThroughAPeerIfALeavingEndpointEndsWithIt)
{
  stream(two_events);
  endpoint_.leaves = true;
  endpoint_.ending = unframed_ending::process_ends;
  EXPECT_NE(answer_of(start_cut_off_daemon(), "/resumable/1").status, 200);
  EXPECT_EQ(endpoint_.received, 1U);
}

TEST_F(UnframedAnswerTest, IsNoCrashIfALeavingEndpointEndsWithIt)
{
  stream(two_events);
  endpoint_.leaves = true;
  endpoint_.ending = unframed_ending::process_ends;
  answer_to("/stream/1");
  const auto page = send(gateways_[0]->options.peers, {.target = "/metrics"}).body;
  EXPECT_EQ(page.find("calls_under_ended_endpoints_total{service=\"chat\"}"), std::string::npos);
}

TEST_F(UnframedAnswerTest, IsResumedWithinTheAnswerIfALeavingEndpointEndsWithIt)
{
  stream(two_events);
  endpoint_.leaves = true;
  endpoint_.ending = unframed_ending::process_ends;
  add_endpoint("i-2").behaviour = endpoint_behaviour::streams;
  run_for(std::chrono::seconds(1));
  http::response answer;
  wait_until(
      [&] {
        answer = answer_to("/resumable/1");
        return endpoint_.received > 0;
      },
      "the leaving endpoint has got a call");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.body.starts_with(two_events)) << answer.body;
  EXPECT_NE(answer.body.find("id: 6\n"), std::string::npos) << answer.body;
}

} // namespace
} // namespace wisteriaflow::relay
