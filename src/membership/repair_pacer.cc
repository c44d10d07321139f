#include "wisteriaflow/membership/internal/repair_pacer.h"

namespace wisteriaflow::membership::internal {
namespace {

// Repair is put off by changes at most this many times its delay.
constexpr int longest_delays = 3;

} // namespace

repair_pacer::repair_pacer(std::chrono::milliseconds delay, mono_time now)
    : delay_(delay), quiet_at_(now), due_(now)
{
}

void repair_pacer::note_change(mono_time now)
{
  if (now >= quiet_at_) {
    due_ = now + longest_delays * delay_;
  }
  quiet_at_ = now + delay_;
}

void repair_pacer::note_agreement(const daemon_id& peer)
{
  settled_ = true;
  if (recheck_ && recheck_->peer == peer) {
    recheck_.reset();
  }
}

bool repair_pacer::note_difference(const daemon_id& peer, mono_time now)
{
  if (!settled_) {
    // A newcomer does not wait: its view differs because it is empty.
    settled_ = true;
    return true;
  }
  if (now < quiet_at_ && now < due_) {
    return false;
  }
  if (!recheck_ || now >= recheck_->lapses_at) {
    recheck_ = {.peer = peer, .due = now + delay_, .lapses_at = now + longest_delays * delay_};
    return false;
  }
  if (recheck_->peer != peer || now < recheck_->due) {
    return false;
  }
  recheck_.reset();
  due_ = now + longest_delays * delay_;
  return true;
}

std::optional<daemon_id> repair_pacer::take_recheck(mono_time now)
{
  if (!recheck_ || recheck_->taken || now < recheck_->due) {
    return std::nullopt;
  }
  recheck_->taken = true;
  return recheck_->peer;
}

} // namespace wisteriaflow::membership::internal
