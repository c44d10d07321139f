// The part of request_table for callers that fetch an answer, which this or another daemon has.

#include <charconv>
#include <utility>

#include "core/http_conversions.h"
#include "core/request_table.h"

namespace wisteriaflow::core::internal {
namespace {

// Longer than a claim takes while its shard changes owner.
constexpr std::chrono::milliseconds lookup_wait{3'000};
constexpr std::chrono::milliseconds lookup_interval{200};
constexpr int status_see_other = 303;
constexpr int status_not_found = 404;

} // namespace

void request_table::fetch_answer(call_number call, const http::request& message,
                                 const std::string& key)
{
  const workspace_id workspace(
      std::string(http::find_header(message.fields, "Wisteriaflow-Workspace")));
  if (workspace.empty()) {
    send_outcome(call, requests::invalid{400, "Wisteriaflow-Workspace: is required"});
    return;
  }
  const auto last = http::find_header(message.fields, "Last-Event-ID");
  std::uint64_t offset = 0;
  const auto parsed = std::from_chars(last.data(), last.data() + last.size(), offset);
  if (!last.empty() && parsed.ec != std::errc{}) {
    send_outcome(call, requests::invalid{400, "Last-Event-ID: must be an event's id"});
    return;
  }
  const auto accepted = http::find_header(message.fields, "Accept");
  const bool streamed =
      !last.empty() || accepted.find("text/event-stream") != std::string_view::npos;
  const auto now = context_.now().mono;
  look_up_answer(call, {.key = {.workspace = workspace, .key = key},
                        .streamed = streamed,
                        .from = last.empty() ? 0 : offset + 1,
                        .ready_by = now + readiness_wait,
                        .found_by = now + lookup_wait});
}

void request_table::look_up_answer(call_number call, const answer_lookup& lookup)
{
  const auto found = answers_.find(lookup.key);
  if (const auto* kept = std::get_if<requests::answer_found>(&found)) {
    send_kept_answer(call, kept->answer, lookup.streamed, lookup.from);
    return;
  }
  if (const auto* run = std::get_if<requests::run_joined>(&found)) {
    attach_call(run->request_id,
                {.call = call, .streamed = lookup.streamed, .next_offset = lookup.from});
    return;
  }
  look_up_at_peers(call, lookup);
}

// Repeats a lookup that finds nothing before reporting that there is no answer: a daemon that has
// just started knows neither its peers nor their answers, and the directory entry of a request is
// published only after its key is claimed.
void request_table::look_up_at_peers(call_number call, const answer_lookup& lookup)
{
  const auto now = context_.now().mono;
  if (!services_.config.ready()) {
    if (now >= lookup.ready_by) {
      send_outcome(call, requests::outcome_unknown{requests::unknown_reason::earlier_run_lost});
    } else {
      schedule_lookup(call, lookup);
    }
    return;
  }
  ++pending_lookups_;
  services_.directory.find(lookup.key, [this, call, lookup](const std::string& address) {
    --pending_lookups_;
    if (address.empty() && context_.now().mono < lookup.found_by) {
      schedule_lookup(call, lookup);
    } else {
      send_answer_location(call, lookup.key, address);
    }
  });
}

void request_table::schedule_lookup(call_number call, const answer_lookup& lookup)
{
  ++pending_lookups_;
  context_.timers().schedule(context_.now().mono + lookup_interval, [this, call, lookup] {
    --pending_lookups_;
    look_up_answer(call, lookup);
  });
}

void request_table::send_answer_location(call_number call, const requests::answer_key& wanted,
                                         const std::string& address)
{
  if (address.empty()) {
    send_outcome(call, requests::invalid{status_not_found, "no answer is kept for this key"});
    return;
  }
  http::response moved{.status = status_see_other};
  moved.fields.push_back(
      {.name = "Location", .value = "http://" + address + "/v1/answers/" + wanted.key});
  context_.emit(caller_action(respond{.call = call, .response = std::move(moved)}));
}

} // namespace wisteriaflow::core::internal
