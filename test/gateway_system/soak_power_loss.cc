// Losses of power of all daemons beside a change of the endpoints' version. They guard against
// streams that callers resume afterwards and that are joined from two versions, because nothing
// that was stored tells which one began them, or refused although their version still serves.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "gateway_system/soak_run.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds shortest_time_to_first_loss{2'000};
constexpr milliseconds longest_time_to_first_loss{6'000};
constexpr milliseconds shortest_time_between_losses{6'000};
constexpr milliseconds longest_time_between_losses{15'000};
constexpr milliseconds shortest_loss{1'000};
constexpr milliseconds longest_loss{2'000};
// Callers that hold streams, and for how long before the loss.
constexpr int holding_callers = 32;
constexpr milliseconds holding_time{2'500};
// Endpoints are replaced from up to this long before the loss on.
constexpr milliseconds longest_lead{2'000};
constexpr milliseconds replacement_gap{250};

} // namespace

milliseconds soak_run::random_time(milliseconds shortest, milliseconds longest)
{
  std::uniform_int_distribution<std::int64_t> drawn(shortest.count(), longest.count());
  return milliseconds(drawn(power_random_));
}

asio::awaitable<void> soak_run::lose_power_until(mono_time end)
{
  co_await sleep(random_time(shortest_time_to_first_loss, longest_time_to_first_loss));
  while (steady_clock::now() < end) {
    co_await run_fault(&soak_run::lose_power);
    co_await sleep(random_time(shortest_time_between_losses, longest_time_between_losses));
  }
}

asio::awaitable<void> soak_run::lose_power()
{
  for (int i = 0; i < holding_callers; ++i) {
    asio::co_spawn(context_, calls_.hold_streams_until(steady_clock::now() + holding_time),
                   asio::detached);
  }
  const bool endpoints_lose_power = power_random_() % 2 == 0;
  const auto lead = endpoints_lose_power ? milliseconds{0} : random_time({}, longest_lead);
  co_await sleep(holding_time - lead);
  const auto replaced = release_version();
  if (!endpoints_lose_power) {
    asio::co_spawn(context_,
                   run_fault([replaced](soak_run& run) { return run.replace_in_series(replaced); }),
                   asio::detached);
    co_await sleep(lead);
  }
  log_event(endpoints_lose_power ? "all daemons and some endpoints lose power"
                                 : "all daemons lose power");
  const auto lost = fleet_.lose_power();
  if (endpoints_lose_power) {
    replace_at_once(replaced);
  }
  co_await sleep(random_time(shortest_loss, longest_loss));
  for (const auto* each : lost) {
    fleet_.restart_daemon(*each, options_for(each->id + "+"));
  }
  log_event("power is back");
}

std::vector<std::string> soak_run::release_version()
{
  const bool replaces_all = power_random_() % 2 == 0;
  const auto version = "v" + std::to_string(++last_version_);
  versions_ = replaces_all ? std::vector{version} : std::vector{versions_.back(), version};
  std::vector<std::string> out;
  std::size_t place = 0;
  for (const auto& [id, each] : fleet_.endpoints()) {
    if (replaces_all || ++place % 2 == 0) {
      out.push_back(id);
    }
  }
  log_event(version + " replaces " + std::to_string(out.size()) + " endpoints");
  return out;
}

asio::awaitable<void> soak_run::replace_in_series(std::vector<std::string> ids)
{
  for (const auto& id : ids) {
    if (fleet_.endpoints().contains(id)) {
      add_endpoint(versions_.back());
      asio::co_spawn(context_, run_fault([id](soak_run& run) { return run.leave(id); }),
                     asio::detached);
    }
    co_await sleep(replacement_gap);
  }
}

void soak_run::replace_at_once(const std::vector<std::string>& ids)
{
  for (const auto& id : ids) {
    if (fleet_.endpoints().contains(id)) {
      fleet_.crash(id);
      fleet_.store().erase("servers", id);
      add_endpoint(versions_.back());
    }
  }
}

} // namespace wisteriaflow::gateway_system_tests
