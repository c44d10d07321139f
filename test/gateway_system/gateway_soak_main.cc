// Runs a fleet of gateway daemons under random faults and compares the answers that callers
// received with the requests that endpoints ran.
//
//   gateway_soak --minutes=2 --seed=7
//
// Exits with status 1 if a guarantee was violated. Clock steps are not among the faults, because
// they need privileges on the machine.

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <iostream>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway_system/gateway_fleet.h"
#include "gateway_system/soak_calls.h"

ABSL_FLAG(double, minutes, 1.0, "how long faults are made");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults and of the callers");
ABSL_FLAG(std::string, logs, "", "folder for the daemons' output; empty: it is not kept");

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int daemons_at_start = 4;
constexpr int endpoints_at_start = 6;
// Versions of the endpoints' software. Every endpoint has one of them, in no order.
constexpr std::array<const char*, 2> versions = {"v1", "v2"};
constexpr int callers = 24;
constexpr milliseconds start_time{3'000};
// The effects of a fault last this much longer than the fault: a daemon needs new reports from its
// peers, and calls that were affected run until their deadline.
constexpr milliseconds fault_aftermath{4'000};
constexpr milliseconds max_fault_duration{3'000};
// Daemons must serve calls again within this time after the last fault.
constexpr milliseconds recovery_time{15'000};
constexpr milliseconds leave_duration{4'500};
// Time until an endpoint that has announced a rate limit removes it.
constexpr milliseconds rate_limit_duration{9'000};
// After a fault has ended, a daemon reads the store or receives a peer's report within this time.
constexpr milliseconds update_delay{1'500};
constexpr milliseconds poll_period{50};
// Daemons that receive SIGTERM in one series, and the time between two of them.
constexpr int daemons_in_series = 3;
constexpr milliseconds series_gap{300};
// Callers that use a daemon from before its SIGTERM until its process is gone.
constexpr int lasting_callers = 16;
constexpr milliseconds time_to_open_connections{100};
// Requests that are not streams take up to this time at their endpoint.
constexpr milliseconds longest_work{150};
constexpr std::size_t log_tail_bytes = 500; // shown of a failed daemon's log

class soak {
 public:
  // `log_folder` receives the daemons' output; if it is empty, the output is not kept.
  soak(asio::io_context& context, std::uint64_t seed, std::string log_folder)
      : context_(context), random_(seed), log_folder_(std::move(log_folder)), fleet_(context),
        calls_(context, fleet_, random_())
  {
    for (int i = 0; i < endpoints_at_start; ++i) {
      add_endpoint(versions.at(static_cast<std::size_t>(i) % versions.size()));
    }
    for (int i = 0; i < daemons_at_start; ++i) {
      start_daemon();
    }
  }

  asio::awaitable<void> run(milliseconds time)
  {
    co_await sleep(start_time);
    for (int i = 0; i < callers; ++i) {
      asio::co_spawn(context_, calls_.send_calls_until_stopped(), asio::detached);
    }
    asio::co_spawn(context_, calls_.watch_configuration(), asio::detached);
    asio::co_spawn(context_, calls_.send_crash_requests_until_stopped(), asio::detached);
    asio::co_spawn(context_, calls_.send_crash_parts_until_stopped(), asio::detached);
    const auto end = steady_clock::now() + time;
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

  soak_result check_results() { return calls_.check_results(); }

 private:
  using fault_action = std::function<asio::awaitable<void>(soak&)>;

  struct fault_kind {
    const char* name;
    fault_action inject;
    double weight; // relative frequency
  };

  asio::awaitable<void> sleep(milliseconds time)
  {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  milliseconds random_fault_duration()
  {
    return milliseconds(200 + random_() % (max_fault_duration.count() - 200));
  }

  void inject_random_fault()
  {
    // Faults that keep daemons from learning of changes of the endpoints are rare, so that there
    // are undisturbed times between them, in which the endpoint notice is checked.
    static const std::vector<fault_kind> kinds = {
        {"kill a daemon", &soak::kill_daemon, 2},
        {"terminate a daemon", &soak::terminate_daemon, 3},
        {"terminate daemons in series", &soak::terminate_daemons_in_series, 1},
        {"all endpoints fall silent", &soak::silence_endpoints, 2},
        {"pause a daemon", &soak::pause_daemon, 1},
        {"an endpoint leaves", &soak::drain_endpoint, 4},
        {"an endpoint announces only in its answers that it leaves",
         &soak::announce_endpoint_leaving, 2},
        {"an endpoint announces a rate limit", &soak::limit_endpoint_rate, 3},
        {"an endpoint crashes", &soak::crash_endpoint, 2},
        {"an endpoint misbehaves", &soak::make_endpoint_misbehave, 4},
        {"network fault at an endpoint", &soak::disrupt_endpoint_connections, 4},
        {"network fault between a daemon and the store", &soak::disrupt_store_connections, 1},
        {"the store is unavailable", &soak::make_store_unavailable, 1},
        {"the store is restored from a copy", &soak::restore_store, 1},
        {"a new configuration", &soak::change_configuration, 2}};
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

  asio::awaitable<void> run_fault(fault_action inject)
  {
    ++active_faults_;
    co_await inject(*this);
    --active_faults_;
  }

  void log_event(const std::string& what)
  {
    const auto since = std::chrono::duration_cast<milliseconds>(steady_clock::now() - start_);
    std::cout << since.count() << " ms: " << what << std::endl;
  }

  // Returns a random daemon that runs and has received no SIGTERM; null if only one is left.
  gateway_process* random_daemon()
  {
    std::vector<gateway_process*> running;
    for (const auto& [id, d] : fleet_.daemons()) {
      if (!d->has_ended && !d->sigterm_at) {
        running.push_back(d.get());
      }
    }
    return running.size() < 2 ? nullptr : running.at(random_() % running.size());
  }

  void start_daemon()
  {
    const auto number = std::to_string(fleet_.daemons().size() + 1);
    fleet_.start_daemon(
        {.log = log_folder_.empty() ? std::string() : log_folder_ + "/d" + number + ".log"});
  }

  std::string random_endpoint()
  {
    auto it = fleet_.endpoints().begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random_() % fleet_.endpoints().size()));
    return it->first;
  }

  // Records that the daemon gets no updates about the fleet for `time`.
  void disturb(gateway_process& d, milliseconds time)
  {
    const auto end = steady_clock::now() + time;
    d.disturbed_until = std::max(d.disturbed_until, end + fault_aftermath);
    updates_disturbed_until_ = std::max(updates_disturbed_until_, end);
  }

  asio::awaitable<void> kill_daemon()
  {
    auto* d = random_daemon();
    if (d == nullptr) {
      co_return;
    }
    d->disturbed_until = mono_time::max();
    d->has_ended = true;
    d->running->kill();
    co_await sleep(random_fault_duration());
    start_daemon();
  }

  asio::awaitable<void> terminate_daemon()
  {
    auto* d = random_daemon();
    if (d == nullptr) {
      co_return;
    }
    for (int i = 0; i < lasting_callers; ++i) {
      asio::co_spawn(context_, calls_.use_until_gone(*d), asio::detached);
    }
    co_await sleep(time_to_open_connections);
    if (d->has_ended || d->sigterm_at) {
      co_return;
    }
    d->sigterm_at = steady_clock::now();
    d->running->signal(SIGTERM);
    start_daemon();
    co_await sleep(random_fault_duration());
    d->running->signal(SIGHUP);
    d->running->signal(SIGTERM); // the drain goes on
    // A pause (SIGSTOP) may delay the exit, although the platform would kill the process even then.
    const auto limit = *d->sigterm_at + gateway_fleet::drain_grace;
    while (!d->running->exited_cleanly()) {
      if (limit < steady_clock::now() && d->is_undisturbed_since(*d->sigterm_at)) {
        calls_.add_violation(d->id + " has not exited within its drain grace period");
        d->running->kill();
        break;
      }
      co_await sleep(poll_period);
    }
    // A daemon without output received the signal before its handlers were installed; it has
    // accepted no calls then.
    const auto output = d->running->output();
    if (!d->running->exited_cleanly().value_or(false) && !output.empty()) {
      calls_.add_violation(d->id + " did not exit with status 0: " +
                           output.substr(output.size() - std::min(output.size(), log_tail_bytes)));
    }
    d->exited_at = steady_clock::now();
    d->has_ended = true;
  }

  asio::awaitable<void> terminate_daemons_in_series()
  {
    for (int i = 0; i < daemons_in_series; ++i) {
      asio::co_spawn(context_, run_fault(&soak::terminate_daemon), asio::detached);
      co_await sleep(series_gap);
    }
  }

  // They accept and run requests, but write nothing.
  asio::awaitable<void> silence_endpoints()
  {
    const auto time = random_fault_duration();
    for (const auto& [id, each] : fleet_.endpoints()) {
      each.endpoint->fall_silent(steady_clock::now() + time);
    }
    co_await sleep(time);
  }

  asio::awaitable<void> pause_daemon()
  {
    auto* d = random_daemon();
    if (d == nullptr) {
      co_return;
    }
    const auto time = random_fault_duration();
    disturb(*d, time);
    d->was_suspended = true;
    d->running->signal(SIGSTOP);
    co_await sleep(time);
    d->running->signal(SIGCONT);
  }

  asio::awaitable<void> drain_endpoint()
  {
    const auto id = random_endpoint();
    add_endpoint();
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

  // Only its answers say that the endpoint leaves; the store still lists it as serving.
  asio::awaitable<void> announce_endpoint_leaving()
  {
    const auto id = random_endpoint();
    add_endpoint();
    auto& leaving = fleet_.retire(id);
    leaving.announce_leaving();
    co_await sleep(leave_duration);
    fleet_.store().erase("servers", id);
    leaving.close();
  }

  asio::awaitable<void> limit_endpoint_rate()
  {
    constexpr std::array<double, 3> rates = {0.5, 2, 5};
    const auto id = random_endpoint();
    fleet_.endpoints().at(id).endpoint->announce_rate_limit(rates.at(random_() % rates.size()));
    co_await sleep(rate_limit_duration);
    if (const auto it = fleet_.endpoints().find(id); it != fleet_.endpoints().end()) {
      it->second.endpoint->announce_rate_limit(0);
    }
  }

  asio::awaitable<void> crash_endpoint() { co_await replace_crashed(random_endpoint()); }

  asio::awaitable<void> replace_crashed(std::string id)
  {
    fleet_.crash(id);
    add_endpoint();
    co_await sleep(random_fault_duration());
    fleet_.store().erase("servers", id);
  }

  void add_endpoint() { add_endpoint(versions.at(random_() % versions.size())); }

  // Adds an endpoint that crashes, and is replaced, when it runs a crash request.
  void add_endpoint(const std::string& version)
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

  asio::awaitable<void> make_endpoint_misbehave()
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

  asio::awaitable<void> disrupt_endpoint_connections()
  {
    const auto id = random_endpoint();
    const auto time = random_fault_duration();
    const auto now = steady_clock::now();
    fleet_.endpoints().at(id).endpoint->add_network_fault(now, now + time);
    std::function<fault_proxy*()> find_proxy = [this, id]() -> fault_proxy* {
      const auto it = fleet_.endpoints().find(id);
      return it == fleet_.endpoints().end() ? nullptr : it->second.proxy.get();
    };
    co_await apply_network_fault(std::move(find_proxy), time);
  }

  asio::awaitable<void> disrupt_store_connections()
  {
    auto* d = random_daemon();
    if (d == nullptr) {
      co_return;
    }
    const auto time = random_fault_duration();
    disturb(*d, time);
    std::function<fault_proxy*()> find_proxy = [d] { return d->store_proxy.get(); };
    co_await apply_network_fault(std::move(find_proxy), time);
  }

  // Injects a random fault for `time`. `find_proxy` returns null when the proxy no longer exists.
  asio::awaitable<void> apply_network_fault(std::function<fault_proxy*()> find_proxy,
                                            milliseconds time)
  {
    constexpr std::array<network_fault, 4> kinds = {network_fault::none, network_fault::delayed,
                                                    network_fault::silent,
                                                    network_fault::answers_lost};
    const auto kind = kinds.at(random_() % kinds.size());
    if (kind == network_fault::none) {
      find_proxy()->reset_connections();
      co_return;
    }
    find_proxy()->set(kind);
    co_await sleep(time);
    if (auto* proxy = find_proxy()) {
      proxy->set(network_fault::none);
    }
  }

  asio::awaitable<void> make_store_unavailable()
  {
    const auto time = random_fault_duration();
    for (const auto& [id, d] : fleet_.daemons()) {
      disturb(*d, time);
    }
    ++store_outages_;
    fleet_.store().unavailable = true;
    co_await sleep(time);
    --store_outages_;
    fleet_.store().unavailable = store_outages_ > 0;
  }

  // What the operator and the endpoints have written since the copy is written again; what the
  // daemons have written is lost.
  asio::awaitable<void> restore_store()
  {
    fleet_.store().back_up();
    co_await sleep(random_fault_duration());
    fleet_.store().restore({"servers", "config"});
  }

  asio::awaitable<void> change_configuration()
  {
    const auto drawn = [this] {
      return soak_route_timeouts.at(random_() % soak_route_timeouts.size());
    };
    fleet_.set_route_timeouts({.plain = drawn(), .stream = drawn()});
    calls_.note_configuration(fleet_.write_configuration());
    co_return;
  }

  asio::awaitable<void> check_recovery()
  {
    const auto limit = steady_clock::now() + recovery_time;
    for (const auto& [id, d] : fleet_.daemons()) {
      bool serves = d->has_ended || d->sigterm_at;
      while (!serves && steady_clock::now() < limit) {
        serves = co_await calls_.serves(*d);
      }
      if (!serves) {
        calls_.add_violation(id + " does not serve after the faults have ended");
      }
    }
  }

  asio::io_context& context_;
  std::mt19937_64 random_;
  std::string log_folder_;
  gateway_fleet fleet_;
  soak_calls calls_;
  mono_time start_ = steady_clock::now();
  mono_time updates_disturbed_until_; // the latest end of a disturb() of any daemon
  int active_faults_ = 0;
  int store_outages_ = 0;
};

bool print(const soak_result& result)
{
  for (const auto& [outcome, n] : result.outcomes) {
    std::cout << outcome << ": " << n << "\n";
  }
  for (const auto& what : result.violations) {
    std::cout << "BROKEN: " << what << "\n";
  }
  std::cout << "broken promises: " << result.violations.size() << std::endl;
  return result.violations.empty();
}

} // namespace
} // namespace wisteriaflow::gateway_system_tests

int main(int argc, char** argv)
{
  using namespace wisteriaflow::gateway_system_tests;
  absl::ParseCommandLine(argc, argv);
  const std::chrono::duration<double, std::ratio<60>> time(absl::GetFlag(FLAGS_minutes));
  try {
    boost::asio::io_context context;
    soak running(context, absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_logs));
    std::exception_ptr failure;
    boost::asio::co_spawn(context,
                          running.run(std::chrono::duration_cast<std::chrono::milliseconds>(time)),
                          [&](std::exception_ptr e) {
                            failure = e;
                            context.stop();
                          });
    context.run();
    if (failure) {
      std::rethrow_exception(failure);
    }
    return print(running.check_results()) ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& e) {
    std::cerr << "gateway_soak: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
}
