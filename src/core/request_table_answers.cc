// Answers that callers come back for, kept here or at another daemon.

#include <charconv>
#include <utility>

#include "core/http_parts.h"
#include "core/request_table.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr std::chrono::milliseconds place_wait{3'000}; // longer than a claim while its shard moves
constexpr std::chrono::milliseconds place_check{200};
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
  look_up(call, {.key = {.workspace = workspace, .key = key},
                 .streamed = streamed,
                 .from = last.empty() ? 0 : offset + 1,
                 .ready_by = now + readiness_wait,
                 .found_by = now + place_wait});
}

void request_table::look_up(call_number call, const answer_wish& wish)
{
  const auto found = answers_.find(wish.key);
  if (const auto* kept = std::get_if<requests::answer_found>(&found)) {
    send_kept(call, kept->answer, wish.streamed, wish.from);
    return;
  }
  if (const auto* run = std::get_if<requests::run_joined>(&found)) {
    join(run->request_id, {.call = call, .streamed = wish.streamed, .next_offset = wish.from});
    return;
  }
  look_elsewhere(call, wish);
}

// A daemon that has just started knows neither its peers nor what they keep, and a request's place
// is told only once its key is claimed: saying at once that there is no answer would be wrong.
void request_table::look_elsewhere(call_number call, const answer_wish& wish)
{
  const auto now = context_.now().mono;
  if (!services_.config.ready()) {
    if (now >= wish.ready_by) {
      send_outcome(call, requests::outcome_unknown{requests::unknown_reason::earlier_run_lost});
    } else {
      look_up_later(call, wish);
    }
    return;
  }
  ++looking_;
  services_.places.find(wish.key, [this, call, wish](const std::string& address) {
    --looking_;
    if (address.empty() && context_.now().mono < wish.found_by) {
      look_up_later(call, wish);
    } else {
      send_place(call, wish.key, address);
    }
  });
}

void request_table::look_up_later(call_number call, const answer_wish& wish)
{
  ++looking_;
  context_.timers().at(context_.now().mono + place_check, [this, call, wish] {
    --looking_;
    look_up(call, wish);
  });
}

void request_table::send_place(call_number call, const requests::answer_key& wanted,
                               const std::string& address)
{
  if (address.empty()) {
    send_outcome(call, requests::invalid{status_not_found, "no answer is kept for this key"});
    return;
  }
  http::response moved{.status = status_see_other};
  moved.fields.push_back(
      {.name = "Location", .value = "http://" + address + "/v1/answers/" + wanted.key});
  context_.emit(caller_action(respond{.call = call, .whole = std::move(moved)}));
}

} // namespace wisteriaflow::core::internal
