#include "relay/call_log.h"

#include <chrono>
#include <utility>

#include "messages.h"
#include "wisteriaflow/base/hex.h"
#include "wisteriaflow/http/framing.h"

namespace wisteriaflow::relay {
namespace {

using gateway::attempt_outcome;
using std::chrono::milliseconds;

void add_reason(log_fields& to, const attempt_result& result)
{
  if (!result.reason.empty()) {
    to.emplace_back("reason", result.reason);
  }
}

// Adds the parts of the prompt that other requests may have in common.
void add_prompt_parts(log_fields& to, const gateway::call_description& description)
{
  std::string parts;
  for (std::size_t i = 0; i + 1 < description.prompt.size(); ++i) {
    parts += (i == 0 ? "" : ",") + to_hex(description.prompt[i].id);
  }
  if (!parts.empty()) {
    to.emplace_back("prompt_parts", std::move(parts));
  }
}

template <typename value_type>
void add_statement_field(log_fields& to, const char* name,
                         const std::optional<gateway::parsed_value<value_type>>& statement)
{
  if (statement) {
    to.emplace_back(name, statement->text);
  }
}

// Adds what the endpoint stated of itself, as the original text.
void add_statement(log_fields& to, const gateway::endpoint_statement& statement)
{
  add_statement_field(to, "said_leaving", statement.leaving);
  add_statement_field(to, "said_request_rate", statement.request_rate);
  add_statement_field(to, "said_pause_seconds", statement.pause);
  add_statement_field(to, "said_rejection_limit", statement.rejection_limit);
}

} // namespace

void call_log::count_answer(const admitted_call& call, const std::string& status)
{
  state_.counters.count("answers", {{"route", call.route->name}, {"status", status}});
}

void call_log::on_answer(const admitted_call& call, int status)
{
  count_answer(call, std::to_string(status));
}

void call_log::on_call_failed(const admitted_call& call, const std::string& status,
                              const routing::no_endpoint& why, mono_time now)
{
  count_answer(call, status);
  log_fields fields = {{"request", call.description.request_id},
                       {"content", to_string(call.content)},
                       {"route", call.route->name},
                       {"status", status},
                       {"attempts", std::to_string(call.history.sent)},
                       {"connect_failures", std::to_string(call.connect_failures)},
                       {"configuration", std::to_string(call.configuration->version())},
                       {"serving", std::to_string(state_.endpoints.serving(call.service).size())}};
  if (why.retry_at) {
    const auto wait = std::chrono::duration_cast<milliseconds>(*why.retry_at - now);
    const std::string reason(to_string(why.reason));
    fields.emplace_back("reason", reason);
    fields.emplace_back("room_in_ms", std::to_string(wait.count()));
    state_.counters.count("refusals", {{"reason", reason}});
  }
  state_.log.write(daemon::log_level::warn, "call given up", std::move(fields));
}

void call_log::on_open_at_end(const admitted_call& call, mono_time now)
{
  const auto ms = [](mono_time::duration time) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
  };
  const bool is_sent = call.exchange != nullptr || call.history.may_have_run;
  log_fields fields = {
      {"request", call.description.request_id},
      {"route", call.route->name},
      {"repeatable", call.route->repeatable() ? "yes" : "no"},
      {"endpoint", call.excluded.empty() ? "none" : call.excluded.back().value()},
      {"progress", call.stream_started ? "streaming" : (is_sent ? "sent" : "not sent")},
      {"attempts", std::to_string(call.history.sent)},
      {"since_arrival_ms", ms(now - call.received_at)},
      {"time_left_ms", ms(call.deadline - now)}};
  if (const auto& drain = state_.drain()) {
    fields.emplace_back("arrived_after_drain_ms", ms(call.received_at - drain->began_at));
  }
  state_.log.write(daemon::log_level::warn, "call open at the end", std::move(fields));
}

void call_log::on_refused(const http::request& received, const call_refusal& why)
{
  state_.counters.count("refusals", {{"reason", why.reason}});
  const auto now = std::chrono::steady_clock::now();
  log_fields fields = {{"request", adapter::decode_call(received, now).request_id},
                       {"status", std::to_string(why.status)},
                       {"reason", why.reason},
                       {"configuration", std::to_string(state_.configuration_version())}};
  fields.insert(fields.end(), why.log_details.begin(), why.log_details.end());
  state_.log.write(daemon::log_level::warn, "call refused", std::move(fields));
}

void call_log::on_resumed(const admitted_call& call, log_fields details)
{
  details.emplace(details.begin(), "request", call.description.request_id);
  state_.log.write(daemon::log_level::info, "stream resumed", std::move(details));
}

void call_log::on_attempt(const admitted_call& call, const attempt_result& result)
{
  const bool answered = result.outcome == attempt_outcome::answered;
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - call.received_at);
  state_.counters.count("attempts", {{"service", call.service}, {"fine", answered ? "yes" : "no"}});
  log_fields fields = {
      {"request", call.description.request_id},
      {"content", to_string(call.content)},
      {"route", call.route->name},
      {"workspace", call.workspace.value()},
      {"endpoint", result.endpoint.id.value()},
      {"version", result.version},
      {"attempt", std::to_string(call.history.sent + 1)},
      {"since_arrival_ms", std::to_string(elapsed.count())},
      {"configuration", std::to_string(call.configuration->version())},
      {"status", result.head_received ? std::to_string(result.answer.status) : "none"},
      {"silent", result.silent ? "yes" : "no"},
      {"events", std::to_string(call.last_event_id.value_or(0))},
      {"view_age_ms", std::to_string(result.view_age.count())}};
  add_prompt_parts(fields, call.description);
  if (result.head_received && http::ends_with_connection(result.answer)) {
    fields.emplace_back("body_ends_with", "connection");
  }
  if (!result.end_evidence.empty()) {
    fields.emplace_back("end_known_by", result.end_evidence);
  }
  if (call.description.is_resume()) {
    fields.emplace_back("resumes", call.description.resumed_request);
  }
  if (result.relay) {
    fields.emplace_back("relay", result.relay->value());
  }
  if (!answered) {
    fields.emplace_back("cause", std::string(to_string(result.cause)));
  }
  if (result.prefix_source) {
    fields.emplace_back("prefix_source", to_string(*result.prefix_source));
  }
  add_statement(fields, result.statement);
  add_reason(fields, result);
  if (result.end == attempt_result::end_state::caller_disconnected) {
    state_.log.write(daemon::log_level::info, "caller left", std::move(fields));
  } else if (answered) {
    state_.log.write(daemon::log_level::info, "attempt answered", std::move(fields));
  } else {
    state_.log.write(daemon::log_level::warn, "attempt failed", std::move(fields));
  }
}

} // namespace wisteriaflow::relay
