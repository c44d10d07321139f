#include "claims/claim_client_core.h"

#include <algorithm>

namespace wisteriaflow::claims::internal {

void claim_client_core::send_claim_to(const daemon_id& owner)
{
  actions_.emplace_back(send_claim{.owner = owner, .request = options_.request});
}

void claim_client_core::send_claim_to_owner()
{
  send_claim_to(daemon_id{});
}

void claim_client_core::send_claim_to_hinted_owner(const claim_reply& reply)
{
  ++hints_followed_;
  send_claim_to(reply.owner);
}

void claim_client_core::back_off()
{
  hints_followed_ = 0;
  std::uniform_int_distribution<std::int64_t> jitter(0, retry_delay_.count());
  retry_at_ = now_.mono + retry_delay_ / 2 + std::chrono::milliseconds{jitter(random_)};
  retry_delay_ = std::min(retry_delay_ * 2, options_.settings.max_retry_delay);
}

void claim_client_core::query_holder(const claim_reply& reply)
{
  holder_ = reply.executor;
  holder_nonce_ = reply.nonce;
  repeat_query();
}

void claim_client_core::repeat_query()
{
  actions_.emplace_back(
      query_executor{.executor = holder_, .key = options_.request.key, .nonce = holder_nonce_});
}

void claim_client_core::set_replaced_nonce()
{
  options_.request.replaces_nonce = holder_nonce_;
}

void claim_client_core::dispatch()
{
  dispatched_ = true;
  actions_.emplace_back(dispatch_claimed{.nonce = options_.request.nonce});
}

void claim_client_core::follow(const executor_answered& answer)
{
  actions_.emplace_back(
      follow_executor{.executor = holder_, .nonce = holder_nonce_, .state = answer.state});
}

void claim_client_core::refuse_unavailable(const claim_reply& reply)
{
  actions_.emplace_back(
      refuse_claim{.reason = refusal_reason::unavailable, .key_free = reply.key_free});
}

void claim_client_core::refuse_deadline_passed()
{
  actions_.emplace_back(refuse_claim{.reason = refusal_reason::deadline_passed});
}

void claim_client_core::refuse_granted_late()
{
  actions_.emplace_back(refuse_claim{.reason = refusal_reason::deadline_passed, .key_free = true});
}

void claim_client_core::refuse_cancelled()
{
  actions_.emplace_back(refuse_claim{.reason = refusal_reason::cancelled});
}

} // namespace wisteriaflow::claims::internal
