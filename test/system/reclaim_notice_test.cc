// Tests that an endpoint gets no new requests from two seconds after its reclaim notice on.

#include <thread>
#include <vector>

#include "system/fleet_fixture.h"

namespace wisteriaflow::system_tests {
namespace {

constexpr std::int64_t new_work_grace_ms = 2'000;
constexpr int notice_ms = 20'000; // longer than the test
constexpr std::chrono::seconds observation_time{4};

class LeavingTest : public fleet_fixture {
 protected:
  // Sends short requests to `daemons` in turn for `observation_time`. Expects that all are answered
  // and that `engine` receives none from two seconds after `noticed_ms`, the Unix time of its
  // notice.
  void expect_no_new_work(const std::string& engine, std::int64_t noticed_ms,
                          const std::vector<std::string>& daemons)
  {
    const auto end = std::chrono::steady_clock::now() + observation_time;
    int n = 0;
    while (std::chrono::steady_clock::now() < end) {
      const completion_options options{.prompt = "q" + std::to_string(n), .max_tokens = 2};
      const auto got =
          follow_stream(f.address_of(daemons.at(n % daemons.size())), completion_request(options));
      expect_complete(got, options);
      ++n;
    }
    EXPECT_GT(n, 0);
    EXPECT_EQ(f.received_since(engine, noticed_ms + new_work_grace_ms), 0)
        << "of " << n << " requests";
  }
};

TEST_F(LeavingTest, GetsNoNewWork)
{
  const auto noticed = unix_ms_now();
  f.send_reclaim_notice("engine-a", notice_ms);
  expect_no_new_work("engine-a", noticed, f.daemons());
}

TEST_F(LeavingTest, GetsNoNewWorkWhileTheListLags)
{
  f.set_cloud_api_settings(R"({"list_lag_ms":30000})");
  const auto noticed = unix_ms_now();
  f.send_reclaim_notice("engine-a", notice_ms);
  expect_no_new_work("engine-a", noticed, f.daemons());
}

TEST_F(LeavingTest, GetsNoNewWorkWhileTheStoreIsDown)
{
  f.set_object_api_faults(R"({"outage":"hang"})");
  const auto noticed = unix_ms_now();
  f.send_reclaim_notice("engine-a", notice_ms);
  expect_no_new_work("engine-a", noticed, f.daemons());
}

TEST_F(LeavingTest, GetsNoNewWorkWhenANotifiedDaemonDies)
{
  const auto noticed = unix_ms_now();
  f.send_reclaim_notice("engine-a", notice_ms);
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  f.kill("d1");
  expect_no_new_work("engine-a", noticed, {"d2", "d3"});
}

} // namespace
} // namespace wisteriaflow::system_tests
