#include "gateway_system/soak_run.h"

#include <iostream>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int daemons_at_start = 4;
constexpr int endpoints_at_start = 6;
constexpr int callers = 24;
// In runs of one of this many seeds, one version serves alone until a new one is released.
constexpr std::uint64_t seeds_per_single_version = 3;
constexpr milliseconds start_time{3'000};
constexpr milliseconds max_fault_duration{3'000};
// Daemons must serve calls again within this time after the last fault.
constexpr milliseconds recovery_time{15'000};
constexpr milliseconds poll_period{50};
// So few that odd names stand at the ends of pages.
constexpr std::size_t objects_in_a_page = 3;
constexpr milliseconds odd_entry_period{400};

} // namespace

soak_run::soak_run(asio::io_context& context, soak_options options)
    : context_(context), options_(std::move(options)), random_(options_.seed),
      power_random_(options_.seed), name_random_(options_.seed),
      versions_(options_.seed % seeds_per_single_version == 2
                    ? std::vector<std::string>{"v1"}
                    : std::vector<std::string>{"v1", "v2"}),
      last_version_(versions_.size()), fleet_(context), calls_(context, fleet_, random_())
{
  if (!options_.daemon_program.empty()) {
    fleet_.set_program(options_.daemon_program);
  }
  fleet_.store().list_page_size = objects_in_a_page;
  for (int i = 0; i < endpoints_at_start; ++i) {
    add_endpoint(versions_.at(static_cast<std::size_t>(i) % versions_.size()));
  }
  for (int i = 0; i < daemons_at_start; ++i) {
    start_daemon();
  }
}

asio::awaitable<void> soak_run::run(milliseconds time)
{
  co_await sleep(start_time);
  for (int i = 0; i < callers; ++i) {
    asio::co_spawn(context_, calls_.send_calls_until_stopped(), asio::detached);
  }
  asio::co_spawn(context_, calls_.watch_configuration(), asio::detached);
  asio::co_spawn(context_, calls_.send_crash_requests_until_stopped(), asio::detached);
  asio::co_spawn(context_, calls_.send_crash_parts_until_stopped(), asio::detached);
  const auto end = steady_clock::now() + time;
  asio::co_spawn(context_, lose_power_until(end), asio::detached);
  asio::co_spawn(context_, write_odd_entries_until(end), asio::detached);
  while (steady_clock::now() < end) {
    inject_random_fault();
    co_await sleep(milliseconds(100 + random_() % 900));
  }
  while (active_faults_ > 0) {
    co_await sleep(poll_period);
  }
  co_await check_recovery();
  calls_.stop();
  while (calls_.active() > 0) {
    co_await sleep(poll_period);
  }
}

asio::awaitable<void> soak_run::write_odd_entries_until(mono_time end)
{
  constexpr std::size_t max_size = 20;
  constexpr unsigned max_byte = 255;
  std::uniform_int_distribution<std::size_t> drawn_size(1, max_size);
  std::uniform_int_distribution<unsigned> drawn_byte(0, max_byte);
  while (steady_clock::now() < end) {
    std::string name = name_random_() % 2 == 0 ? "i-" : ""; // among the endpoints or anywhere
    for (auto n = drawn_size(name_random_); n > 0; --n) {
      name += static_cast<char>(drawn_byte(name_random_));
    }
    fleet_.store().put("servers", name + "%",
                       {{"service", "chat"},
                        {"address", "127.0.0.1:1"},
                        {"zone", "z"},
                        {"version", "v1"},
                        {"slots", 1},
                        {"state", "ready"}});
    co_await sleep(odd_entry_period);
  }
}

asio::awaitable<void> soak_run::sleep(milliseconds time)
{
  asio::steady_timer timer(context_, time);
  co_await timer.async_wait(asio::use_awaitable);
}

milliseconds soak_run::random_fault_duration()
{
  return milliseconds(200 + random_() % (max_fault_duration.count() - 200));
}

void soak_run::inject_random_fault()
{
  // Faults that keep daemons from learning of changes of the endpoints are rare, so that there
  // are undisturbed times between them, in which the endpoint notice is checked.
  static const std::vector<fault_kind> kinds = {
      {"kill a daemon", &soak_run::kill_daemon, 2},
      {"terminate a daemon", &soak_run::terminate_daemon, 3},
      {"terminate daemons in series", &soak_run::terminate_daemons_in_series, 1},
      {"all endpoints fall silent", &soak_run::silence_endpoints, 2},
      {"pause a daemon", &soak_run::pause_daemon, 1},
      {"an endpoint leaves", &soak_run::drain_endpoint, 4},
      {"an endpoint announces only in its answers that it leaves",
       &soak_run::announce_endpoint_leaving, 2},
      {"an endpoint announces a rate limit", &soak_run::limit_endpoint_rate, 3},
      {"an endpoint crashes", &soak_run::crash_endpoint, 2},
      {"an endpoint misbehaves", &soak_run::make_endpoint_misbehave, 4},
      {"network fault at an endpoint", &soak_run::disrupt_endpoint_connections, 4},
      {"network fault between a daemon and the store", &soak_run::disrupt_store_connections, 1},
      {"the store is unavailable", &soak_run::make_store_unavailable, 1},
      {"the store is restored from a copy", &soak_run::restore_store, 1},
      {"a new configuration", &soak_run::change_configuration, 2}};
  std::vector<double> weights;
  weights.reserve(kinds.size());
  for (const auto& each : kinds) {
    weights.push_back(each.weight);
  }
  std::discrete_distribution<std::size_t> drawn(weights.begin(), weights.end());
  const auto& kind = kinds.at(drawn(random_));
  log_event(kind.name);
  asio::co_spawn(context_, run_fault(kind.inject), asio::detached);
}

asio::awaitable<void> soak_run::run_fault(fault_action inject)
{
  ++active_faults_;
  co_await inject(*this);
  --active_faults_;
}

void soak_run::log_event(const std::string& what)
{
  const auto since = std::chrono::duration_cast<milliseconds>(steady_clock::now() - start_);
  std::cout << since.count() << " ms: " << what << std::endl;
}

asio::awaitable<void> soak_run::check_recovery()
{
  const auto limit = steady_clock::now() + recovery_time;
  for (const auto& [id, d] : fleet_.daemons()) {
    bool serves = d->has_ended || d->sigterm_at;
    // Each is asked once at least: one that does not serve uses up the time.
    for (bool in_time = true; !serves && in_time; in_time = steady_clock::now() < limit) {
      serves = co_await calls_.serves(*d);
    }
    if (!serves) {
      calls_.add_violation(id + " does not serve after the faults have ended");
    }
  }
}

} // namespace wisteriaflow::gateway_system_tests
