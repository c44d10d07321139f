#include <string>
#include <vector>

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "wisteriaflow/requests/completion_request.h"
#include "wisteriaflow/requests/errors.h"
#include "wisteriaflow/requests/outcome.h"

namespace wisteriaflow::requests {
namespace {

const clock_reading now{mono_time{std::chrono::seconds(5)}, from_unix_ms(1'700'000'000'000)};
const std::string good_body = R"({"model":"m","prompt":"hello","max_tokens":8,"seed":42})";
// A version 7 UUID whose timestamp is `now`.
const std::string uuid = "018bcfe5-6800-7000-8000-000000000001";

std::vector<header_field> headers_with(std::vector<header_field> more = {})
{
  more.push_back({"wisteriaflow-workspace", "authority"});
  return more;
}

completion_request parse(const std::vector<header_field>& fields,
                         const std::string& body = good_body, const call_limits& limits = {})
{
  return parse_completion_request(fields, body, now, limits);
}

// The error of an invalid request as "<status> <header or field>", or "none".
std::string error_of(const std::vector<header_field>& fields, const std::string& body = good_body,
                     const call_limits& limits = {})
{
  try {
    static_cast<void>(parse(fields, body, limits));
  } catch (const invalid_request& e) {
    const std::string what = e.what();
    return std::to_string(e.status()) + " " + what.substr(0, what.find(':'));
  }
  return "none";
}

TEST(CompletionRequestTest, StoresTheDeadlineOnBothClocks)
{
  const auto got = parse(headers_with({{"Wisteriaflow-Timeout-Ms", "1500"}}));
  EXPECT_EQ(got.headers.deadline, now.mono + std::chrono::milliseconds(1500));
  EXPECT_EQ(got.headers.wall_deadline, now.wall + std::chrono::milliseconds(1500));
}

TEST(CompletionRequestTest, ReadsLabels)
{
  const auto got = parse(headers_with({{"Wisteriaflow-Labels", "tier=door, hotel=hn1"}}));
  EXPECT_EQ(got.headers.labels,
            (std::map<std::string, std::string>{{"tier", "door"}, {"hotel", "hn1"}}));
}

TEST(CompletionRequestTest, NamesTheInvalidHeader)
{
  EXPECT_EQ(error_of({}), "400 Wisteriaflow-Workspace");
  for (const header_field& bad : std::vector<header_field>{{"Wisteriaflow-Labels", "tier"},
                                                           {"Wisteriaflow-Labels", "a=1,a=2"},
                                                           {"Wisteriaflow-Timeout-Ms", "0"},
                                                           {"Wisteriaflow-Timeout-Ms", "12s"},
                                                           {"Wisteriaflow-Idempotent", "yes"},
                                                           {"Wisteriaflow-Priority", "-1"},
                                                           {"Idempotency-Key", "a b"}}) {
    EXPECT_EQ(error_of(headers_with({bad})), "400 " + bad.name) << bad.value;
  }
}

TEST(CompletionRequestTest, RefusesAHeaderGivenTwice)
{
  EXPECT_EQ(error_of(headers_with(
                {{"Wisteriaflow-Idempotent", "true"}, {"wisteriaflow-idempotent", "false"}})),
            "400 Wisteriaflow-Idempotent");
}

TEST(CompletionRequestTest, RequiresAVersion7UuidKeyForANonIdempotentRequest)
{
  const header_field mark{"Wisteriaflow-Idempotent", "false"};
  EXPECT_EQ(error_of(headers_with({mark})), "400 Idempotency-Key");
  EXPECT_EQ(error_of(headers_with({mark, {"Idempotency-Key", "k1"}})), "400 Idempotency-Key");
  EXPECT_EQ(parse(headers_with({mark, {"Idempotency-Key", uuid}})).headers.key_created, now.wall);
}

TEST(CompletionRequestTest, NamesTheInvalidField)
{
  const auto fields = headers_with();
  EXPECT_EQ(error_of(fields, "{"), "400 body");
  EXPECT_EQ(error_of(fields, "[]"), "400 body");
  EXPECT_EQ(error_of(fields, R"({"prompt":"x"})"), "400 model");
  EXPECT_EQ(error_of(fields, R"({"model":"m","prompt":3})"), "400 prompt");
  EXPECT_EQ(error_of(fields, R"({"model":"m","prompt":"x","max_tokens":0})"), "400 max_tokens");
  EXPECT_EQ(error_of(fields, R"({"model":"m","prompt":"x","stream":1})"), "400 stream");
  EXPECT_EQ(error_of(fields, R"({"model":"m","prompt":"x","n":2})"), "400 n");
  EXPECT_EQ(error_of(fields, R"({"model":"m","prompt":"x","resume_text":"y"})"), "400 resume_text");
}

TEST(CompletionRequestTest, RefusesABodyOrPromptOverItsLimit)
{
  EXPECT_EQ(error_of(headers_with(), good_body, {.max_body_bytes = 10}), "413 body");
  EXPECT_EQ(error_of(headers_with(), good_body, {.max_prompt_bytes = 4}), "413 prompt");
}

TEST(CompletionRequestTest, PassesUnknownFieldsToTheEngine)
{
  const auto body = boost::json::parse(render_engine_body(
      parse(headers_with()), {.model = "m-v2", .resume_tokens = 1, .resume_text = "a"}));
  EXPECT_EQ(body, boost::json::parse(R"({"model":"m-v2","prompt":"hello","max_tokens":8,"seed":42,
      "stream":true,"priority":0,"resume_tokens":1,"resume_text":"a"})"));
}

std::string header_of(const response_parts& response, const std::string& name)
{
  for (const auto& field : response.fields) {
    if (field.name == name) {
      return field.value;
    }
  }
  return "none";
}

TEST(OutcomeTest, RoundsRetryAfterUp)
{
  const refused_not_run refusal{refusal_reason::over_share,
                                now.wall + std::chrono::milliseconds(1001), ""};
  const auto response = outcome_response(refusal, now.wall);
  EXPECT_EQ(response.status, 429);
  EXPECT_EQ(header_of(response, "Retry-After"), "2");
  EXPECT_EQ(header_of(response, "Wisteriaflow-Outcome"), "refused-not-run");
}

TEST(OutcomeTest, SetsRetryAfterToAtLeastOneSecond)
{
  const auto response = outcome_response(refused_not_run{}, now.wall);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(header_of(response, "Retry-After"), "1");
}

TEST(OutcomeTest, AnswersAnUnknownOutcomeWith504)
{
  const auto response = outcome_response(outcome_unknown{unknown_reason::timed_out}, now.wall);
  EXPECT_EQ(response.status, 504);
  const auto body = boost::json::parse(response.body);
  EXPECT_EQ(body.at("error").at("type").as_string(), "outcome_unknown");
  EXPECT_EQ(body.at("error").at("reason").as_string(), "timed_out");
}

TEST(OutcomeTest, GivesTheStatusOfAnInvalidRequest)
{
  const auto response = outcome_response(invalid{413, "prompt: is too large"}, now.wall);
  EXPECT_EQ(response.status, 413);
  EXPECT_EQ(header_of(response, "Retry-After"), "none");
}

} // namespace
} // namespace wisteriaflow::requests
