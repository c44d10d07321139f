#include "gateway_system/drain_run.h"

#include <algorithm>
#include <csignal>
#include <numeric>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds poll_period{10};
// Daemons exchange reports for this long before calls arrive.
constexpr milliseconds settle_time{4'000};
constexpr std::size_t connections_opened_at_once = 20;
constexpr milliseconds answer_slack{2'000};

asio::awaitable<void> sleep(asio::io_context& context, steady_clock::duration time)
{
  asio::steady_timer timer(context, time);
  co_await timer.async_wait(asio::use_awaitable);
}

milliseconds since(mono_time then, mono_time now)
{
  return std::chrono::duration_cast<milliseconds>(now - then);
}

} // namespace

const char* to_string(drained_call outcome)
{
  switch (outcome) {
  case drained_call::served:
    return "served";
  case drained_call::refused:
    return "refused";
  case drained_call::unknown:
    return "unknown";
  case drained_call::cut:
    return "cut";
  case drained_call::closed:
    return "closed";
  case drained_call::disconnected:
    return "disconnected";
  }
  return "";
}

drain_run::drain_run(asio::io_context& context, drain_options options)
    : context_(context), options_(std::move(options)), random_(options_.seed), fleet_(context),
      other_client_(context, {.idle_connections_per_address = 64, .retry_stale_get = false})
{
  fleet_.set_route_timeouts(options_.timeouts);
  fleet_.write_configuration();
  for (int i = 0; i < options_.endpoints; ++i) {
    fleet_.add_endpoint().endpoint->set_pace(options_.pace);
  }
  for (int i = 0; i < options_.daemons; ++i) {
    const auto log = options_.log_folder.empty()
                         ? std::string()
                         : options_.log_folder + "/d" + std::to_string(i + 1) + ".log";
    auto& d = fleet_.start_daemon({.log = log});
    if (i < options_.leaving) {
      leaving_.push_back(&d);
    }
  }
  for (int i = 0; i < options_.callers; ++i) {
    callers_.push_back(std::make_unique<caller>(context));
    callers_.back()->daemon = leaving_.at(static_cast<std::size_t>(i % options_.leaving));
  }
}

void drain_run::sleep_all(milliseconds time)
{
  context_.restart();
  context_.run_for(time);
}

void drain_run::open_connections()
{
  for (std::size_t i = 0; i < callers_.size(); i += connections_opened_at_once) {
    const auto end = std::min(callers_.size(), i + connections_opened_at_once);
    for (auto n = i; n < end; ++n) {
      auto open = [this, &from = *callers_[n]]() -> asio::awaitable<void> {
        ++active_;
        co_await send(from.client, from.daemon->callers, "safe");
        --active_;
      };
      asio::co_spawn(context_, open, asio::detached);
    }
    do {
      sleep_all(poll_period);
    } while (active_ > 0);
  }
}

asio::awaitable<void> drain_run::await_exit(gateway_process& d)
{
  ++active_;
  while (!d.running->exited_cleanly()) {
    co_await sleep(context_, poll_period);
  }
  result_.exits.push_back(since(*d.sigterm_at, steady_clock::now()));
  result_.all_exited_cleanly = result_.all_exited_cleanly && *d.running->exited_cleanly();
  --active_;
}

asio::awaitable<void> drain_run::silence_endpoints()
{
  co_await sleep(context_, milliseconds(random_() % options_.silence_period.count()));
  while (!is_stopped_) {
    const auto until = steady_clock::now() + options_.silence;
    for (const auto& [id, each] : fleet_.endpoints()) {
      each.endpoint->fall_silent(until);
    }
    co_await sleep(context_, options_.silence_period);
  }
}

asio::awaitable<void> drain_run::change_configuration()
{
  while (!is_stopped_) {
    fleet_.write_configuration();
    co_await sleep(context_, options_.configuration_period);
  }
}

asio::awaitable<drain_run::exchange>
drain_run::send(http::client& client, const http::socket_address& to, const std::string& route)
{
  const auto is_stream = route == "stream" || route == "resumable";
  const auto timeout = is_stream ? options_.timeouts.stream : options_.timeouts.plain;
  exchange made{.id = "r" + std::to_string(++last_call_)};
  http::request message{.method = "POST",
                        .target = "/" + route + "/1",
                        .fields = {{"Host", gateway_fleet::host},
                                   {"Request-Id", made.id},
                                   {"Api-Key", "k1"},
                                   {"Deadline-Ms", std::to_string(timeout.count())}},
                        .body = made.id};
  http::stream_observer observer;
  observer.on_head = [&made](const http::response& head) { made.answer = head; };
  observer.on_bytes = [&made](std::string_view bytes) { made.answer.body += bytes; };
  const auto deadline = steady_clock::now() + timeout + answer_slack;
  made.was_connected = true;
  try {
    co_await client.stream(to, std::move(message), deadline, std::move(observer));
    made.is_complete = true;
  } catch (const http::connect_error&) {
    made.was_connected = false;
  } catch (const http::http_error&) {
    // No answer or a part of one.
  }
  made.ended_at = steady_clock::now();
  co_return made;
}

int drain_run::runs_of(const std::string& id) const
{
  const auto all = fleet_.all_endpoints();
  return std::accumulate(all.begin(), all.end(), 0, [&](int sum, const auto* e) {
    const auto it = e->runs().find(id);
    return sum + (it == e->runs().end() ? 0 : it->second);
  });
}

std::optional<mono_time> drain_run::abandoned_at(const std::string& id) const
{
  for (const auto* e : fleet_.all_endpoints()) {
    if (const auto it = e->abandoned().find(id); it != e->abandoned().end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

drained_call drain_run::classify(const exchange& made) const
{
  if (!made.was_connected) {
    return drained_call::disconnected;
  }
  if (!made.is_complete) {
    return runs_of(made.id) > 0 ? drained_call::cut : drained_call::closed;
  }
  if (made.answer.status == http::status::ok) {
    return drained_call::served;
  }
  return made.answer.status == http::status::service_unavailable ? drained_call::refused
                                                                 : drained_call::unknown;
}

asio::awaitable<void> drain_run::call_at(caller& from, std::string route,
                                         milliseconds since_sigterm)
{
  ++active_;
  auto& d = *from.daemon;
  const auto sent_at = *d.sigterm_at + since_sigterm;
  co_await sleep(context_, sent_at - steady_clock::now());
  const auto made = co_await send(from.client, d.callers, route);
  const auto outcome = classify(made);
  ++result_.calls[outcome];
  if (outcome == drained_call::cut) {
    co_await sleep(context_, poll_period); // for the endpoint to see that its connection is closed
    const auto abandoned = abandoned_at(made.id);
    if (!abandoned || !d.may_cut(sent_at, *abandoned)) {
      result_.cut.push_back(made.id + " (" + route + ") at " + d.id + ": sent " +
                            std::to_string(since_sigterm.count()) + " ms after SIGTERM, ended " +
                            std::to_string(since(*d.sigterm_at, made.ended_at).count()) +
                            " ms after it");
    }
  }
  if (outcome == drained_call::refused && runs_of(made.id) > 0) {
    result_.violations.push_back(made.id + " was refused as not run, but ran");
  }
  if ((route == "unsafe" || route == "stream") && runs_of(made.id) > 1) {
    result_.violations.push_back(made.id + " ran twice");
  }
  const bool may_repeat = outcome == drained_call::refused || outcome == drained_call::closed ||
                          outcome == drained_call::disconnected;
  if (may_repeat) {
    co_await retry_elsewhere(made, route);
  }
  --active_;
}

asio::awaitable<void> drain_run::retry_elsewhere(const exchange& failed, const std::string& route)
{
  const auto wait = std::string(http::find_header(failed.answer.fields, "Retry-After", "0"));
  co_await sleep(context_, std::chrono::duration_cast<steady_clock::duration>(
                               std::chrono::duration<double>(std::stod(wait))));
  std::vector<gateway_process*> others;
  for (const auto& [id, d] : fleet_.daemons()) {
    if (!d->sigterm_at) {
      others.push_back(d.get());
    }
  }
  const auto& d = *others.at(random_() % others.size());
  const auto made = co_await send(other_client_, d.callers, route);
  const auto outcome = classify(made);
  result_.served_elsewhere += outcome == drained_call::served ? 1 : 0;
  if (outcome == drained_call::cut) {
    result_.cut.push_back(made.id + " (" + route + ") at " + d.id +
                          ", which has received no SIGTERM");
  }
}

drain_result drain_run::run()
{
  fleet_.await_ready();
  sleep_all(settle_time);
  open_connections();
  if (options_.silence.count() > 0) {
    asio::co_spawn(context_, silence_endpoints(), asio::detached);
  }
  if (options_.configuration_period.count() > 0) {
    asio::co_spawn(context_, change_configuration(), asio::detached);
  }
  const milliseconds grace = gateway_fleet::drain_grace;
  std::uniform_int_distribution<std::int64_t> moment(0, grace.count());
  for (auto* d : leaving_) {
    d->sigterm_at = steady_clock::now();
    d->running->signal(SIGTERM);
    asio::co_spawn(context_, await_exit(*d), asio::detached);
    for (const auto& from : callers_) {
      if (from->daemon == d) {
        const auto& route = options_.routes.at(random_() % options_.routes.size());
        asio::co_spawn(context_, call_at(*from, route, milliseconds(moment(random_))),
                       asio::detached);
      }
    }
    sleep_all(options_.signal_gap);
  }
  while (active_ > 0) {
    sleep_all(poll_period);
  }
  is_stopped_ = true;
  return result_;
}

} // namespace wisteriaflow::gateway_system_tests
