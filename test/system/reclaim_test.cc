// Tests that an accepted request survives the announced reclaim of its endpoint, and what happens
// to it if the endpoint dies without a notice.

#include <thread>
#include <vector>

#include "system/fleet_fixture.h"

namespace wisteriaflow::system_tests {
namespace {

constexpr int notice_ms = 1'500;

class ReclaimTest : public fleet_fixture {
 protected:
  static completion_options long_answer(const std::string& prompt)
  {
    return {.prompt = prompt, .max_tokens = 250};
  }

  // Waits until the announced time of the reclaim and kills the instances.
  void reclaim(const std::vector<std::string>& ids)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(notice_ms));
    for (const auto& id : ids) {
      f.kill(id);
    }
  }
};

TEST_F(ReclaimTest, StreamGoesOnWhenItsEngineIsReclaimed)
{
  const auto options = long_answer("mandate bundle");
  const auto stream = start_stream("d1", options);
  const auto engine = busy_engine();
  f.send_reclaim_notice(engine, notice_ms);
  reclaim({engine});
  expect_complete(stream->answer.get(), options);
}

TEST_F(ReclaimTest, ManyStreamsGoOnWhenAZoneIsReclaimed)
{
  std::vector<completion_options> requests;
  std::vector<std::unique_ptr<running_stream>> streams;
  for (int i = 0; i < 12; ++i) {
    requests.push_back(long_answer("floor report " + std::to_string(i)));
    streams.push_back(start_stream(f.daemons().at(i % 3), requests.back()));
  }
  f.send_zone_reclaim_notice("zone-b", notice_ms);
  reclaim({"engine-b", "engine-c"});
  for (std::size_t i = 0; i < streams.size(); ++i) {
    expect_complete(streams[i]->answer.get(), requests[i]);
  }
}

TEST_F(ReclaimTest, StreamsGoOnThroughASecondWave)
{
  std::vector<completion_options> requests;
  std::vector<std::unique_ptr<running_stream>> streams;
  for (int i = 0; i < 9; ++i) {
    requests.push_back(long_answer("guest " + std::to_string(i)));
    streams.push_back(start_stream(f.daemons().at(i % 3), requests.back()));
  }
  f.send_reclaim_notice("engine-b", notice_ms);
  std::this_thread::sleep_for(std::chrono::milliseconds(notice_ms / 2));
  f.send_reclaim_notice("engine-c", notice_ms);
  std::this_thread::sleep_for(std::chrono::milliseconds(notice_ms / 2));
  f.kill("engine-b");
  std::this_thread::sleep_for(std::chrono::milliseconds(notice_ms / 2));
  f.kill("engine-c");
  for (std::size_t i = 0; i < streams.size(); ++i) {
    expect_complete(streams[i]->answer.get(), requests[i]);
  }
}

TEST_F(ReclaimTest, NonIdempotentGenerationSurvivesAnAnnouncedReclaim)
{
  auto options = long_answer("transfer notice");
  options.idempotent = false;
  options.key = make_key();
  const auto stream = start_stream("d1", options);
  const auto engine = busy_engine();
  f.send_reclaim_notice(engine, notice_ms);
  std::this_thread::sleep_for(std::chrono::milliseconds(notice_ms));
  EXPECT_EQ(f.runs_of(options.key), 1); // read while the first engine still answers
  f.kill(engine);
  expect_complete(stream->answer.get(), options);
  EXPECT_EQ(f.runs_of(options.key), 0) << "run from the start at another engine";
}

TEST_F(ReclaimTest, IdempotentStreamGoesOnWhenItsEngineDiesUnannounced)
{
  const auto options = long_answer("incident log");
  const auto stream = start_stream("d1", options);
  f.kill(busy_engine());
  expect_complete(stream->answer.get(), options);
}

TEST_F(ReclaimTest, NonIdempotentRequestIsUnknownWhenItsEndpointDiesUnannounced)
{
  auto options = long_answer("transfer notice");
  options.idempotent = false;
  options.key = make_key();
  const auto stream = start_stream("d1", options);
  f.kill(busy_engine());
  const auto got = stream->answer.get();
  EXPECT_NE(got.error.find("outcome_unknown"), std::string::npos) << got.error;
  const auto repeated = follow_stream(f.address_of("d2"), completion_request(options));
  EXPECT_NE(repeated.outcome, "refused-not-run") << repeated.error;
  EXPECT_LE(f.runs_of(options.key), 0)
      << "run again at another engine"; // the run of the dead engine cannot be read
}

} // namespace
} // namespace wisteriaflow::system_tests
