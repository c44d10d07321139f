#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "fakes/fake_endpoint.h"
#include "fakes/free_addresses.h"
#include "fakes/run.h"
#include "relay/endpoint_probe.h"

namespace wisteriaflow::relay {
namespace {

class EndpointProbeTest : public testing::Test {
 protected:
  probe_verdict ask(const http::socket_address& address)
  {
    auto out = probe_verdict::unknown;
    auto task = [&]() -> boost::asio::awaitable<void> { out = co_await probe_.probe(address); };
    fakes::run(context_, task());
    return out;
  }

  boost::asio::io_context context_;
  endpoint_probe probe_{context_};
};

TEST_F(EndpointProbeTest, ReportsAnEndpointThatListens)
{
  const fakes::fake_endpoint endpoint(context_, "i-1");
  EXPECT_EQ(ask(endpoint.address()), probe_verdict::listens);
}

TEST_F(EndpointProbeTest, ReportsAnEndpointThatHasEnded)
{
  fakes::fake_endpoint endpoint(context_, "i-1");
  const auto address = endpoint.address();
  endpoint.close();
  EXPECT_EQ(ask(address), probe_verdict::ended);
}

TEST_F(EndpointProbeTest, ReportsUnknownForAnInvalidAddress)
{
  EXPECT_EQ(ask({.host = "nowhere", .port = 1}), probe_verdict::unknown);
}

TEST_F(EndpointProbeTest, GivesConcurrentProbesTheSameResult)
{
  const auto address = fakes::free_addresses(fakes::process_loopback_host(200), 1).front();
  std::vector<probe_verdict> verdicts;
  for (int i = 0; i < 64; ++i) {
    boost::asio::co_spawn(
        context_,
        [&]() -> boost::asio::awaitable<void> {
          verdicts.push_back(co_await probe_.probe(address));
        },
        boost::asio::detached);
  }
  fakes::run_until(context_, [&] { return verdicts.size() == 64; });
  EXPECT_EQ(verdicts, std::vector(64, probe_verdict::ended));
}

TEST_F(EndpointProbeTest, OpensANewConnectionForEachLaterProbe)
{
  fakes::fake_endpoint endpoint(context_, "i-1");
  const auto address = endpoint.address();
  EXPECT_EQ(ask(address), probe_verdict::listens);
  endpoint.close();
  EXPECT_EQ(ask(address), probe_verdict::ended);
}

// An answer may end while the probe for another one's end is under way, and its process with it.
TEST_F(EndpointProbeTest, DoesNotTellFromAnEarlierProbeThatTheEndpointStillListens)
{
  fakes::fake_endpoint endpoint(context_, "i-1");
  const auto address = endpoint.address();
  std::vector<probe_verdict> verdicts;
  for (int i = 0; i < 2; ++i) {
    boost::asio::co_spawn(
        context_,
        [&]() -> boost::asio::awaitable<void> {
          verdicts.push_back(co_await probe_.probe(address));
          endpoint.close();
        },
        boost::asio::detached);
  }
  fakes::run_until(context_, [&] { return verdicts.size() == 2; });
  EXPECT_EQ(verdicts, (std::vector{probe_verdict::listens, probe_verdict::ended}));
}

} // namespace
} // namespace wisteriaflow::relay
