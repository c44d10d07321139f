#include "relay/link_checker.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "relay/async_sleep.h"
#include "wisteriaflow/gateway/relay_peers.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/framing.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// A peer's connection takes about 100 ms if there is no reply.
constexpr milliseconds question_timeout{250};
constexpr std::size_t max_peers_asked = 2;
constexpr milliseconds link_test_check_period{100};
// Some endpoint sends an event or an answer every few milliseconds while calls are under way.
constexpr milliseconds suspicious_silence{250};
constexpr milliseconds silence_check_period{1'000};
// As many links as must fail for the daemon to count as cut off.
constexpr std::size_t links_tested_in_silence = gateway::endpoint_link_options{}.cut_off_failures;

constexpr std::array<probe_verdict, 3> all_verdicts = {probe_verdict::listens, probe_verdict::ended,
                                                       probe_verdict::unknown};

std::optional<probe_verdict> verdict_of(std::string_view text)
{
  const auto* it = std::find_if(all_verdicts.begin(), all_verdicts.end(),
                                [text](probe_verdict v) { return to_string(v) == text; });
  return it == all_verdicts.end() ? std::nullopt : std::optional(*it);
}

} // namespace

std::string_view to_string(failure_cause cause)
{
  switch (cause) {
  case failure_cause::endpoint:
    return "endpoint";
  case failure_cause::ended:
    return "ended";
  case failure_cause::unreachable:
    return "unreachable";
  case failure_cause::link:
    return "link";
  case failure_cause::unknown:
    return "unknown";
  }
  return "unknown";
}

link_checker::link_checker(asio::io_context& context, fleet_state& state)
    : context_(context), state_(state), probe_(context),
      peer_client_(context, {.connect_timeout = question_timeout, .retry_stale_get = false}),
      random_(state.seed())
{
}

asio::awaitable<std::optional<probe_verdict>> link_checker::connect(endpoint_id id)
{
  const auto it = state_.endpoints.all().find(id);
  if (it == state_.endpoints.all().end()) {
    co_return std::nullopt;
  }
  co_return co_await probe(it->second.address);
}

asio::awaitable<probe_verdict> link_checker::probe(http::socket_address address)
{
  const auto verdict = co_await probe_.probe(std::move(address));
  state_.counters.count("endpoint_probes", {{"verdict", std::string(to_string(verdict))}});
  co_return verdict;
}

asio::awaitable<link_checker::observed_process>
link_checker::observe(endpoint_id id, http::socket_address address, bool ask_if_refused)
{
  const auto began_at = std::chrono::steady_clock::now();
  observed_process out;
  if (!state_.links.is_lost(id)) {
    out.own = co_await probe(std::move(address));
  }
  const bool is_decided =
      out.own == probe_verdict::listens || (out.own == probe_verdict::ended && !ask_if_refused);
  if (!is_decided) {
    out.peers = co_await ask_peers(id);
    if (out.peers.verdict == probe_verdict::listens) {
      record_lost_link(id, began_at);
    }
  }
  co_return out;
}

failure_cause link_checker::cause_of(const observed_process& seen)
{
  if (seen.own == probe_verdict::listens) {
    return failure_cause::endpoint;
  }
  if (!seen.peers.verdict) {
    if (seen.own == probe_verdict::ended) {
      return failure_cause::ended;
    }
    return seen.peers.any_asked ? failure_cause::unknown : failure_cause::unreachable;
  }
  switch (*seen.peers.verdict) {
  case probe_verdict::listens:
    return failure_cause::link;
  case probe_verdict::ended:
    return failure_cause::ended;
  case probe_verdict::unknown:
    return failure_cause::unreachable;
  }
  return failure_cause::unknown;
}

asio::awaitable<failure_cause> link_checker::find_cause(endpoint_id id,
                                                        http::socket_address address)
{
  const auto seen = co_await observe(std::move(id), std::move(address), true);
  co_return cause_of(seen);
}

asio::awaitable<observed_end> link_checker::find_end(const http::response& head,
                                                     gateway::endpoint_process from,
                                                     http::socket_address address)
{
  if (!http::ends_with_connection(head)) {
    co_return observed_end{.end = gateway::judge_end({.is_framed = true})};
  }
  // An endpoint that is known to leave is not blamed, so that a refusal leaves nothing to ask.
  const bool was_active = state_.endpoints.is_active(from);
  const auto seen = co_await observe(from.id, address, was_active);
  const bool is_replaced = state_.endpoints.is_replaced(from, address);
  observed_end out{.end = gateway::judge_end(
                       {.is_replaced = is_replaced, .own = seen.own, .peer = seen.peers.verdict})};
  if (was_active && !is_replaced) {
    out.cause = cause_of(seen);
  }
  const std::string evidence(to_string(out.end.evidence));
  state_.counters.count("unframed_answers",
                        {{"evidence", evidence}, {"complete", out.end.is_whole() ? "yes" : "no"}});
  if (!out.end.is_whole()) {
    state_.log.write(daemon::log_level::warn, "answer without a length is not known to be whole",
                     {{"endpoint", from.id.value()},
                      {"end_known_by", evidence},
                      {"in_use", was_active ? "yes" : "no"}});
  }
  co_return out;
}

void link_checker::record_lost_link(const endpoint_id& id, mono_time began_at)
{
  if (state_.links.on_connect_failure(id, began_at, std::chrono::steady_clock::now())) {
    state_.counters.count("links_lost");
  }
  report_cut_off();
  if (!std::exchange(is_testing_, true)) {
    asio::co_spawn(context_, test_lost_links(), asio::detached);
  }
}

void link_checker::on_connect_failure(const endpoint_id& id, mono_time began_at)
{
  record_lost_link(id, began_at);
  if (confirmations_in_flight_.insert(id).second) {
    asio::co_spawn(context_, confirm_connect_failure(id), asio::detached);
  }
}

asio::awaitable<void> link_checker::confirm_connect_failure(endpoint_id id)
{
  const auto peers = co_await ask_peers(id);
  const auto cause = cause_of({.peers = peers});
  if (cause == failure_cause::ended || cause == failure_cause::unreachable) {
    on_unreachable(id, cause);
  }
  confirmations_in_flight_.erase(id);
}

void link_checker::on_unreachable(const endpoint_id& id, failure_cause cause)
{
  const auto now = std::chrono::steady_clock::now();
  state_.links.on_endpoint_unreachable(id);
  state_.endpoints.on_outcome(id, load::call_result::failed, now);
  if (state_.endpoints.on_failure(id, gateway::endpoint_failure::unreachable, now)) {
    state_.signal_urgent_update(); // spares the other daemons a timeout each
    state_.log.write(daemon::log_level::warn, "endpoint left out",
                     {{"endpoint", id.value()}, {"reason", std::string(to_string(cause))}});
  }
}

void link_checker::report_cut_off()
{
  const bool is_cut_off = state_.links.is_cut_off();
  if (std::exchange(was_cut_off_, is_cut_off) == is_cut_off) {
    return;
  }
  state_.log.write(is_cut_off ? daemon::log_level::warn : daemon::log_level::info,
                   is_cut_off ? "cut off from endpoints" : "no longer cut off from endpoints",
                   {{"links_lost", std::to_string(state_.links.lost_count())}});
  state_.signal_urgent_update(); // peers must not send their calls through this daemon
}

std::vector<http::socket_address> link_checker::peers_to_ask()
{
  auto live = state_.peers.live(std::chrono::steady_clock::now());
  std::erase_if(live, [](const auto& peer) { return !gateway::can_relay(peer); });
  std::shuffle(live.begin(), live.end(), random_);
  std::stable_partition(live.begin(), live.end(),
                        [this](const auto& peer) { return peer.zone != state_.options.zone; });
  std::vector<http::socket_address> out;
  for (std::size_t i = 0; i < std::min(max_peers_asked, live.size()); ++i) {
    out.push_back(live[i].peer_address);
  }
  return out;
}

asio::awaitable<link_checker::peers_verdict> link_checker::ask_peers(endpoint_id id)
{
  const auto peers = peers_to_ask();
  peers_verdict out{.any_asked = !peers.empty()};
  for (const auto& peer : peers) {
    out.verdict = co_await ask_peer(peer, id);
    if (out.verdict) {
      break;
    }
  }
  co_return out;
}

asio::awaitable<std::optional<probe_verdict>> link_checker::ask_peer(http::socket_address peer,
                                                                     endpoint_id id)
{
  http::request message{.method = "POST", .target = std::string(probe_target), .body = id.value()};
  try {
    const auto deadline = std::chrono::steady_clock::now() + question_timeout;
    const auto reply = co_await peer_client_.call(peer, std::move(message), deadline);
    if (reply.status == http::status::ok) {
      co_return verdict_of(reply.body);
    }
  } catch (const http::http_error& e) {
    state_.counters.count("probe_questions_failed");
  }
  co_return std::nullopt;
}

asio::awaitable<void> link_checker::answer_probe(http::request request,
                                                 http::response_writer& writer)
{
  const endpoint_id id(std::move(request.body));
  http::response out{.status = http::status::not_found};
  if (state_.links.is_lost(id)) {
    out.status = http::status::service_unavailable; // a lost link tells nothing of the endpoint
  } else if (const auto verdict = co_await connect(id)) {
    out = {.status = http::status::ok, .body = std::string(to_string(*verdict))};
  }
  co_await writer.send(std::move(out));
}

void link_checker::on_silence(const endpoint_id& id, mono_time sent_at)
{
  const auto now = std::chrono::steady_clock::now();
  const bool is_suspicious =
      now - std::max(sent_at, state_.links.last_received_at()) >= suspicious_silence;
  if (!is_suspicious || now < next_silence_check_ || state_.links.is_cut_off()) {
    return;
  }
  next_silence_check_ = now + silence_check_period;
  std::vector<endpoint_id> others;
  for (const auto& [other, record] : state_.endpoints.all()) {
    if (other != id && !record.leaving) {
      others.push_back(other);
    }
  }
  std::shuffle(others.begin(), others.end(), random_);
  others.resize(std::min(others.size(), links_tested_in_silence - 1));
  others.push_back(id);
  for (auto& tested : others) {
    asio::co_spawn(context_, test_link(std::move(tested)), asio::detached);
  }
}

asio::awaitable<void> link_checker::test_link(endpoint_id id)
{
  const auto began_at = std::chrono::steady_clock::now();
  const auto verdict = co_await connect(id);
  if (!verdict) {
    co_return;
  }
  if (*verdict != probe_verdict::listens) {
    on_connect_failure(id, began_at);
    co_return;
  }
  if (state_.links.on_probe_success(id, std::chrono::steady_clock::now())) {
    state_.log.write(daemon::log_level::info, "link restored", {{"endpoint", id.value()}});
  }
  report_cut_off();
}

asio::awaitable<void> link_checker::test_lost_links()
{
  while (state_.links.is_cut_off() || state_.links.lost_count() > 0) {
    co_await async_sleep(link_test_check_period);
    report_cut_off(); // an answer may have ended it
    std::vector<endpoint_id> known;
    for (const auto& [id, record] : state_.endpoints.all()) {
      known.push_back(id);
    }
    for (auto& id : state_.links.take_due_probes(known, std::chrono::steady_clock::now())) {
      asio::co_spawn(context_, test_link(std::move(id)), asio::detached);
    }
  }
  is_testing_ = false;
}

} // namespace wisteriaflow::relay
