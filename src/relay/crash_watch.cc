#include "relay/crash_watch.h"

#include <string>

#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {

boost::asio::awaitable<void> crash_watch::on_attempt(const admitted_call& call,
                                                     const attempt_result& result)
{
  using gateway::attempt_outcome;
  if (result.outcome == attempt_outcome::answered) {
    if (http::status::is_success(result.answer.status)) {
      note_answer(call);
    }
    co_return;
  }
  // An endpoint that is known to leave ends by itself, with all that it has not finished: a zone
  // that is reclaimed says nothing of the calls that were there.
  const bool may_have_ended = result.outcome == attempt_outcome::broken && result.broke_off &&
                              state_.endpoints.is_active(result.endpoint);
  if (!may_have_ended) {
    co_return;
  }
  const auto verdict = co_await probe_.ask(result.address);
  state_.counters.count("endpoint_probes", {{"verdict", std::string(to_string(verdict))}});
  if (verdict == probe_verdict::ended) {
    note_end(call, result);
    co_return;
  }
  state_.log.write(daemon::log_level::info, "endpoint has not ended",
                   {{"request", call.description.request_id},
                    {"endpoint", result.endpoint.id.value()},
                    {"verdict", std::string(to_string(verdict))}});
}

void crash_watch::note_answer(const admitted_call& call)
{
  if (state_.crashes.on_answered(call.content, state_.fleet_time())) {
    state_.log.write(
        daemon::log_level::info, "suspicion lifted",
        {{"request", call.description.request_id}, {"content", to_string(call.content)}});
  }
}

void crash_watch::note_end(const admitted_call& call, const attempt_result& result)
{
  const auto stage = result.begun ? gateway::answer_stage::begun : gateway::answer_stage::not_begun;
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
                    {"answer_begun", result.begun ? "yes" : "no"},
                    {"suspect_in", std::to_string(state_.crashes.times_suspected(call.content))}});
  state_.announce_news(); // the next request of the kind may come to any daemon
}

std::optional<gateway::content_hold> crash_watch::hold_of(const admitted_call& call)
{
  auto hold = state_.crashes.hold_of(call.content);
  if (hold && is_trial_due(call.content, hold->probe_at)) {
    return std::nullopt;
  }
  return hold;
}

bool crash_watch::is_trial_due(const gateway::content_id& content, wall_time try_at)
{
  std::erase_if(trials_, [](const auto& it) { return it.second.expired(); });
  return try_at <= state_.fleet_time() && state_.tries_held(content) && !trials_.contains(content);
}

crash_watch::trial crash_watch::begin(const admitted_call& call)
{
  if (!state_.crashes.hold_of(call.content)) {
    return nullptr;
  }
  auto mine = std::make_shared<const gateway::content_id>(call.content);
  trials_.insert_or_assign(call.content, mine);
  state_.log.write(
      daemon::log_level::warn, "held content tried",
      {{"request", call.description.request_id}, {"content", to_string(call.content)}});
  return mine;
}

} // namespace wisteriaflow::relay
