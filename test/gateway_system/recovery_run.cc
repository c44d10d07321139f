#include "gateway_system/recovery_run.h"

#include <csignal>
#include <iterator>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fakes/run.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::gateway_system_tests {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds settle_time{2'000};
constexpr milliseconds counted_time{1'500};
constexpr milliseconds call_timeout{3'000};
constexpr milliseconds pause_between_calls{20};
// The calls of a span have ended this long after it.
constexpr milliseconds longest_answer{1'000};
constexpr milliseconds poll_period{20};
constexpr milliseconds between_kills{700};
constexpr milliseconds shortest_outage{1'000};
constexpr std::uint64_t outage_variation_ms = 1'600;
// Endpoints that end before the kill: more than a suspect needs to be held.
constexpr int ended_endpoints = 6;
constexpr milliseconds between_ends{400};
constexpr milliseconds silence_before_ends{6'000};
// Second parts of the callers' prompts; all share the first one.
constexpr std::uint64_t second_parts = 12;
constexpr endpoint_pace pace{
    .shortest = milliseconds(20), .longest = milliseconds(120), .event_pause = milliseconds(40)};

asio::awaitable<void> sleep(asio::io_context& context, steady_clock::duration time)
{
  asio::steady_timer timer(context, time);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

recovery_run::recovery_run(asio::io_context& context, recovery_options options)
    : context_(context), options_(std::move(options)), random_(options_.seed), fleet_(context),
      client_(context, {.idle_connections_per_address = 4, .retry_stale_get = false})
{
  if (!options_.program.empty()) {
    fleet_.set_program(options_.program);
  }
  fleet_.set_zones(options_.zones);
  fleet_.store().page_size = options_.page_size;
}

void recovery_run::run_for(milliseconds time)
{
  context_.restart();
  context_.run_for(time);
}

void recovery_run::write_entries()
{
  // They sort before and after the endpoints that serve, whose names begin with "i".
  for (int i = 0; i < options_.other_entries; ++i) {
    fleet_.store().put("servers", (i % 2 == 0 ? "h-" : "j-") + std::to_string(i),
                       {{"service", "other"},
                        {"address", "127.0.0.1:1"},
                        {"zone", "z"},
                        {"version", "v1"},
                        {"slots", 1},
                        {"state", "ready"}});
  }
  for (const auto& name : options_.odd_names) {
    fleet_.store().put("servers", name, {{"service", "other"}});
  }
}

void recovery_run::add_endpoint()
{
  auto& added = *fleet_.add_endpoint().endpoint;
  added.set_pace(pace);
  added.on_crash_request = [this, id = added.id()] { replace(id); };
}

void recovery_run::replace(const std::string& id)
{
  if (fleet_.endpoints().contains(id)) {
    fleet_.remove(id);
    add_endpoint();
  }
}

daemon_options recovery_run::options_of(const gateway_process& d) const
{
  if (options_.log_folder.empty()) {
    return {};
  }
  return {.log = options_.log_folder + "/" + d.id + "." + std::to_string(starts_) + ".log"};
}

void recovery_run::start_fleet()
{
  for (int i = 0; i < options_.endpoints; ++i) {
    add_endpoint();
  }
  for (int i = 0; i < options_.daemons; ++i) {
    const auto log = options_.log_folder.empty()
                         ? std::string()
                         : options_.log_folder + "/d" + std::to_string(i + 1) + ".0.log";
    fleet_.start_daemon({.log = log});
  }
  fleet_.await_ready();
}

asio::awaitable<http::response> recovery_run::send(std::string path, std::string prompt,
                                                   std::string body)
{
  const auto& all = fleet_.daemons();
  const auto& to = *std::next(all.begin(), static_cast<std::ptrdiff_t>(random_() % all.size()));
  http::request message{.method = "POST",
                        .target = std::move(path),
                        .fields = {{"Host", gateway_fleet::host},
                                   {"Request-Id", "r" + std::to_string(++last_call_)},
                                   {"Api-Key", "k1"},
                                   {"Prompt-Prefix", std::move(prompt)},
                                   {"Deadline-Ms", std::to_string(call_timeout.count())}},
                        .body = std::move(body)};
  try {
    co_return co_await client_.call(to.second->callers, std::move(message),
                                    steady_clock::now() + call_timeout);
  } catch (const http::http_error&) {
    co_return http::response{.status = 0};
  }
}

asio::awaitable<void> recovery_run::send_call()
{
  const auto number = std::to_string(last_call_);
  const auto part = std::to_string(random_() % second_parts);
  auto prompt = "a1:800,b" + part + ":400,c" + number + ":100";
  std::string path = random_() % 2 == 0 ? "/safe/1" : "/resumable/1";
  auto* const counts = counts_;
  auto body = number;
  const auto answer = co_await send(std::move(path), std::move(prompt), std::move(body));
  if (counts == nullptr) {
    co_return;
  }
  ++counts->sent;
  const bool is_answered = answer.status == http::status::ok;
  counts->answered += is_answered ? 1 : 0;
  const auto what =
      answer.status == 0 ? std::string("none") : std::to_string(answer.status) + " " + answer.body;
  ++counts->by_answer[is_answered ? "200" : what];
}

asio::awaitable<void> recovery_run::send_calls()
{
  ++active_;
  while (!is_stopped_) {
    co_await send_call();
    co_await sleep(context_, pause_between_calls);
  }
  --active_;
}

void recovery_run::replace_all()
{
  std::vector<std::string> ids;
  for (const auto& [id, each] : fleet_.endpoints()) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    replace(id);
  }
}

void recovery_run::silence_endpoints(mono_time until)
{
  for (const auto& [id, each] : fleet_.endpoints()) {
    each.endpoint->fall_silent(until);
  }
}

void recovery_run::end_endpoints()
{
  if (options_.crashes == endpoint_crashes::none) {
    return;
  }
  const auto silent_until =
      steady_clock::now() + silence_before_ends + ended_endpoints * between_ends;
  const bool are_silent = options_.crashes == endpoint_crashes::while_all_are_silent ||
                          options_.crashes == endpoint_crashes::while_new_ones_are_silent;
  if (options_.crashes == endpoint_crashes::while_new_ones_are_silent) {
    replace_all();
  }
  if (are_silent) {
    silence_endpoints(silent_until);
    run_for(silence_before_ends);
  }
  for (int i = 0; i < ended_endpoints; ++i) {
    if (are_silent) {
      replace(std::string(fleet_.endpoints().begin()->first));
      silence_endpoints(silent_until);
    } else {
      const bool is_part = options_.crashes == endpoint_crashes::by_one_part;
      auto prompt = "a1:800," + std::string(is_part ? crash_part : "b1") + ":400,d" +
                    std::to_string(i) + ":100";
      std::string path = is_part ? "/resumable/1" : crash_path;
      std::string body = is_part ? prompt : "the one that ends endpoints";
      asio::co_spawn(context_, send(std::move(path), std::move(prompt), std::move(body)),
                     asio::detached);
    }
    run_for(between_ends);
  }
}

void recovery_run::kill_and_start_daemons()
{
  for (const auto& [id, d] : fleet_.daemons()) {
    d->running->signal(SIGKILL);
  }
  for (const auto& [id, d] : fleet_.daemons()) {
    d->running->kill();
    client_.close_idle_connections(d->callers);
  }
  run_for(shortest_outage + milliseconds(random_() % outage_variation_ms));
  ++starts_;
  fleet_.store().list_calls = 0;
  for (const auto& [id, d] : fleet_.daemons()) {
    fleet_.restart(*d, options_of(*d));
  }
}

bool recovery_run::await_ready(mono_time limit)
{
  http::client client(context_);
  for (const auto& [id, d] : fleet_.daemons()) {
    int status = 0;
    while (status != http::status::ok) {
      if (limit < steady_clock::now()) {
        return false;
      }
      try {
        status = fakes::call(context_, client, d->readiness, {.target = "/ready"}).status;
      } catch (const http::http_error&) {
        status = 0; // it does not listen yet
      }
      if (status != http::status::ok) {
        run_for(poll_period);
      }
    }
  }
  return true;
}

recovery_result recovery_run::run()
{
  recovery_result out;
  start_fleet();
  write_entries();
  for (int i = 0; i < options_.callers; ++i) {
    asio::co_spawn(context_, send_calls(), asio::detached);
  }
  run_for(settle_time);
  counts_ = &out.before;
  run_for(counted_time);
  counts_ = nullptr;
  run_for(longest_answer);
  end_endpoints();
  mono_time started_at;
  for (int i = 0; i < options_.kills; ++i) {
    run_for(i == 0 ? milliseconds(0) : between_kills);
    kill_and_start_daemons();
    started_at = steady_clock::now();
  }
  out.is_ready = await_ready(started_at + recovery_result::recovery_time);
  out.ready_after = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started_at);
  out.list_calls = fleet_.store().list_calls;
  run_for(recovery_result::settle_time);
  counts_ = &out.after;
  run_for(counted_time);
  counts_ = nullptr;
  is_stopped_ = true;
  while (active_ > 0) {
    run_for(poll_period);
  }
  out.unexpected_ends = fleet_.unexpected_ends();
  return out;
}

} // namespace wisteriaflow::gateway_system_tests
