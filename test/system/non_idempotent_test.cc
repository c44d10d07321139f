// Tests that a non-idempotent request runs at most once, and that "not run" is never reported for
// one that has run.

#include <thread>
#include <vector>

#include "system/fleet_fixture.h"

namespace wisteriaflow::system_tests {
namespace {

using NonIdempotentTest = fleet_fixture;

// Longer than a silent daemon remains a member of the fleet.
constexpr std::chrono::milliseconds past_member_timeout{4'000};

TEST_F(NonIdempotentTest, RunsOnceWhenRepeatedAtAnotherDaemon)
{
  const auto key = make_key();
  const auto first = send_delivery("d1", key).get();
  const auto second = send_delivery("d2", key).get();
  EXPECT_EQ(first.outcome(), "answered") << first.body;
  EXPECT_EQ(second.body, first.body);
  EXPECT_EQ(f.runs_of(key), 1);
}

TEST_F(NonIdempotentTest, RunsOnceWhenSentToThreeDaemonsAtOnce)
{
  for (int i = 0; i < 10; ++i) {
    const auto key = make_key();
    std::vector<std::future<reply>> sent;
    for (const auto& d : f.daemons()) {
      sent.push_back(send_delivery(d, key));
    }
    for (auto& each : sent) {
      const auto got = each.get();
      EXPECT_EQ(got.outcome(), "answered") << got.status << " " << got.body;
    }
    EXPECT_EQ(f.runs_of(key), 1) << key;
  }
}

TEST_F(NonIdempotentTest, GenerationRunsOnceWhenRepeatedAtAnotherDaemon)
{
  const completion_options options{.idempotent = false, .key = make_key()};
  const auto first = follow_stream(f.address_of("d1"), completion_request(options));
  const auto second = follow_stream(f.address_of("d3"), completion_request(options));
  expect_complete(first, options);
  EXPECT_EQ(second.text, first.text) << second.error;
  EXPECT_EQ(f.runs_of(options.key), 1);
}

TEST_F(NonIdempotentTest, IsNotRunAgainAfterItsExecutorWasKilled)
{
  const auto key = make_key();
  auto lost = send_delivery("d1", key, "/slow");
  await_run(key);
  f.kill("d1");
  EXPECT_FALSE(lost.get().is_complete);
  const auto at_once = send_delivery("d2", key, "/slow").get();
  EXPECT_NE(at_once.outcome(), "refused-not-run") << at_once.body;
  std::this_thread::sleep_for(past_member_timeout);
  const auto later = send_delivery("d3", key, "/slow").get();
  EXPECT_EQ(later.outcome(), "outcome-unknown") << later.status << " " << later.body;
  EXPECT_EQ(f.runs_of(key), 1);
}

TEST_F(NonIdempotentTest, IsNotRunAgainWhenItsExecutorIsPausedPastTheMemberTimeout)
{
  const auto key = make_key();
  auto first = send_delivery("d1", key, "/slow");
  await_run(key);
  f.signal("d1", SIGSTOP);
  std::this_thread::sleep_for(past_member_timeout);
  const auto meanwhile = send_delivery("d2", key, "/slow").get();
  EXPECT_NE(meanwhile.outcome(), "refused-not-run") << meanwhile.body;
  f.signal("d1", SIGCONT);
  EXPECT_NE(first.get().outcome(), "refused-not-run");
  EXPECT_EQ(f.runs_of(key), 1);
}

TEST_F(NonIdempotentTest, RunsOnceWhenTheDaemonIsPausedBeforeItDispatches)
{
  // The store is slow, so that the pause of the daemon falls in the time of the claim writes.
  f.set_object_api_faults(R"({"delay_ms":150})");
  std::vector<std::string> keys;
  std::vector<std::future<reply>> sent;
  for (int i = 0; i < 16; ++i) {
    keys.push_back(make_key());
    sent.push_back(send_delivery("d1", keys.back()));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  f.signal("d1", SIGSTOP);
  std::this_thread::sleep_for(past_member_timeout);
  f.set_object_api_faults(R"({"delay_ms":0})");
  std::vector<std::future<reply>> repeated;
  repeated.reserve(keys.size());
  for (const auto& key : keys) {
    repeated.push_back(send_delivery("d2", key));
  }
  f.signal("d1", SIGCONT);
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const auto first = sent[i].get();
    const auto second = repeated[i].get();
    const auto runs = f.runs_of(keys[i]);
    EXPECT_LE(runs, 1) << keys[i];
    const bool both_refused =
        first.outcome() == "refused-not-run" && second.outcome() == "refused-not-run";
    EXPECT_FALSE(both_refused && runs > 0) << keys[i] << " ran though refused as not run";
  }
}

TEST_F(NonIdempotentTest, RunsOnceWhenTheOwnersOfItsShardAreKilled)
{
  // The keys are spread over all shards, and d3 owns about a third of these.
  std::vector<std::string> keys;
  for (int i = 0; i < 24; ++i) {
    keys.push_back(make_key());
    const auto got = send_delivery("d1", keys.back()).get();
    EXPECT_EQ(got.outcome(), "answered") << got.status << " " << got.body;
  }
  f.kill("d3");
  for (const auto& key : keys) {
    const auto got = send_delivery("d2", key).get();
    EXPECT_NE(got.outcome(), "refused-not-run") << got.body;
    EXPECT_EQ(f.runs_of(key), 1) << key;
  }
}

TEST_F(NonIdempotentTest, FreshKeysAreServedAgainAfterAShardOwnerWasKilled)
{
  f.kill("d3");
  for (int i = 0; i < 16; ++i) {
    const auto key = make_key();
    const bool served =
        eventually([&] { return send_delivery("d1", key).get().outcome() == "answered"; });
    EXPECT_TRUE(served) << key;
    EXPECT_EQ(f.runs_of(key), 1) << key;
  }
}

TEST_F(NonIdempotentTest, RunsOnceWhenAnswersOfTheStoreAreLost)
{
  f.set_object_api_faults(R"({"lose_answer_probability":0.5,"seed":7})");
  for (int i = 0; i < 12; ++i) {
    const auto key = make_key();
    const auto first = send_delivery("d1", key).get();
    if (first.outcome() == "refused-not-run") {
      EXPECT_EQ(f.runs_of(key), 0) << key;
    }
    const auto second = send_delivery("d2", key).get();
    const auto runs = f.runs_of(key);
    EXPECT_LE(runs, 1) << key;
    if (runs == 1) {
      EXPECT_NE(second.outcome(), "refused-not-run") << second.body;
    }
  }
}

} // namespace
} // namespace wisteriaflow::system_tests
