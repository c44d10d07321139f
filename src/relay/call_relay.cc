#include "relay/call_relay.h"

#include <algorithm>
#include <utility>

#include <absl/cleanup/cleanup.h>

#include "messages.h"
#include "wisteriaflow/gateway/retry_time.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/status.h"
#include "wisteriaflow/load/rank.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;
using gateway::attempt_outcome;

// A call is ended after this many failed connections, each to another endpoint.
constexpr unsigned max_connect_failures = 4;
// Retry-After of a daemon that has no configuration, endpoint list or list of daemons yet. It reads
// them within a few exchanges with the store or a peer.
constexpr milliseconds not_ready_retry_delay{250};
// Retry-After of a leaving daemon. The caller sends the call to another daemon.
constexpr milliseconds other_daemon_retry_delay{20};
// A daemon that knows the version of a stream and did not reply may do so after this time.
constexpr milliseconds unknown_version_retry_delay{500};
// While another request probes a held part.
constexpr milliseconds min_hold_retry_delay{1'000};
// An endpoint of a version of which none is left may start again, but not at once.
constexpr milliseconds ended_version_retry_delay{1'000};

double stated_units(const gateway::token_size& size)
{
  // Whatever a caller states: a larger number would leave the workspace in debt for hours.
  constexpr double max_quota_units = 10'000'000;
  return std::min(max_quota_units,
                  static_cast<double>(size.prompt) + static_cast<double>(size.output));
}

// Class of the call in its workspace's quota. Ranks compare only calls of one service: calls of a
// service without different ranks, such as a plain one, yield to no others.
load::rank_class quota_rank(const admitted_call& call)
{
  return call.configuration->has_ranks(call.service) ? load::rank_class_of(call.route->priority)
                                                     : load::rank_class::urgent;
}

} // namespace

call_relay::call_relay(asio::io_context& context, fleet_state& state, peer_sync& peers,
                       endpoint_transport& transport, origin_exchange& origins)
    : context_(context), state_(state), peers_(peers), transport_(transport), origins_(origins),
      crash_detector_(state), log_(state), random_(state.seed())
{
}

asio::awaitable<void> call_relay::serve(http::request received, http::response_writer& writer)
{
  ++open_calls_;
  const absl::Cleanup end = [this] { --open_calls_; };
  auto decision = admit(received, std::chrono::steady_clock::now());
  if (const auto* why = std::get_if<call_refusal>(&decision)) {
    co_await refuse(received, *why, writer);
    co_return;
  }
  auto call = std::make_shared<admitted_call>(std::move(std::get<admitted_call>(decision)));
  admitted_.insert(call.get());
  const absl::Cleanup remove = [this, id = call.get()] { admitted_.erase(id); };
  co_await serve_admitted(call, std::move(received), writer);
}

asio::awaitable<void> call_relay::serve_admitted(std::shared_ptr<admitted_call> call,
                                                 http::request received,
                                                 http::response_writer& writer)
{
  auto refusal = co_await take_quota(*call);
  if (!refusal) {
    refusal = co_await find_version(*call);
    if (refusal) {
      refund_quota(*call);
    }
  }
  if (refusal) {
    co_await refuse(received, *refusal, writer);
    co_return;
  }
  call->received = std::move(received);
  co_await relay(std::move(call), writer);
}

void call_relay::end_open_calls()
{
  const auto now = std::chrono::steady_clock::now();
  for (auto* call : admitted_) {
    log_.on_open_at_end(*call, now);
    call->is_abandoned = true;
    if (call->exchange) {
      call->exchange->cancel();
    }
  }
}

asio::awaitable<void> call_relay::refuse(const http::request& received, call_refusal why,
                                         http::response_writer& writer)
{
  log_.on_refused(received, why);
  auto out = adapter::make_error_response(why.status, why.reason, why.retry_at,
                                          std::chrono::steady_clock::now());
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
    const auto* missing = call.configuration ? "no list of endpoints yet" : "no configuration yet";
    return call_refusal{http::status::service_unavailable, missing, now + not_ready_retry_delay};
  }
  call.route = call.configuration->match(call.description.host, call.description.path);
  if (call.route == nullptr) {
    return call_refusal{http::status::not_found, "no route", std::nullopt};
  }
  call.priority = call.route->priority;
  call.engine_level = call.configuration->engine_level(*call.route, nullptr);
  if (auto why = resolve_workspace(call)) {
    return *why;
  }
  if (received.body.size() > call.configuration->declared().max_body_bytes) {
    return call_refusal{http::status::payload_too_large, "body over the limit", std::nullopt};
  }
  call.content = gateway::content_of(call.workspace, received);
  call.suspects = gateway::suspects_of(call.content, call.description.prompt);
  if (auto why = check_hold(call)) {
    return *why;
  }
  call.deadline = now + call.route->timeout;
  if (call.description.deadline) {
    call.deadline = std::min(call.deadline, *call.description.deadline);
  }
  if (const auto& drain = state_.drain(); drain && !drain->can_finish(now, call.deadline)) {
    return call_refusal{http::status::service_unavailable, "this daemon is about to end",
                        now + other_daemon_retry_delay};
  }
  call.service = pick_service(*call.route);
  return call;
}

std::optional<call_refusal> call_relay::resolve_workspace(admitted_call& call) const
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
  call.engine_level = call.configuration->engine_level(*call.route, workspace);
  call.quota_units = 1;
  if (workspace->counts_tokens) {
    const auto& size = call.description.size;
    call.quota_units = size ? stated_units(*size) : workspace->default_request_tokens;
  }
  return std::nullopt;
}

// A content is refused with a status that callers do not retry: the hold outlasts the deadline of
// its only caller. The callers of a part are many, and are told from when on it may be sent again;
// so are those of a contested content, which may be cleared as long as a request that ran when an
// endpoint ended may still run.
std::optional<call_refusal> call_relay::check_hold(const admitted_call& call)
{
  const auto found = crash_detector_.active_hold(call);
  if (!found) {
    return std::nullopt;
  }
  const auto& [suspect, hold] = *found;
  call_refusal why{.status = http::status::bad_request,
                   .reason = "not run: requests like it have ended endpoints",
                   .retry_at = std::nullopt,
                   .log_details = hold_log_fields(suspect, hold, state_.running_answers)};
  const bool may_be_cleared =
      hold.is_contested && state_.fleet_time() < hold.last_crash_at + call.route->timeout;
  if (may_be_cleared) {
    why.status = http::status::service_unavailable;
    why.reason = "not run: requests like it may have ended endpoints";
    why.retry_at = std::chrono::steady_clock::now() + min_hold_retry_delay;
  } else if (is_prompt_part(suspect)) {
    why.status = http::status::service_unavailable;
    why.reason = "not run: requests with a part of its prompt have ended endpoints";
    why.retry_at =
        std::chrono::steady_clock::now() +
        std::max<wall_time::duration>(hold.probe_at - state_.fleet_time(), min_hold_retry_delay);
  }
  return why;
}

asio::awaitable<std::optional<call_refusal>> call_relay::take_quota(admitted_call& call)
{
  if (call.workspace.empty()) {
    co_return std::nullopt;
  }
  call.quota_rank = quota_rank(call);
  const auto rank = call.quota_rank;
  const auto decision = co_await peers_.admit(call.workspace, call.quota_units, rank);
  const bool admitted = decision.outcome == gateway::quota_outcome::admitted;
  state_.counters.count(
      "quota_units", {{"workspace", call.workspace.value()}, {"admitted", admitted ? "yes" : "no"}},
      static_cast<std::uint64_t>(call.quota_units));
  state_.counters.count(
      "quota_units_by_rank",
      {{"rank", std::to_string(load::index_of(rank))}, {"admitted", admitted ? "yes" : "no"}},
      static_cast<std::uint64_t>(call.quota_units));
  if (admitted) {
    co_return std::nullopt;
  }
  if (decision.outcome == gateway::quota_outcome::fleet_unknown) {
    co_return call_refusal{.status = http::status::service_unavailable,
                           .reason = "fleet not known yet",
                           .retry_at = call.received_at + not_ready_retry_delay};
  }
  co_return call_refusal{
      .status = http::status::too_many_requests,
      .reason = "workspace over its rate",
      .retry_at = decision.retry_at,
      .log_details = {
          {"workspace", call.workspace.value()},
          {"content", to_string(call.content)},
          {"units", std::to_string(call.quota_units)},
          {"daemons_counted", std::to_string(state_.peers.running_count(call.received_at))}}};
}

asio::awaitable<std::optional<call_refusal>> call_relay::find_version(admitted_call& call)
{
  const auto& d = call.description;
  if (!call.is_resumable_stream() || !d.is_resume()) {
    co_return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  // A caller that does not say which stream it means is like one whose stream nobody knows.
  const auto& started_by = d.resumed_request.empty() ? d.request_id : d.resumed_request;
  gateway::origin_question question{.stream = gateway::stream_id_of(call.workspace, started_by),
                                    .services = state_.stream_services(),
                                    .since = now - stream_memory(*call.route)};
  const auto services = services_of(*call.route);
  auto found = co_await origins_.find(std::move(question));
  const std::string evidence(to_string(found.evidence));
  state_.counters.count("resume_requests", {{"version_from", evidence}});
  log_fields details = {{"resumes", d.resumed_request}, {"version_from", evidence}};
  if (found.version) {
    details.emplace_back("version", found.version->version);
  }
  for (auto& field : to_log_fields(found.basis)) {
    details.push_back(std::move(field));
  }
  log_.on_resumed(call, details);
  call_refusal why{.status = http::status::service_unavailable, .log_details = std::move(details)};
  if (!found.version) {
    why.reason = "the version that started the stream is not known";
    why.retry_at = now + unknown_version_retry_delay;
    co_return why;
  }
  const bool is_on_route =
      std::find(services.begin(), services.end(), found.version->service) != services.end();
  if (!is_on_route || !state_.endpoints.serves_version(*found.version)) {
    why.reason = "no endpoint of the version that started the stream";
    why.retry_at = now + ended_version_retry_delay;
    co_return why;
  }
  call.service = found.version->service;
  call.stream_version = std::move(found.version);
  co_return std::nullopt;
}

void call_relay::refund_quota(const admitted_call& call)
{
  state_.quota.refund(call.workspace, call.quota_units, std::chrono::steady_clock::now(),
                      call.quota_rank);
}

const std::string& call_relay::pick_service(const gateway::route& r)
{
  std::uint64_t total = 0;
  for (const auto& s : r.services) {
    total += s.weight;
  }
  std::uint64_t pick = total == 0 ? 0 : random_() % total;
  for (const auto& s : r.services) {
    if (pick < s.weight) {
      return s.service;
    }
    pick -= s.weight;
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
    bool needs_retry = true;
    while (needs_retry) {
      needs_retry = co_await try_endpoint(*call, writer);
    }
  } catch (const http::http_error& e) {
    // The answer could not be written: the caller disconnected or does not read.
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
  if (call.is_abandoned) {
    co_await fail_call(call, writer);
    co_return false;
  }
  if (const auto why = check_hold(call)) {
    co_await end_held_call(call, *why, writer);
    co_return false;
  }
  const auto hold_probe = crash_detector_.begin_hold_probe(call);
  auto choice = choose_endpoint(call);
  if (std::holds_alternative<routing::no_endpoint>(choice) && !call.unsent.empty()) {
    // Nothing has reached these endpoints; by now a peer may carry the call to them.
    std::erase_if(call.excluded, [&call](const endpoint_id& id) {
      return std::find(call.unsent.begin(), call.unsent.end(), id) != call.unsent.end();
    });
    call.unsent.clear();
    choice = choose_endpoint(call);
  }
  if (const auto* none = std::get_if<routing::no_endpoint>(&choice)) {
    co_await fail_call(call, writer, *none);
    co_return false;
  }
  auto& endpoint = std::get<gateway::pooled_endpoint>(choice);
  if (endpoint.reason) {
    state_.counters.count(
        "endpoint_choices",
        {{"service", call.service}, {"reason", std::string(to_string(*endpoint.reason))}});
  }
  call.excluded.push_back(endpoint.id);
  const auto process = endpoint.process();
  attempt one(context_, state_, transport_, origins_, call, std::move(endpoint));
  one.on_well_begun([this, &call, &process] { crash_detector_.on_well_begun(call, process); });
  auto result = co_await one.run(writer);
  log_.on_attempt(call, result);
  crash_detector_.on_attempt(call, result);
  const bool needs_retry = co_await handle_result(call, result, writer);
  co_return needs_retry;
}

asio::awaitable<bool> call_relay::handle_result(admitted_call& call, attempt_result& last,
                                                http::response_writer& writer)
{
  if (last.end == attempt_result::end_state::caller_disconnected) {
    state_.counters.count("callers_gone");
    writer.abort();
    co_return false;
  }
  const bool in_time = !call.is_abandoned && std::chrono::steady_clock::now() < call.deadline;
  if (last.end == attempt_result::end_state::not_sent) {
    if (last.cause == failure_cause::link && !last.relay) {
      call.unsent.push_back(last.endpoint.id);
    }
    call.link_failures += last.had_place ? 1 : 0;
    if (++call.connect_failures < max_connect_failures && in_time) {
      co_return true;
    }
    co_await fail_call(call, writer);
    co_return false;
  }
  call.history = gateway::record_attempt(call.history, last.outcome);
  call.history.timed_out = last.timed_out;
  if (in_time && may_retry(call, last)) {
    if (last.end == attempt_result::end_state::complete &&
        last.outcome == attempt_outcome::failed) {
      call.failure_response = std::move(last.answer);
    }
    co_return true;
  }
  co_await send_final_answer(call, last, writer);
  co_return false;
}

asio::awaitable<void> call_relay::end_held_call(admitted_call& call, const call_refusal& why,
                                                http::response_writer& writer)
{
  if (call.history.may_have_run) {
    co_await fail_call(call, writer);
    co_return;
  }
  refund_quota(call);
  co_await refuse(call.received, why, writer);
}

bool call_relay::may_retry(admitted_call& call, const attempt_result& last)
{
  const bool has_retry = std::exchange(call.has_retry, false);
  if (last.outcome == attempt_outcome::answered || !gateway::may_retry(*call.route, call.history)) {
    return false;
  }
  // A stream that has begun can only be resumed after its last event.
  if (call.stream_started && !call.last_event_id) {
    return false;
  }
  return has_retry || state_.retries.take(call.service, std::chrono::steady_clock::now());
}

// Forwards the last attempt's answer, or ends the call with an error of the gateway.
asio::awaitable<void> call_relay::send_final_answer(admitted_call& call, attempt_result& last,
                                                    http::response_writer& writer)
{
  if (last.end == attempt_result::end_state::stream_complete && call.stream_started) {
    log_.on_answer(call, last.answer.status);
    co_await writer.finish_stream();
    on_stream_completed(call);
    co_return;
  }
  const bool is_complete =
      last.end == attempt_result::end_state::complete &&
      (last.outcome == attempt_outcome::answered || last.outcome == attempt_outcome::failed);
  if (is_complete && !call.stream_started) {
    log_.on_answer(call, last.answer.status);
    co_await writer.send(std::move(last.answer));
    co_return;
  }
  co_await fail_call(call, writer);
}

void call_relay::on_stream_completed(const admitted_call& call)
{
  if (!call.is_resumable_stream()) {
    return;
  }
  const auto& d = call.description;
  origins_.on_completed(gateway::stream_id_of(call.workspace, d.request_id));
  if (!d.resumed_request.empty()) {
    origins_.on_completed(gateway::stream_id_of(call.workspace, d.resumed_request));
  }
}

asio::awaitable<void> call_relay::fail_call(admitted_call& call, http::response_writer& writer,
                                            routing::no_endpoint why)
{
  if (call.failure_response && !call.stream_started) {
    log_.on_answer(call, call.failure_response->status);
    co_await writer.send(std::move(*call.failure_response));
    co_return;
  }
  const auto now = std::chrono::steady_clock::now();
  const int status = gateway::final_status(call.history);
  log_.on_call_failed(call, call.stream_started ? "cut short" : std::to_string(status), why, now);
  if (call.stream_started) {
    // Closes the connection without an end of the stream: the caller must see that the answer is
    // incomplete.
    writer.abort();
    co_return;
  }
  if (!call.history.may_have_run) {
    refund_quota(call);
  }
  std::optional<mono_time> retry_at;
  if (status == http::status::service_unavailable) {
    const gateway::refused_call refused{
        .now = now, .available_at = why.retry_at, .rank = call.priority};
    retry_at =
        call.is_abandoned ? now + other_daemon_retry_delay : gateway::retry_time(refused, random_);
  }
  auto out = adapter::make_error_response(status, to_string(why.reason), retry_at, now);
  co_await writer.send(std::move(out));
}

std::vector<std::string> call_relay::unrecorded_versions(const admitted_call& call,
                                                         mono_time now) const
{
  std::vector<std::string> out;
  if (call.is_resumable_stream()) {
    const auto in_use = state_.endpoints.versions().in_use({call.service}, now);
    for (const auto& v : state_.recorded.missing(in_use)) {
      out.push_back(v.version);
    }
  }
  return out;
}

gateway::pool_choice call_relay::choose_endpoint(const admitted_call& call)
{
  const auto now = std::chrono::steady_clock::now();
  if (call.history.sent == 0 && call.connect_failures == 0) {
    state_.retries.on_call(call.service, now);
  }
  const auto& d = call.description;
  gateway::selection_criteria criteria{.service = call.service,
                                       .prompt = d.prompt,
                                       .size = d.size,
                                       .target = call.received_at + call.route->target_latency,
                                       .deadline = call.deadline,
                                       .excluded = call.excluded,
                                       .may_be_refused = !call.history.may_have_run,
                                       .may_be_repeated =
                                           call.route->repeatable() &&
                                           call.history.sent + 1 < call.route->max_attempts};
  const auto* service = call.configuration->service(call.service);
  criteria.kv_tokens = service != nullptr && service->engine ? service->engine->kv_tokens : 0;
  if (call.configuration->has_ranks(call.service)) {
    criteria.rank = load::rank_class_of(call.route->priority);
  }
  const auto unrecorded = unrecorded_versions(call, now);
  criteria.barred_versions = unrecorded;
  if (call.stream_version) {
    criteria.required_version = call.stream_version->version;
    return state_.endpoints.choose(criteria, now);
  }
  return choose_endpoint_by_version(call, criteria, now);
}

gateway::pool_choice call_relay::choose_endpoint_by_version(const admitted_call& call,
                                                            gateway::selection_criteria& criteria,
                                                            mono_time now)
{
  using side = gateway::version_selection::subset;
  if (!state_.version_calls.is_open(call.service)) {
    return state_.endpoints.choose(criteria, now);
  }
  const auto key = gateway::split_prompt(call.description.prompt).shared_key;
  const bool is_retry = call.history.sent > 0 || call.connect_failures > 0;
  criteria.versions = state_.version_calls.select(
      {.service = call.service, .route = call.route->name, .affinity_key = key.value_or(random_())},
      is_retry, state_.fleet_time());
  auto choice = state_.endpoints.choose(criteria, now);
  const bool has_other =
      criteria.versions.endpoints == side::trial || criteria.versions.endpoints == side::target;
  if (has_other && std::holds_alternative<routing::no_endpoint>(choice)) {
    criteria.versions.endpoints =
        side::baseline; // it keeps endpoints until the rollout has succeeded
    choice = state_.endpoints.choose(criteria, now);
  }
  return choice;
}

} // namespace wisteriaflow::relay
