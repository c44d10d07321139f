#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "gateway_system/soak_run.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds leave_duration{4'500};
// Time until an endpoint that has announced a rate limit removes it.
constexpr milliseconds rate_limit_duration{9'000};
// After a fault has ended, a daemon reads the store or receives a peer's report within this time.
constexpr milliseconds update_delay{1'500};
// Requests that are not streams take up to this time at their endpoint.
constexpr milliseconds longest_work{150};

} // namespace

std::string soak_run::random_endpoint()
{
  auto it = fleet_.endpoints().begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random_() % fleet_.endpoints().size()));
  return it->first;
}

asio::awaitable<void> soak_run::silence_endpoints()
{
  const auto time = random_fault_duration();
  for (const auto& [id, each] : fleet_.endpoints()) {
    each.endpoint->fall_silent(steady_clock::now() + time);
  }
  co_await sleep(time);
}

asio::awaitable<void> soak_run::drain_endpoint()
{
  auto id = random_endpoint();
  add_endpoint();
  co_await leave(std::move(id));
}

asio::awaitable<void> soak_run::leave(std::string id)
{
  fleet_.write_endpoint(fleet_.endpoints().at(id), "draining");
  const auto announced_at = steady_clock::now();
  auto& leaving = fleet_.retire(id);
  co_await sleep(leave_duration);
  if (leaving.received_after(announced_at + gateway_fleet::endpoint_notice) > 0 &&
      updates_disturbed_until_ + update_delay < announced_at) {
    calls_.add_violation(id + " received requests after its notice period");
  }
  fleet_.store().erase("servers", id);
  leaving.close();
}

asio::awaitable<void> soak_run::announce_endpoint_leaving()
{
  const auto id = random_endpoint();
  add_endpoint();
  auto& leaving = fleet_.retire(id);
  leaving.announce_leaving();
  co_await sleep(leave_duration);
  fleet_.store().erase("servers", id);
  leaving.close();
}

asio::awaitable<void> soak_run::limit_endpoint_rate()
{
  constexpr std::array<double, 3> rates = {0.5, 2, 5};
  const auto id = random_endpoint();
  fleet_.endpoints().at(id).endpoint->announce_rate_limit(rates.at(random_() % rates.size()));
  co_await sleep(rate_limit_duration);
  if (const auto it = fleet_.endpoints().find(id); it != fleet_.endpoints().end()) {
    it->second.endpoint->announce_rate_limit(0);
  }
}

asio::awaitable<void> soak_run::crash_endpoint()
{
  co_await replace_crashed(random_endpoint());
}

asio::awaitable<void> soak_run::replace_crashed(std::string id)
{
  fleet_.crash(id);
  add_endpoint();
  co_await sleep(random_fault_duration());
  fleet_.store().erase("servers", id);
}

void soak_run::add_endpoint()
{
  add_endpoint(versions_.at(random_() % versions_.size()));
}

void soak_run::add_endpoint(const std::string& version)
{
  auto& endpoint = *fleet_.add_endpoint(version).endpoint;
  endpoint.set_pace({.longest = longest_work});
  endpoint.on_crash_request = [this, id = endpoint.id()] {
    if (fleet_.endpoints().contains(id)) {
      log_event(id + " crashes on a request");
      asio::co_spawn(context_, replace_crashed(id), asio::detached);
    }
  };
}

asio::awaitable<void> soak_run::make_endpoint_misbehave()
{
  constexpr std::array<misbehaviour, 6> kinds = {misbehaviour::sheds,  misbehaviour::pauses,
                                                 misbehaviour::fails,  misbehaviour::cuts,
                                                 misbehaviour::stalls, misbehaviour::is_slow};
  const auto id = random_endpoint();
  fleet_.endpoints().at(id).endpoint->misbehave(kinds.at(random_() % kinds.size()));
  co_await sleep(random_fault_duration());
  if (const auto it = fleet_.endpoints().find(id); it != fleet_.endpoints().end()) {
    it->second.endpoint->misbehave(misbehaviour::none);
  }
}

} // namespace wisteriaflow::gateway_system_tests
