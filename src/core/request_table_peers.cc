// Requests and answers that go to peers when this daemon leaves, or come from them.

#include <algorithm>
#include <utility>

#include "core/http_parts.h"
#include "core/request_table.h"
#include "wisteriaflow/claims/errors.h"
#include "wisteriaflow/claims/request_key.h"
#include "wisteriaflow/requests/errors.h"
#include "wisteriaflow/routing/prefix_blocks.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr int handover_tries = 4;

// What a kept answer says of itself: an unknown outcome is kept and handed over like any other.
requests::outcome outcome_of(const http::response& kept)
{
  const auto name = http::find_header(kept.fields, "Wisteriaflow-Outcome");
  if (name == requests::name_of(requests::outcome_unknown{})) {
    return requests::outcome_unknown{requests::unknown_reason::earlier_run_lost};
  }
  if (name == requests::name_of(requests::invalid{})) {
    return requests::invalid{kept.status, {}};
  }
  return requests::answered{kept.status};
}

} // namespace

void request_table::drain(mono_time hand_over_at)
{
  if (draining_) {
    return;
  }
  draining_ = true;
  hand_over_answers();
  context_.timers().at(hand_over_at, [this] { hand_over_all(); });
}

void request_table::hand_over_all()
{
  std::vector<std::string> ids;
  for (const auto& [id, r] : active_) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    if (auto* r = find(id)) {
      feed(*r, requests::drain_started{.hand_over = true});
    }
  }
  hand_over_answers();
}

// A live peer that is not leaving, by chance, so that one daemon's load goes to many.
std::optional<daemon_id> request_table::choose_successor()
{
  auto daemons = services_.members.live_daemon_ids();
  std::erase(daemons, context_.options().self);
  if (daemons.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, daemons.size() - 1);
  return daemons[draw(context_.random())];
}

handed_over_request request_table::handed_over(const active_request& r,
                                               const requests::handed_over_state& state) const
{
  handed_over_request out;
  out.from = context_.options().self;
  out.request_id = r.id;
  out.workspace = r.headers.workspace;
  out.key = r.key.key;
  out.body_hash = r.body_hash;
  out.message = r.message;
  out.deadline = r.headers.wall_deadline;
  out.state = state;
  return out;
}

void request_table::act(active_request& r, const requests::hand_over& a)
{
  offer(r.id, handed_over(r, a.state), handover_tries);
}

// Offers a request to one peer after another. A lost answer is asked again of the same peer: the
// call is idempotent there, and two peers must not both have it.
void request_table::offer(const std::string& id, const handed_over_request& handed, int tries_left)
{
  const auto successor = choose_successor();
  const auto to = successor ? services_.members.peer_address_of(*successor) : std::nullopt;
  auto* r = find(id);
  if (r == nullptr) {
    return;
  }
  if (!to || tries_left == 0) {
    feed(*r, requests::handover_refused{});
    return;
  }
  const auto ask = std::make_shared<std::function<void(int)>>();
  *ask = [this, id, handed, tries_left, to, weak = std::weak_ptr(ask)](int asks_left) {
    context_.call_peer(
        *to, handed,
        [this, id, handed, tries_left, asks_left,
         again = weak.lock()](const peer_response* response) {
          auto* waiting = find(id);
          if (waiting == nullptr) {
            return;
          }
          const auto* reply =
              response == nullptr ? nullptr : std::get_if<hand_over_reply>(response);
          if (reply == nullptr && asks_left > 0) {
            (*again)(asks_left - 1);
            return;
          }
          if (reply != nullptr && reply->accepted) {
            context_.counters().count("handovers_total", {{"result", "accepted"}});
            if (waiting->claim_nonce != 0) {
              ended_.insert_or_assign(waiting->claim_nonce,
                                      request_status{.state = request_state::in_flight,
                                                     .caller_address = reply->caller_address});
            }
            feed(*waiting, requests::handover_accepted{reply->caller_address});
            return;
          }
          context_.counters().count("handovers_total", {{"result", "refused"}});
          if (reply == nullptr) {
            // The silent peer may have it: only an idempotent request may go on here.
            feed(*waiting, waiting->options.idempotent
                               ? requests::request_event(requests::handover_refused{})
                               : requests::request_event(requests::deadline_passed{}));
            return;
          }
          offer(id, handed, tries_left - 1);
        });
  };
  (*ask)(handover_tries);
}

// Copies of kept answers go to a peer while there is time; callers find them by their keys.
void request_table::hand_over_answers()
{
  for (const auto& entry : answers_.kept_answers()) {
    const auto successor = choose_successor();
    const auto to = successor ? services_.members.peer_address_of(*successor) : std::nullopt;
    if (!to) {
      return;
    }
    handed_over_request handed;
    handed.from = context_.options().self;
    handed.workspace = entry.key.workspace;
    handed.key = entry.key.key;
    handed.body_hash = entry.body;
    handed.finished = true;
    handed.answer = to_response(entry.answer.response);
    handed.state.tokens = entry.answer.tokens;
    handed.finish_reason = entry.answer.finish_reason;
    handed.keep_until = entry.until;
    ++handing_;
    const auto key = entry.key;
    context_.call_peer(*to, std::move(handed), [this, key](const peer_response* response) {
      --handing_;
      const auto* reply = response == nullptr ? nullptr : std::get_if<hand_over_reply>(response);
      if (reply != nullptr && reply->accepted) {
        services_.places.announce(key, reply->caller_address);
      }
    });
  }
}

hand_over_reply request_table::on_handed_over(const handed_over_request& handed)
{
  const auto own = to_string(context_.options().caller_address);
  const bool known = find(handed.request_id) != nullptr ||
                     std::holds_alternative<requests::answer_found>(
                         answers_.find({.workspace = handed.workspace, .key = handed.key}));
  if (known) {
    return {.accepted = true, .caller_address = own}; // asked again
  }
  if (draining_ || !services_.config.ready()) {
    return {};
  }
  if (handed.finished) {
    keep_handed_over(handed);
    return {.accepted = true, .caller_address = own};
  }
  auto fresh = rebuild(handed);
  if (fresh == nullptr) {
    return {};
  }
  answers_.open(fresh->key, fresh->body_hash, fresh->id);
  auto& r = *fresh;
  active_.emplace(r.id, std::move(fresh));
  if (r.claim_nonce != 0) {
    by_nonce_.emplace(r.claim_nonce, r.id);
  }
  services_.places.announce(r.key, own);
  context_.counters().count("handed_over_requests_total");
  r.deadline_timer = context_.timers().at(r.headers.deadline, [this, id = r.id] {
    if (auto* late = find(id)) {
      feed(*late, requests::deadline_passed{});
    }
  });
  // It was admitted where it came from; refusing it here would cut it off.
  feed(r, requests::admission_granted{});
  return {.accepted = true, .caller_address = own};
}

void request_table::keep_handed_over(const handed_over_request& handed)
{
  requests::kept_answer kept;
  kept.result = outcome_of(handed.answer);
  kept.response = to_parts(handed.answer);
  kept.tokens = handed.state.tokens;
  kept.finish_reason = handed.finish_reason;
  const requests::answer_key key{.workspace = handed.workspace, .key = handed.key};
  send_claiming_to_answer(key);
  answers_.keep(key, handed.body_hash, std::move(kept), handed.keep_until);
  services_.places.announce(key, to_string(context_.options().caller_address));
}

// A repeat of the key that still asks for its claim here would get no answer from an executor that
// is gone, and its own end would overwrite the answer that has just come.
void request_table::send_claiming_to_answer(const requests::answer_key& key)
{
  const auto found = answers_.find(key);
  const auto* run = std::get_if<requests::run_joined>(&found);
  auto* repeat = run == nullptr ? nullptr : find(run->request_id);
  if (repeat == nullptr || repeat->claim_nonce == 0) {
    return;
  }
  const auto id = repeat->id;
  const auto nonce = repeat->claim_nonce;
  feed(*repeat, requests::claim_duplicate{requests::duplicate_state::answered_elsewhere,
                                          to_string(context_.options().caller_address)});
  if (find(id) == nullptr) {
    services_.claims.cancel(nonce);
  }
}

// The request as it was at the peer; null if it cannot be read, as from a newer daemon.
request_table::request_ptr request_table::rebuild(const handed_over_request& handed)
{
  const auto now = context_.now();
  try {
    const bool generation = handed.message.target.starts_with("/v1/completions");
    const auto fields = to_fields(handed.message.fields);
    std::optional<requests::completion_request> completion;
    requests::call_headers headers;
    if (generation) {
      completion = requests::parse_completion_request(fields, handed.message.body, now, limits());
      headers = completion->headers;
    } else {
      headers = requests::parse_call_headers(fields, now, limits());
    }
    headers.wall_deadline = handed.deadline;
    headers.deadline = now.mono + (handed.deadline - now.wall);
    requests::request_lifecycle_options options{.request_id = handed.request_id,
                                                .generation = generation,
                                                .idempotent = headers.idempotent,
                                                .keyed = true,
                                                .caller_connected = false,
                                                .retention = context_.options().answer_retention};
    if (completion) {
      options.model = completion->model.value();
    }
    auto fresh = std::make_unique<active_request>(handed.request_id, options, handed.state);
    fresh->key = {.workspace = handed.workspace, .key = handed.key};
    fresh->body_hash = handed.body_hash;
    fresh->message = handed.message;
    fresh->headers = headers;
    fresh->received_at = now.mono;
    fresh->claim_nonce = handed.state.claim_nonce;
    fresh->from_peer = true;
    if (completion) {
      fresh->completion = std::move(completion);
      if (!set_route(*fresh)) {
        return nullptr;
      }
    } else {
      const auto parts = split_service_target(handed.message.target);
      fresh->where.service = parts.service;
      fresh->service_target = parts.target;
    }
    fresh->where.deadline = headers.deadline;
    return fresh;
  } catch (const error&) {
    return nullptr;
  }
}

request_status request_table::on_query(const request_query& query) const
{
  if (query.nonce == 0) {
    const auto place = services_.places.kept_place(query.key);
    const auto state = place.empty() ? request_state::outcome_unknown : request_state::in_flight;
    return {.state = state, .caller_address = place};
  }
  const auto ended = ended_.find(query.nonce);
  if (ended != ended_.end()) {
    return ended->second;
  }
  const auto own = to_string(context_.options().caller_address);
  if (by_nonce_.contains(query.nonce)) {
    return {.state = request_state::in_flight, .caller_address = own};
  }
  if (services_.claims.never_ran(query.nonce)) {
    return {.state = request_state::not_run, .caller_address = own};
  }
  return {};
}

} // namespace wisteriaflow::core::internal
