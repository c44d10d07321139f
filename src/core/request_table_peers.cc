// The part of request_table for handovers: a draining daemon hands over running requests and kept
// answers to peers.

#include <algorithm>
#include <utility>

#include "core/http_conversions.h"
#include "core/request_table.h"
#include "wisteriaflow/claims/errors.h"
#include "wisteriaflow/claims/request_key.h"
#include "wisteriaflow/requests/errors.h"
#include "wisteriaflow/routing/prefix_blocks.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr int handover_tries = 4;

// Reads the outcome of a kept answer from its header. Unknown outcomes are kept and handed over
// like others.
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
  context_.timers().schedule(hand_over_at, [this] { hand_over_requests(); });
}

void request_table::hand_over_requests()
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

// Chooses a random live peer that is not leaving, so that the load of this daemon is spread.
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

handed_over_request request_table::make_handover(const active_request& r,
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

void request_table::perform(active_request& r, const requests::hand_over& a)
{
  offer_to_peer(r.id, make_handover(r, a.state), handover_tries);
}

// Offers a request to one peer after another. An unanswered offer is repeated to the same peer,
// where it is idempotent, because two peers must not both take the request.
void request_table::offer_to_peer(const std::string& id, const handed_over_request& handed,
                                  int tries_left)
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
  *ask = [this, id, handed, tries_left, to, weak = std::weak_ptr(ask)](int retries_left) {
    context_.call_peer(
        *to, handed,
        [this, id, handed, tries_left, retries_left,
         again = weak.lock()](const peer_response* response) {
          auto* waiting = find(id);
          if (waiting == nullptr) {
            return;
          }
          const auto* reply =
              response == nullptr ? nullptr : std::get_if<hand_over_reply>(response);
          if (reply == nullptr && retries_left > 0) {
            (*again)(retries_left - 1);
            return;
          }
          if (reply != nullptr && reply->accepted) {
            context_.counters().count("handovers_total", {{"result", "accepted"}});
            if (waiting->claim_nonce != 0) {
              ended_claims_.insert_or_assign(
                  waiting->claim_nonce, request_status{.state = request_state::in_flight,
                                                       .caller_address = reply->caller_address});
            }
            feed(*waiting, requests::handover_accepted{reply->caller_address});
            return;
          }
          context_.counters().count("handovers_total", {{"result", "refused"}});
          if (reply == nullptr) {
            // The peer that did not answer may have taken the request. Only an idempotent request
            // may continue here.
            feed(*waiting, waiting->options.idempotent
                               ? requests::request_event(requests::handover_refused{})
                               : requests::request_event(requests::deadline_passed{}));
            return;
          }
          offer_to_peer(id, handed, tries_left - 1);
        });
  };
  (*ask)(handover_tries);
}

// Copies the kept answers to peers while there is time. Callers find them through the directory.
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
    ++pending_answer_handovers_;
    const auto key = entry.key;
    context_.call_peer(*to, std::move(handed), [this, key](const peer_response* response) {
      --pending_answer_handovers_;
      const auto* reply = response == nullptr ? nullptr : std::get_if<hand_over_reply>(response);
      if (reply != nullptr && reply->accepted) {
        services_.directory.publish(key, reply->caller_address);
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
    return {.accepted = true, .caller_address = own}; // repeated offer
  }
  if (draining_ || !services_.config.ready()) {
    return {};
  }
  if (handed.finished) {
    keep_handed_over(handed);
    return {.accepted = true, .caller_address = own};
  }
  auto fresh = rebuild_request(handed);
  if (fresh == nullptr) {
    return {};
  }
  answers_.open(fresh->key, fresh->body_hash, fresh->id);
  auto& r = *fresh;
  active_.emplace(r.id, std::move(fresh));
  if (r.claim_nonce != 0) {
    by_nonce_.emplace(r.claim_nonce, r.id);
  }
  services_.directory.publish(r.key, own);
  context_.counters().count("handed_over_requests_total");
  r.deadline_timer = context_.timers().schedule(r.headers.deadline, [this, id = r.id] {
    if (auto* late = find(id)) {
      feed(*late, requests::deadline_passed{});
    }
  });
  // The peer has admitted the request. Refusing it here would abort it.
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
  redirect_pending_claim(key);
  answers_.keep(key, handed.body_hash, std::move(kept), handed.keep_until);
  services_.directory.publish(key, to_string(context_.options().caller_address));
}

// Redirects a repeated submission of the key that still waits for its claim here to the answer that
// was just received. Its claim would query an executor that is gone and get no answer, and its own
// outcome would overwrite the answer.
void request_table::redirect_pending_claim(const requests::answer_key& key)
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

// Restores a request as it was at the peer. Returns null if it cannot be parsed, for example
// because the peer runs a newer version.
request_table::request_ptr request_table::rebuild_request(const handed_over_request& handed)
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
      fresh->request_route.service = parts.service;
      fresh->service_target = parts.target;
    }
    fresh->request_route.deadline = headers.deadline;
    return fresh;
  } catch (const error&) {
    return nullptr;
  }
}

request_status request_table::on_query(const request_query& query) const
{
  if (query.nonce == 0) {
    const auto place = services_.directory.stored_address(query.key);
    const auto state = place.empty() ? request_state::outcome_unknown : request_state::in_flight;
    return {.state = state, .caller_address = place};
  }
  const auto ended = ended_claims_.find(query.nonce);
  if (ended != ended_claims_.end()) {
    return ended->second;
  }
  const auto own = to_string(context_.options().caller_address);
  if (by_nonce_.contains(query.nonce)) {
    return {.state = request_state::in_flight, .caller_address = own};
  }
  if (services_.claims.was_never_dispatched(query.nonce)) {
    return {.state = request_state::not_run, .caller_address = own};
  }
  return {};
}

} // namespace wisteriaflow::core::internal
