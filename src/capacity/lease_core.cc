#include "capacity/lease_core.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::capacity::internal {

lease_core::lease_core(lease_options options) : options_(std::move(options)), rng_(options_.seed) {}

std::vector<lease_action> lease_core::take_actions()
{
  return std::exchange(actions_, {});
}

bool lease_core::accept_answer(std::uint64_t call)
{
  if (pending_call_ != call) {
    return false;
  }
  pending_call_.reset();
  return true;
}

// A lease is claimable if it was released, or if this daemon has seen the same version for the
// whole lease duration.
bool lease_core::is_claimable(const lease_found& e) const
{
  const bool has_ended =
      e.record.holder.empty() || (e.version == observed_version_ && claimable_at_ <= now_.mono);
  return has_ended && claims_allowed_at_ <= now_.mono;
}

bool lease_core::may_claim_missing(const lease_missing& /*e*/) const
{
  return claims_allowed_at_ <= now_.mono;
}

bool lease_core::is_own_write(const lease_found& e) const
{
  // Comparing the nonce is not enough: daemons that start together may draw the same one.
  return pending_write_ && e.record.nonce == pending_write_->record.nonce &&
         e.record.holder == pending_write_->record.holder;
}

bool lease_core::is_write_base(const lease_found& e) const
{
  return pending_write_ && e.version == pending_write_->base;
}

void lease_core::read()
{
  pending_call_ = ++last_call_;
  actions_.emplace_back(read_lease{.call = last_call_});
}

void lease_core::schedule_reread()
{
  read_at_ = now_.mono + options_.retry_period;
}

void lease_core::observe(const lease_found& e)
{
  if (e.version != observed_version_) {
    observed_version_ = e.version;
    observed_holder_ = e.record.holder;
    // The holder may be configured with a different duration; the longer one is used.
    const auto duration = std::max(e.record.duration, options_.duration);
    claimable_at_ = now_.mono + duration + options_.skew_margin;
  }
  read_at_ = now_.mono + options_.read_period;
  if (now_.mono < claimable_at_) {
    read_at_ = std::min(read_at_, claimable_at_); // claim at once, not a period later
  }
}

void lease_core::claim_existing(const lease_found& e)
{
  if (is_write_base(e)) {
    send_write(); // an earlier claim may still arrive; the same nonce makes both one write
    return;
  }
  notes_ = e.record.notes;
  write({.holder = options_.self,
         .fencing_number = e.record.fencing_number + 1,
         .nonce = 0,
         .duration = options_.duration,
         .notes = notes_},
        e.version);
}

void lease_core::claim_new(const lease_missing& e)
{
  if (pending_write_ && pending_write_->base == 0) {
    send_write();
    return;
  }
  notes_ = nullptr;
  write({.holder = options_.self,
         .fencing_number = e.last_fencing_number + 1,
         .nonce = 0,
         .duration = options_.duration,
         .notes = notes_},
        0);
}

void lease_core::renew()
{
  auto record = record_;
  record.notes = notes_;
  write(std::move(record), version_);
}

void lease_core::resend_write()
{
  send_write();
}

void lease_core::write(lease_record record, std::uint64_t base)
{
  // 53 bits, so that readers that store numbers as doubles preserve the value.
  constexpr unsigned dropped_bits = 11;
  record.nonce = (rng_() >> dropped_bits) | 1U;
  pending_write_ = pending_write{.record = std::move(record), .base = base, .sent_at = now_.mono};
  send_write();
}

void lease_core::send_write()
{
  pending_call_ = ++last_call_;
  actions_.emplace_back(write_lease{
      .call = last_call_, .record = pending_write_->record, .version = pending_write_->base});
}

void lease_core::on_acquired(std::uint64_t version)
{
  const bool had_holder = pending_write_->base != 0 || pending_write_->record.fencing_number > 1;
  const auto wait =
      had_holder ? options_.order_timeout + options_.skew_margin : std::chrono::milliseconds{0};
  // The former holder's lease has ended, but its last orders may still be in transit.
  unfenced_orders_allowed_at_ = now_.mono + wait;
  on_renewed(version);
}

void lease_core::on_renewed(std::uint64_t version)
{
  record_ = pending_write_->record;
  version_ = version;
  // The duration counts from when the write was first sent: no other daemon can have seen it
  // earlier.
  deadline_ = pending_write_->sent_at + options_.duration;
  renew_at_ = pending_write_->sent_at + options_.renew_period;
  observed_holder_ = options_.self;
  pending_write_.reset();
  if (!notes_written()) {
    renew_at_ = now_.mono;
  }
}

void lease_core::release()
{
  auto record = record_;
  record.notes = notes_;
  record.holder = daemon_id();
  write(std::move(record), version_);
}

void lease_core::on_lost()
{
  // The outcome of a pending write is not awaited; the next read treats it like a write of another
  // daemon.
  pending_write_.reset();
  pending_call_.reset();
  observed_version_ = 0;
  deadline_ = now_.mono;
  read_at_ = now_.mono;
}

void lease_core::on_released()
{
  pending_write_.reset();
  deadline_ = now_.mono;
  observed_holder_ = daemon_id();
}

// A holder whose lease the copy does not show may act until its time is over.
void lease_core::on_store_restored()
{
  claims_allowed_at_ = now_.mono + options_.duration + options_.skew_margin;
}

void lease_core::set_notes(const boost::json::value& notes)
{
  notes_ = notes;
  if (!notes_written()) {
    renew_at_ = now_.mono;
  }
}

} // namespace wisteriaflow::capacity::internal
