#include <chrono>
#include <thread>

#include <gtest/gtest.h>

#include "fakes/fake_endpoint.h"
#include "fakes/run.h"
#include "relay/attempt.h"

namespace wisteriaflow::relay {
namespace {

using namespace std::chrono_literals;

// Discards everything that is written.
class null_writer final : public http::response_writer {
 public:
  boost::asio::awaitable<void> send(http::response) override { co_return; }
  boost::asio::awaitable<void> start_stream(http::response) override { co_return; }
  boost::asio::awaitable<void> write_chunk(std::string_view) override { co_return; }
  boost::asio::awaitable<void> finish_stream() override { co_return; }
  void abort() override {}
  void on_peer_closed(std::function<void()>) override {}
};

boost::asio::awaitable<std::optional<gateway::service_version_set>> no_recorded_versions()
{
  co_return std::nullopt;
}

class AttemptTest : public testing::Test {
 protected:
  AttemptTest()
  {
    call_.received = {.fields = {{"Request-Id", "r1"}}};
    call_.description = {.request_id = "r1"};
    call_.route = &route_;
    call_.service = "chat";
    call_.deadline = std::chrono::steady_clock::now() + 10s;
  }

  // Chooses the only endpoint. Afterwards there is another one for a retry.
  gateway::pooled_endpoint choose()
  {
    gateway::endpoint_record r{.id = endpoint_id("i-1"),
                               .revision = 1,
                               .service = "chat",
                               .address = endpoint_.address(),
                               .places = 4};
    const auto now = std::chrono::steady_clock::now();
    state_.endpoints.apply(r, now);
    auto chosen = std::get<gateway::pooled_endpoint>(state_.endpoints.choose(
        {.service = "chat", .target = now + 1s, .deadline = now + 2s}, now));
    call_.excluded.push_back(chosen.id);
    r.id = endpoint_id("i-2");
    r.revision = 2;
    state_.endpoints.apply(r, now);
    return chosen;
  }

  boost::asio::io_context context_;
  event_log log_{[](daemon::log_line) { return true; }};
  fleet_state state_{
      settings{.id = daemon_id("d"), .retry_slack = 10, .retry_window = 10s, .usage_window = 5s},
      log_};
  link_checker links_{context_, state_};
  endpoint_transport transport_{context_, state_, links_};
  store_client store_{context_, state_};
  origin_store stored_{context_, state_, store_};
  origin_exchange origins_{context_, state_, [](mono_time) { return no_recorded_versions(); },
                           stored_};
  fakes::fake_endpoint endpoint_{context_, "i-1"};
  null_writer writer_;
  gateway::route route_{.target_latency = 10ms, .max_attempts = 2};
  admitted_call call_;
};

TEST_F(AttemptTest, AcceptsAnAnswerThatArrivedInTimeWhileTheThreadWasStalled)
{
  attempt_result result;
  auto task = [&]() -> boost::asio::awaitable<void> {
    const auto one =
        std::make_unique<attempt>(context_, state_, transport_, origins_, call_, choose());
    result = co_await one->run(writer_);
  };
  endpoint_.blocking_delay = 100ms;
  fakes::run(context_, task());
  EXPECT_EQ(result.end, attempt_result::end_state::complete);
}

TEST_F(AttemptTest, EndsWhenTheEndpointSendsNothing)
{
  endpoint_.behaviour = fakes::endpoint_behaviour::never_responds;
  attempt_result result;
  auto task = [&]() -> boost::asio::awaitable<void> {
    const auto one =
        std::make_unique<attempt>(context_, state_, transport_, origins_, call_, choose());
    result = co_await one->run(writer_);
  };
  fakes::run(context_, task());
  EXPECT_TRUE(result.silent);
  EXPECT_EQ(result.outcome, gateway::attempt_outcome::no_valid_answer);
}

// Guards against a fleet that avoids sound engines because they are silent under overload, and so
// overloads the others.
TEST_F(AttemptTest, ASilentCallDoesNotCountForTheFleet)
{
  endpoint_.behaviour = fakes::endpoint_behaviour::never_responds;
  auto task = [&]() -> boost::asio::awaitable<void> {
    const auto one =
        std::make_unique<attempt>(context_, state_, transport_, origins_, call_, choose());
    co_await one->run(writer_);
  };
  fakes::run(context_, task());
  const auto stated = state_.endpoints.outcomes_to_gossip(std::chrono::steady_clock::now());
  EXPECT_FALSE(stated.contains(endpoint_id("i-1")));
}

TEST_F(AttemptTest, ACallThatTheEndpointBreaksOffCountsOnceAsFailed)
{
  endpoint_.behaviour = fakes::endpoint_behaviour::disconnects;
  auto task = [&]() -> boost::asio::awaitable<void> {
    const auto one =
        std::make_unique<attempt>(context_, state_, transport_, origins_, call_, choose());
    co_await one->run(writer_);
  };
  fakes::run(context_, task());
  const auto stated = state_.endpoints.outcomes_to_gossip(std::chrono::steady_clock::now());
  EXPECT_EQ(stated.at(endpoint_id("i-1")), load::outcome_counts{.failed = 1});
}

} // namespace
} // namespace wisteriaflow::relay
