#include "capacity/lease_core.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::capacity::internal {

lease_core::lease_core(lease_options options) : options_(std::move(options)), random_(options_.seed)
{
}

std::vector<lease_action> lease_core::take_actions()
{
  return std::exchange(actions_, {});
}

bool lease_core::accept_answer(std::uint64_t call)
{
  if (open_call_ != call) {
    return false;
  }
  open_call_.reset();
  return true;
}

// Free: given back, or unchanged for its whole time since this daemon first saw it so.
bool lease_core::is_free(const lease_found& e) const
{
  return e.record.holder.empty() || (e.version == seen_version_ && free_at_ <= now_.mono);
}

bool lease_core::is_ours(const lease_found& e) const
{
  // The nonce alone is not enough: daemons that start together may draw the same one.
  return write_ && e.record.nonce == write_->record.nonce &&
         e.record.holder == write_->record.holder;
}

bool lease_core::is_base(const lease_found& e) const
{
  return write_ && e.version == write_->base;
}

void lease_core::read()
{
  open_call_ = ++last_call_;
  actions_.emplace_back(read_lease{.call = last_call_});
}

void lease_core::read_later()
{
  read_at_ = now_.mono + options_.retry_period;
}

void lease_core::observe(const lease_found& e)
{
  if (e.version != seen_version_) {
    seen_version_ = e.version;
    seen_holder_ = e.record.holder;
    // The holder's own settings may differ from ours.
    const auto duration = std::max(e.record.duration, options_.duration);
    free_at_ = now_.mono + duration + options_.skew_margin;
  }
  read_at_ = now_.mono + options_.read_period;
  if (now_.mono < free_at_) {
    read_at_ = std::min(read_at_, free_at_); // not a whole period after it may be claimed
  }
}

void lease_core::claim_found(const lease_found& e)
{
  if (is_base(e)) {
    send_write(); // an earlier claim may be under way: the same nonce keeps them one
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

void lease_core::claim_new()
{
  if (write_ && write_->base == 0) {
    send_write();
    return;
  }
  notes_ = nullptr;
  write({.holder = options_.self,
         .fencing_number = 1,
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

void lease_core::write_again()
{
  send_write();
}

void lease_core::write(lease_record record, std::uint64_t base)
{
  // 53 bits, so that the number survives readers that keep numbers as doubles.
  constexpr unsigned dropped_bits = 11;
  record.nonce = (random_() >> dropped_bits) | 1U;
  write_ = open_write{.record = std::move(record), .base = base, .sent_at = now_.mono};
  send_write();
}

void lease_core::send_write()
{
  open_call_ = ++last_call_;
  actions_.emplace_back(
      write_lease{.call = last_call_, .record = write_->record, .version = write_->base});
}

// Counts from the first sending: others can have seen the write no earlier.
void lease_core::become_holder(std::uint64_t version)
{
  const bool had_holder = write_->base != 0;
  const auto wait =
      had_holder ? options_.order_timeout + options_.skew_margin : std::chrono::milliseconds{0};
  // The former holder's right has ended; its last orders may still be on their way.
  order_all_at_ = now_.mono + wait;
  renewed(version);
}

void lease_core::renewed(std::uint64_t version)
{
  record_ = write_->record;
  version_ = version;
  deadline_ = write_->sent_at + options_.duration;
  renew_at_ = write_->sent_at + options_.renew_period;
  seen_holder_ = options_.self;
  write_.reset();
  if (!notes_written()) {
    renew_at_ = now_.mono;
  }
}

void lease_core::give_back()
{
  auto record = record_;
  record.notes = notes_;
  record.holder = daemon_id();
  write(std::move(record), version_);
}

void lease_core::lose()
{
  // A write that is still open cannot be waited for: it is settled by the next read, as another's.
  write_.reset();
  open_call_.reset();
  seen_version_ = 0;
  deadline_ = now_.mono;
  read_at_ = now_.mono;
}

void lease_core::done()
{
  write_.reset();
  deadline_ = now_.mono;
  seen_holder_ = daemon_id();
}

void lease_core::set_notes(const boost::json::value& notes)
{
  notes_ = notes;
  if (!notes_written()) {
    renew_at_ = now_.mono;
  }
}

} // namespace wisteriaflow::capacity::internal
