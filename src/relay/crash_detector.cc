#include "relay/crash_detector.h"

#include <string>

#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {

void crash_detector::on_attempt(const admitted_call& call, const attempt_result& result)
{
  using gateway::attempt_outcome;
  if (result.outcome == attempt_outcome::answered) {
    if (http::status::is_success(result.answer.status)) {
      record_success(call);
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

void crash_detector::record_success(const admitted_call& call)
{
  if (state_.crashes.on_answered(call.content, state_.fleet_time())) {
    state_.log.write(
        daemon::log_level::info, "suspicion lifted",
        {{"request", call.description.request_id}, {"content", to_string(call.content)}});
  }
}

void crash_detector::record_crash(const admitted_call& call, const attempt_result& result)
{
  const auto stage =
      result.response_started ? gateway::answer_stage::started : gateway::answer_stage::not_started;
  state_.crashes.on_crash({.process = result.endpoint,
                           .content = call.content,
                           .stage = stage,
                           .at = state_.fleet_time()});
  state_.counters.count("calls_under_ended_endpoints", {{"service", call.service}});
  state_.log.write(daemon::log_level::warn, "endpoint ended under a call",
                   {{"request", call.description.request_id},
                    {"content", to_string(call.content)},
                    {"route", call.route->name},
                    {"endpoint", result.endpoint.id.value()},
                    {"incarnation", std::to_string(result.endpoint.incarnation)},
                    {"answer_begun", result.response_started ? "yes" : "no"},
                    {"suspect_in", std::to_string(state_.crashes.times_suspected(call.content))}});
  state_.signal_urgent_update(); // the next request with this content may reach any daemon
}

std::optional<gateway::content_hold> crash_detector::active_hold(const admitted_call& call)
{
  auto hold = state_.crashes.hold_of(call.content);
  if (hold && is_hold_probe_due(call.content, hold->probe_at)) {
    return std::nullopt;
  }
  return hold;
}

bool crash_detector::is_hold_probe_due(const gateway::content_id& content, wall_time try_at)
{
  std::erase_if(active_hold_probes_, [](const auto& it) { return it.second.expired(); });
  return try_at <= state_.fleet_time() && state_.probes_held_content(content) &&
         !active_hold_probes_.contains(content);
}

crash_detector::hold_probe crash_detector::begin_hold_probe(const admitted_call& call)
{
  if (!state_.crashes.hold_of(call.content)) {
    return nullptr;
  }
  auto probe = std::make_shared<const gateway::content_id>(call.content);
  active_hold_probes_.insert_or_assign(call.content, probe);
  state_.log.write(
      daemon::log_level::warn, "held content tried",
      {{"request", call.description.request_id}, {"content", to_string(call.content)}});
  return probe;
}

} // namespace wisteriaflow::relay
