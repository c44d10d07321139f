// Tests of the fleet during an outage of the object API.

#include "system/fleet_fixture.h"

namespace wisteriaflow::system_tests {
namespace {

using StoreOutageTest = fleet_fixture;

TEST_F(StoreOutageTest, RefusesAFreshNonIdempotentKeyAsNotRun)
{
  for (const auto* kind : {"refuse", "hang"}) {
    f.set_object_api_faults(std::string(R"({"outage":")") + kind + "\"}");
    for (int i = 0; i < 6; ++i) {
      const auto key = make_key();
      const auto got = send_delivery("d1", key).get();
      EXPECT_EQ(got.outcome(), "refused-not-run") << kind << " " << got.status << " " << got.body;
      EXPECT_FALSE(http::find_header(got.fields, "Retry-After").empty());
      EXPECT_EQ(f.runs_of(key), 0) << key;
    }
  }
}

TEST_F(StoreOutageTest, NeverReportsNotRunForAKeyThatRan)
{
  const auto key = make_key();
  EXPECT_EQ(send_delivery("d1", key).get().outcome(), "answered");
  f.set_object_api_faults(R"({"outage":"refuse"})");
  for (const auto& d : f.daemons()) {
    const auto got = send_delivery(d, key).get();
    EXPECT_NE(got.outcome(), "refused-not-run") << d << " " << got.body;
  }
  EXPECT_EQ(f.runs_of(key), 1);
}

TEST_F(StoreOutageTest, GoesOnServingIdempotentRequests)
{
  f.set_object_api_faults(R"({"outage":"hang"})");
  const completion_options options{.max_tokens = 10};
  for (const auto& d : f.daemons()) {
    expect_complete(follow_stream(f.address_of(d), completion_request(options)), options);
  }
}

TEST_F(StoreOutageTest, RunsAKeyThatWasRefusedOnceTheStoreIsBack)
{
  f.set_object_api_faults(R"({"outage":"refuse"})");
  const auto key = make_key();
  EXPECT_EQ(send_delivery("d1", key).get().outcome(), "refused-not-run");
  f.set_object_api_faults(R"({"outage":"none"})");
  EXPECT_TRUE(eventually([&] { return send_delivery("d2", key).get().outcome() == "answered"; }));
  EXPECT_EQ(f.runs_of(key), 1);
}

TEST_F(StoreOutageTest, NeverReportsNotRunWhenADaemonDiesDuringIt)
{
  const auto key = make_key();
  EXPECT_EQ(send_delivery("d3", key).get().outcome(), "answered");
  f.set_object_api_faults(R"({"outage":"refuse"})");
  f.kill("d3");
  const auto during = send_delivery("d1", key).get();
  EXPECT_NE(during.outcome(), "refused-not-run") << during.body;
  f.set_object_api_faults(R"({"outage":"none"})");
  const auto after = send_delivery("d2", key).get();
  EXPECT_NE(after.outcome(), "refused-not-run") << after.body;
  EXPECT_EQ(f.runs_of(key), 1);
}

} // namespace
} // namespace wisteriaflow::system_tests
