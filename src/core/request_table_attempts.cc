// The part of request_table for attempts, which are exchanges with endpoints, and for moves of
// requests away from leaving endpoints.

#include <algorithm>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "core/http_conversions.h"
#include "core/request_table.h"
#include "wisteriaflow/requests/errors.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr std::size_t error_body_limit = 65'536;
constexpr std::chrono::milliseconds move_check{250};

// Returns whether a header field is forwarded. Fields that concern a single connection or the
// daemon are not.
bool is_forwarded(const std::string& name)
{
  static const std::vector<std::string> not_forwarded = {"connection", "content-length",
                                                         "expect",     "host",
                                                         "keep-alive", "te",
                                                         "trailer",    "transfer-encoding",
                                                         "upgrade",    "idempotency-key",
                                                         "request-id"};
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  if (lower.starts_with("proxy-") || lower.starts_with("wisteriaflow-")) {
    return false;
  }
  return std::find(not_forwarded.begin(), not_forwarded.end(), lower) == not_forwarded.end();
}

http::headers end_to_end(const http::headers& in)
{
  http::headers out;
  std::copy_if(in.begin(), in.end(), std::back_inserter(out),
               [](const http::header& field) { return is_forwarded(field.name); });
  return out;
}

requests::failure_kind kind_of(exchange_failure failure)
{
  switch (failure) {
  case exchange_failure::not_sent:
    return requests::failure_kind::connect_failed;
  case exchange_failure::timed_out:
    return requests::failure_kind::timed_out;
  case exchange_failure::interrupted:
    return requests::failure_kind::interrupted;
  }
  return requests::failure_kind::interrupted;
}

} // namespace

http::request request_table::message_for(const active_request& r,
                                         const requests::start_attempt& a) const
{
  http::request out;
  if (!r.is_generation()) {
    out.method = r.message.method;
    out.target = r.service_target;
    out.fields = end_to_end(r.message.fields);
    out.body = r.message.body;
  } else {
    out.method = "POST";
    out.target = "/v1/completions";
    out.fields.push_back({.name = "Content-Type", .value = "application/json"});
    const auto priority = r.headers.priority.value_or(static_cast<int>(r.request_route.priority));
    out.body = requests::render_engine_body(*r.completion, {.model = r.request_route.model.value(),
                                                            .priority = priority,
                                                            .resume_tokens = a.resume_tokens,
                                                            .resume_text = a.resume_text});
  }
  out.fields.push_back({.name = "Request-Id", .value = r.engine_request_id(a.attempt)});
  if (!r.headers.key.empty()) {
    out.fields.push_back({.name = "Idempotency-Key", .value = r.headers.key});
  }
  return out;
}

void request_table::start_exchange_for(active_request& r, const requests::start_attempt& a,
                                       const placed& where)
{
  const auto id = r.id;
  const auto n = a.attempt;
  exchange_observer observer;
  observer.on_head = [this, id, n](const http::response& head) { on_attempt_head(id, n, head); };
  observer.on_bytes = [this, id, n](const std::string& bytes) { on_attempt_bytes(id, n, bytes); };
  observer.on_ended = [this, id, n] { on_attempt_ended(id, n); };
  observer.on_failed = [this, id, n](exchange_failure f) { on_attempt_failed(id, n, f); };
  const auto now = context_.now().mono;
  const int to_compute = std::max(0, r.request_route.prompt_tokens - where.expected_cached_tokens);
  running_attempt run;
  run.attempt = n;
  run.endpoint = where.endpoint;
  run.address = where.address;
  run.expected_cached_tokens = where.expected_cached_tokens;
  run.sent = services_.members.endpoints().on_sent(where.slot, to_compute, now);
  run.exchange = services_.endpoints.open(where.address, message_for(r, a), r.headers.deadline,
                                          r.is_generation(), std::move(observer));
  services_.members.prefixes().on_sent(where.slot, r.request_route.blocks, now);
  r.running = std::move(run);
  context_.counters().count("attempts_total",
                            {{"kind", r.is_generation() ? "generation" : "service"}});
}

// Imports the exported KV cache and starts the attempt. If the import fails, an idempotent request
// only has to recompute its tokens, because its attempt contains the text as well. For any other
// request, an attempt without the cache would be a second run, so that it fails.
void request_table::import_then_start(active_request& r, const requests::start_attempt& a,
                                      const placed& where)
{
  // The leaving endpoint need not be in the subset of this daemon, if it has just started or has
  // taken the request over from a peer.
  const auto from = services_.members.endpoint_address_of(a.transfer->from);
  http::request message{.method = "POST", .target = "/kv/import"};
  message.fields.push_back({.name = "Content-Type", .value = "application/json"});
  message.body =
      boost::json::serialize(boost::json::object{{"handle", a.transfer->handle}, {"from", from}});
  const auto deadline = context_.now().mono + context_.options().platform_call_timeout;
  services_.endpoints.call(
      where.address, std::move(message), deadline,
      [this, id = r.id, a, where](const std::optional<http::response>& response) {
        auto* moving = find(id);
        if (moving == nullptr || moving->lifecycle.endpoint() != where.endpoint) {
          return;
        }
        const bool imported = response && response->status == status_ok;
        context_.counters().count("kv_imports_total", {{"result", imported ? "ok" : "failed"}});
        if (imported || moving->options.idempotent) {
          start_exchange_for(*moving, a, where);
          return;
        }
        feed(*moving, requests::attempt_failed{.attempt = a.attempt,
                                               .kind = requests::failure_kind::interrupted});
      });
}

active_request* request_table::find_running(const std::string& id, requests::attempt_number n)
{
  auto* r = find(id);
  return r != nullptr && r->running && r->running->attempt == n ? r : nullptr;
}

void request_table::on_attempt_head(const std::string& id, requests::attempt_number n,
                                    const http::response& head)
{
  auto* r = find_running(id, n);
  if (r == nullptr) {
    return;
  }
  services_.members.on_connected(r->running->endpoint);
  r->running->status = head.status;
  r->running->fields = end_to_end(head.fields);
  if (!r->is_generation() || head.status == status_ok) {
    feed(*r, requests::attempt_head{
                 .attempt = n, .status = head.status, .fields = to_fields(r->running->fields)});
  }
}

void request_table::on_attempt_bytes(const std::string& id, requests::attempt_number n,
                                     const std::string& bytes)
{
  auto* r = find_running(id, n);
  if (r == nullptr) {
    return;
  }
  if (!r->is_generation()) {
    feed(*r, requests::body_arrived{.attempt = n, .bytes = bytes});
    return;
  }
  if (r->running->status != status_ok) {
    const auto room = error_body_limit - std::min(error_body_limit, r->running->error_body.size());
    r->running->error_body += bytes.substr(0, room);
    return;
  }
  std::vector<requests::engine_event> events;
  try {
    events = r->running->parser.feed(bytes);
  } catch (const requests::stream_error& e) {
    context_.log(severity::warn, "an engine's stream is malformed",
                 {{"endpoint", r->running->endpoint.value()}, {"problem", e.what()}});
    services_.endpoints.cancel(r->running->exchange);
    on_attempt_failed(id, n, exchange_failure::interrupted);
    return;
  }
  for (const auto& e : events) {
    r = find_running(id, n); // An earlier event may have ended the attempt.
    if (r == nullptr) {
      return;
    }
    if (const auto* token = std::get_if<requests::engine_token>(&e)) {
      record_first_token(*r);
      feed(*r, requests::token_arrived{.attempt = n, .offset = token->offset, .text = token->text});
    } else if (const auto* end = std::get_if<requests::engine_finish>(&e)) {
      r->running->finish = *end;
      r->running->finish_received = true;
    }
  }
}

void request_table::record_first_token(active_request& r)
{
  if (r.running->first_token_at) {
    return;
  }
  const auto now = context_.now().mono;
  r.running->first_token_at = now;
  r.running->tokens_before = r.lifecycle.tokens().size();
  services_.members.endpoints().on_first_token(r.running->sent, now);
  if (r.running->attempt == 1) {
    context_.counters().observe("first_token_seconds",
                                std::chrono::duration<double>(now - r.received_at).count());
  }
}

void request_table::count_token_usage(const requests::token_usage& usage)
{
  auto& counters = context_.counters();
  counters.count("prompt_tokens_total", {}, static_cast<double>(usage.prompt_tokens));
  counters.count("cached_tokens_total", {}, static_cast<double>(usage.cached_tokens));
  counters.count("completion_tokens_total", {}, static_cast<double>(usage.completion_tokens));
}

// Records that the attempt has finished at its endpoint.
void request_table::end_attempt(active_request& r)
{
  if (!r.running) {
    return;
  }
  const auto tokens = static_cast<int>(r.lifecycle.tokens().size());
  services_.members.endpoints().on_finished(r.running->sent, tokens, context_.now().mono);
  r.running.reset();
}

void request_table::on_attempt_ended(const std::string& id, requests::attempt_number n)
{
  auto* r = find_running(id, n);
  if (r == nullptr) {
    return;
  }
  const auto run = *r->running;
  if (r->is_generation() && run.status != status_ok) {
    end_attempt(*r);
    feed(*r, requests::attempt_failed{.attempt = n,
                                      .kind = requests::failure_kind::endpoint_status,
                                      .response = {.status = run.status,
                                                   .fields = to_fields(run.fields),
                                                   .body = run.error_body}});
    return;
  }
  if (run.finish_received) {
    count_token_usage(run.finish.usage);
  }
  end_attempt(*r);
  feed(*r, requests::attempt_finished{.attempt = n,
                                      .tokens = run.finish.tokens,
                                      .finish_reason = run.finish.finish_reason,
                                      .usage = run.finish.usage});
}

void request_table::on_attempt_failed(const std::string& id, requests::attempt_number n,
                                      exchange_failure failure)
{
  auto* r = find_running(id, n);
  if (r == nullptr) {
    return;
  }
  if (failure == exchange_failure::not_sent) {
    services_.members.on_connect_failed(r->running->endpoint);
  }
  end_attempt(*r);
  feed(*r, requests::attempt_failed{.attempt = n, .kind = kind_of(failure)});
}

// Cancels an attempt at the engine, which frees its batch slot. With `confirm`, the request's state
// machine waits for the result: whether the run has stopped.
void request_table::cancel_at_engine(active_request& r, const running_attempt& run, bool confirm)
{
  if (!r.is_generation()) {
    if (confirm) {
      feed(r, requests::cancel_failed{run.attempt});
    }
    return;
  }
  http::request message{.method = "DELETE",
                        .target = "/v1/requests/" + r.engine_request_id(run.attempt)};
  const auto deadline = context_.now().mono + context_.options().platform_call_timeout;
  services_.endpoints.call(
      run.address, std::move(message), deadline,
      [this, id = r.id, n = run.attempt, confirm](const std::optional<http::response>& response) {
        auto* cancelled = find(id);
        if (cancelled == nullptr || !confirm) {
          return;
        }
        const bool stopped =
            response && (response->status == status_ok || response->status == status_not_found ||
                         response->status == 204);
        if (!stopped) {
          feed(*cancelled, requests::cancel_failed{n});
          return;
        }
        if (cancelled->running && cancelled->running->attempt == n) {
          services_.endpoints.cancel(cancelled->running->exchange);
          end_attempt(*cancelled);
        }
        feed(*cancelled, requests::cancel_confirmed{n});
      });
}

requests::move_estimate request_table::estimate_move(const active_request& r,
                                                     std::optional<wall_time> reclaim_at) const
{
  // Rates used until there are samples. They are moderate, so that they rule out no kind of move.
  constexpr double default_transfer_rate = 50'000; // tokens/s of KV cache
  constexpr double default_prefill_rate = 8'000;
  constexpr double default_decode_rate = 30;
  constexpr std::chrono::seconds default_notice{5};
  requests::move_estimate out;
  const auto now = context_.now();
  out.reclaim_at = now.mono + default_notice;
  if (reclaim_at) {
    out.reclaim_at = now.mono + (*reclaim_at - now.wall);
  }
  const auto made = r.lifecycle.tokens().size();
  out.kv_tokens = static_cast<std::uint64_t>(r.request_route.prompt_tokens) + made;
  const auto wanted = static_cast<std::uint64_t>(std::max(0, r.request_route.output_tokens));
  out.remaining_tokens = wanted > made ? wanted - made : 0;
  out.transfer_rate = default_transfer_rate;
  out.prefill_rate = default_prefill_rate;
  out.decode_rate = default_decode_rate;
  const auto slot = services_.members.endpoints().find(r.lifecycle.endpoint());
  if (slot) {
    const auto& state = services_.members.endpoints().at(*slot);
    out.decode_rate = state.decode_rate.sampled() ? state.decode_rate.value() : default_decode_rate;
    out.prefill_rate =
        state.prefill_rate.sampled() ? state.prefill_rate.value() : default_prefill_rate;
  }
  out.decode_rate = measured_decode_rate(r).value_or(out.decode_rate);
  return out;
}

// Returns the decode rate of this attempt, which is more accurate than the endpoint's average, or
// nothing before it has produced enough tokens.
std::optional<double> request_table::measured_decode_rate(const active_request& r) const
{
  constexpr std::size_t enough = 4;
  if (!r.running || !r.running->first_token_at) {
    return std::nullopt;
  }
  const auto made = r.lifecycle.tokens().size() - r.running->tokens_before;
  const std::chrono::duration<double> took = context_.now().mono - *r.running->first_token_at;
  if (made < enough || took.count() <= 0) {
    return std::nullopt;
  }
  return static_cast<double>(made) / took.count();
}

std::vector<std::string> request_table::requests_on(const endpoint_id& endpoint) const
{
  std::vector<std::string> out;
  for (const auto& [id, r] : active_) {
    if (r->lifecycle.endpoint() == endpoint) {
      out.push_back(id);
    }
  }
  return out;
}

void request_table::on_endpoint_leaving(const endpoint_id& endpoint,
                                        std::optional<wall_time> reclaim_at)
{
  context_.counters().count("moves_total", {}, static_cast<double>(requests_on(endpoint).size()));
  update_moves(endpoint, reclaim_at);
}

// Repeats the decision periodically until the endpoint runs no request or is gone: the estimate
// that a request could finish in time may have been wrong, and a move that failed may succeed now.
void request_table::update_moves(const endpoint_id& endpoint, std::optional<wall_time> reclaim_at)
{
  const auto affected = requests_on(endpoint);
  const bool gone = reclaim_at && *reclaim_at <= context_.now().wall;
  if (affected.empty() || gone) {
    return;
  }
  for (const auto& id : affected) {
    if (auto* r = find(id)) {
      feed(*r, requests::reclaim_announced{.endpoint = endpoint,
                                           .estimate = estimate_move(*r, reclaim_at)});
    }
  }
  context_.timers().schedule(context_.now().mono + move_check,
                             [this, endpoint, reclaim_at] { update_moves(endpoint, reclaim_at); });
}

} // namespace wisteriaflow::core::internal
