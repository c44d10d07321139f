#include "wisteriaflow/membership/internal/repair_scheduler.h"

namespace wisteriaflow::membership::internal {
namespace {

// Changes of the view can put repair off by at most this multiple of the delay.
constexpr int max_delay_factor = 3;

} // namespace

repair_scheduler::repair_scheduler(std::chrono::milliseconds delay, mono_time now)
    : delay_(delay), unchanged_until_(now), deferred_until_(now)
{
}

void repair_scheduler::note_change(mono_time now)
{
  if (now >= unchanged_until_) {
    deferred_until_ = now + max_delay_factor * delay_;
  }
  unchanged_until_ = now + delay_;
}

void repair_scheduler::note_agreement(const daemon_id& peer)
{
  has_synced_ = true;
  if (recheck_ && recheck_->peer == peer) {
    recheck_.reset();
  }
}

bool repair_scheduler::note_difference(const daemon_id& peer, mono_time now)
{
  if (!has_synced_) {
    // A daemon that has just joined does not wait: its view differs because it is empty.
    has_synced_ = true;
    return true;
  }
  if (now < unchanged_until_ && now < deferred_until_) {
    return false;
  }
  if (!recheck_ || now >= recheck_->expires_at) {
    recheck_ = {.peer = peer, .due = now + delay_, .expires_at = now + max_delay_factor * delay_};
    return false;
  }
  if (recheck_->peer != peer || now < recheck_->due) {
    return false;
  }
  recheck_.reset();
  deferred_until_ = now + max_delay_factor * delay_;
  return true;
}

std::optional<daemon_id> repair_scheduler::take_recheck(mono_time now)
{
  if (!recheck_ || recheck_->taken || now < recheck_->due) {
    return std::nullopt;
  }
  recheck_->taken = true;
  return recheck_->peer;
}

} // namespace wisteriaflow::membership::internal
