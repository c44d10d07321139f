#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fakes/run.h"
#include "relay/gateway_fixture.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

const std::string full_stream = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n"
                                "id: 4\ndata: t4\n\nid: 5\ndata: t5\n\nid: 6\ndata: t6\n\n";

class GatewayTest : public gateway_fixture {
 protected:
  // Starts one daemon with two endpoints.
  void start()
  {
    add_endpoint("i-1");
    add_endpoint("i-2");
    start_gateway(store_);
    wait_until_ready();
  }

  void set_behaviour(endpoint_behaviour behaviour)
  {
    for (const auto& e : endpoints_) {
      e->behaviour = behaviour;
    }
  }

  // The endpoint that gets the first request behaves as `first`. Later requests meet `later`.
  void set_behaviours(endpoint_behaviour first, endpoint_behaviour later)
  {
    for (const auto& e : endpoints_) {
      e->on_request = [this, first, later, e = e.get()] {
        e->behaviour = total_requests_received() == 1 ? first : later;
      };
    }
  }

  // The first daemon's metrics page.
  std::string metrics() { return send(gateways_[0]->options.peers, {.target = "/metrics"}).body; }

  [[nodiscard]] std::size_t total_requests_received() const
  {
    std::size_t n = 0;
    for (const auto& e : endpoints_) {
      n += e->received.size();
    }
    return n;
  }
};

TEST_F(GatewayTest, ForwardsAnAnswerWithItsSignature)
{
  start();
  const auto out = call("POST", "/unsafe/1");
  EXPECT_EQ(out.status, 200);
  EXPECT_TRUE(out.body.starts_with("made by i-"));
  EXPECT_TRUE(http::find_header(out.fields, "Response-Seal").starts_with("signature-i-"));
}

TEST_F(GatewayTest, SendsTheExpectedInstanceAndTheWorkspaceToTheEndpoint)
{
  start();
  call("POST", "/unsafe/1");
  const auto& e = endpoints_[0]->received.empty() ? *endpoints_[1] : *endpoints_[0];
  const auto& fields = e.received.at(0).fields;
  EXPECT_EQ(http::find_header(fields, "Expect-Instance"), e.id());
  EXPECT_EQ(http::find_header(fields, "Tenant"), "hotel");
  EXPECT_EQ(http::find_header(fields, "Api-Key"), "");
}

TEST_F(GatewayTest, ForwardsAStream)
{
  start();
  set_behaviour(endpoint_behaviour::streams);
  EXPECT_EQ(call("POST", "/stream/1").body, full_stream);
}

TEST_F(GatewayTest, ResumesATruncatedStreamAtAnotherEndpoint)
{
  start();
  set_behaviours(endpoint_behaviour::streams_then_disconnects, endpoint_behaviour::streams);
  EXPECT_EQ(call("POST", "/resumable/1").body, full_stream);
  EXPECT_EQ(endpoints_[0]->received.size(), 1U);
  EXPECT_EQ(endpoints_[1]->received.size(), 1U);
}

TEST_F(GatewayTest, AbortsATruncatedStreamThatCannotResume)
{
  start();
  set_behaviour(endpoint_behaviour::streams_then_disconnects);
  EXPECT_THROW(call("POST", "/stream/1"), http::broken_exchange_error);
  EXPECT_EQ(total_requests_received(), 1U);
}

TEST_F(GatewayTest, ReportsNotRunIfTheEndpointsReportedIt)
{
  start();
  set_behaviour(endpoint_behaviour::refuses_not_executed);
  const auto out = call("POST", "/unsafe/1");
  EXPECT_EQ(out.status, 503);
  EXPECT_NE(http::find_header(out.fields, "Retry-After"), "");
}

TEST_F(GatewayTest, DoesNotReportNotRunForANonIdempotentCallThatWasCutOff)
{
  start();
  set_behaviour(endpoint_behaviour::disconnects);
  EXPECT_EQ(call("POST", "/unsafe/1").status, 502);
  EXPECT_EQ(total_requests_received(), 1U);
}

TEST_F(GatewayTest, DoesNotReportNotRunForA503WithoutThatPromise)
{
  start();
  set_behaviour(endpoint_behaviour::refuses_without_marker);
  EXPECT_EQ(call("POST", "/unsafe/1").status, 502);
}

TEST_F(GatewayTest, RetriesAnIdempotentCallAfterABrokenExchange)
{
  start();
  set_behaviours(endpoint_behaviour::disconnects, endpoint_behaviour::answers);
  EXPECT_EQ(call("GET", "/safe/1").status, 200);
  EXPECT_EQ(total_requests_received(), 2U);
}

TEST_F(GatewayTest, RetriesAnIdempotentCallAfterATimeoutWithoutData)
{
  start();
  set_behaviours(endpoint_behaviour::never_responds, endpoint_behaviour::answers);
  EXPECT_EQ(call("GET", "/safe/1").status, 200);
  EXPECT_EQ(total_requests_received(), 2U);
}

TEST_F(GatewayTest, ForwardsAnEndpointsFailureWhenNoOtherEndpointIsLeft)
{
  add_endpoint("i-1").behaviour = endpoint_behaviour::fails;
  start_gateway(store_);
  wait_until_ready();
  const auto out = call("GET", "/safe/1");
  EXPECT_EQ(out.status, 500);
  EXPECT_EQ(http::find_header(out.fields, "Response-Seal"), "signature-i-1");
  EXPECT_EQ(total_requests_received(), 1U);
}

TEST_F(GatewayTest, ForwardsAnEndpointsFailureWhenTheRetryGetsNoAnswer)
{
  start();
  set_behaviours(endpoint_behaviour::fails, endpoint_behaviour::disconnects);
  const auto out = call("GET", "/safe/1");
  EXPECT_EQ(out.status, 500);
  EXPECT_NE(http::find_header(out.fields, "Response-Seal"), "");
  EXPECT_EQ(total_requests_received(), 2U);
}

TEST_F(GatewayTest, ForwardsAnEndpointsFailure)
{
  start();
  set_behaviour(endpoint_behaviour::fails);
  const auto out = call("POST", "/unsafe/1");
  EXPECT_EQ(out.status, 500);
  EXPECT_NE(http::find_header(out.fields, "Response-Seal"), "");
}

TEST_F(GatewayTest, RejectsASuccessWithoutSignature)
{
  start();
  set_behaviour(endpoint_behaviour::answers_unsigned);
  EXPECT_EQ(call("POST", "/unsafe/1").status, 502);
}

TEST_F(GatewayTest, RejectsAnAnswerToAnotherRequest)
{
  start();
  set_behaviour(endpoint_behaviour::answers_wrong_request_id);
  auto message = request_for("POST", "/unsafe/1");
  message.fields.at(3).value = "700";
  EXPECT_EQ(send(gateways_[0]->options.callers, message).status, 504);
}

TEST_F(GatewayTest, RejectsUnknownRoutesAndKeys)
{
  start();
  EXPECT_EQ(call("GET", "/other/1").status, 404);
  EXPECT_EQ(call("GET", "/safe/1", "unknown").status, 401);
}

TEST_F(GatewayTest, AnswersUnavailableWhileItHasNoConfiguration)
{
  store_.unavailable = true;
  start_gateway(store_);
  EXPECT_EQ(call("GET", "/safe/1").status, 503);
  EXPECT_EQ(send(gateways_[0]->options.readiness, {.target = "/ready"}).status, 503);
}

TEST_F(GatewayTest, AppliesANewConfiguration)
{
  start();
  write_configuration(2, "safe");
  wait_until([this] { return call("GET", "/safe/1").status == 404; }, "the route is gone");
}

TEST_F(GatewayTest, NeverRevertsToAnOlderConfiguration)
{
  start();
  write_configuration(5, "safe");
  wait_until([this] { return call("GET", "/safe/1").status == 404; }, "the route is gone");
  write_configuration(4);
  write_configuration(6, "unsafe");
  wait_until([this] { return call("GET", "/safe/1").status == 200; }, "version 6 is in force");
  EXPECT_EQ(call("POST", "/unsafe/1").status, 404);
}

TEST_F(GatewayTest, KeepsTheCurrentConfigurationWhenANewOneCannotBeRead)
{
  start();
  store_.put("config", "main", "not a configuration");
  context_.restart();
  context_.run_for(std::chrono::milliseconds(300));
  EXPECT_EQ(call("GET", "/safe/1").status, 200);
}

TEST_F(GatewayTest, SendsNothingToADrainingEndpoint)
{
  start();
  write_endpoint(*endpoints_[0], "draining");
  wait_until(
      [this] {
        const auto before = endpoints_[0]->received.size();
        for (int i = 0; i < 8; ++i) {
          call("GET", "/safe/1");
        }
        return endpoints_[0]->received.size() == before;
      },
      "the endpoint gets no more");
}

TEST_F(GatewayTest, SharesTheConfigurationWithPeersThatCannotReadTheStore)
{
  add_endpoint("i-1");
  fake_store away(context_);
  away.unavailable = true;
  start_gateway(store_);
  auto& second = start_gateway(away);
  wait_until(
      [&] {
        const auto out = send(second.options.peers, {.target = "/configuration"});
        return out.status == 200;
      },
      "the peer's configuration is in force");
}

TEST_F(GatewayTest, LearnsOfNewEndpointsFromPeersWhileTheStoreRefusesIt)
{
  add_endpoint("i-1");
  fake_store store_proxy(context_, store_);
  start_gateway(store_);
  auto& second = start_gateway(store_proxy);
  const auto served_by_second = [&] {
    return send(second.options.callers, request_for("GET", "/safe/1")).status == 200;
  };
  wait_until(served_by_second, "the second daemon serves");
  store_proxy.unavailable = true;
  add_endpoint("i-2");
  write_endpoint(*endpoints_[0], "draining");
  wait_until([&] { return served_by_second() && !endpoints_[1]->received.empty(); },
             "the second daemon uses the new endpoint");
}

TEST_F(GatewayTest, ListsAllReadyDaemonsForCallers)
{
  add_endpoint("i-1");
  start_gateway(store_);
  auto& second = start_gateway(store_);
  const auto caller = to_string(second.options.callers);
  wait_until(
      [&] {
        const auto out = send(gateways_[0]->options.addresses, {.target = "/resolve?name=x"});
        return out.body.find(caller) != std::string::npos;
      },
      "both daemons are listed");
}

TEST_F(GatewayTest, CancelsTheEndpointsWorkWhenTheCallerDisconnects)
{
  start();
  set_behaviour(endpoint_behaviour::never_responds);
  http::cancel_handle handle;
  bool ended = false;
  auto disconnect = [&]() -> boost::asio::awaitable<void> {
    try {
      co_await client_.stream(gateways_[0]->options.callers, request_for("POST", "/unsafe/1"),
                              fakes::far_deadline(), {}, &handle);
    } catch (const http::http_error&) {
      ended = true;
    }
  };
  boost::asio::co_spawn(context_, disconnect(), boost::asio::detached);
  wait_until([this] { return total_requests_received() == 1; }, "the endpoint has the request");
  handle.cancel();
  wait_until([&] { return ended; }, "the caller has disconnected");
  // The daemon counts a disconnected caller after it has closed the exchange with the endpoint.
  wait_until([this] { return metrics().find("callers_gone_total 1") != std::string::npos; },
             "the call has ended");
}

TEST_F(GatewayTest, MetricsCountAnswersByRouteAndStatus)
{
  start();
  call("GET", "/safe/1");
  EXPECT_NE(metrics().find("answers_total{route=\"safe\",status=\"200\"} 1\n"), std::string::npos);
}

TEST_F(GatewayTest, MetricsReportLatenciesByRoute)
{
  start();
  call("GET", "/safe/1");
  EXPECT_NE(metrics().find("first_event_time_seconds_count{route=\"safe\"} 1\n"),
            std::string::npos);
  EXPECT_NE(metrics().find("call_time_seconds_count{route=\"safe\"} 1\n"), std::string::npos);
}

TEST_F(GatewayTest, MetricsCountAStreamThatResumesAtAnotherEndpoint)
{
  start();
  set_behaviours(endpoint_behaviour::streams_then_disconnects, endpoint_behaviour::streams);
  call("POST", "/resumable/1");
  EXPECT_NE(metrics().find("resumes_total{route=\"resumable\"} 1\n"), std::string::npos);
}

TEST_F(GatewayTest, MetricsReportTheAgeOfConfigurationAndEndpoints)
{
  start();
  wait_until([this] { return metrics().find("configuration_age_seconds ") != std::string::npos; },
             "the configuration's age is in the metrics");
  EXPECT_NE(metrics().find("endpoints_age_seconds "), std::string::npos);
}

TEST_F(GatewayTest, MetricsCountTheQuotaUnitsOfWorkspaces)
{
  start();
  call("GET", "/safe/1");
  EXPECT_NE(metrics().find("quota_units_by_rank_total{rank=\"0\",admitted=\"yes\"} 1\n"),
            std::string::npos);
  EXPECT_NE(metrics().find("quota_units_total{workspace=\"hotel\",admitted=\"yes\"} 1\n"),
            std::string::npos);
}

TEST_F(GatewayTest, ADrainingDaemonIsNotReadyAndStillAnswers)
{
  customize_settings_ = [](settings& s) { s.drain_grace = std::chrono::seconds(8); };
  start();
  gateways_[0]->daemon.drain();
  wait_until(
      [this] { return send(gateways_[0]->options.readiness, {.target = "/ready"}).status == 503; },
      "the daemon is not ready");
  const auto out = call("GET", "/safe/1");
  EXPECT_EQ(out.status, 200);
  EXPECT_EQ(http::find_header(out.fields, "Connection"), "close");
}

TEST_F(GatewayTest, ACallThatIsOpenWhenTheProcessEndsIsAnsweredAsUnknown)
{
  start();
  for (const auto& e : endpoints_) {
    e->behaviour = endpoint_behaviour::never_responds;
    e->on_request = [this] { gateways_[0]->daemon.drain(); };
  }
  const auto out = call("POST", "/unsafe/1");
  EXPECT_EQ(out.status, 502);
  EXPECT_EQ(total_requests_received(), 1U);
}

TEST_F(GatewayTest, ARepeatableCallIsNotSentAgainWhenTheProcessEnds)
{
  // Answers are due before the endpoint would be left for its silence.
  customize_settings_ = [](settings& s) { s.drain_grace = std::chrono::milliseconds(1'500); };
  start();
  for (const auto& e : endpoints_) {
    e->behaviour = endpoint_behaviour::never_responds;
    e->on_request = [this] { gateways_[0]->daemon.drain(); };
  }
  EXPECT_EQ(call("GET", "/safe/1").status, 502);
  EXPECT_EQ(total_requests_received(), 1U);
}

TEST_F(GatewayTest, ADrainingDaemonRefusesACallThatMayOutlastIt)
{
  start();
  gateways_[0]->daemon.drain();
  run_for(std::chrono::milliseconds(600));
  const auto out = call("POST", "/unsafe/1");
  EXPECT_EQ(out.status, 503);
  EXPECT_FALSE(http::find_header(out.fields, "Retry-After").empty());
  EXPECT_EQ(total_requests_received(), 0U);
}

TEST_F(GatewayTest, ACallAtAnEndpointThatRestartsEndsBeforeItsDeadline)
{
  start();
  for (const auto& e : endpoints_) {
    e->behaviour = endpoint_behaviour::never_responds;
    e->on_request = [this, e = e.get()] { write_endpoint(*e, "ready", 2'000); };
  }
  const auto out = call("POST", "/unsafe/1");
  EXPECT_EQ(out.status, 502); // it may have run; at its deadline the status would be 504
  EXPECT_EQ(total_requests_received(), 1U);
}

TEST_F(GatewayTest, AnInvalidEndpointEntryIsRejectedAndAffectsNoOther)
{
  start();
  store_.put("servers", "i-1", {{"service", "chat"}, {"state", "warming"}});
  store_.put("servers", "i-3", "\xff");
  store_.put("servers", "i-4", boost::json::array{1, 2});
  wait_until(
      [this] { return metrics().find("endpoint_entries_rejected_total 3\n") != std::string::npos; },
      "the entries are read");
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(call("POST", "/unsafe/1").status, 200);
  }
  EXPECT_TRUE(endpoints_[0]->received.empty());
  EXPECT_EQ(endpoints_[1]->received.size(), 20U);
}

} // namespace
} // namespace wisteriaflow::relay
