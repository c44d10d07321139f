// What a claim's asker does in each step; the state machine in claim_asker.cc says which step
// comes when.

#ifndef WISTERIAFLOW_CLAIMS_ASKER_CORE_H_
#define WISTERIAFLOW_CLAIMS_ASKER_CORE_H_

#include <random>
#include <utility>
#include <vector>

#include "wisteriaflow/claims/claim_asker.h"

namespace wisteriaflow::claims::internal {

// Hints of owners that are followed one after the other without a pause.
inline constexpr int max_hints = 3;

class asker_core {
 public:
  explicit asker_core(asker_options options)
      : options_(std::move(options)), random_(options_.seed), pause_(options_.settings.ask_retry)
  {
  }

  void set_now(clock_reading now) { now_ = now; }
  [[nodiscard]] std::vector<asker_action> take_actions() { return std::exchange(actions_, {}); }
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
  [[nodiscard]] bool is_mismatch(const claim_reply& reply) const
  {
    return reply.result == claim_result::body_mismatch;
  }
  [[nodiscard]] bool is_too_old(const claim_reply& reply) const
  {
    return reply.result == claim_result::too_old;
  }
  [[nodiscard]] bool is_refused(const claim_reply& reply) const
  {
    return reply.result == claim_result::unavailable;
  }
  // The reply names an owner to ask at once. Two daemons that name each other end in a pause.
  [[nodiscard]] bool is_elsewhere(const claim_reply& reply) const
  {
    return reply.result == claim_result::not_owner && !reply.owner.empty() &&
           hints_followed_ < max_hints;
  }
  [[nodiscard]] bool is_lost_owner(const claim_reply& reply) const
  {
    return reply.result == claim_result::not_owner && !is_elsewhere(reply);
  }

  // Guards on an executor's answer.
  [[nodiscard]] bool was_not_run(const executor_answered& answer) const
  {
    return answer.standing == request_standing::not_run;
  }
  [[nodiscard]] bool is_unknown(const executor_answered& answer) const
  {
    return answer.standing == request_standing::outcome_unknown;
  }
  [[nodiscard]] bool can_be_followed(const executor_answered& answer) const
  {
    return !was_not_run(answer) && !is_unknown(answer);
  }

  // Steps.
  void ask();                                // whoever is believed to own the shard
  void ask_hinted(const claim_reply& reply); // the owner that the reply names
  void wait();                               // before asking again, longer each time
  void query(const claim_reply& reply);
  void query_again();
  void note_replaced(); // the next ask takes the place of the claim that was not run
  void dispatch();
  void follow(const executor_answered& answer);
  void refuse_unavailable(const claim_reply& reply);
  void refuse_late();
  void refuse_granted(); // we hold the claim and never use it, so the key is not run
  void refuse_cancelled();
  void report_mismatch() { actions_.emplace_back(report_body_mismatch{}); }
  void report_not_known() { actions_.emplace_back(report_unknown{}); }

 private:
  void ask_daemon(const daemon_id& owner);

  asker_options options_;
  std::mt19937_64 random_;
  clock_reading now_;
  std::chrono::milliseconds pause_;
  mono_time retry_at_;
  int hints_followed_ = 0; // since the last pause
  daemon_id holder_;       // executor of the claim that holds the key
  std::uint64_t holder_nonce_ = 0;
  bool dispatched_ = false;
  std::vector<asker_action> actions_;
};

} // namespace wisteriaflow::claims::internal

#endif // WISTERIAFLOW_CLAIMS_ASKER_CORE_H_
