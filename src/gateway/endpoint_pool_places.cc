// The places at endpoints of services with a rejection limit; see endpoint_pool.cc for the rest.

#include <algorithm>
#include <chrono>

#include "wisteriaflow/gateway/endpoint_pool.h"

namespace wisteriaflow::gateway {
namespace {

// When a refused call is worth another try: the places are in use, and nothing waits for them.
constexpr std::chrono::milliseconds full_retry_delay{200};
// After this many endpoints to which no peer could pass a request on, further requests are refused
// for the pause without asking peers.
constexpr unsigned max_pass_on_failures = 4;
constexpr std::chrono::milliseconds pass_on_pause{10};

} // namespace

endpoint_places endpoint_pool::places_of(const endpoint_record& record)
{
  return {.process = {.id = record.id, .incarnation = record.incarnation}, .places = record.places};
}

bool endpoint_pool::has_free_place(const endpoint_record& record, mono_time now)
{
  return !rejection_limits_.limit_of(record.service) ||
         places_.has_free_place(places_of(record), now);
}

pool_choice endpoint_pool::choose_through_peer(const selection_criteria& criteria,
                                               const std::vector<routing::endpoint_slot>& full,
                                               mono_time now)
{
  const auto failures = pass_on_failures_.find(criteria.service);
  const bool is_paused = failures != pass_on_failures_.end() && now < failures->second.paused_until;
  const auto slot = full[random_() % full.size()];
  const auto& record = records_.at(table_.at(slot).description.id);
  if (is_paused || places_.holders_of(places_of(record)).empty()) {
    return reject_until(criteria, now + full_retry_delay);
  }
  const auto prompt = split_prompt(criteria.prompt);
  const auto size = believed_size(criteria);
  return start_attempt(slot, static_cast<int>(size.prompt), prompt.hashes, criteria, now, false);
}

void endpoint_pool::on_attempt_ended(const pooled_endpoint& chosen, request_end end, mono_time now)
{
  if (chosen.has_place) {
    places_.on_ended(chosen.process(), end, now);
  }
}

void endpoint_pool::on_rejected(const endpoint_process& process, mono_time now)
{
  const auto it = records_.find(process.id);
  if (it == records_.end()) {
    return;
  }
  if (const auto limit = rejection_limits_.limit_of(it->second.service)) {
    places_.on_rejected({.process = process, .places = it->second.places}, *limit, now);
  }
}

std::optional<std::vector<daemon_id>> endpoint_pool::place_holders(const endpoint_id& id) const
{
  const auto it = records_.find(id);
  if (it == records_.end() || !rejection_limits_.limit_of(it->second.service)) {
    return std::nullopt;
  }
  return places_.holders_of(places_of(it->second));
}

void endpoint_pool::on_passed_on(const endpoint_id& id, bool accepted, mono_time now)
{
  const auto it = records_.find(id);
  if (it == records_.end()) {
    return;
  }
  auto& failures = pass_on_failures_[it->second.service];
  failures.in_a_row = accepted ? 0 : failures.in_a_row + 1;
  if (failures.in_a_row >= max_pass_on_failures) {
    failures = {.paused_until = now + pass_on_pause};
  }
}

bool endpoint_pool::start_carried(const endpoint_process& process, mono_time now)
{
  const auto it = records_.find(process.id);
  if (it == records_.end() || !has_free_place(it->second, now)) {
    return false;
  }
  places_.on_sent(process);
  return true;
}

} // namespace wisteriaflow::gateway
