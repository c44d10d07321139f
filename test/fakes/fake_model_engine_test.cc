#include <optional>

#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_model_engine.h"
#include "fakes/run.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::fakes {
namespace {

namespace json = boost::json;

constexpr std::size_t long_answer_tokens = 100'000;
constexpr std::size_t long_prompt_words = 40; // two and a half blocks

class FakeModelEngineTest : public testing::Test {
 protected:
  http::response call(fake_model_engine& engine, std::string method, std::string target,
                      const json::value& body = json::object())
  {
    return fakes::call(context_, client_, engine.address(),
                       {.method = method, .target = target, .body = json::serialize(body)});
  }

  static http::request completion(json::object body, std::string id = "r")
  {
    body.emplace("model", "m");
    body.emplace("prompt", "a b c");
    body.emplace("max_tokens", 5);
    return {.method = "POST",
            .target = "/v1/completions",
            .fields = {{"Request-Id", id}, {"Idempotency-Key", "k"}},
            .body = json::serialize(body)};
  }

  json::value complete(fake_model_engine& engine, const json::object& body, std::string id = "r")
  {
    return json::parse(fakes::call(context_, client_, engine.address(), completion(body, id)).body);
  }

  // Starts a long stream, reads its first bytes and leaves the engine waiting before the next
  // token.
  void start_stream(fake_model_engine& engine, std::string id)
  {
    engine.set({{"token_interval_ms", 1}});
    started_ = false;
    const json::object body = {{"stream", true}, {"max_tokens", long_answer_tokens}};
    http::stream_observer observer;
    observer.on_bytes = [this](std::string_view) { started_ = true; };
    boost::asio::co_spawn(
        context_, client_.stream(engine.address(), completion(body, id), far_deadline(), observer),
        boost::asio::detached);
    run_until(context_, [&] { return started_; });
    engine.set({{"token_interval_ms", 60'000}});
  }

  static std::string text_in(const json::value& answer)
  {
    return std::string(answer.at("choices").at(0).at("text").as_string());
  }

  static std::string long_prompt()
  {
    std::string out;
    for (std::size_t i = 0; i < long_prompt_words; ++i) {
      out += "w" + std::to_string(i) + " ";
    }
    return out;
  }

  boost::asio::io_context context_;
  fake_model_engine engine_{context_};
  fake_model_engine other_{context_};
  http::client client_{context_};
  bool started_ = false;
};

TEST_F(FakeModelEngineTest, AnswersTheSameOnEveryEngine)
{
  const auto text = text_in(complete(engine_, {}));
  EXPECT_EQ(text, text_in(complete(other_, {})));
  EXPECT_EQ(text, tokens_text("m", "a b c", 0, 5));
  EXPECT_NE(text, tokens_text("m", "a b d", 0, 5));
}

TEST_F(FakeModelEngineTest, StreamsNumberedTokens)
{
  const auto body =
      fakes::call(context_, client_, engine_.address(), completion({{"stream", true}})).body;
  std::string text;
  std::size_t offset = 0;
  for (std::size_t at = 0; body.compare(at, 7, "data: {") == 0;) {
    const auto end = body.find("\n\n", at);
    const auto event = json::parse(body.substr(at + 6, end - at - 6));
    EXPECT_EQ(event.at("offset"), offset++);
    EXPECT_EQ(event.as_object().contains("usage"), offset == 5) << event;
    text += text_in(event);
    at = end + 2;
  }
  EXPECT_EQ(text, tokens_text("m", "a b c", 0, 5));
  EXPECT_TRUE(body.ends_with("data: [DONE]\n\n")) << body;
}

TEST_F(FakeModelEngineTest, ResumesWithTheSameBytesAndCountsRecomputedTokens)
{
  const auto first_part = tokens_text("m", "a b c", 0, 2);
  const auto answer = complete(other_, {{"resume_tokens", 2}, {"resume_text", first_part}});
  EXPECT_EQ(first_part + text_in(answer), tokens_text("m", "a b c", 0, 5));
  EXPECT_EQ(answer.at("usage").at("recomputed_tokens"), 3 + 2);
}

TEST_F(FakeModelEngineTest, RefusesToResumeAnotherText)
{
  const auto answer = complete(engine_, {{"resume_tokens", 1}, {"resume_text", "else "}});
  EXPECT_EQ(answer.at("reason"), "ResumesAnotherText");
}

TEST_F(FakeModelEngineTest, ImportedKvSavesRecomputing)
{
  complete(engine_, {}, "r");
  const auto handle = json::parse(call(engine_, "POST", "/kv/export", {{"request_id", "r"}}).body);
  EXPECT_EQ(handle.at("tokens"), 3 + 5);
  call(other_, "POST", "/kv/import",
       {{"handle", handle.at("handle")}, {"from", http::to_string(engine_.address())}});
  const auto answer = complete(other_, {{"resume_tokens", 4}});
  EXPECT_EQ(answer.at("usage").at("recomputed_tokens"), 0);
}

TEST_F(FakeModelEngineTest, ImportsNothingFromAnEngineThatIsGone)
{
  complete(engine_, {}, "r");
  const auto from = http::to_string(engine_.address());
  engine_.close();
  const auto reply = call(other_, "POST", "/kv/import", {{"handle", "kv-r"}, {"from", from}});
  EXPECT_EQ(reply.status, 502);
}

TEST_F(FakeModelEngineTest, CachesWholeBlocksOfPrompts)
{
  EXPECT_EQ(complete(engine_, {{"prompt", long_prompt()}}).at("usage").at("cached_tokens"), 0);
  const auto again = complete(engine_, {{"prompt", long_prompt() + "more"}});
  EXPECT_EQ(again.at("usage").at("cached_tokens"), 2 * block_words);
}

TEST_F(FakeModelEngineTest, EvictsWhatIsOverTheCache)
{
  fake_model_engine small(context_, 0, {.kv_blocks = 1});
  complete(small, {{"prompt", long_prompt()}});
  const auto events = json::parse(call(small, "GET", "/cache-events?after=2").body).at("events");
  ASSERT_EQ(events.as_array().size(), 1U) << events;
  EXPECT_EQ(events.at(0).at("kind"), "evicted");
  EXPECT_EQ(events.at(0).at("prefix_hash"),
            json::value(hash_hex(block_hashes("m", long_prompt()).at(1))));
}

TEST_F(FakeModelEngineTest, HidesEveryNthCacheEvent)
{
  engine_.set({{"drop_events_every", 2}});
  complete(engine_, {{"prompt", long_prompt()}});
  const auto events = json::parse(call(engine_, "GET", "/cache-events?after=0").body).at("events");
  EXPECT_EQ(events.as_array().size(), 1U) << events;
}

TEST_F(FakeModelEngineTest, CountsRunsByKeyAndResumesApart)
{
  complete(engine_, {}, "r1");
  complete(engine_, {}, "r2");
  complete(engine_, {{"resume_tokens", 1}}, "r3");
  const auto stats = engine_.stats();
  EXPECT_EQ(stats.at("runs").at("k"), 2);
  EXPECT_EQ(stats.at("resumes").at("k"), 1);
  EXPECT_EQ(stats.at("requests").at("r1"), 1);
}

TEST_F(FakeModelEngineTest, CutsAnAnswerAfterSoManyTokens)
{
  call(engine_, "POST", "/_fake/fail", {{"after_tokens", 2}});
  std::string body;
  http::stream_observer observer;
  observer.on_bytes = [&](std::string_view bytes) { body += bytes; };
  EXPECT_THROW(run(context_, client_.stream(engine_.address(), completion({{"stream", true}}),
                                            far_deadline(), observer)),
               http::broken_exchange_error);
  EXPECT_NE(body.find(R"("offset":1)"), std::string::npos) << body;
  EXPECT_EQ(body.find(R"("offset":2)"), std::string::npos) << body;
}

TEST_F(FakeModelEngineTest, DiesWithItsListener)
{
  EXPECT_THROW(call(engine_, "POST", "/_fake/fail", {{"die", true}}), http::broken_exchange_error);
  EXPECT_THROW(call(engine_, "GET", "/load"), http::connect_error);
}

TEST_F(FakeModelEngineTest, RunsAtMostItsLimitAndTheRestByPriority)
{
  engine_.set({{"max_running", 1}});
  start_stream(engine_, "first");
  for (const auto* id : {"low", "high"}) {
    const json::object body = {{"priority", id == std::string("high") ? 1 : 0}};
    boost::asio::co_spawn(context_,
                          client_.call(engine_.address(), completion(body, id), far_deadline()),
                          boost::asio::detached);
    const std::size_t expected = id == std::string("high") ? 3 : 2;
    run_until(context_, [&] {
      return engine_.stats().at("requests_received_at_unix_ms").as_array().size() == expected;
    });
  }
  engine_.set({{"token_interval_ms", 0}});
  call(engine_, "DELETE", "/v1/requests/first");
  run_until(context_, [&] { return engine_.stats().at("started").as_array().size() == 3; });
  const json::array expected = {"first", "high", "low"};
  EXPECT_EQ(engine_.stats().at("started"), expected);
}

TEST_F(FakeModelEngineTest, CancelsARunningRequest)
{
  engine_.set({{"token_interval_ms", 60'000}});
  boost::asio::co_spawn(context_,
                        client_.call(engine_.address(), completion({}, "r"), far_deadline()),
                        boost::asio::detached);
  run_until(context_, [&] { return !engine_.stats().at("started").as_array().empty(); });
  EXPECT_EQ(call(engine_, "DELETE", "/v1/requests/r").status, 200);
  run_until(context_,
            [&] { return json::parse(call(engine_, "GET", "/load").body).at("running") == 0; });
  EXPECT_EQ(engine_.stats().at("cancelled"), json::array{"r"});
}

TEST_F(FakeModelEngineTest, ReportsLoadLate)
{
  engine_.set({{"load_lag_ms", 60'000}});
  start_stream(engine_, "r");
  EXPECT_EQ(json::parse(call(engine_, "GET", "/load").body).at("running"), 0);
  engine_.set({{"load_lag_ms", 0}});
  EXPECT_EQ(json::parse(call(engine_, "GET", "/load").body).at("running"), 1);
}

TEST_F(FakeModelEngineTest, RefusesAnOldFencingNumberIfItChecks)
{
  const auto order = [&](int number) {
    return call(engine_, "POST", "/orders",
                {{"order", "load"}, {"model", "m"}, {"fencing_number", number}})
        .status;
  };
  EXPECT_EQ(order(2), 200);
  EXPECT_EQ(order(1), 200);
  engine_.set({{"checks_fencing", true}});
  EXPECT_EQ(order(1), 409);
  EXPECT_EQ(order(2), 200);
}

TEST_F(FakeModelEngineTest, ServesOnlyLoadedModels)
{
  fake_model_engine empty(context_, 0, {.models = {"n"}});
  EXPECT_EQ(complete(empty, {}).at("reason"), "ModelNotLoaded");
  call(empty, "POST", "/orders", {{"order", "load"}, {"model", "m"}, {"fencing_number", 1}});
  EXPECT_EQ(text_in(complete(empty, {})), tokens_text("m", "a b c", 0, 5));
}

} // namespace
} // namespace wisteriaflow::fakes
