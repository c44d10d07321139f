#include "relay/call_relay.h"

#include <algorithm>
#include <utility>

#include "messages.h"
#include "wisteriaflow/gateway/return_time.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;
using gateway::attempt_outcome;

// Opening a connection to an endpoint takes a millisecond; one that takes this long is to an
// endpoint that is away.
constexpr milliseconds connect_timeout{250};
// An endpoint that acknowledges nothing for so long has lost power or is cut off.
constexpr milliseconds unacknowledged_timeout{1'500};
constexpr milliseconds longest_idle_time{4'000};
constexpr std::size_t idle_connections = 8;
// Endpoints that cannot be connected to are passed over so often before the call is given up.
constexpr unsigned most_connect_failures = 4;
// When to come back to a daemon that knows no configuration or no endpoint yet: it reads both
// within a few exchanges with the store or a peer.
constexpr milliseconds retry_pause{250};
// A stream that begins later than this after the order to end may not be over before the process
// is killed; it is refused, to be sent to another daemon at once.
constexpr milliseconds last_stream_start{2'500};
constexpr milliseconds retry_elsewhere{20};

} // namespace

call_relay::call_relay(asio::io_context& context, fleet_state& state, peer_sync& peers)
    : context_(context), state_(state), peers_(peers),
      client_(context, {.idle_connections_per_address = idle_connections,
                        .idle_timeout = longest_idle_time,
                        .connect_timeout = connect_timeout,
                        .unacknowledged_timeout = unacknowledged_timeout,
                        .repeat_stale_get = false,
                        .only_stated_keep_alive = true}),
      crashes_(context, state), log_(state), random_(state.seed())
{
}

asio::awaitable<void> call_relay::serve(http::request received, http::response_writer& writer)
{
  ++open_calls_;
  auto decided = admit(received, std::chrono::steady_clock::now());
  if (const auto* why = std::get_if<call_refusal>(&decided)) {
    co_await refuse(received, *why, writer);
    --open_calls_;
    co_return;
  }
  auto call = std::make_shared<admitted_call>(std::move(std::get<admitted_call>(decided)));
  const auto over_rate = co_await take_quota(*call);
  if (over_rate) {
    co_await refuse(received, *over_rate, writer);
    --open_calls_;
    co_return;
  }
  call->received = std::move(received);
  co_await relay(std::move(call), writer);
  --open_calls_;
}

asio::awaitable<void> call_relay::refuse(const http::request& received, call_refusal why,
                                         http::response_writer& writer)
{
  log_.on_refused(received, why);
  auto out =
      adapter::refusal(why.status, why.reason, why.retry_at, std::chrono::steady_clock::now());
  try {
    co_await writer.send(std::move(out));
  } catch (const http::http_error&) {
    state_.counters.count("callers_gone");
  }
}

call_relay::admission call_relay::admit(const http::request& received, mono_time now)
{
  admitted_call call{.description = adapter::decode_call(received, now),
                     .configuration = state_.configuration(),
                     .received_at = now};
  if (!call.configuration || !state_.endpoints.has_list()) {
    return call_refusal{http::status::unavailable, "no configuration yet", now + retry_pause};
  }
  call.route = call.configuration->match(call.description.host, call.description.path);
  if (call.route == nullptr) {
    return call_refusal{http::status::not_found, "no route", std::nullopt};
  }
  call.priority = call.route->priority;
  if (auto why = find_workspace(call)) {
    return *why;
  }
  if (received.body.size() > call.configuration->declared().max_body_bytes) {
    return call_refusal{http::status::payload_too_large, "body over the limit", std::nullopt};
  }
  call.content = gateway::content_of(call.workspace, received);
  if (auto why = held_refusal(call)) {
    return *why;
  }
  const auto leaving = state_.leaving_since();
  const bool stream = call.route->kind == gateway::call_kind::stream;
  if (leaving && stream && now > *leaving + last_stream_start) {
    return call_refusal{http::status::unavailable, "this daemon is about to end",
                        now + retry_elsewhere};
  }
  call.deadline = now + call.route->timeout;
  if (call.description.deadline) {
    call.deadline = std::min(call.deadline, *call.description.deadline);
  }
  call.service = draw_service(*call.route);
  return call;
}

std::optional<call_refusal> call_relay::find_workspace(admitted_call& call) const
{
  const auto& declared = call.configuration->declared();
  if (declared.workspaces.empty()) {
    return std::nullopt;
  }
  const auto* workspace = call.configuration->workspace_of(call.description.api_key);
  if (workspace == nullptr) {
    return call.route->is_public ? std::nullopt
                                 : std::optional(call_refusal{http::status::unauthorized,
                                                              "unknown key", std::nullopt});
  }
  call.workspace = workspace->id;
  call.priority = workspace->priority.value_or(call.priority);
  call.quota_units = 1;
  if (workspace->counts_tokens) {
    const auto& size = call.description.size;
    call.quota_units =
        size ? static_cast<double>(size->prompt + size->output) : workspace->default_request_tokens;
  }
  return std::nullopt;
}

// The status is one after which callers stop. A hold outlasts every caller's deadline, so that one
// which came back, as after 503, would only be refused again.
std::optional<call_refusal> call_relay::held_refusal(const admitted_call& call)
{
  const auto hold = crashes_.hold_of(call);
  if (!hold) {
    return std::nullopt;
  }
  return call_refusal{.status = http::status::bad_request,
                      .reason = "not run: requests like it have ended endpoints",
                      .retry_at = std::nullopt,
                      .inputs = fields_of(call.content, *hold)};
}

asio::awaitable<std::optional<call_refusal>> call_relay::take_quota(admitted_call& call)
{
  if (call.workspace.empty()) {
    co_return std::nullopt;
  }
  const auto decided = co_await peers_.admit(call.workspace, call.quota_units);
  const bool admitted = decided.outcome == gateway::quota_outcome::admitted;
  state_.counters.count(
      "quota_units", {{"workspace", call.workspace.value()}, {"admitted", admitted ? "yes" : "no"}},
      static_cast<std::uint64_t>(call.quota_units));
  if (admitted) {
    co_return std::nullopt;
  }
  co_return call_refusal{.status = http::status::too_many_requests,
                         .reason = "workspace over its rate",
                         .retry_at = decided.retry_at,
                         .inputs = {{"workspace", call.workspace.value()},
                                    {"content", to_string(call.content)},
                                    {"units", std::to_string(call.quota_units)},
                                    {"daemons_counted", std::to_string(state_.peers.running_count(
                                                            call.received_at))}}};
}

const std::string& call_relay::draw_service(const gateway::route& r)
{
  std::uint64_t total = 0;
  for (const auto& s : r.services) {
    total += s.weight;
  }
  std::uint64_t drawn = total == 0 ? 0 : random_() % total;
  for (const auto& s : r.services) {
    if (drawn < s.weight) {
      return s.service;
    }
    drawn -= s.weight;
  }
  return r.services.front().service;
}

asio::awaitable<void> call_relay::relay(std::shared_ptr<admitted_call> call,
                                        http::response_writer& writer)
{
  writer.on_peer_closed([weak = std::weak_ptr<admitted_call>(call)] {
    if (const auto live = weak.lock()) {
      live->caller_gone = true;
      if (live->exchange) {
        live->exchange->cancel();
      }
    }
  });
  try {
    bool again = true;
    while (again) {
      again = co_await try_endpoint(*call, writer);
    }
  } catch (const http::http_error& e) {
    // The answer could not be written: the caller has gone or does not read.
    state_.counters.count("callers_gone");
    writer.abort();
  }
  state_.counters.observe("call_time", std::chrono::steady_clock::now() - call->received_at,
                          {{"route", call->route->name}});
}

asio::awaitable<bool> call_relay::try_endpoint(admitted_call& call, http::response_writer& writer)
{
  if (call.caller_gone) {
    writer.abort();
    co_return false;
  }
  if (const auto why = held_refusal(call)) {
    co_await end_held(call, *why, writer);
    co_return false;
  }
  const auto trial = crashes_.begin(call);
  auto choice = choose(call);
  if (const auto* none = std::get_if<routing::no_endpoint>(&choice)) {
    co_await give_up(call, writer, *none);
    co_return false;
  }
  auto& endpoint = std::get<gateway::pooled_endpoint>(choice);
  call.excluded.push_back(endpoint.id);
  attempt one(context_, state_, client_, call, std::move(endpoint));
  auto result = co_await one.run(writer);
  log_.on_attempt(call, result);
  co_await crashes_.on_attempt(call, result);
  const bool again = co_await conclude(call, result, writer);
  co_return again;
}

asio::awaitable<bool> call_relay::conclude(admitted_call& call, attempt_result& last,
                                           http::response_writer& writer)
{
  if (last.how == attempt_result::end::caller_lost) {
    state_.counters.count("callers_gone");
    writer.abort();
    co_return false;
  }
  const bool in_time = std::chrono::steady_clock::now() < call.deadline;
  if (last.how == attempt_result::end::not_sent) {
    if (++call.connect_failures < most_connect_failures && in_time) {
      co_return true;
    }
    co_await give_up(call, writer);
    co_return false;
  }
  call.history = gateway::record_attempt(call.history, last.outcome);
  call.history.timed_out = last.timed_out;
  if (in_time && may_repeat(call, last)) {
    if (last.how == attempt_result::end::whole && last.outcome == attempt_outcome::failed) {
      call.failure = std::move(last.answer);
    }
    co_return true;
  }
  co_await finish(call, last, writer);
  co_return false;
}

asio::awaitable<void> call_relay::end_held(admitted_call& call, const call_refusal& why,
                                           http::response_writer& writer)
{
  if (call.history.may_have_run) {
    co_await give_up(call, writer);
    co_return;
  }
  state_.quota.refund(call.workspace, call.quota_units, std::chrono::steady_clock::now());
  co_await refuse(call.received, why, writer);
}

bool call_relay::may_repeat(const admitted_call& call, const attempt_result& last)
{
  if (last.outcome == attempt_outcome::answered || !gateway::may_retry(*call.route, call.history)) {
    return false;
  }
  // A stream that has begun can only go on where it stopped.
  if (call.answer_begun && !call.last_event) {
    return false;
  }
  return state_.retries.take(call.service, std::chrono::steady_clock::now());
}

// Passes the last attempt's answer on, or ends the call with an answer of the gateway's own.
asio::awaitable<void> call_relay::finish(admitted_call& call, attempt_result& last,
                                         http::response_writer& writer)
{
  if (last.how == attempt_result::end::stream_ended && call.answer_begun) {
    log_.on_answer(call, last.answer.status);
    co_await writer.finish_stream();
    co_return;
  }
  const bool own_answer =
      last.how == attempt_result::end::whole &&
      (last.outcome == attempt_outcome::answered || last.outcome == attempt_outcome::failed);
  if (own_answer && !call.answer_begun) {
    log_.on_answer(call, last.answer.status);
    co_await writer.send(std::move(last.answer));
    co_return;
  }
  co_await give_up(call, writer);
}

asio::awaitable<void> call_relay::give_up(admitted_call& call, http::response_writer& writer,
                                          routing::no_endpoint why)
{
  if (call.failure && !call.answer_begun) {
    log_.on_answer(call, call.failure->status);
    co_await writer.send(std::move(*call.failure));
    co_return;
  }
  const auto now = std::chrono::steady_clock::now();
  const int status = gateway::final_status(call.history);
  log_.on_given_up(call, call.answer_begun ? "cut short" : std::to_string(status), why, now);
  if (call.answer_begun) {
    // The caller must see that the answer is not whole.
    writer.abort();
    co_return;
  }
  if (!call.history.may_have_run) {
    state_.quota.refund(call.workspace, call.quota_units, now);
  }
  std::optional<mono_time> retry_at;
  if (status == http::status::unavailable) {
    retry_at =
        gateway::retry_time({.now = now, .open_at = why.retry_at, .rank = call.priority}, random_);
  }
  auto out = adapter::refusal(status, to_string(why.reason), retry_at, now);
  co_await writer.send(std::move(out));
}

gateway::pool_choice call_relay::choose(const admitted_call& call)
{
  const auto now = std::chrono::steady_clock::now();
  if (call.history.sent == 0 && call.connect_failures == 0) {
    state_.retries.on_call(call.service, now);
  }
  const auto& d = call.description;
  gateway::selection_criteria wish{.service = call.service,
                                   .prompt = d.prompt,
                                   .size = d.size,
                                   .target = call.received_at + call.route->target_latency,
                                   .deadline = call.deadline,
                                   .excluded = call.excluded,
                                   .may_be_refused = !call.history.may_have_run};
  return choose_version(call, wish, now);
}

gateway::pool_choice call_relay::choose_version(const admitted_call& call,
                                                gateway::selection_criteria& wish, mono_time now)
{
  using side = gateway::version_selection::subset;
  if (!state_.version_calls.is_open(call.service)) {
    return state_.endpoints.choose(wish, now);
  }
  const auto key = gateway::split_prompt(call.description.prompt).shared_key;
  const bool is_repeat = call.history.sent > 0 || call.connect_failures > 0;
  wish.lane = state_.version_calls.select(
      {.service = call.service, .route = call.route->name, .affinity_key = key.value_or(random_())},
      is_repeat, state_.fleet_time());
  auto choice = state_.endpoints.choose(wish, now);
  const bool has_other = wish.lane.endpoints == side::trial || wish.lane.endpoints == side::target;
  if (has_other && std::holds_alternative<routing::no_endpoint>(choice)) {
    wish.lane.endpoints = side::baseline; // its endpoints are there until the order has succeeded
    choice = state_.endpoints.choose(wish, now);
  }
  return choice;
}

} // namespace wisteriaflow::relay
