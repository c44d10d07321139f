#include "claims/owner_core.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::claims::internal {
namespace {

// Whether `tail` holds `entry` itself, not only its key.
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

bool owner_core::expects(const store_answer& answer)
{
  const auto it = open_deletes_.find(answer.id);
  if (it != open_deletes_.end()) {
    if (std::holds_alternative<written>(answer.result)) {
      contents_.deleted(it->second);
    } else {
      contents_.delete_failed(it->second);
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
  if (owner_hint_ != options_.self) {
    answer.owner = owner_hint_;
  }
  return answer;
}

mono_time owner_core::after(std::chrono::milliseconds pause)
{
  std::uniform_int_distribution<std::int64_t> jitter(0, pause.count() / 2);
  return now_.mono + pause + std::chrono::milliseconds{jitter(random_)};
}

bool owner_core::store_is_down() const
{
  return now_.mono < refuse_until_;
}

// Claims.

void owner_core::hold(const claim_asked& asked)
{
  if (store_is_down() || held_.size() >= options_.settings.max_pending) {
    reply(asked.token, {.result = claim_result::unavailable});
    return;
  }
  held_.push_back(asked);
}

bool owner_core::may_be_forgotten(wall_time created) const
{
  return created <= contents_.tail().forgotten_until ||
         created < now_.wall - options_.settings.retention;
}

bool owner_core::join(const claim_asked& asked)
{
  auto* other = pending_.find(asked.request.key);
  if (other == nullptr) {
    return false;
  }
  if (other->entry.nonce == asked.request.nonce) {
    other->tokens.push_back(asked.token);
  } else if (other->entry.nonce == asked.request.replaces_nonce && store_is_down()) {
    // What it replaces cannot be settled now, so it cannot be written either.
    reply(asked.token, {.result = claim_result::unavailable, .key_free = true});
  } else if (other->entry.body_hash != asked.request.body_hash) {
    reply(asked.token, {.result = claim_result::body_mismatch});
  } else {
    reply(asked.token, duplicate_of(other->entry));
  }
  return true;
}

bool owner_core::answer_from_memory(const claim_asked& asked)
{
  const auto* entry = contents_.find(asked.request.key);
  if (entry == nullptr) {
    return false;
  }
  if (entry->nonce == asked.request.nonce) {
    reply(asked.token, {.result = claim_result::granted});
    return true;
  }
  if (entry->body_hash != asked.request.body_hash) {
    reply(asked.token, {.result = claim_result::body_mismatch});
    return true;
  }
  if (entry->nonce == asked.request.replaces_nonce) {
    return false;
  }
  reply(asked.token, duplicate_of(*entry));
  return true;
}

void owner_core::admit(const claim_asked& asked)
{
  if (join(asked) || answer_from_memory(asked)) {
    return;
  }
  const auto& request = asked.request;
  if (may_be_forgotten(request.created)) {
    reply(asked.token, {.result = claim_result::too_old});
    return;
  }
  if (store_is_down() || pending_.size() >= options_.settings.max_pending) {
    reply(asked.token, {.result = claim_result::unavailable, .key_free = true});
    return;
  }
  pending_.gather({.entry = {.key = request.key,
                             .body_hash = request.body_hash,
                             .created = request.created,
                             .executor = request.executor,
                             .nonce = request.nonce},
                   .tokens = {asked.token}});
}

void owner_core::turn_away(const claim_asked& asked)
{
  reply(asked.token, not_owner_reply());
}

// Taking over.

void owner_core::read_tail_object()
{
  retry_at_.reset();
  call(read_tail{});
}

void owner_core::keep_tail(const tail_value& value)
{
  contents_.reset(value.version, value.tail.value_or(shard_tail{}));
  owner_hint_ = contents_.tail().owner;
  if (missing_at_version_ != value.version) {
    missing_segments_.clear();
  }
  for (const auto& id : missing_segments_) {
    contents_.give_up(id);
  }
}

void owner_core::read_next_segment()
{
  if (const auto id = contents_.next_to_load()) {
    call(read_segment{*id});
  }
}

void owner_core::load(const segment_value& value)
{
  contents_.load(value.segment);
}

void owner_core::note_missing_segment()
{
  if (const auto id = contents_.next_to_load()) {
    missing_segments_.insert(*id);
  }
  missing_at_version_ = contents_.version();
}

void owner_core::announce()
{
  update_ = update_tail{.expected_version = contents_.version(),
                        .tail = contents_.takeover(options_.self, random_())};
  call(*update_);
}

void owner_core::note_conflict()
{
  ++takeover_conflicts_;
}

void owner_core::become_owner(const written& answer)
{
  takeover_conflicts_ = 0;
  contents_.landed(answer.version, std::move(update_->tail));
  update_.reset();
  missing_segments_.clear();
  refuse_until_ = {};
  owner_hint_ = options_.self;
  next_flush_at_ = now_.mono;
  delete_retired();
  for (const auto& asked : std::exchange(held_, {})) {
    admit(asked);
  }
}

// Another daemon that takes over at the same time explains one conflict. A store that answers every
// takeover so, as one without the kind of object does, would be called without a pause: 590 calls a
// second of each daemon were seen.
void owner_core::back_off()
{
  constexpr unsigned most_doublings = 4;
  const auto doublings = std::min(std::max(takeover_conflicts_, 2U) - 2, most_doublings);
  const auto pause = options_.settings.store_retry * (1U << doublings);
  refuse_until_ = now_.mono + pause;
  retry_at_ = after(pause);
  for (const auto& asked : std::exchange(held_, {})) {
    reply(asked.token, {.result = claim_result::unavailable});
  }
}

void owner_core::abandon_takeover()
{
  takeover_conflicts_ = 0;
  retry_at_.reset();
  update_.reset();
  for (const auto& asked : std::exchange(held_, {})) {
    turn_away(asked);
  }
}

// Owning.

std::optional<mono_time> owner_core::flush_at() const
{
  if (!pending_.has_gathered()) {
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

void owner_core::roll_created()
{
  contents_.segment_created();
}

void owner_core::roll_failed()
{
  refuse_until_ = now_.mono + options_.settings.store_retry;
  refuse(pending_.take_gathered());
}

void owner_core::write_batch()
{
  next_flush_at_ = now_.mono + options_.settings.flush_interval;
  pending_.start_batch();
  update_ = update_tail{.expected_version = contents_.version(),
                        .tail = contents_.with(pending_.batch_entries(), random_(), now_.wall)};
  call(*update_);
}

void owner_core::land(std::uint64_t version)
{
  contents_.landed(version, std::move(update_->tail));
  update_.reset();
  retry_at_.reset();
  refuse_until_ = {};
  grant(pending_.take_batch());
  delete_retired();
}

void owner_core::batch_refused()
{
  update_.reset();
  refuse_until_ = now_.mono + options_.settings.store_retry;
  refuse(pending_.take_batch());
  refuse(pending_.take_gathered());
}

void owner_core::delete_retired()
{
  for (const auto& id : contents_.take_deletable()) {
    open_deletes_.emplace(next_call_, id);
    actions_.emplace_back(
        store_call{.id = next_call_++, .shard = options_.shard, .operation = delete_segment{id}});
  }
}

// Settling.

bool owner_core::is_ours(const tail_value& value) const
{
  return value.tail && value.tail->write_nonce == update_->tail.write_nonce;
}

bool owner_core::has_not_landed_yet(const tail_value& value) const
{
  return value.version == update_->expected_version;
}

bool owner_core::is_anothers(const tail_value& value) const
{
  return !is_ours(value) && !has_not_landed_yet(value);
}

void owner_core::settle_later()
{
  refuse_until_ = now_.mono + options_.settings.store_retry;
  retry_at_ = after(options_.settings.store_retry);
  // The batch may still land, so its entries stay. Those who asked need not wait for that: an asker
  // that is refused never runs under its nonce, whether or not the entry lands.
  for (const auto token : pending_.take_batch_tokens()) {
    reply(token, {.result = claim_result::unavailable, .key_free = true});
  }
  refuse(pending_.take_gathered());
}

void owner_core::send_again()
{
  retry_at_.reset();
  call(*update_);
}

void owner_core::lose(const tail_value& value)
{
  update_.reset();
  retry_at_.reset();
  takeover_at_ = after(options_.settings.takeover_pause);
  const auto tail = value.tail.value_or(shard_tail{});
  owner_hint_ = tail.owner;
  for (const auto& claim : pending_.take_batch()) {
    // Also when the entry is found in no tail it may be in a segment by now: the new owner knows.
    reply_all({claim}, holds(tail, claim.entry) ? claim_reply{.result = claim_result::granted}
                                                : not_owner_reply());
  }
  reply_all(pending_.take_gathered(), not_owner_reply());
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
