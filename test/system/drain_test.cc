// Tests that a draining daemon interrupts no request: callers continue at a peer by plain HTTP.

#include <vector>

#include "system/fleet_fixture.h"

namespace wisteriaflow::system_tests {
namespace {

class DrainTest : public fleet_fixture {
 protected:
  static completion_options long_answer(const std::string& prompt)
  {
    return {.prompt = prompt, .max_tokens = 250};
  }

  // Sends SIGTERM and waits until the daemon has exited.
  void drain(const std::string& id)
  {
    f.signal(id, SIGTERM);
    EXPECT_TRUE(f.at(id).running->await_exit()) << id << " did not exit with status 0";
  }
};

TEST_F(DrainTest, StreamGoesOnAtAPeerWhenItsDaemonIsTerminated)
{
  const auto options = long_answer("where is the pool");
  const auto stream = start_stream("d1", options);
  drain("d1");
  const auto got = stream->answer.get();
  expect_complete(got, options);
  EXPECT_GE(got.redirects, 1);
}

TEST_F(DrainTest, PlainAnswerIsFetchedFromAPeerWhenItsDaemonIsTerminated)
{
  auto options = long_answer("where is the pool");
  options.stream = false;
  auto answer = std::async(std::launch::async, [&] {
    return call_following_redirects(f.address_of("d1"), completion_request(options));
  });
  EXPECT_TRUE(eventually([&] { return !busy_engine().empty(); }));
  drain("d1");
  const auto got = answer.get();
  EXPECT_EQ(got.outcome(), "answered") << got.status << " " << got.body;
  EXPECT_NE(got.body.find(expected_text(options)), std::string::npos) << got.body;
}

TEST_F(DrainTest, StreamGoesOnWhenTheReceivingPeerDrainsToo)
{
  const auto options = long_answer("a towel, please");
  const auto stream = start_stream("d1", options);
  f.signal("d1", SIGTERM);
  f.signal("d2", SIGTERM);
  const auto got = stream->answer.get();
  expect_complete(got, options);
}

TEST_F(DrainTest, StreamGoesOnWhenThePeerThatTookItOverIsTerminated)
{
  const auto options = long_answer("a second towel, please");
  const auto stream = start_stream("d1", options);
  drain("d1");
  const auto holder = f.metric("d2", "wisteriaflow_requests_in_flight") > 0 ? "d2" : "d3";
  drain(holder);
  expect_complete(stream->answer.get(), options);
}

TEST_F(DrainTest, RollingRestartInterruptsNoStream)
{
  std::vector<completion_options> requests;
  std::vector<std::unique_ptr<running_stream>> streams;
  for (int i = 0; i < 9; ++i) {
    requests.push_back(long_answer("room " + std::to_string(i)));
    streams.push_back(start_stream(f.daemons().at(i % 3), requests.back()));
  }
  for (const auto& id : f.daemons()) {
    const auto zone = f.at(id).zone;
    drain(id);
    f.start_daemon(id, zone);
    f.await_ready(endpoints);
  }
  for (std::size_t i = 0; i < streams.size(); ++i) {
    expect_complete(streams[i]->answer.get(), requests[i]);
  }
}

TEST_F(DrainTest, NonIdempotentCallRunsOnceWhenItsDaemonIsTerminated)
{
  const auto key = make_key();
  auto first = send_delivery("d1", key, "/slow");
  await_run(key);
  drain("d1");
  const auto got = first.get();
  EXPECT_EQ(got.outcome(), "answered") << got.status << " " << got.body;
  EXPECT_EQ(f.runs_of(key), 1);
}

TEST_F(DrainTest, KeptAnswerIsFoundAtAPeerAfterItsDaemonLeft)
{
  const auto key = make_key();
  const auto first = send_delivery("d1", key).get();
  EXPECT_EQ(first.outcome(), "answered");
  drain("d1");
  const auto second = send_delivery("d2", key).get();
  EXPECT_EQ(second.body, first.body) << second.status;
  EXPECT_EQ(f.runs_of(key), 1);
}

TEST_F(DrainTest, ADrainingDaemonDoesNotReportNotRunForAKeyThatRanElsewhere)
{
  const auto key = make_key();
  EXPECT_EQ(send_delivery("d1", key).get().outcome(), "answered");
  const auto stream = start_stream("d2", long_answer("keeps d2 busy"));
  f.signal("d2", SIGTERM);
  EXPECT_TRUE(
      eventually([&] { return call(f.address_of("d2"), {.target = "/readyz"}).status == 503; }));
  const auto got = send_delivery("d2", key).get();
  EXPECT_NE(got.outcome(), "refused-not-run") << got.body;
  EXPECT_EQ(f.runs_of(key), 1);
  stream->answer.wait();
}

TEST_F(DrainTest, ReclaimNoticeDrainsADaemon)
{
  const auto options = long_answer("a third towel, please");
  const auto stream = start_stream("d1", options);
  f.send_reclaim_notice("d1", 5'000);
  EXPECT_TRUE(f.at("d1").running->await_exit());
  expect_complete(stream->answer.get(), options);
}

} // namespace
} // namespace wisteriaflow::system_tests
