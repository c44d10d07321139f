#include "core/request_table.h"

#include <algorithm>
#include <utility>

#include "core/http_conversions.h"
#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/claims/errors.h"
#include "wisteriaflow/claims/request_key.h"
#include "wisteriaflow/requests/completion_render.h"
#include "wisteriaflow/requests/errors.h"
#include "wisteriaflow/routing/prefix_blocks.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int bytes_per_token = 4; // estimate for English text
constexpr std::chrono::milliseconds draining_retry{1'000};
constexpr std::chrono::milliseconds readiness_check{100};
constexpr double unlimited = 1e12; // a share that is never reached

admission::admission_options admission_options_of(const daemon_core_options& o)
{
  return {.max_in_flight = static_cast<int>(o.requests_in_flight_limit)};
}

requests::refusal_reason reason_of(admission::refusal_reason reason)
{
  switch (reason) {
  case admission::refusal_reason::unknown_workspace:
  case admission::refusal_reason::over_share:
    return requests::refusal_reason::over_share;
  case admission::refusal_reason::daemon_full:
  case admission::refusal_reason::batch_shed:
    return requests::refusal_reason::overloaded;
  case admission::refusal_reason::deadline_unreachable:
    return requests::refusal_reason::deadline_too_near;
  case admission::refusal_reason::no_endpoint:
    return requests::refusal_reason::no_endpoint;
  }
  return requests::refusal_reason::overloaded;
}

http::headers stream_head(const active_request& r)
{
  return {{.name = "Content-Type", .value = "text/event-stream"},
          {.name = "Cache-Control", .value = "no-store"},
          {.name = "Wisteriaflow-Request-Id", .value = r.id}};
}

objects::label_set labels_of(const requests::call_headers& headers)
{
  try {
    return objects::label_set({headers.labels.begin(), headers.labels.end()});
  } catch (const objects::objects_error& e) {
    throw requests::invalid_request(400, "Wisteriaflow-Labels", e.what());
  }
}

// The answer of a request without an idempotency key is kept under the request's id, so that a
// caller whose call was cut off can fetch it.
requests::answer_key answer_key_of(const requests::call_headers& headers, const std::string& id)
{
  return {.workspace = headers.workspace, .key = headers.key.empty() ? id : headers.key};
}

} // namespace

service_target split_service_target(std::string_view target)
{
  constexpr std::string_view prefix = "/services/";
  if (!target.starts_with(prefix)) {
    return {};
  }
  target.remove_prefix(prefix.size());
  const auto end = target.find_first_of("/?");
  service_target out;
  out.service = std::string(target.substr(0, end));
  out.target = end == std::string_view::npos ? "/" : std::string(target.substr(end));
  if (out.target.front() != '/') {
    out.target.insert(out.target.begin(), '/');
  }
  return out;
}

request_table::request_table(core_context& context, request_services services)
    : context_(context), services_(services),
      admission_(admission_options_of(context.options()), {.self = context.options().self}),
      retries_({.fraction = context.options().retry_budget}),
      answers_({.max_bytes = context.options().answer_memory_bytes})
{
}

requests::call_limits request_table::limits() const
{
  const auto& o = context_.options();
  requests::call_limits out;
  out.default_timeout = o.default_timeout;
  out.max_timeout = o.max_timeout;
  out.max_prompt_bytes = o.prompt_limit_bytes;
  out.max_body_bytes = 2 * o.prompt_limit_bytes + 65'536;
  out.max_tokens = static_cast<std::uint64_t>(o.output_token_limit);
  out.max_priority = static_cast<int>(objects::highest_priority);
  return out;
}

std::string request_table::next_id()
{
  return context_.options().self.value() + "-" +
         std::to_string(services_.members.view().self().incarnation) + "-" +
         std::to_string(++last_id_);
}

active_request* request_table::find(const std::string& id)
{
  const auto it = active_.find(id);
  return it == active_.end() ? nullptr : it->second.get();
}

// Refuses a call that cannot be processed now, because the daemon is draining or does not know its
// configuration yet, or retries it later by `again`. A daemon that has just started cannot know
// whether another daemon has run a key: a call with a key therefore waits until the daemon is
// ready, but not longer than `ready_by`.
void request_table::refuse_or_defer(call_number call, const http::request& message,
                                    mono_time ready_by, std::function<void()> again)
{
  const bool ready = services_.config.ready();
  const auto retry_at = context_.now().wall + draining_retry;
  const requests::answer_key key{
      .workspace =
          workspace_id(std::string(http::find_header(message.fields, "Wisteriaflow-Workspace"))),
      .key = std::string(http::find_header(message.fields, "Idempotency-Key"))};
  if (ready) {
    refuse_or_redirect(call, key,
                       {requests::refusal_reason::draining, retry_at,
                        "this daemon is leaving: ask another address"});
  } else if (!key.key.empty() && context_.now().mono < ready_by) {
    ++pending_lookups_;
    context_.timers().schedule(context_.now().mono + readiness_check, [this, again] {
      --pending_lookups_;
      again();
    });
  } else if (!key.key.empty()) {
    send_outcome(call, requests::outcome_unknown{requests::unknown_reason::earlier_run_lost});
  } else {
    send_outcome(call,
                 requests::refused_not_run{requests::refusal_reason::no_endpoint, retry_at,
                                           "this daemon does not know the configuration yet"});
  }
}

// A request whose key was run by another daemon must not be reported as not run. Its caller is
// redirected to that daemon.
void request_table::refuse_or_redirect(call_number call, const requests::answer_key& key,
                                       const requests::refused_not_run& refusal)
{
  if (key.key.empty()) {
    send_outcome(call, refusal);
    return;
  }
  ++pending_lookups_;
  services_.directory.find(key, [this, call, key, refusal](const std::string& address) {
    --pending_lookups_;
    if (address.empty()) {
      send_outcome(call, refusal);
    } else {
      send_answer_location(call, key, address);
    }
  });
}

void request_table::open_completion(call_number call, http::request message)
{
  open_completion(call, std::move(message), context_.now().mono + readiness_wait);
}

void request_table::open_completion(call_number call, http::request message, mono_time ready_by)
{
  if (!can_open()) {
    refuse_or_defer(call, message, ready_by,
                    [this, call, message, ready_by] { open_completion(call, message, ready_by); });
    return;
  }
  try {
    auto parsed = requests::parse_completion_request(to_fields(message.fields), message.body,
                                                     context_.now(), limits());
    const auto id = next_id();
    requests::request_lifecycle_options options{.request_id = id,
                                                .model = parsed.model.value(),
                                                .idempotent = parsed.headers.idempotent,
                                                .keyed = !parsed.headers.key.empty(),
                                                .prompt_tokens =
                                                    parsed.prompt.size() / bytes_per_token,
                                                .retention = context_.options().answer_retention};
    auto fresh = std::make_unique<active_request>(id, options, requests::handed_over_state{});
    fresh->key = answer_key_of(parsed.headers, id);
    fresh->body_hash = parsed.body_hash;
    fresh->headers = parsed.headers;
    fresh->message = std::move(message);
    const bool streamed = parsed.stream;
    fresh->completion = std::move(parsed);
    open(call, std::move(fresh), streamed);
  } catch (const requests::invalid_request& e) {
    send_outcome(call, e.result());
  }
}

void request_table::open_service_call(call_number call, http::request message,
                                      const std::string& service, std::string target)
{
  open_service_call(call, std::move(message), {.service = service, .target = std::move(target)},
                    context_.now().mono + readiness_wait);
}

void request_table::open_service_call(call_number call, http::request message, service_target where,
                                      mono_time ready_by)
{
  if (!can_open()) {
    refuse_or_defer(call, message, ready_by, [this, call, message, where, ready_by] {
      open_service_call(call, message, where, ready_by);
    });
    return;
  }
  const auto& [service, target] = where;
  const auto* declared = services_.config.current()->find_service(service);
  if (declared == nullptr) {
    send_outcome(call, requests::invalid{status_not_found, "no service named " + service});
    return;
  }
  const auto& methods = declared->idempotent_methods;
  const bool idempotent =
      std::find(methods.begin(), methods.end(), message.method) != methods.end();
  if (http::find_header(message.fields, "Wisteriaflow-Idempotent").empty()) {
    message.fields.push_back(
        {.name = "Wisteriaflow-Idempotent", .value = idempotent ? "true" : "false"});
  }
  try {
    auto headers =
        requests::parse_call_headers(to_fields(message.fields), context_.now(), limits());
    const auto id = next_id();
    requests::request_lifecycle_options options{.request_id = id,
                                                .generation = false,
                                                .idempotent = headers.idempotent,
                                                .keyed = !headers.key.empty(),
                                                .retention = context_.options().answer_retention};
    auto fresh = std::make_unique<active_request>(id, options, requests::handed_over_state{});
    fresh->key = answer_key_of(headers, id);
    fresh->body_hash = hash128_of(message.method + " " + message.target + "\n" + message.body);
    fresh->headers = std::move(headers);
    fresh->message = std::move(message);
    fresh->service_target = target;
    fresh->request_route.service = service;
    open(call, std::move(fresh), false);
  } catch (const requests::invalid_request& e) {
    send_outcome(call, e.result());
  }
}

// Sets the route of a generation from its headers and body. From the sizes it is later estimated
// whether the request can finish on a leaving endpoint.
bool request_table::set_route(active_request& r) const
{
  const objects::request_description description{.workspace = r.headers.workspace,
                                                 .labels = labels_of(r.headers),
                                                 .model = r.completion->model};
  const auto found = services_.placer.route_for(*services_.config.current(), description);
  if (!found) {
    return false;
  }
  r.request_route = *found;
  r.request_route.blocks =
      routing::prefix_block_hashes(r.request_route.model, r.completion->prompt);
  r.request_route.prompt_tokens = static_cast<int>(r.completion->prompt.size()) / bytes_per_token;
  r.request_route.output_tokens = static_cast<int>(r.completion->max_tokens);
  return true;
}

// Determines the route, looks up the key, and admits the request if it is new.
void request_table::open(call_number call, request_ptr fresh, bool streamed)
{
  auto& r = *fresh;
  r.received_at = context_.now().mono;
  const auto& configuration = *services_.config.current();
  if (configuration.find_workspace(r.headers.workspace) == nullptr) {
    throw requests::invalid_request(status_not_found, "Wisteriaflow-Workspace",
                                    "no workspace named " + r.headers.workspace.value());
  }
  if (r.is_generation()) {
    if (!set_route(r)) {
      throw requests::invalid_request(status_not_found, "model",
                                      "no routing intent selects this request for model " +
                                          r.completion->model.value());
    }
  }
  r.request_route.deadline = r.headers.deadline;
  const attached_call attached{.call = call, .streamed = streamed};
  const auto opened = answers_.open(r.key, r.body_hash, r.id);
  if (const auto* found = std::get_if<requests::answer_found>(&opened)) {
    send_kept_answer(call, found->answer, streamed, 0);
  } else if (const auto* run = std::get_if<requests::run_joined>(&opened)) {
    attach_call(run->request_id, attached);
  } else if (std::holds_alternative<requests::body_mismatch>(opened)) {
    throw requests::invalid_request(409, "Idempotency-Key", "was used before with another body");
  } else if (std::holds_alternative<requests::store_full>(opened)) {
    send_outcome(call, requests::refused_not_run{requests::refusal_reason::overloaded,
                                                 context_.now().wall + draining_retry, ""});
  } else {
    retries_.on_first_attempt();
    r.calls.push_back(attached);
    calls_.emplace(call, r.id);
    const auto id = r.id;
    active_.emplace(id, std::move(fresh));
    admit(*find(id));
  }
}

admission::admission_request request_table::admission_request_of(const active_request& r)
{
  admission::admission_request out;
  out.workspace = r.headers.workspace;
  out.tokens = r.request_route.prompt_tokens + r.request_route.output_tokens;
  out.priority = r.request_route.batch ? admission::request_priority::batch
                                       : admission::request_priority::interactive;
  out.deadline = r.headers.deadline;
  out.utilisation = services_.placer.utilisation(*services_.config.current(), r.request_route);
  return out;
}

void request_table::admit(active_request& r)
{
  const auto id = r.id;
  r.deadline_timer = context_.timers().schedule(r.headers.deadline, [this, id] {
    if (auto* late = find(id)) {
      feed(*late, requests::deadline_passed{});
    }
  });
  auto wanted = admission_request_of(r);
  const auto tried = services_.placer.place(*services_.config.current(), r.request_route, {});
  const auto* none = std::get_if<not_placed>(&tried);
  if (none == nullptr) {
    wanted.first_token_at = std::get<placed>(tried).first_token_at;
  } else if (none->reason == routing::no_endpoint_reason::deadline_unreachable) {
    wanted.first_token_at = r.headers.deadline + (none->retry_at - context_.now().mono);
  }
  const auto decided = admission_.admit(wanted, context_.now().mono, context_.random());
  if (const auto* refused = std::get_if<admission::refused>(&decided)) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(refused->retry_at -
                                                                            context_.now().mono);
    refuse_admission(r, {.reason = reason_of(refused->reason),
                         .retry_at = context_.now().wall + wait,
                         .message = std::string(to_string(refused->reason))});
    return;
  }
  r.admitted = std::get<admission::admitted>(decided);
  // A request that must be claimed first may be running at another daemon, whose directory entry
  // must not be overwritten.
  if (r.options.keyed && r.options.idempotent) {
    services_.directory.publish(r.key, to_string(context_.options().caller_address));
  }
  feed(r, requests::admission_granted{});
}

// A request that must not run twice may have been run by another daemon under its key. Its caller
// is then redirected to that daemon.
void request_table::refuse_admission(active_request& r, const requests::admission_refused& refusal)
{
  if (r.options.idempotent) {
    feed(r, refusal);
    return;
  }
  ++pending_lookups_;
  services_.directory.find(r.key, [this, id = r.id, refusal](const std::string& address) {
    --pending_lookups_;
    if (auto* refused = find(id)) {
      refused->answer_address = address;
      feed(*refused, refusal);
    }
  });
}

void request_table::attach_call(const std::string& id, attached_call call)
{
  auto* r = find(id);
  if (r == nullptr) {
    send_outcome(call.call, requests::outcome_unknown{requests::unknown_reason::earlier_run_lost});
    return;
  }
  const bool alone = r->calls.empty();
  r->calls.push_back(call);
  calls_.emplace(call.call, id);
  if (alone) {
    feed(*r, requests::caller_reconnected{});
  }
  if (auto* still = find(id)) {
    send_tokens(*still);
  }
}

// Passes one event to the request's state machine, and then, in order, the events that its actions
// cause.
void request_table::feed(active_request& r, requests::request_event event)
{
  events_.emplace_back(r.id, std::move(event));
  if (processing_events_) {
    return;
  }
  processing_events_ = true;
  while (!events_.empty()) {
    const auto [id, next] = std::move(events_.front());
    events_.pop_front();
    auto* target = find(id);
    if (target == nullptr) {
      continue;
    }
    for (const auto& a : target->lifecycle.handle(next, context_.now())) {
      std::visit([&](const auto& one) { perform(*target, one); }, a);
    }
    send_tokens(*target);
    if (target->lifecycle.finished()) {
      close(*target);
    }
  }
  processing_events_ = false;
}

// Sends each streamed call the tokens that it has not been sent yet.
void request_table::send_tokens(active_request& r)
{
  const auto& tokens = r.lifecycle.tokens();
  for (auto& c : r.calls) {
    if (!c.streamed || c.next_offset >= tokens.size()) {
      continue;
    }
    if (!c.head_sent) {
      c.head_sent = true;
      http::response head{.fields = stream_head(r)};
      context_.emit(caller_action(begin_response{.call = c.call, .head = std::move(head)}));
    }
    std::string bytes;
    for (; c.next_offset < tokens.size(); ++c.next_offset) {
      bytes += requests::render_token_event(c.next_offset, tokens[c.next_offset]);
    }
    context_.emit(caller_action(write_response{.call = c.call, .bytes = std::move(bytes)}));
  }
}

void request_table::send_outcome(call_number call, const requests::outcome& result)
{
  context_.counters().count("calls_total", {{"outcome", std::string(name_of(result))}});
  auto response = to_response(requests::outcome_response(result, context_.now().wall));
  context_.emit(caller_action(respond{.call = call, .response = std::move(response)}));
}

void request_table::send_kept_answer(call_number call, const requests::kept_answer& answer,
                                     bool streamed, std::uint64_t from)
{
  context_.counters().count("kept_answers_sent_total");
  const bool answered = std::holds_alternative<requests::answered>(answer.result);
  if (!streamed || !answered || answer.tokens.empty()) {
    context_.emit(caller_action(respond{.call = call, .response = to_response(answer.response)}));
    return;
  }
  http::response head{.fields = {{.name = "Content-Type", .value = "text/event-stream"}}};
  context_.emit(caller_action(begin_response{.call = call, .head = std::move(head)}));
  std::string bytes;
  for (auto i = from; i < answer.tokens.size(); ++i) {
    bytes += requests::render_token_event(i, answer.tokens[i]);
  }
  bytes += requests::render_final_events(answer.finish_reason, answer.usage);
  context_.emit(caller_action(write_response{.call = call, .bytes = std::move(bytes)}));
  context_.emit(caller_action(end_response{.call = call}));
}

void request_table::on_caller_closed(call_number call)
{
  auto node = calls_.extract(call);
  if (node.empty()) {
    return;
  }
  auto* r = find(node.mapped());
  if (r == nullptr) {
    return;
  }
  std::erase_if(r->calls, [call](const attached_call& c) { return c.call == call; });
  if (r->calls.empty()) {
    feed(*r, requests::caller_disconnected{});
  }
}

void request_table::on_configuration_changed()
{
  admission::workspace_amounts shares;
  for (const auto& w : services_.config.current()->workspaces()) {
    auto& amounts = shares[w.id()];
    amounts[admission::share_unit::requests_per_second] = w.requests_per_second.value_or(unlimited);
    amounts[admission::share_unit::tokens_per_second] = w.tokens_per_second.value_or(unlimited);
    amounts[admission::share_unit::tokens_in_flight] =
        w.max_tokens_in_flight ? static_cast<double>(*w.max_tokens_in_flight) : unlimited;
  }
  const auto daemons = services_.members.live_daemon_ids().size();
  admission_.limiter().set_daemon_count(std::max(1, static_cast<int>(daemons)));
  admission_.limiter().set_shares(shares, context_.now().mono);
}

void request_table::refresh_shares()
{
  const auto now = context_.now().mono;
  const auto& self = context_.options().self;
  auto& shares = admission_.limiter();
  const auto daemons = services_.members.live_daemon_ids();
  shares.set_daemon_count(std::max(1, static_cast<int>(daemons.size())));
  auto& usage = services_.members.gossip().usage();
  const auto own = shares.local_demand(now);
  admission::workspace_amounts of_others;
  for (const auto& [workspace, demand] : own.demand) {
    const auto tokens = demand[admission::share_unit::tokens_per_second];
    const auto requests = demand[admission::share_unit::requests_per_second];
    usage.set_local_usage(workspace, tokens, requests);
    const auto fleet = usage.fleet_usage(workspace, now);
    if (!fleet || daemons.size() < 2) {
      continue;
    }
    // Only the fleet's total is known. The usage of the other daemons is assumed to be spread
    // evenly among them.
    const auto others = static_cast<double>(daemons.size() - 1);
    auto& amounts = of_others[workspace];
    amounts[admission::share_unit::tokens_per_second] =
        std::max(0.0, fleet->tokens_per_second - tokens) / others;
    amounts[admission::share_unit::requests_per_second] =
        std::max(0.0, fleet->requests_per_second - requests) / others;
    amounts[admission::share_unit::tokens_in_flight] =
        demand[admission::share_unit::tokens_in_flight];
  }
  for (const auto& daemon : daemons) {
    if (daemon != self && !of_others.empty()) {
      shares.on_demand_report(
          {.daemon = daemon, .demand = of_others, .valid_until = own.valid_until});
    }
  }
  shares.refresh(now);
}

} // namespace wisteriaflow::core::internal
