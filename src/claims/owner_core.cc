#include "claims/owner_core.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::claims::internal {
namespace {

// Whether `tail` contains this very claim, not only its key.
bool holds(const shard_tail& tail, const claim_entry& entry)
{
  return std::any_of(tail.entries.begin(), tail.entries.end(), [&](const claim_entry& other) {
    return other.key == entry.key && other.nonce == entry.nonce;
  });
}

claim_reply duplicate_of(const claim_entry& entry)
{
  return {.result = claim_result::duplicate, .executor = entry.executor, .nonce = entry.nonce};
}

} // namespace

owner_core::owner_core(owner_options options)
    : options_(std::move(options)), random_(options_.seed), contents_(options_.settings)
{
}

std::vector<owner_action> owner_core::take_actions()
{
  return std::exchange(actions_, {});
}

bool owner_core::is_for_open_call(const store_answer& answer)
{
  const auto it = open_deletes_.find(answer.id);
  if (it != open_deletes_.end()) {
    if (std::holds_alternative<written>(answer.result)) {
      contents_.mark_deleted(it->second);
    } else {
      contents_.mark_delete_failed(it->second);
    }
    open_deletes_.erase(it);
    return false;
  }
  if (answer.id != open_call_) {
    return false;
  }
  open_call_ = 0;
  return true;
}

void owner_core::call(store_operation operation)
{
  open_call_ = next_call_++;
  actions_.emplace_back(
      store_call{.id = open_call_, .shard = options_.shard, .operation = std::move(operation)});
}

void owner_core::reply(std::uint64_t token, claim_reply reply)
{
  actions_.emplace_back(send_reply{.token = token, .reply = std::move(reply)});
}

void owner_core::reply_all(const std::vector<pending_claim>& claims, const claim_reply& answer)
{
  for (const auto& claim : claims) {
    for (const auto token : claim.tokens) {
      reply(token, answer);
    }
  }
}

void owner_core::grant(const std::vector<pending_claim>& claims)
{
  reply_all(claims, {.result = claim_result::granted});
}

void owner_core::refuse(const std::vector<pending_claim>& claims)
{
  reply_all(claims, {.result = claim_result::unavailable, .key_free = true});
}

claim_reply owner_core::not_owner_reply() const
{
  claim_reply answer{.result = claim_result::not_owner};
  if (known_owner_ != options_.self) {
    answer.owner = known_owner_;
  }
  return answer;
}

mono_time owner_core::jittered_time_after(std::chrono::milliseconds pause)
{
  std::uniform_int_distribution<std::int64_t> jitter(0, pause.count() / 2);
  return now_.mono + pause + std::chrono::milliseconds{jitter(random_)};
}

bool owner_core::store_is_down() const
{
  return now_.mono < refuse_until_;
}

// Claims.

void owner_core::defer(const claim_received& received)
{
  if (store_is_down() || deferred_.size() >= options_.settings.max_pending) {
    reply(received.token, {.result = claim_result::unavailable});
    return;
  }
  deferred_.push_back(received);
}

bool owner_core::may_be_forgotten(wall_time created) const
{
  return created <= contents_.tail().forgotten_until ||
         created < now_.wall - options_.settings.retention;
}

bool owner_core::join_pending(const claim_received& received)
{
  auto* pending = pending_.find(received.request.key);
  if (pending == nullptr) {
    return false;
  }
  if (pending->entry.nonce == received.request.nonce) {
    pending->tokens.push_back(received.token);
  } else if (pending->entry.nonce == received.request.replaces_nonce && store_is_down()) {
    // Whether the claim to be replaced was stored cannot be found out now, so this one cannot be
    // written either.
    reply(received.token, {.result = claim_result::unavailable, .key_free = true});
  } else if (pending->entry.body_hash != received.request.body_hash) {
    reply(received.token, {.result = claim_result::body_mismatch});
  } else {
    reply(received.token, duplicate_of(pending->entry));
  }
  return true;
}

bool owner_core::answer_from_contents(const claim_received& received)
{
  const auto* entry = contents_.find(received.request.key);
  if (entry == nullptr) {
    return false;
  }
  if (entry->nonce == received.request.nonce) {
    reply(received.token, {.result = claim_result::granted});
    return true;
  }
  if (entry->body_hash != received.request.body_hash) {
    reply(received.token, {.result = claim_result::body_mismatch});
    return true;
  }
  if (entry->nonce == received.request.replaces_nonce) {
    return false;
  }
  reply(received.token, duplicate_of(*entry));
  return true;
}

void owner_core::admit(const claim_received& received)
{
  if (join_pending(received) || answer_from_contents(received)) {
    return;
  }
  const auto& request = received.request;
  if (may_be_forgotten(request.created)) {
    reply(received.token, {.result = claim_result::too_old});
    return;
  }
  if (store_is_down() || pending_.size() >= options_.settings.max_pending) {
    reply(received.token, {.result = claim_result::unavailable, .key_free = true});
    return;
  }
  pending_.enqueue({.entry = {.key = request.key,
                              .body_hash = request.body_hash,
                              .created = request.created,
                              .executor = request.executor,
                              .nonce = request.nonce},
                    .tokens = {received.token}});
}

void owner_core::reject_as_not_owner(const claim_received& received)
{
  reply(received.token, not_owner_reply());
}

// Taking over.

void owner_core::read_tail_object()
{
  retry_at_.reset();
  call(read_tail{});
}

void owner_core::load_tail(const tail_value& value)
{
  contents_.reset(value.version, value.tail.value_or(shard_tail{}));
  known_owner_ = contents_.tail().owner;
  if (missing_at_version_ != value.version) {
    missing_segments_.clear();
  }
  for (const auto& id : missing_segments_) {
    contents_.mark_segment_lost(id);
  }
}

void owner_core::read_next_segment()
{
  if (const auto id = contents_.next_to_load()) {
    call(read_segment{*id});
  }
}

void owner_core::load_segment(const segment_value& value)
{
  contents_.load_segment(value.segment);
}

void owner_core::note_missing_segment()
{
  if (const auto id = contents_.next_to_load()) {
    missing_segments_.insert(*id);
  }
  missing_at_version_ = contents_.version();
}

void owner_core::write_takeover()
{
  update_ = update_tail{.expected_version = contents_.version(),
                        .tail = contents_.takeover_tail(options_.self, random_())};
  call(*update_);
}

void owner_core::count_conflict()
{
  ++takeover_conflicts_;
}

void owner_core::become_owner(const written& answer)
{
  takeover_conflicts_ = 0;
  contents_.commit(answer.version, std::move(update_->tail));
  update_.reset();
  missing_segments_.clear();
  refuse_until_ = {};
  known_owner_ = options_.self;
  next_flush_at_ = now_.mono;
  delete_retired();
  for (const auto& received : std::exchange(deferred_, {})) {
    admit(received);
  }
}

// One conflict is explained by another daemon that takes over at the same time. A store that
// answers every takeover with a conflict, as one without the kind of object does, would be called
// without a pause: each daemon was seen to send 590 calls a second.
void owner_core::back_off()
{
  constexpr unsigned max_doublings = 4;
  const auto doublings = std::min(std::max(takeover_conflicts_, 2U) - 2, max_doublings);
  const auto pause = options_.settings.store_backoff * (1U << doublings);
  refuse_until_ = now_.mono + pause;
  retry_at_ = jittered_time_after(pause);
  for (const auto& received : std::exchange(deferred_, {})) {
    reply(received.token, {.result = claim_result::unavailable});
  }
}

void owner_core::abandon_takeover()
{
  takeover_conflicts_ = 0;
  retry_at_.reset();
  update_.reset();
  for (const auto& received : std::exchange(deferred_, {})) {
    reject_as_not_owner(received);
  }
}

// Owning.

std::optional<mono_time> owner_core::flush_at() const
{
  if (!pending_.has_queued()) {
    return std::nullopt;
  }
  return pending_.size() >= options_.settings.max_pending ? now_.mono : next_flush_at_;
}

bool owner_core::flush_is_due() const
{
  const auto at = flush_at();
  return at && *at <= now_.mono;
}

void owner_core::start_roll()
{
  next_flush_at_ = now_.mono + options_.settings.flush_interval;
  call(create_segment{contents_.segment_to_create()});
}

void owner_core::segment_created()
{
  contents_.segment_created();
}

void owner_core::roll_failed()
{
  refuse_until_ = now_.mono + options_.settings.store_backoff;
  refuse(pending_.take_queued());
}

void owner_core::write_batch()
{
  next_flush_at_ = now_.mono + options_.settings.flush_interval;
  pending_.start_batch();
  update_ =
      update_tail{.expected_version = contents_.version(),
                  .tail = contents_.next_tail(pending_.batch_entries(), random_(), now_.wall)};
  call(*update_);
}

void owner_core::commit_update(std::uint64_t version)
{
  contents_.commit(version, std::move(update_->tail));
  update_.reset();
  retry_at_.reset();
  refuse_until_ = {};
  grant(pending_.take_batch());
  delete_retired();
}

void owner_core::batch_failed()
{
  update_.reset();
  refuse_until_ = now_.mono + options_.settings.store_backoff;
  refuse(pending_.take_batch());
  refuse(pending_.take_queued());
}

void owner_core::delete_retired()
{
  for (const auto& id : contents_.take_deletable()) {
    open_deletes_.emplace(next_call_, id);
    actions_.emplace_back(
        store_call{.id = next_call_++, .shard = options_.shard, .operation = delete_segment{id}});
  }
}

// Resolving an unanswered update.

bool owner_core::is_own_update(const tail_value& value) const
{
  return value.tail && value.tail->write_nonce == update_->tail.write_nonce;
}

bool owner_core::is_not_yet_applied(const tail_value& value) const
{
  return value.version == update_->expected_version;
}

bool owner_core::is_foreign_update(const tail_value& value) const
{
  return !is_own_update(value) && !is_not_yet_applied(value);
}

void owner_core::settle_later()
{
  refuse_until_ = now_.mono + options_.settings.store_backoff;
  retry_at_ = jittered_time_after(options_.settings.store_backoff);
  // The batch may still be stored, so its entries stay. The claimants need not wait for that: a
  // claimant that was refused never runs the request under its nonce, whether or not the entry is
  // stored.
  for (const auto token : pending_.take_batch_tokens()) {
    reply(token, {.result = claim_result::unavailable, .key_free = true});
  }
  refuse(pending_.take_queued());
}

void owner_core::resend_update()
{
  retry_at_.reset();
  call(*update_);
}

void owner_core::lose_ownership(const tail_value& value)
{
  update_.reset();
  retry_at_.reset();
  takeover_at_ = jittered_time_after(options_.settings.takeover_delay);
  const auto tail = value.tail.value_or(shard_tail{});
  known_owner_ = tail.owner;
  for (const auto& claim : pending_.take_batch()) {
    // If the tail does not contain the entry, a segment may contain it by now. The new owner knows.
    reply_all({claim}, holds(tail, claim.entry) ? claim_reply{.result = claim_result::granted}
                                                : not_owner_reply());
  }
  reply_all(pending_.take_queued(), not_owner_reply());
}

// Time.

bool owner_core::retry_is_due() const
{
  return retry_at_ && *retry_at_ <= now_.mono;
}

bool owner_core::takeover_is_due() const
{
  return desired_ && takeover_at_ <= now_.mono;
}

} // namespace wisteriaflow::claims::internal
