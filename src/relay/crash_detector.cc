#include "relay/crash_detector.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "relay/hold_log.h"
#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {

void crash_detector::on_attempt(const admitted_call& call, const attempt_result& result)
{
  using gateway::attempt_outcome;
  if (result.outcome == attempt_outcome::answered) {
    if (http::status::is_success(result.answer.status)) {
      record_success(call, result.endpoint);
    }
    return;
  }
  // An endpoint that is known to leave ends on its own and drops its unfinished calls. When a zone
  // is reclaimed, the calls that ran there are not to blame.
  const bool may_have_ended = result.outcome == attempt_outcome::no_valid_answer &&
                              result.closed_by_endpoint &&
                              state_.endpoints.is_active(result.endpoint);
  if (!may_have_ended) {
    return;
  }
  if (result.cause == failure_cause::ended) {
    record_crash(call, result);
    return;
  }
  state_.log.write(daemon::log_level::info, "endpoint has not ended",
                   {{"request", call.description.request_id},
                    {"endpoint", result.endpoint.id.value()},
                    {"cause", std::string(to_string(result.cause))}});
}

void crash_detector::on_well_begun(const admitted_call& call, const gateway::endpoint_process& by)
{
  for (const auto& [suspect, seen] : call.suspects) {
    if (is_prompt_part(suspect)) {
      record_answer(call, suspect, by);
    }
  }
}

void crash_detector::record_success(const admitted_call& call, const gateway::endpoint_process& by)
{
  for (const auto& [suspect, seen] : call.suspects) {
    record_answer(call, suspect, by);
  }
}

void crash_detector::record_answer(const admitted_call& call, const gateway::crash_suspect& suspect,
                                   const gateway::endpoint_process& by)
{
  if (const auto* part = std::get_if<gateway::prompt_part_id>(&suspect)) {
    state_.crashes.on_answered_by(by, *part);
  }
  const bool was_held = state_.crashes.hold_of(suspect).has_value();
  const bool was_suspect = state_.crashes.on_answered(suspect, state_.fleet_time());
  // Many requests share a part, so that it often is suspect for a moment.
  if (was_held || (was_suspect && !is_prompt_part(suspect))) {
    auto fields = suspect_log_fields(suspect);
    fields.emplace_back("request", call.description.request_id);
    state_.log.write(daemon::log_level::info, "suspicion lifted", std::move(fields));
  }
}

void crash_detector::record_crash(const admitted_call& call, const attempt_result& result)
{
  const auto stage =
      result.response_started ? gateway::answer_stage::started : gateway::answer_stage::not_started;
  gateway::endpoint_crash crash{
      .process = result.endpoint, .at = state_.fleet_time(), .suspects = call.suspects};
  auto& content = crash.suspects.at(call.content);
  content.stage = stage;
  content.progress = result.progress;
  if (result.well_begun) {
    std::erase_if(crash.suspects, [](const auto& it) { return is_prompt_part(it.first); });
  }
  state_.crashes.on_crash(crash);
  state_.review_held_contents();
  state_.counters.count("calls_under_ended_endpoints", {{"service", call.service}});
  std::string parts;
  for (const auto& [suspect, seen] : crash.suspects) {
    if (is_prompt_part(suspect)) {
      parts += (parts.empty() ? "" : ",") + to_string(suspect) + ":" +
               std::to_string(state_.crashes.times_suspected(suspect));
    }
  }
  state_.log.write(daemon::log_level::warn, "endpoint ended under a call",
                   {{"request", call.description.request_id},
                    {"content", to_string(call.content)},
                    {"route", call.route->name},
                    {"endpoint", result.endpoint.id.value()},
                    {"incarnation", std::to_string(result.endpoint.incarnation)},
                    {"answer_begun", result.response_started ? "yes" : "no"},
                    {"last_event", std::to_string(result.progress.position)},
                    {"since_first_event_ms", std::to_string(result.progress.time.count())},
                    {"running", std::to_string(state_.running_answers.find(call.content).size())},
                    {"suspect_in", std::to_string(state_.crashes.times_suspected(call.content))},
                    {"prompt_parts_suspect_in", std::move(parts)}});
  state_.signal_urgent_update(); // the next request with these suspects may reach any daemon
}

std::optional<crash_detector::applicable_hold>
crash_detector::active_hold(const admitted_call& call)
{
  state_.inherited_holds.on_call(call.suspects);
  for (const auto& [suspect, seen] : call.suspects) {
    const auto hold = hold_of(suspect);
    if (hold && !is_hold_probe_due(suspect, hold->probe_at)) {
      return applicable_hold{.suspect = suspect, .hold = *hold};
    }
  }
  return std::nullopt;
}

std::optional<gateway::crash_hold> crash_detector::hold_of(const gateway::crash_suspect& suspect)
{
  auto out = state_.crashes.hold_of(suspect);
  if (out && !is_prompt_part(suspect)) {
    state_.review_held_contents();
    out = state_.crashes.hold_of(suspect);
  }
  if (out && state_.inherited_holds.is_doubtful(suspect, *out, std::chrono::steady_clock::now())) {
    out->probe_at = std::min(out->probe_at, state_.fleet_time());
  }
  return out;
}

bool crash_detector::is_hold_probe_due(const gateway::crash_suspect& suspect, wall_time probe_at)
{
  std::erase_if(active_hold_probes_, [](const auto& it) { return it.second.expired(); });
  return probe_at <= state_.fleet_time() && state_.probes_held(suspect) &&
         !active_hold_probes_.contains(suspect);
}

crash_detector::hold_probe crash_detector::begin_hold_probe(const admitted_call& call)
{
  std::vector<gateway::crash_suspect> held;
  for (const auto& [suspect, seen] : call.suspects) {
    if (state_.crashes.hold_of(suspect)) {
      held.push_back(suspect);
    }
  }
  if (held.empty()) {
    return nullptr;
  }
  auto probe = std::make_shared<const std::vector<gateway::crash_suspect>>(std::move(held));
  for (const auto& suspect : *probe) {
    active_hold_probes_.insert_or_assign(suspect, probe);
    auto fields = suspect_log_fields(suspect);
    fields.emplace_back("request", call.description.request_id);
    state_.log.write(daemon::log_level::warn,
                     is_prompt_part(suspect) ? "held prompt part tried" : "held content tried",
                     std::move(fields));
  }
  return probe;
}

} // namespace wisteriaflow::relay
