#include "gateway_system/restart_run.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
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

const std::string first_name = "v1";
const std::string second_name = "v2";
const std::string first_service = "chat";
const std::string other_service = "chat-2";

constexpr milliseconds poll_period{20};
constexpr milliseconds readiness_period{50};
constexpr milliseconds readiness_timeout{1'000};
// Streams of every age are under way after this time.
constexpr milliseconds settle_time{3'000};
constexpr endpoint_pace pace{.event_pause = milliseconds(400)};
constexpr milliseconds stream_timeout{15'000};
constexpr milliseconds answer_slack{2'000};
constexpr milliseconds shortest_outage{1'000};
constexpr milliseconds longest_outage{2'600};
constexpr milliseconds between_kills{1'000};
constexpr milliseconds leaving_before_kill{500};
constexpr milliseconds new_streams_time{1'500};
constexpr milliseconds longest_pause_between_streams{400};
constexpr milliseconds pause_before_resume{100};
constexpr milliseconds ready_limit{60'000};
constexpr int max_retries = 3;
// A store's fault begins this long after the second version appears at the latest, and ends this
// long after the start of the daemons at the latest.
constexpr milliseconds fault_delay{600};
constexpr milliseconds fault_after_start{1'500};

// A connection that a kill closes ends within this time.
constexpr milliseconds kill_effect_time{500};

asio::awaitable<void> sleep(asio::io_context& context, steady_clock::duration time)
{
  asio::steady_timer timer(context, time);
  co_await timer.async_wait(asio::use_awaitable);
}

milliseconds between(mono_time from, mono_time to)
{
  return std::chrono::duration_cast<milliseconds>(to - from);
}

milliseconds retry_pause(const http::response& answer)
{
  const auto text = std::string(http::find_header(answer.fields, "Retry-After", "0"));
  const std::chrono::duration<double> asked(std::stod(text));
  return std::max(pause_before_resume, std::chrono::ceil<milliseconds>(asked));
}

const std::map<std::string, restart_options>& cases()
{
  static const std::map<std::string, restart_options> all = {
      {"one_version", {}},
      {"at_0s", {.second_version_before_kill = milliseconds(0)}},
      {"at_0.3s", {.second_version_before_kill = milliseconds(300)}},
      {"at_1s", {.second_version_before_kill = milliseconds(1'000)}},
      {"at_2s", {.second_version_before_kill = milliseconds(2'000)}},
      {"at_3s", {.second_version_before_kill = milliseconds(3'000)}},
      {"replaced_meanwhile", {.first = first_version::is_replaced_meanwhile}},
      {"replaced_meanwhile_after_2s",
       {.second_version_before_kill = milliseconds(2'000),
        .first = first_version::is_replaced_meanwhile}},
      {"born_again", {.first = first_version::is_born_again_meanwhile}},
      {"first_just_gone",
       {.second_version_before_kill = milliseconds(2'000),
        .first = first_version::leaves_before_kill}},
      {"route_moved", {.route = route_change::moves_to_other_service, .must_go_on = false}},
      {"route_moved_before_half_killed",
       {.route = route_change::moves_to_other_service,
        .route_change_before_kill = milliseconds(1'500),
        .killed_share_percent = 50,
        .must_go_on = false}},
      {"route_split", {.route = route_change::is_split_over_both}},
      {"half_killed",
       {.second_version_before_kill = milliseconds(2'000), .killed_share_percent = 50}},
      {"two_kills", {.second_version_before_kill = milliseconds(1'000), .kills = 2}},
      {"two_kills_replaced", {.first = first_version::is_replaced_meanwhile, .kills = 2}},
      {"store_slow",
       {.second_version_before_kill = milliseconds(2'000), .store = store_fault::slow}},
      {"store_slow_replaced",
       {.first = first_version::is_replaced_meanwhile, .store = store_fault::slow}},
      {"store_silent",
       {.second_version_before_kill = milliseconds(2'000),
        .store = store_fault::silent,
        .must_go_on = false}},
      {"store_silent_replaced",
       {.second_version_before_kill = milliseconds(1'000),
        .first = first_version::is_replaced_meanwhile,
        .store = store_fault::silent,
        .must_go_on = false}},
      {"writes_turned_away",
       {.second_version_before_kill = milliseconds(2'000),
        .store = store_fault::turns_writes_away,
        .must_go_on = false}},
      {"writes_turned_away_replaced",
       {.second_version_before_kill = milliseconds(1'000),
        .first = first_version::is_replaced_meanwhile,
        .store = store_fault::turns_writes_away,
        .must_go_on = false}},
      {"restored_meanwhile",
       {.second_version_before_kill = milliseconds(2'000),
        .store = store_fault::is_restored_meanwhile,
        .must_go_on = false}},
      {"restored_meanwhile_replaced",
       {.second_version_before_kill = milliseconds(2'000),
        .first = first_version::is_replaced_meanwhile,
        .store = store_fault::is_restored_meanwhile,
        .must_go_on = false}},
      {"restored_after_start",
       {.second_version_before_kill = milliseconds(2'000),
        .store = store_fault::is_restored_after_start,
        .must_go_on = false}},
      {"restored_after_start_replaced",
       {.second_version_before_kill = milliseconds(2'000),
        .first = first_version::is_replaced_meanwhile,
        .store = store_fault::is_restored_after_start,
        .must_go_on = false}},
  };
  return all;
}

} // namespace

std::optional<restart_options> restart_case(const std::string& name)
{
  const auto it = cases().find(name);
  return it == cases().end() ? std::nullopt : std::optional(it->second);
}

std::vector<std::string> restart_case_names()
{
  std::vector<std::string> out;
  for (const auto& [name, options] : cases()) {
    out.push_back(name);
  }
  return out;
}

restart_run::restart_run(asio::io_context& context, restart_options options)
    : context_(context), options_(std::move(options)), random_(options_.seed), fleet_(context),
      client_(context, {.idle_connections_per_address = 1, .retry_stale_get = false})
{
  if (!options_.program.empty()) {
    fleet_.set_program(options_.program);
  }
  fleet_.set_zones(options_.zones);
  fleet_.set_route_timeouts({.stream = stream_timeout});
  fleet_.write_configuration();
}

void restart_run::sleep_all(milliseconds time)
{
  context_.restart();
  context_.run_for(time);
}

milliseconds restart_run::drawn(milliseconds from, milliseconds to)
{
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random_));
}

daemon_options restart_run::options_of(const gateway_process& d) const
{
  if (options_.log_folder.empty()) {
    return {};
  }
  return {.log = options_.log_folder + "/" + d.id + "." + std::to_string(starts_) + ".log"};
}

void restart_run::start_fleet()
{
  for (int i = 0; i < options_.endpoints; ++i) {
    auto& added = *fleet_.add_endpoint(first_name).endpoint;
    added.set_pace(pace);
    first_.push_back(added.id());
  }
  for (int i = 0; i < options_.daemons; ++i) {
    const auto log = options_.log_folder.empty()
                         ? std::string()
                         : options_.log_folder + "/d" + std::to_string(i + 1) + ".0.log";
    auto& d = fleet_.start_daemon({.log = log});
    asio::co_spawn(context_, watch_readiness(d), asio::detached);
  }
  fleet_.await_ready();
}

asio::awaitable<void> restart_run::watch_readiness(gateway_process& d)
{
  ++active_;
  while (!is_stopped_) {
    const auto process = d.running->id();
    bool is_ready = false;
    if (process != 0) {
      try {
        http::request question{.target = "/ready"};
        const auto answer = co_await client_.call(d.readiness, std::move(question),
                                                  steady_clock::now() + readiness_timeout);
        is_ready = answer.status == http::status::ok && d.running->id() == process;
      } catch (const http::http_error&) {
        // It does not listen yet.
      }
    }
    if (is_ready) {
      ready_.insert(d.id);
    } else {
      ready_.erase(d.id);
    }
    co_await sleep(context_, readiness_period);
  }
  --active_;
}

asio::awaitable<gateway_process*> restart_run::ready_daemon()
{
  while (ready_.empty()) {
    co_await sleep(context_, poll_period);
  }
  const auto chosen =
      std::next(ready_.begin(), static_cast<std::ptrdiff_t>(random_() % ready_.size()));
  co_return fleet_.daemons().at(*chosen).get();
}

asio::awaitable<void> restart_run::hold_streams()
{
  ++active_;
  co_await sleep(context_, drawn(milliseconds(0), settle_time));
  while (!is_stopped_) {
    co_await hold_stream();
    co_await sleep(context_, drawn(milliseconds(0), longest_pause_between_streams));
  }
  --active_;
}

asio::awaitable<void> restart_run::hold_stream()
{
  stream s("r" + std::to_string(++last_call_));
  s.begun_at = steady_clock::now();
  int retries = 0;
  while (retries <= max_retries) {
    auto* const d = co_await ready_daemon();
    const auto made = co_await send(*d, s);
    if (!made.was_connected) {
      co_await sleep(context_, pause_before_resume);
      continue; // nothing was sent
    }
    if (take(s, made)) {
      break;
    }
    ++retries;
    co_await sleep(context_, retry_pause(made.answer));
  }
  record(s);
}

asio::awaitable<restart_run::attempt> restart_run::send(const gateway_process& to, const stream& s)
{
  const auto first = s.held.first_request();
  const bool resumes = !s.held.empty();
  attempt made{.id = resumes ? "r" + std::to_string(++last_call_) : first,
               .sent_at = steady_clock::now()};
  http::request message{.method = "POST",
                        .target = "/resumable/1",
                        .fields = {{"Host", gateway_fleet::host},
                                   {"Request-Id", made.id},
                                   {"Api-Key", "k1"},
                                   {"Deadline-Ms", std::to_string(stream_timeout.count())}},
                        .body = first};
  if (resumes) {
    message.fields.push_back({.name = "Resumes", .value = first});
    message.fields.push_back(
        {.name = "Last-Event-Id", .value = std::to_string(s.held.last_event())});
  }
  http::stream_observer observer;
  observer.on_head = [&made](const http::response& head) { made.answer = head; };
  observer.on_bytes = [&made](std::string_view bytes) { made.answer.body += bytes; };
  try {
    co_await client_.stream(to.callers, std::move(message),
                            made.sent_at + stream_timeout + answer_slack, std::move(observer));
    made.is_complete = true;
  } catch (const http::connect_error&) {
    made.was_connected = false;
  } catch (const http::http_error&) {
    // No answer or a part of one.
  }
  made.ended_at = steady_clock::now();
  co_return made;
}

bool restart_run::take(stream& s, const attempt& made)
{
  const bool resumed = !s.held.empty();
  s.last_answer = made.answer.status == 0 ? "no answer" : std::to_string(made.answer.status);
  if (made.answer.status != http::status::ok) {
    if (resumed && made.is_complete) {
      const auto took = between(made.sent_at, made.ended_at);
      ++result_.refused;
      result_.late_refusals += took > restart_result::max_refusal_time ? 1 : 0;
      result_.longest_refusal = std::max(result_.longest_refusal, took);
    }
    return false;
  }
  s.held.add(made.answer.body);
  if (made.is_complete) {
    if (s.held.last_event() != last_stream_event) {
      result_.violations.push_back("stream " + s.held.first_request() + " ends as complete after " +
                                   std::to_string(s.held.last_event()) + " events (" + made.id +
                                   ")");
    }
    return true;
  }
  s.last_answer = "cut";
  if (s.held.last_event() == last_stream_event) {
    return true;
  }
  const bool is_by_kill = std::any_of(kills_.begin(), kills_.end(), [&](auto at) {
    return made.sent_at <= at && at <= made.ended_at && made.ended_at <= at + kill_effect_time;
  });
  s.was_cut_by_kill = s.was_cut_by_kill || (is_by_kill && !s.held.empty());
  return false;
}

void restart_run::record(const stream& s)
{
  if (ready_again_at_ && s.begun_at >= *ready_again_at_) {
    ++result_.new_streams;
    result_.new_begun += s.held.empty() ? 0 : 1;
  }
  if (!s.held.empty()) {
    streams_.push_back(s);
  }
}

bool restart_run::serves(const std::string& version)
{
  const auto& all = fleet_.endpoints();
  return std::any_of(all.begin(), all.end(),
                     [&](const auto& it) { return it.second.endpoint->version() == version; });
}

void restart_run::judge(const stream& s)
{
  ++result_.streams;
  result_.joined += s.held.versions().size() > 1 ? 1 : 0;
  for (const auto& what : s.held.violations()) {
    result_.violations.push_back(what);
  }
  if (!s.was_cut_by_kill) {
    return;
  }
  ++result_.cut;
  const auto& version = *s.held.versions().begin();
  const bool is_whole = s.held.last_event() == last_stream_event;
  ++result_.ends[version + " " + (is_whole ? "whole" : s.last_answer)];
  if (serves(version)) {
    ++result_.resumable;
    result_.went_on += is_whole ? 1 : 0;
  }
}

void restart_run::add_second_version()
{
  for (int i = 0; i < options_.endpoints; ++i) {
    fleet_.add_endpoint(second_name).endpoint->set_pace(pace);
  }
}

void restart_run::begin_store_fault()
{
  switch (options_.store) {
  case store_fault::slow:
  case store_fault::silent:
    for (const auto& [id, d] : fleet_.daemons()) {
      d->store_proxy->set(options_.store == store_fault::slow ? network_fault::delayed
                                                              : network_fault::silent);
    }
    break;
  case store_fault::turns_writes_away:
    fleet_.store().refuses_writes = true;
    break;
  case store_fault::none:
  case store_fault::is_restored_meanwhile:
  case store_fault::is_restored_after_start:
    break;
  }
}

void restart_run::end_store_fault()
{
  for (const auto& [id, d] : fleet_.daemons()) {
    d->store_proxy->set(network_fault::none);
  }
  fleet_.store().refuses_writes = false;
  if (options_.store == store_fault::is_restored_after_start) {
    fleet_.store().restore({"servers", "config"});
  }
}

void restart_run::kill_daemons()
{
  const auto n = fleet_.daemons().size() * static_cast<std::size_t>(options_.killed_share_percent) /
                 std::size_t{100};
  for (const auto& [id, d] : fleet_.daemons()) {
    if (killed_.size() < n) {
      killed_.push_back(d.get());
    }
  }
  kills_.push_back(steady_clock::now());
  for (auto* d : killed_) {
    d->running->signal(SIGKILL);
  }
  for (auto* d : killed_) {
    d->running->kill();
    ready_.erase(d->id);
    client_.close_idle_connections(d->callers);
    client_.close_idle_connections(d->readiness);
  }
}

void restart_run::start_killed_daemons()
{
  ++starts_;
  for (auto* d : killed_) {
    fleet_.restart(*d, options_of(*d));
  }
  killed_.clear();
}

void restart_run::change_endpoints_meanwhile()
{
  switch (options_.first) {
  case first_version::stays:
  case first_version::leaves_before_kill:
    break;
  case first_version::is_replaced_meanwhile:
    for (const auto& id : first_) {
      fleet_.remove(id);
    }
    add_second_version();
    break;
  case first_version::is_born_again_meanwhile:
    for (const auto& id : first_) {
      fleet_.replace_endpoint(id, second_name).endpoint->set_pace(pace);
    }
    break;
  }
  if (!options_.route_change_before_kill) {
    change_route();
  }
  if (options_.store == store_fault::is_restored_meanwhile) {
    fleet_.store().restore({"servers", "config"});
  }
}

void restart_run::change_route()
{
  if (options_.route == route_change::none) {
    return;
  }
  fleet_.set_endpoint_service(other_service);
  add_second_version();
  fleet_.set_resumable_services(options_.route == route_change::moves_to_other_service
                                    ? std::vector{other_service}
                                    : std::vector{first_service, other_service});
  fleet_.write_configuration();
}

void restart_run::change_versions_and_kill()
{
  fleet_.store().back_up();
  if (const auto lead = options_.second_version_before_kill) {
    const auto fault_after = std::min(*lead, drawn(milliseconds(0), fault_delay));
    const auto leaving = options_.first == first_version::leaves_before_kill
                             ? std::min(*lead - fault_after, leaving_before_kill)
                             : milliseconds(0);
    add_second_version();
    sleep_all(fault_after);
    begin_store_fault();
    sleep_all(*lead - fault_after - leaving);
    if (options_.first == first_version::leaves_before_kill) {
      for (const auto& id : first_) {
        fleet_.remove(id);
      }
      sleep_all(leaving);
    }
  } else {
    begin_store_fault();
  }
  if (const auto lead = options_.route_change_before_kill) {
    change_route();
    sleep_all(*lead);
  }
  kill_daemons();
  const auto outage = drawn(shortest_outage, longest_outage);
  sleep_all(outage / 2);
  change_endpoints_meanwhile();
  sleep_all(outage - outage / 2);
  start_killed_daemons();
  for (int i = 1; i < options_.kills; ++i) {
    sleep_all(between_kills);
    kill_daemons();
    sleep_all(drawn(shortest_outage, longest_outage));
    start_killed_daemons();
  }
  sleep_all(drawn(milliseconds(0), fault_after_start));
  end_store_fault();
}

restart_result restart_run::run()
{
  start_fleet();
  for (int i = 0; i < options_.callers; ++i) {
    asio::co_spawn(context_, hold_streams(), asio::detached);
  }
  sleep_all(settle_time);
  change_versions_and_kill();
  const auto limit = steady_clock::now() + ready_limit;
  while (ready_.size() < fleet_.daemons().size()) {
    if (limit < steady_clock::now()) {
      std::string message = "not every daemon becomes ready again";
      for (const auto& end : fleet_.unexpected_ends()) {
        message += "; " + end;
      }
      throw std::runtime_error(message);
    }
    sleep_all(poll_period);
  }
  ready_again_at_ = steady_clock::now();
  sleep_all(new_streams_time);
  is_stopped_ = true;
  while (active_ > 0) {
    sleep_all(poll_period);
  }
  for (const auto& s : streams_) {
    judge(s);
  }
  for (auto& end : fleet_.unexpected_ends()) {
    result_.violations.push_back(std::move(end));
  }
  return result_;
}

} // namespace wisteriaflow::gateway_system_tests
