#include <algorithm>
#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "gateway_system/soak_run.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The effects of a fault last this much longer than the fault: a daemon needs new reports from its
// peers, and calls that were affected run until their deadline.
constexpr milliseconds fault_aftermath{4'000};
constexpr milliseconds poll_period{50};
// Daemons that receive SIGTERM in one series, and the time between two of them.
constexpr int daemons_in_series = 3;
constexpr milliseconds series_gap{300};
// Callers that use a daemon from before its SIGTERM until its process is gone.
constexpr int lasting_callers = 16;
constexpr milliseconds time_to_open_connections{100};
constexpr std::size_t log_tail_bytes = 500; // shown of a failed daemon's log

} // namespace

gateway_process* soak_run::random_daemon()
{
  std::vector<gateway_process*> running;
  for (const auto& [id, d] : fleet_.daemons()) {
    if (!d->has_ended && !d->sigterm_at) {
      running.push_back(d.get());
    }
  }
  return running.size() < 2 ? nullptr : running.at(random_() % running.size());
}

void soak_run::start_daemon()
{
  fleet_.start_daemon(options_for("d" + std::to_string(++daemons_started_)));
}

daemon_options soak_run::options_for(const std::string& process) const
{
  const auto& folder = options_.log_folder;
  return {.log = folder.empty() ? std::string() : folder + "/" + process + ".log"};
}

void soak_run::disturb(gateway_process& d, milliseconds time)
{
  const auto end = steady_clock::now() + time;
  d.disturbed_until = std::max(d.disturbed_until, end + fault_aftermath);
  updates_disturbed_until_ = std::max(updates_disturbed_until_, end);
}

asio::awaitable<void> soak_run::kill_daemon()
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

asio::awaitable<void> soak_run::terminate_daemon()
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
    if (d->lost_power_at) {
      co_return;
    }
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

asio::awaitable<void> soak_run::terminate_daemons_in_series()
{
  for (int i = 0; i < daemons_in_series; ++i) {
    asio::co_spawn(context_, run_fault(&soak_run::terminate_daemon), asio::detached);
    co_await sleep(series_gap);
  }
}

asio::awaitable<void> soak_run::pause_daemon()
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

} // namespace wisteriaflow::gateway_system_tests
