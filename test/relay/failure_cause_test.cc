// From a failed request's id to its cause, by the log lines alone: what docs/OPERATIONS.md
// promises.

#include <gtest/gtest.h>

#include "fakes/run.h"
#include "relay/gateway_fixture.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {
namespace {

class FailureCauseTest : public gateway_fixture {
 protected:
  void start(endpoint_mood mood)
  {
    add_endpoint("i-1").mood = mood;
    start_gateway(store_);
    wait_until_ready();
  }

  // Sends a request; a broken answer is one without a status. Keeps its id.
  int send_and_keep_id(const std::string& path)
  {
    auto message = request_for("POST", path);
    id_ = std::string(http::find_header(message.fields, "Request-Id"));
    try {
      return send(gateways_[0]->options.callers, std::move(message)).status;
    } catch (const http::http_error&) {
      return 0;
    }
  }

  // The value of `field` in the request's line with `message`; empty if there is none.
  [[nodiscard]] std::string value(const std::string& message, const std::string& field) const
  {
    for (const auto& line : gateways_[0]->lines_of(id_)) {
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
  start(endpoint_mood::sheds);
  EXPECT_EQ(send_and_keep_id("/unsafe/1"), 503);
  EXPECT_EQ(value("attempt failed", "endpoint"), "i-1");
  EXPECT_EQ(value("attempt failed", "status"), "503");
  EXPECT_EQ(value("call given up", "status"), "503");
}

TEST_F(FailureCauseTest, ALostAnswerNamesTheEndpointAndHowTheExchangeEnded)
{
  start(endpoint_mood::cuts);
  EXPECT_EQ(send_and_keep_id("/unsafe/1"), 502);
  EXPECT_EQ(value("attempt failed", "endpoint"), "i-1");
  EXPECT_EQ(value("attempt failed", "status"), "none");
  EXPECT_NE(value("attempt failed", "reason").find("broke off"), std::string::npos);
  EXPECT_EQ(value("call given up", "status"), "502");
}

TEST_F(FailureCauseTest, AStreamThatEndedEarlyTellsAfterWhichEventAndWhy)
{
  start(endpoint_mood::streams_and_cuts);
  EXPECT_EQ(send_and_keep_id("/stream/1"), 0);
  EXPECT_EQ(value("attempt failed", "events"), "3");
  EXPECT_NE(value("attempt failed", "reason"), "");
  EXPECT_EQ(value("call given up", "status"), "cut short");
}

TEST_F(FailureCauseTest, AnUnknownKeyIsToldWithTheConfigurationThatDecided)
{
  start(endpoint_mood::answers);
  auto message = request_for("GET", "/safe/1", "stranger");
  id_ = std::string(http::find_header(message.fields, "Request-Id"));
  EXPECT_EQ(send(gateways_[0]->options.callers, std::move(message)).status, 401);
  EXPECT_EQ(value("call refused", "reason"), "unknown key");
  EXPECT_EQ(value("call refused", "configuration"), "1");
}

} // namespace
} // namespace wisteriaflow::relay
