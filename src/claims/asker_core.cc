#include "claims/asker_core.h"

#include <algorithm>

namespace wisteriaflow::claims::internal {

void asker_core::ask_daemon(const daemon_id& owner)
{
  actions_.emplace_back(ask_owner{.owner = owner, .request = options_.request});
}

void asker_core::ask()
{
  ask_daemon(daemon_id{});
}

void asker_core::ask_hinted(const claim_reply& reply)
{
  ++hints_followed_;
  ask_daemon(reply.owner);
}

void asker_core::wait()
{
  hints_followed_ = 0;
  std::uniform_int_distribution<std::int64_t> jitter(0, pause_.count());
  retry_at_ = now_.mono + pause_ / 2 + std::chrono::milliseconds{jitter(random_)};
  pause_ = std::min(pause_ * 2, options_.settings.max_ask_retry);
}

void asker_core::query(const claim_reply& reply)
{
  holder_ = reply.executor;
  holder_nonce_ = reply.nonce;
  query_again();
}

void asker_core::query_again()
{
  actions_.emplace_back(
      query_executor{.executor = holder_, .key = options_.request.key, .nonce = holder_nonce_});
}

void asker_core::note_replaced()
{
  options_.request.replaces_nonce = holder_nonce_;
}

void asker_core::dispatch()
{
  dispatched_ = true;
  actions_.emplace_back(dispatch_claimed{.nonce = options_.request.nonce});
}

void asker_core::follow(const executor_answered& answer)
{
  actions_.emplace_back(
      follow_executor{.executor = holder_, .nonce = holder_nonce_, .standing = answer.standing});
}

void asker_core::refuse_unavailable(const claim_reply& reply)
{
  actions_.emplace_back(
      refuse_claim{.reason = refusal_reason::unavailable, .key_free = reply.key_free});
}

void asker_core::refuse_late()
{
  actions_.emplace_back(refuse_claim{.reason = refusal_reason::deadline_passed});
}

void asker_core::refuse_granted()
{
  actions_.emplace_back(refuse_claim{.reason = refusal_reason::deadline_passed, .key_free = true});
}

void asker_core::refuse_cancelled()
{
  actions_.emplace_back(refuse_claim{.reason = refusal_reason::cancelled});
}

} // namespace wisteriaflow::claims::internal
