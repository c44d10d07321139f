// The actions and guards of claim_client; the state machine in claim_client.cc defines in which
// states they run.

#ifndef WISTERIAFLOW_CLAIMS_CLAIM_CLIENT_CORE_H_
#define WISTERIAFLOW_CLAIMS_CLAIM_CLIENT_CORE_H_

#include <random>
#include <utility>
#include <vector>

#include "wisteriaflow/claims/claim_client.h"

namespace wisteriaflow::claims::internal {

// How many owner hints are followed in succession without a delay.
inline constexpr int max_hints_followed = 3;

class claim_client_core {
 public:
  explicit claim_client_core(claim_client_options options)
      : options_(std::move(options)), random_(options_.seed),
        retry_delay_(options_.settings.initial_retry_delay)
  {
  }

  void set_now(clock_reading now) { now_ = now; }
  [[nodiscard]] std::vector<claim_client_action> take_actions()
  {
    return std::exchange(actions_, {});
  }
  [[nodiscard]] bool deadline_passed() const { return now_.mono >= options_.deadline; }
  [[nodiscard]] bool retry_is_due() const { return now_.mono >= retry_at_; }
  [[nodiscard]] mono_time retry_at() const { return retry_at_; }
  [[nodiscard]] mono_time deadline() const { return options_.deadline; }
  [[nodiscard]] bool dispatched() const { return dispatched_; }

  // Guards on the owner's reply.
  [[nodiscard]] bool is_granted(const claim_reply& reply) const
  {
    return reply.result == claim_result::granted;
  }
  [[nodiscard]] bool is_duplicate(const claim_reply& reply) const
  {
    return reply.result == claim_result::duplicate;
  }
  [[nodiscard]] bool is_body_mismatch(const claim_reply& reply) const
  {
    return reply.result == claim_result::body_mismatch;
  }
  [[nodiscard]] bool is_too_old(const claim_reply& reply) const
  {
    return reply.result == claim_result::too_old;
  }
  [[nodiscard]] bool is_unavailable(const claim_reply& reply) const
  {
    return reply.result == claim_result::unavailable;
  }
  // The reply names another owner, to be tried at once. The limit ends a loop of two daemons that
  // name each other.
  [[nodiscard]] bool has_owner_hint(const claim_reply& reply) const
  {
    return reply.result == claim_result::not_owner && !reply.owner.empty() &&
           hints_followed_ < max_hints_followed;
  }
  [[nodiscard]] bool is_owner_unknown(const claim_reply& reply) const
  {
    return reply.result == claim_result::not_owner && !has_owner_hint(reply);
  }

  // Guards on an executor's answer.
  [[nodiscard]] bool was_not_run(const executor_answered& answer) const
  {
    return answer.state == execution_state::not_run;
  }
  [[nodiscard]] bool is_outcome_unknown(const executor_answered& answer) const
  {
    return answer.state == execution_state::outcome_unknown;
  }
  [[nodiscard]] bool can_be_followed(const executor_answered& answer) const
  {
    return !was_not_run(answer) && !is_outcome_unknown(answer);
  }

  // Actions.
  void send_claim_to_owner();                                // to the preferred owner
  void send_claim_to_hinted_owner(const claim_reply& reply); // to the owner that the reply names
  void back_off(); // before the next attempt, longer each time
  void query_holder(const claim_reply& reply);
  void repeat_query();
  void set_replaced_nonce(); // the next claim replaces the one that was not run
  void dispatch();
  void follow(const executor_answered& answer);
  void refuse_unavailable(const claim_reply& reply);
  void refuse_deadline_passed();
  // This daemon holds the claim and never uses it, so the key was not run.
  void refuse_granted_late();
  void refuse_cancelled();
  void report_mismatch() { actions_.emplace_back(report_body_mismatch{}); }
  void report_unknown_outcome() { actions_.emplace_back(report_outcome_unknown{}); }

 private:
  void send_claim_to(const daemon_id& owner);

  claim_client_options options_;
  std::mt19937_64 random_;
  clock_reading now_;
  std::chrono::milliseconds retry_delay_;
  mono_time retry_at_;
  int hints_followed_ = 0; // since the last delay
  daemon_id holder_;       // executor of the claim that holds the key
  std::uint64_t holder_nonce_ = 0;
  bool dispatched_ = false;
  std::vector<claim_client_action> actions_;
};

} // namespace wisteriaflow::claims::internal

#endif // WISTERIAFLOW_CLAIMS_CLAIM_CLIENT_CORE_H_
