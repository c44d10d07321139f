#include "core/claim_service.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/claim_documents.h"
#include "wisteriaflow/claims/shard_map.h"

namespace wisteriaflow::core::internal {
namespace {

// Returns the outcome if an action of a claim client is its final one, else nothing.
struct outcome_of {
  std::optional<claim_outcome> operator()(const claims::send_claim& /*a*/) const { return {}; }
  std::optional<claim_outcome> operator()(const claims::query_executor& /*a*/) const { return {}; }
  template <typename Final> std::optional<claim_outcome> operator()(const Final& a) const
  {
    return claim_outcome(a);
  }
};

claims::execution_state execution_state_of(request_state state)
{
  switch (state) {
  case request_state::in_flight:
    return claims::execution_state::in_flight;
  case request_state::answered:
    return claims::execution_state::answered;
  case request_state::not_run:
    return claims::execution_state::not_run;
  case request_state::outcome_unknown:
    return claims::execution_state::outcome_unknown;
  }
  return claims::execution_state::outcome_unknown;
}

} // namespace

claim_service::claim_service(core_context& context, fleet& members)
    : context_(context), fleet_(members)
{
  const auto& options = context.options();
  for (std::uint32_t shard = 0; shard < options.claims.shards; ++shard) {
    owners_.emplace_back(claims::owner_options{.shard = shard,
                                               .self = options.self,
                                               .settings = options.claims,
                                               .seed = context.random()()});
  }
  owner_timers_.resize(owners_.size());
}

void claim_service::start()
{
  started_ = true;
  update_ownership();
}

void claim_service::update_ownership()
{
  if (!started_) {
    return;
  }
  const auto live = fleet_.live_daemon_ids();
  for (std::uint32_t shard = 0; shard < owners_.size(); ++shard) {
    const auto preferred = claims::preferred_owner(shard, live);
    const bool desired = !leaving_ && preferred == context_.options().self;
    feed_owner(shard, claims::ownership_desired{desired});
  }
}

void claim_service::release_shards()
{
  leaving_ = true;
  update_ownership();
}

bool claim_service::all_released() const
{
  return std::all_of(owners_.begin(), owners_.end(), [](const claims::claim_shard_owner& o) {
    return o.state() == claims::ownership::not_owner;
  });
}

void claim_service::on_peer_claim(peer_reply_number reply, const claims::claim_request& request)
{
  if (request.shard >= owners_.size()) {
    context_.emit(peer_action(reply_to_peer{reply, claims::claim_reply{}}));
    return;
  }
  const auto token = ++last_token_;
  replies_.emplace(token, reply_target(std::in_place_index<0>, reply));
  feed_owner(request.shard, claims::claim_received{.token = token, .request = request});
}

void claim_service::feed_owner(std::uint32_t shard, const claims::owner_event& e)
{
  auto& owner = owners_.at(shard);
  for (const auto& a : owner.handle(e, context_.now())) {
    std::visit([&](const auto& one) { perform(shard, one); }, a);
  }
  context_.timers().cancel(owner_timers_[shard]);
  if (const auto due = owner.wake_at()) {
    owner_timers_[shard] =
        context_.timers().schedule(*due, [this, shard] { feed_owner(shard, claims::tick{}); });
  }
}

void claim_service::perform(std::uint32_t shard, const claims::store_call& a)
{
  context_.call_store(
      to_store_operation(shard, a.operation),
      [this, shard, id = a.id, operation = a.operation](const store_answer& answer) {
        on_store_answer(shard, id, operation, answer);
      });
}

void claim_service::on_store_answer(std::uint32_t shard, std::uint64_t id,
                                    const claims::store_operation& operation,
                                    const store_answer& answer)
{
  auto result = to_claim_result(operation, answer);
  if (!result) {
    context_.log(severity::error, "a claim document cannot be read",
                 {{"shard", std::to_string(shard)}});
    context_.counters().count("claim_documents_unreadable_total");
    result = claims::unavailable{};
  }
  feed_owner(shard, claims::store_answer{.id = id, .result = std::move(*result)});
}

void claim_service::perform(std::uint32_t /*shard*/, const claims::send_reply& a)
{
  auto node = replies_.extract(a.token);
  if (node.empty()) {
    return;
  }
  if (const auto* reply = std::get_if<0>(&node.mapped())) {
    context_.emit(peer_action(reply_to_peer{*reply, a.reply}));
    return;
  }
  // A reply to this daemon's own claim is delivered after the owner has processed the current
  // event.
  const auto nonce = std::get<1>(node.mapped());
  context_.timers().schedule(context_.now().mono,
                             [this, nonce, reply = a.reply] { feed_client(nonce, reply); });
}

std::uint64_t claim_service::claim(const claim_parameters& parameters, claim_callback done)
{
  const auto& options = context_.options();
  const auto nonce = context_.random()() | 1U; // never 0
  const claims::claim_request request{.shard =
                                          claims::shard_of(parameters.key, options.claims.shards),
                                      .key = parameters.key,
                                      .body_hash = parameters.body_hash,
                                      .created = parameters.created,
                                      .executor = options.self,
                                      .nonce = nonce,
                                      .workspace = parameters.workspace};
  claims::claim_client client({.request = request,
                               .deadline = parameters.deadline,
                               .settings = options.claims,
                               .seed = context_.random()()});
  pending_claims_.emplace(nonce,
                          pending_claim{.client = std::move(client), .done = std::move(done)});
  feed_client(nonce, claims::claim_started{});
  return nonce;
}

void claim_service::cancel(std::uint64_t nonce)
{
  feed_client(nonce, claims::claim_cancelled{});
}

void claim_service::feed_client(std::uint64_t nonce, const claims::claim_client_event& e)
{
  const auto it = pending_claims_.find(nonce);
  if (it == pending_claims_.end()) {
    return; // The claim has ended.
  }
  const auto actions = it->second.client.handle(e, context_.now());
  context_.timers().cancel(it->second.timer);
  if (const auto due = it->second.client.wake_at()) {
    it->second.timer = context_.timers().schedule(
        *due, [this, nonce] { feed_client(nonce, claims::claim_tick{}); });
  }
  for (const auto& a : actions) {
    if (const auto outcome = std::visit(outcome_of{}, a)) {
      finish(nonce, *outcome);
    } else if (const auto* ask = std::get_if<claims::send_claim>(&a)) {
      perform(nonce, *ask);
    } else if (const auto* query = std::get_if<claims::query_executor>(&a)) {
      perform(nonce, *query);
    }
  }
}

void claim_service::perform(std::uint64_t nonce, const claims::send_claim& a)
{
  auto owner = a.owner;
  if (owner.empty()) {
    owner = claims::preferred_owner(a.request.shard, fleet_.live_daemon_ids())
                .value_or(context_.options().self);
  }
  if (owner == context_.options().self) {
    const auto token = ++last_token_;
    replies_.emplace(token, reply_target(std::in_place_index<1>, nonce));
    feed_owner(a.request.shard, claims::claim_received{.token = token, .request = a.request});
    return;
  }
  const auto to = fleet_.peer_address_of(owner);
  if (!to) {
    context_.timers().schedule(context_.now().mono,
                               [this, nonce] { feed_client(nonce, claims::claim_unanswered{}); });
    return;
  }
  context_.call_peer(*to, a.request, [this, nonce](const peer_response* response) {
    const auto* reply = response == nullptr ? nullptr : std::get_if<claims::claim_reply>(response);
    if (reply == nullptr) {
      feed_client(nonce, claims::claim_unanswered{});
    } else {
      feed_client(nonce, *reply);
    }
  });
}

void claim_service::perform(std::uint64_t nonce, const claims::query_executor& a)
{
  if (fleet_.is_gone(a.executor)) {
    // No other daemon knows the outcome, and further queries would only delay the caller.
    context_.timers().schedule(context_.now().mono, [this, nonce] {
      feed_client(nonce, claims::executor_answered{claims::execution_state::outcome_unknown});
    });
    return;
  }
  const auto to = fleet_.peer_address_of(a.executor);
  if (!to) {
    context_.timers().schedule(context_.now().mono,
                               [this, nonce] { feed_client(nonce, claims::query_unanswered{}); });
    return;
  }
  const request_query query{.key = a.key, .nonce = a.nonce};
  context_.call_peer(*to, query, [this, nonce](const peer_response* response) {
    const auto* status = response == nullptr ? nullptr : std::get_if<request_status>(response);
    if (status == nullptr) {
      feed_client(nonce, claims::query_unanswered{});
    } else {
      feed_client(nonce, claims::executor_answered{execution_state_of(status->state)});
    }
  });
}

void claim_service::finish(std::uint64_t nonce, const claim_outcome& outcome)
{
  auto node = pending_claims_.extract(nonce);
  if (node.empty()) {
    return;
  }
  if (!std::holds_alternative<claims::dispatch_claimed>(outcome)) {
    note_not_run(nonce);
  }
  node.mapped().done(outcome);
}

// Peers may query the nonce as long as the claim's key is retained, but not later.
void claim_service::note_not_run(std::uint64_t nonce)
{
  const auto& claims = context_.options().claims;
  not_run_.emplace(nonce, context_.now().mono + claims.retention + claims.skew_margin);
  std::erase_if(not_run_, [now = context_.now().mono](const auto& e) { return e.second < now; });
}

bool claim_service::was_never_dispatched(std::uint64_t nonce) const
{
  return not_run_.contains(nonce);
}

} // namespace wisteriaflow::core::internal
