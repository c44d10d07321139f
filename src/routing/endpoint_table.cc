#include "wisteriaflow/routing/endpoint_table.h"

#include <algorithm>
#include <cmath>

#include "wisteriaflow/routing/errors.h"

namespace wisteriaflow::routing {
namespace {

constexpr int max_backoff_doublings = 16;
constexpr int min_tokens_for_rate_sample = 256;

double seconds_between(mono_time from, mono_time to)
{
  return std::chrono::duration<double>(to - from).count();
}

// Expected number of requests beyond the batch places, given that the known count exceeds them by
// `over`. The count is delayed and does not include what other daemons have sent since, so some
// wait is expected even before the batch is full. Computed as a smooth maximum of 0 and `over`.
double expected_excess(int over, double uncertainty)
{
  if (uncertainty <= 0) {
    return std::max(0, over);
  }
  // Far beyond full the two values are equal, and the exponential would overflow.
  constexpr double far_beyond = 30;
  if (over > far_beyond * uncertainty) {
    return over;
  }
  return uncertainty * std::log1p(std::exp(over / uncertainty));
}

// The weight of a report, from 1 when new towards 0. It decays because the reported queue drains
// and new ones form.
double report_weight(const queue_model& model, mono_time measured_at)
{
  if (model.decay_seconds <= 0) {
    return 1;
  }
  return std::exp(-std::max(0.0, seconds_between(measured_at, model.now)) / model.decay_seconds);
}

void drop_reported(std::vector<mono_time>& events, mono_time measured_at)
{
  std::erase_if(events, [measured_at](mono_time at) { return at <= measured_at; });
}

int count(const std::vector<mono_time>& events)
{
  return static_cast<int>(events.size());
}

load::waiting_calls waiting_call(int prefill_tokens)
{
  return {.calls = 1, .tokens = static_cast<std::uint64_t>(std::max(0, prefill_tokens))};
}

} // namespace

int endpoint_state::waiting_now() const
{
  return std::max(own_waiting, report.waiting + count(sent) - count(started));
}

int endpoint_state::running_now() const
{
  return std::max(0, report.running + count(started) - count(finished));
}

std::optional<load::engine_occupancy> endpoint_state::occupancy_by_rank() const
{
  if (!report.others_by_rank) {
    return std::nullopt;
  }
  const auto& others = *report.others_by_rank;
  return load::engine_occupancy{.slots = std::max(1, report.max_running),
                                .running = own_running + static_cast<int>(others.running),
                                .waiting = load::sum_of(own_waiting_by_rank, others.waiting)};
}

double endpoint_state::ranked_queue_seconds(const queue_model& model) const
{
  const auto& engine = *model.occupancy;
  // The tokens of own attempts are known exactly; the others' are as old as the report.
  const auto own = static_cast<double>(load::ahead_of(model.rank, own_waiting_by_rank).tokens);
  const auto all = static_cast<double>(load::ahead_of(model.rank, engine.waiting).tokens);
  const double over =
      expected_excess(load::calls_over_slots(engine, model.rank), model.uncertainty);
  const double reported =
      (all - own) / prefill_rate.value() + over * decode_seconds.value() / engine.slots;
  return own / prefill_rate.value() + reported * report_weight(model, report.measured_at);
}

double endpoint_state::queue_seconds(const queue_model& model) const
{
  if (model.occupancy != nullptr) {
    return ranked_queue_seconds(model);
  }
  const int waiting = model.local_corrections ? waiting_now() : report.waiting;
  const int running = model.local_corrections ? running_now() : report.running;
  // The tokens of own attempts are known exactly. If the report does not give the tokens of other
  // daemons' requests, these are assumed to be of average size.
  const int own = model.local_corrections ? own_waiting : 0;
  const auto own_tokens = model.local_corrections ? static_cast<double>(own_waiting_tokens) : 0.0;
  const double others =
      report.others_waiting_tokens.value_or(std::max(0, waiting - own) * prefill_tokens.value());
  const int max_running = std::max(1, report.max_running);
  const double over = expected_excess(running + waiting + 1 - max_running, model.uncertainty);
  const double reported =
      others / prefill_rate.value() + over * decode_seconds.value() / max_running;
  return own_tokens / prefill_rate.value() + reported * report_weight(model, report.measured_at);
}

double endpoint_state::batch_load(bool local_corrections) const
{
  const int used =
      local_corrections ? running_now() + waiting_now() : report.running + report.waiting;
  return static_cast<double>(used) / std::max(1, report.max_running);
}

endpoint_table::endpoint_table(endpoint_table_options options) : options_(options) {}

endpoint_slot endpoint_table::upsert(const endpoint_description& description)
{
  if (const auto slot = find(description.id)) {
    state(*slot).description = description;
    return *slot;
  }
  auto free = std::find(states_.begin(), states_.end(), std::nullopt);
  if (free == states_.end()) {
    states_.emplace_back();
    free = std::prev(states_.end());
  }
  *free = endpoint_state{.description = description,
                         .slot_generation = ++last_slot_generation_,
                         .report = {.max_running = options_.initial_max_running},
                         .prefill_rate = {options_.initial_prefill_rate, options_.ewma_gain},
                         .decode_rate = {0, options_.ewma_gain},
                         .decode_seconds = {options_.initial_decode_seconds, options_.ewma_gain},
                         .prefill_tokens = {options_.initial_prefill_tokens, options_.ewma_gain}};
  const auto slot = static_cast<endpoint_slot>(free - states_.begin());
  by_id_[description.id] = slot;
  used_.insert(std::lower_bound(used_.begin(), used_.end(), slot), slot);
  return slot;
}

void endpoint_table::remove(const endpoint_id& id)
{
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) {
    return;
  }
  std::erase(used_, it->second);
  states_[it->second].reset();
  by_id_.erase(it);
}

std::optional<endpoint_slot> endpoint_table::find(const endpoint_id& id) const
{
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? std::nullopt : std::optional(it->second);
}

const endpoint_state& endpoint_table::at(endpoint_slot slot) const
{
  if (slot >= states_.size() || !states_[slot]) {
    throw unknown_endpoint("no endpoint in slot " + std::to_string(slot));
  }
  return *states_[slot];
}

endpoint_state& endpoint_table::state(endpoint_slot slot)
{
  static_cast<void>(at(slot));
  return *states_[slot];
}

endpoint_state* endpoint_table::state_of(const sent_attempt& attempt)
{
  return is_current(attempt) ? &*states_[attempt.slot] : nullptr;
}

bool endpoint_table::is_current(const sent_attempt& attempt) const
{
  return attempt.slot < states_.size() && states_[attempt.slot] &&
         states_[attempt.slot]->slot_generation == attempt.slot_generation;
}

void endpoint_table::append_event(std::vector<mono_time>& events, mono_time at) const
{
  if (events.size() >= options_.max_unreported_events) {
    events.erase(events.begin());
  }
  events.push_back(at);
}

void endpoint_table::on_report(endpoint_slot slot, const load_report& report)
{
  auto& it = state(slot);
  if (report.measured_at < it.report.measured_at) {
    return;
  }
  it.report = report;
  drop_reported(it.sent, report.measured_at);
  drop_reported(it.started, report.measured_at);
  drop_reported(it.finished, report.measured_at);
}

void endpoint_table::set_prefill_rate(endpoint_slot slot, double rate)
{
  state(slot).prefill_rate = ewma(rate, options_.ewma_gain);
}

void endpoint_table::on_leaving(endpoint_slot slot)
{
  state(slot).leaving = true;
}

sent_attempt endpoint_table::on_sent(endpoint_slot slot, int prefill_tokens, mono_time now,
                                     const attempt_traits& traits)
{
  auto& it = state(slot);
  // With a full batch the attempt would wait for a place, so its time to first token would not
  // measure the prefill rate. An endpoint underestimated that way would get no requests that could
  // correct the estimate.
  const bool idle = it.waiting_now() == 0 && it.running_now() + 1 < it.report.max_running;
  append_event(it.sent, now);
  ++it.own_waiting;
  it.own_waiting_tokens += prefill_tokens;
  it.own_waiting_by_rank[load::index_of(traits.rank)] += waiting_call(prefill_tokens);
  it.own_resident_tokens += traits.resident_tokens;
  it.own_long_tokens += traits.is_long ? prefill_tokens : 0;
  it.prefill_tokens.add(prefill_tokens);
  return {.slot = slot,
          .slot_generation = it.slot_generation,
          .prefill_tokens = prefill_tokens,
          .sent_at = now,
          .sent_when_idle = idle,
          .traits = traits};
}

void endpoint_table::end_wait(endpoint_state& endpoint, const sent_attempt& attempt)
{
  endpoint.own_waiting = std::max(0, endpoint.own_waiting - 1);
  endpoint.own_waiting_tokens =
      std::max<std::int64_t>(0, endpoint.own_waiting_tokens - attempt.prefill_tokens);
  endpoint.own_waiting_by_rank[load::index_of(attempt.traits.rank)] -=
      waiting_call(attempt.prefill_tokens);
  if (attempt.traits.is_long) {
    endpoint.own_long_tokens =
        std::max<std::int64_t>(0, endpoint.own_long_tokens - attempt.prefill_tokens);
  }
}

void endpoint_table::on_first_token(sent_attempt& attempt, mono_time now)
{
  auto* it = state_of(attempt);
  if (it == nullptr || attempt.first_token_at) {
    return;
  }
  attempt.first_token_at = now;
  append_event(it->started, now);
  end_wait(*it, attempt);
  ++it->own_running;
  const double elapsed = seconds_between(attempt.sent_at, now);
  // For an attempt that waited in a queue, the elapsed time does not measure the prefill rate.
  if (!options_.external_prefill_rates && attempt.sent_when_idle &&
      attempt.prefill_tokens >= min_tokens_for_rate_sample && elapsed > 0) {
    it->prefill_rate.add(attempt.prefill_tokens / elapsed);
  }
}

void endpoint_table::on_finished(const sent_attempt& attempt, int output_tokens, mono_time now)
{
  auto* it = state_of(attempt);
  if (it == nullptr) {
    return;
  }
  it->own_resident_tokens -= std::min(it->own_resident_tokens, attempt.traits.resident_tokens);
  if (!attempt.first_token_at) {
    // The attempt left the queue without running, so the waiting count of the report is corrected
    // as well.
    append_event(it->started, now);
    end_wait(*it, attempt);
    append_event(it->finished, now);
    return;
  }
  append_event(it->finished, now);
  it->own_running = std::max(0, it->own_running - 1);
  const double elapsed = seconds_between(*attempt.first_token_at, now);
  if (output_tokens > 0 && elapsed > 0) {
    it->decode_seconds.add(elapsed);
    it->decode_rate.add(output_tokens / elapsed);
  }
}

void endpoint_table::on_connect_failure(endpoint_slot slot, mono_time now)
{
  auto& it = state(slot);
  const int doublings = std::min(it.connect_failures, max_backoff_doublings);
  ++it.connect_failures;
  const auto backoff = options_.connect_backoff * (1 << doublings);
  it.unreachable_until = now + std::min(backoff, options_.connect_backoff_limit);
}

void endpoint_table::on_connected(endpoint_slot slot)
{
  auto& it = state(slot);
  it.connect_failures = 0;
  it.unreachable_until = mono_time{};
}

double endpoint_table::utilisation(std::span<const endpoint_slot> slots) const
{
  int used = 0;
  int places = 0;
  for (const auto slot : slots) {
    const auto& it = at(slot);
    if (it.leaving) {
      continue;
    }
    const int max_running = std::max(1, it.report.max_running);
    used += std::min(max_running, it.running_now() + it.waiting_now());
    places += max_running;
  }
  return places == 0 ? 1.0 : static_cast<double>(used) / places;
}

std::size_t endpoint_table::memory_bytes() const
{
  std::size_t bytes = states_.capacity() * sizeof(states_[0]);
  for (const auto slot : used_) {
    const auto& it = at(slot);
    bytes +=
        (it.sent.capacity() + it.started.capacity() + it.finished.capacity()) * sizeof(mono_time);
    bytes += it.description.id.value().capacity() + it.description.address.capacity();
  }
  return bytes;
}

} // namespace wisteriaflow::routing
