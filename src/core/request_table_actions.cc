// The part of request_table that performs the actions of a request's state machine.

#include <algorithm>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include "core/http_conversions.h"
#include "core/request_table.h"
#include "wisteriaflow/claims/errors.h"
#include "wisteriaflow/claims/request_key.h"
#include "wisteriaflow/requests/completion_render.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr int status_see_other = 303;
constexpr std::chrono::milliseconds claim_retry{1'000};
constexpr std::chrono::milliseconds budget_retry{1'000};

std::string caller_address_text(const daemon_core_options& o)
{
  return to_string(o.caller_address);
}

} // namespace

void request_table::perform(active_request& r, const requests::claim_key& /*a*/)
{
  try {
    const auto now = context_.now();
    const auto key = claims::request_key::parse(r.headers.key, now.wall);
    const claim_parameters parameters{.key = key.hash_for(r.headers.workspace),
                                      .body_hash = r.body_hash.low,
                                      .created = key.created(),
                                      .workspace = r.headers.workspace,
                                      .deadline = r.headers.deadline};
    const auto id = r.id;
    r.claim_nonce = services_.claims.claim(parameters, [this, id](const claim_outcome& outcome) {
      if (auto* claimed = find(id)) {
        on_claim(*claimed, outcome);
      }
    });
    by_nonce_.emplace(r.claim_nonce, r.id);
  } catch (const claims::invalid_key_error& e) {
    // The format of the key was checked with the headers. What remains is a key whose creation time
    // is in the future.
    feed(r, requests::claim_unavailable{context_.now().wall + claim_retry});
  }
}

void request_table::on_claim(active_request& r, const claim_outcome& outcome)
{
  using requests::duplicate_state;
  context_.counters().observe(
      "claim_seconds", std::chrono::duration<double>(context_.now().mono - r.received_at).count());
  if (const auto* granted = std::get_if<claims::dispatch_claimed>(&outcome)) {
    services_.directory.publish(r.key, caller_address_text(context_.options()));
    feed(r, requests::claim_granted{granted->nonce});
    return;
  }
  if (const auto* other = std::get_if<claims::follow_executor>(&outcome)) {
    const bool answered = other->state == claims::execution_state::answered;
    const auto address = services_.members.caller_address_of(other->executor);
    feed(r, requests::claim_duplicate{answered ? duplicate_state::answered_elsewhere
                                               : duplicate_state::in_flight_elsewhere,
                                      address});
    return;
  }
  if (std::holds_alternative<claims::report_body_mismatch>(outcome)) {
    feed(r, requests::claim_duplicate{duplicate_state::body_mismatch, {}});
    return;
  }
  const auto* refused = std::get_if<claims::refuse_claim>(&outcome);
  if (refused != nullptr && refused->key_free) {
    feed(r, requests::claim_unavailable{context_.now().wall + claim_retry});
    return;
  }
  // An earlier submission of the key may have run. If an executor that is gone now has handed it
  // over, the answer directory knows the daemon that has it.
  services_.directory.find(r.key, [this, id = r.id](const std::string& address) {
    if (auto* waiting = find(id)) {
      const auto state =
          address.empty() ? duplicate_state::outcome_unknown : duplicate_state::in_flight_elsewhere;
      feed(*waiting, requests::claim_duplicate{state, address});
    }
  });
}

void request_table::perform(active_request& r, const requests::start_attempt& a)
{
  const auto chosen =
      services_.placer.place(*services_.config.current(), r.request_route, a.exclude);
  const auto* where = std::get_if<placed>(&chosen);
  if (where == nullptr) {
    feed(r, requests::attempt_failed{.attempt = a.attempt,
                                     .kind = requests::failure_kind::no_endpoint});
    return;
  }
  feed(r, requests::attempt_started{.attempt = a.attempt, .endpoint = where->endpoint});
  if (a.transfer) {
    import_then_start(r, a, *where);
  } else {
    start_exchange_for(r, a, *where);
  }
}

void request_table::perform(active_request& r, const requests::cancel_attempt& a)
{
  if (!r.running || r.running->attempt != a.attempt) {
    if (a.confirm) {
      feed(r, requests::cancel_failed{a.attempt});
    }
    return;
  }
  const auto run = *r.running;
  if (!a.confirm) {
    services_.endpoints.cancel(run.exchange);
    end_attempt(r);
  }
  cancel_at_engine(r, run, a.confirm);
}

void request_table::perform(active_request& r, const requests::ask_retry& /*a*/)
{
  const auto now = context_.now();
  if (!retries_.try_retry(now.mono)) {
    context_.counters().count("retries_denied_total");
    feed(r, requests::retry_denied{now.wall + budget_retry});
    return;
  }
  context_.counters().count("retries_total");
  const auto due = admission::next_retry_at({}, r.retries++, now.mono, context_.random());
  context_.timers().schedule(due, [this, id = r.id] {
    if (auto* waiting = find(id)) {
      feed(*waiting, requests::retry_granted{});
    }
  });
}

void request_table::perform(active_request& r, const requests::export_kv& a)
{
  if (!r.running || r.running->attempt != a.attempt) {
    feed(r, requests::kv_export_failed{a.attempt});
    return;
  }
  http::request message{.method = "POST", .target = "/kv/export"};
  message.body =
      boost::json::serialize(boost::json::object{{"request_id", r.engine_request_id(a.attempt)}});
  message.fields.push_back({.name = "Content-Type", .value = "application/json"});
  const auto deadline = context_.now().mono + context_.options().platform_call_timeout;
  services_.endpoints.call(
      r.running->address, std::move(message), deadline,
      [this, id = r.id, attempt = a.attempt](const std::optional<http::response>& response) {
        auto* moving = find(id);
        if (moving == nullptr) {
          return;
        }
        boost::json::error_code ec;
        const auto document =
            response ? boost::json::parse(response->body, ec) : boost::json::value();
        const auto* o = document.if_object();
        if (!response || response->status != 200 || o == nullptr || !o->contains("handle")) {
          feed(*moving, requests::kv_export_failed{attempt});
          return;
        }
        const auto* tokens = o->if_contains("tokens");
        const auto n = tokens != nullptr && tokens->is_number() ? tokens->to_number<std::uint64_t>()
                                                                : moving->lifecycle.tokens().size();
        feed(*moving,
             requests::kv_exported{.attempt = attempt,
                                   .handle = boost::json::value_to<std::string>(o->at("handle")),
                                   .tokens = n});
      });
}

void request_table::perform(active_request& r, const requests::send_head& a)
{
  r.answer.status = a.status;
  r.answer.fields = to_headers(a.fields);
}

// Does nothing: send_tokens() sends each streamed call the tokens that it lacks.
void request_table::perform(active_request& /*r*/, const requests::send_token& /*a*/) {}

void request_table::perform(active_request& r, const requests::send_body& a)
{
  r.answer.body = a.bytes;
}

void request_table::perform(active_request& r, const requests::keep_answer& a)
{
  r.keep_until = a.until;
}

void request_table::perform(active_request& r, const requests::redirect& a)
{
  for (auto& c : r.calls) {
    calls_.erase(c.call);
    if (a.address.empty()) {
      send_outcome(c.call, requests::outcome_unknown{requests::unknown_reason::earlier_run_lost});
      continue;
    }
    const auto location = "http://" + a.address + "/v1/answers/" + r.key.key;
    if (c.head_sent) {
      // A stream that has started cannot be redirected. Its last event gives the location at which
      // it continues.
      const auto body = boost::json::serialize(boost::json::object{{"location", location}});
      context_.emit(caller_action(
          write_response{.call = c.call, .bytes = "event: moved\ndata: " + body + "\n\n"}));
      context_.emit(caller_action(end_response{.call = c.call}));
      continue;
    }
    http::response moved{.status = status_see_other};
    moved.fields.push_back({.name = "Location", .value = location});
    context_.emit(caller_action(respond{.call = c.call, .response = std::move(moved)}));
  }
  r.calls.clear();
  if (!a.address.empty() && a.address != caller_address_text(context_.options())) {
    services_.directory.publish(r.key, a.address);
  }
  answers_.release(r.key);
}

requests::response_parts request_table::complete_response_of(const active_request& r,
                                                             const requests::finish& end) const
{
  if (!std::holds_alternative<requests::answered>(end.result)) {
    return requests::outcome_response(end.result, context_.now().wall);
  }
  auto out = requests::outcome_response(end.result, context_.now().wall);
  out.status = r.answer.status;
  for (const auto& field : r.answer.fields) {
    out.fields.push_back({.name = field.name, .value = field.value});
  }
  out.fields.push_back({.name = "Wisteriaflow-Request-Id", .value = r.id});
  out.body = r.answer.body;
  return out;
}

void request_table::complete_call(active_request& r, attached_call& c, const requests::finish& end)
{
  const bool answered = std::holds_alternative<requests::answered>(end.result);
  const bool refused = std::holds_alternative<requests::refused_not_run>(end.result);
  if (refused && !r.answer_address.empty()) {
    send_answer_location(c.call, r.key, r.answer_address);
    return;
  }
  const bool is_stream =
      c.streamed && (c.head_sent || (answered && r.is_generation() && r.answer.status == 200));
  if (!is_stream) {
    context_.emit(caller_action(
        respond{.call = c.call, .response = to_response(complete_response_of(r, end))}));
    return;
  }
  if (!c.head_sent) {
    http::response head{.fields = {{.name = "Content-Type", .value = "text/event-stream"},
                                   {.name = "Wisteriaflow-Request-Id", .value = r.id}}};
    context_.emit(caller_action(begin_response{.call = c.call, .head = std::move(head)}));
  }
  auto last = answered ? requests::render_final_events(end.finish_reason, end.usage)
                       : requests::render_error_event(end.result, context_.now().wall);
  context_.emit(caller_action(write_response{.call = c.call, .bytes = std::move(last)}));
  context_.emit(caller_action(end_response{.call = c.call}));
}

void request_table::perform(active_request& r, const requests::finish& a)
{
  send_tokens(r);
  for (auto& c : r.calls) {
    calls_.erase(c.call);
    complete_call(r, c, a);
  }
  r.calls.clear();
  count_outcome(r, a.result);
  if (r.keep_until) {
    requests::kept_answer kept{.result = a.result,
                               .response = complete_response_of(r, a),
                               .tokens = r.lifecycle.tokens(),
                               .finish_reason = a.finish_reason,
                               .usage = a.usage};
    answers_.keep(r.key, r.body_hash, std::move(kept), *r.keep_until);
  } else {
    answers_.release(r.key);
  }
  if (r.claim_nonce == 0) {
    return;
  }
  if (std::holds_alternative<requests::refused_not_run>(a.result)) {
    services_.claims.cancel(r.claim_nonce);
    services_.claims.note_not_run(r.claim_nonce);
    return;
  }
  const bool answered = std::holds_alternative<requests::answered>(a.result);
  const request_status status{.state = answered ? request_state::answered
                                                : request_state::outcome_unknown,
                              .caller_address = caller_address_text(context_.options())};
  ended_claims_.insert_or_assign(r.claim_nonce, status);
  ended_claims_by_expiry_.emplace(context_.now().wall + context_.options().answer_retention,
                                  r.claim_nonce);
}

void request_table::count_outcome(const active_request& r, const requests::outcome& result)
{
  auto& counters = context_.counters();
  const std::string kind = r.is_generation() ? "generation" : "service";
  counters.count("requests_total", {{"outcome", std::string(name_of(result))}, {"kind", kind}});
  counters.count("workspace_requests_total", {{"workspace", r.headers.workspace.value()}});
  counters.observe("request_seconds",
                   std::chrono::duration<double>(context_.now().mono - r.received_at).count());
  counters.count("recomputed_tokens_total", {},
                 static_cast<double>(r.lifecycle.recomputed_tokens()));
}

// Releases the resources of a request after the last action of its state machine was performed.
void request_table::close(active_request& r)
{
  context_.timers().cancel(r.deadline_timer);
  if (r.running) {
    services_.endpoints.cancel(r.running->exchange);
    end_attempt(r);
  }
  if (r.admitted) {
    const auto used = static_cast<double>(r.request_route.prompt_tokens) +
                      static_cast<double>(r.lifecycle.tokens().size());
    admission_.finish(*r.admitted, used, context_.now().mono);
  }
  by_nonce_.erase(r.claim_nonce);
  const auto now = context_.now().wall;
  while (!ended_claims_by_expiry_.empty() && ended_claims_by_expiry_.begin()->first < now) {
    ended_claims_.erase(ended_claims_by_expiry_.begin()->second);
    ended_claims_by_expiry_.erase(ended_claims_by_expiry_.begin());
  }
  answers_.expire(now);
  const auto id = r.id;
  active_.erase(id);
}

} // namespace wisteriaflow::core::internal
