// The actions and guards of claim_shard_owner; the state machine in claim_shard_owner.cc defines in
// which states they run.

#ifndef WISTERIAFLOW_CLAIMS_OWNER_CORE_H_
#define WISTERIAFLOW_CLAIMS_OWNER_CORE_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "claims/pending_claims.h"
#include "claims/shard_contents.h"
#include "wisteriaflow/claims/claim_shard_owner.h"

namespace wisteriaflow::claims::internal {

class owner_core {
 public:
  explicit owner_core(owner_options options);

  // Inputs that are handled in the same way in every state.
  void set_now(clock_reading now) { now_ = now; }
  void set_desired(bool desired) { desired_ = desired; }
  [[nodiscard]] bool desired() const { return desired_; }
  [[nodiscard]] std::vector<owner_action> take_actions();
  // Whether `answer` belongs to the open call. Answers to deletes are handled here.
  [[nodiscard]] bool is_for_open_call(const store_answer& answer);

  // Claims.
  void defer(const claim_received& received); // until the takeover is complete
  void admit(const claim_received& received);
  void reject_as_not_owner(const claim_received& received);

  // Taking over.
  void read_tail_object();
  void load_tail(const tail_value& value);
  [[nodiscard]] bool all_loaded() const { return !contents_.next_to_load().has_value(); }
  void read_next_segment();
  void load_segment(const segment_value& value);
  void note_missing_segment();
  void write_takeover();
  // Whether a takeover has met a conflict since this daemon last owned the shard.
  [[nodiscard]] bool has_conflicted() const { return takeover_conflicts_ > 0; }
  void count_conflict();
  void become_owner(const written& answer);
  void back_off();
  void abandon_takeover();

  // Owning.
  [[nodiscard]] bool flush_is_due() const;
  [[nodiscard]] bool needs_roll() const { return contents_.needs_roll(); }
  [[nodiscard]] bool is_idle() const { return pending_.size() == 0; }
  void start_roll();
  void segment_created();
  void roll_failed();
  void write_batch();
  void commit_batch(const written& answer) { commit_update(answer.version); }
  void commit_batch(const tail_value& value) { commit_update(value.version); }
  void batch_failed();

  // Resolving an unanswered update.
  [[nodiscard]] bool is_own_update(const tail_value& value) const;
  [[nodiscard]] bool is_not_yet_applied(const tail_value& value) const;
  [[nodiscard]] bool is_foreign_update(const tail_value& value) const;
  void resend_update();
  void settle_later(); // refuses the batch's claims and retries after a delay
  void lose_ownership(const tail_value& value);

  // Time.
  [[nodiscard]] bool retry_is_due() const;
  [[nodiscard]] bool takeover_is_due() const;
  [[nodiscard]] std::optional<mono_time> retry_at() const { return retry_at_; }
  [[nodiscard]] mono_time takeover_at() const { return takeover_at_; }
  [[nodiscard]] std::optional<mono_time> flush_at() const;

 private:
  void call(store_operation operation);
  void reply(std::uint64_t token, claim_reply reply);
  void reply_all(const std::vector<pending_claim>& claims, const claim_reply& answer);
  void grant(const std::vector<pending_claim>& claims);
  void refuse(const std::vector<pending_claim>& claims);
  void commit_update(std::uint64_t version);
  void delete_retired();
  [[nodiscard]] bool store_is_down() const;
  [[nodiscard]] bool may_be_forgotten(wall_time created) const;
  [[nodiscard]] claim_reply not_owner_reply() const;
  [[nodiscard]] mono_time jittered_time_after(std::chrono::milliseconds pause);
  [[nodiscard]] bool join_pending(const claim_received& received);
  [[nodiscard]] bool answer_from_contents(const claim_received& received);

  owner_options options_;
  std::mt19937_64 random_;
  clock_reading now_;
  bool desired_ = false;
  shard_contents contents_;
  pending_claims pending_;
  std::vector<claim_received> deferred_; // received during the takeover
  std::vector<owner_action> actions_;
  std::uint64_t next_call_ = 1;
  std::uint64_t open_call_ = 0;
  std::map<std::uint64_t, segment_id> open_deletes_;
  std::optional<update_tail> update_;     // sent, or without a known result
  std::set<segment_id> missing_segments_; // listed at missing_at_version_, but not in the store
  std::uint64_t missing_at_version_ = 0;
  daemon_id known_owner_;
  unsigned takeover_conflicts_ = 0; // in succession
  std::optional<mono_time> retry_at_;
  mono_time takeover_at_;
  mono_time refuse_until_;
  mono_time next_flush_at_;
};

} // namespace wisteriaflow::claims::internal

#endif // WISTERIAFLOW_CLAIMS_OWNER_CORE_H_
