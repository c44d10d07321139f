// Checks that the log lines alone lead from a failed request's id to the cause of the failure, as
// docs/OPERATIONS.md describes.

#include <gtest/gtest.h>

#include "fakes/run.h"
#include "relay/gateway_fixture.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

class FailureCauseTest : public gateway_fixture {
 protected:
  void start(endpoint_behaviour behaviour)
  {
    add_endpoint("i-1").behaviour = behaviour;
    start_gateway(store_);
    wait_until_ready();
  }

  // Sends a request and records its id. Returns the status, or 0 if the exchange broke.
  int send_and_record_id(const std::string& path)
  {
    auto message = request_for("POST", path);
    id_ = std::string(http::find_header(message.fields, "Request-Id"));
    try {
      return send(gateways_[0]->options.callers, std::move(message)).status;
    } catch (const http::http_error&) {
      return 0;
    }
  }

  // The value of `field` in the first log line of the request with `message`; empty if there is
  // none.
  [[nodiscard]] std::string field_value(const std::string& message, const std::string& field) const
  {
    for (const auto& line : gateways_[0]->lines_for_request(id_)) {
      for (const auto& [name, text] : line.fields) {
        if (line.message == message && name == field) {
          return text;
        }
      }
    }
    return "";
  }

  std::string id_;
};

TEST_F(FailureCauseTest, ARefusalAsNotRunNamesTheEndpointThatWasFull)
{
  start(endpoint_behaviour::refuses_not_executed);
  EXPECT_EQ(send_and_record_id("/unsafe/1"), 503);
  EXPECT_EQ(field_value("attempt failed", "endpoint"), "i-1");
  EXPECT_EQ(field_value("attempt failed", "status"), "503");
  EXPECT_EQ(field_value("call given up", "status"), "503");
}

TEST_F(FailureCauseTest, ALostAnswerNamesTheEndpointAndHowTheExchangeEnded)
{
  start(endpoint_behaviour::disconnects);
  EXPECT_EQ(send_and_record_id("/unsafe/1"), 502);
  EXPECT_EQ(field_value("attempt failed", "endpoint"), "i-1");
  EXPECT_EQ(field_value("attempt failed", "status"), "none");
  EXPECT_NE(field_value("attempt failed", "reason").find("broke off"), std::string::npos);
  EXPECT_EQ(field_value("call given up", "status"), "502");
}

TEST_F(FailureCauseTest, ATruncatedStreamIsLoggedWithItsLastEventAndTheReason)
{
  start(endpoint_behaviour::streams_then_disconnects);
  EXPECT_EQ(send_and_record_id("/stream/1"), 0);
  EXPECT_EQ(field_value("attempt failed", "events"), "3");
  EXPECT_NE(field_value("attempt failed", "reason"), "");
  EXPECT_EQ(field_value("call given up", "status"), "cut short");
}

TEST_F(FailureCauseTest, AnUnknownKeyIsLoggedWithTheConfigurationInForce)
{
  start(endpoint_behaviour::answers);
  auto message = request_for("GET", "/safe/1", "stranger");
  id_ = std::string(http::find_header(message.fields, "Request-Id"));
  EXPECT_EQ(send(gateways_[0]->options.callers, std::move(message)).status, 401);
  EXPECT_EQ(field_value("call refused", "reason"), "unknown key");
  EXPECT_EQ(field_value("call refused", "configuration"), "1");
}

} // namespace
} // namespace wisteriaflow::relay
