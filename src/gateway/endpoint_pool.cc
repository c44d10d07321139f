#include "wisteriaflow/gateway/endpoint_pool.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/gateway/plain_choice.h"

namespace wisteriaflow::gateway {
namespace {

// Until an endpoint's own rate is measured.
constexpr double initial_prefill_rate = 30'000; // tokens/s

// Tokens of a prompt beyond its shared parts.
int own_tokens(const token_size& size, const prompt_blocks& prompt)
{
  const auto shared = static_cast<int>(prompt.shared) * tokens_per_block;
  return std::max(0, static_cast<int>(size.prompt) - shared);
}

// Whether the endpoint is one of those that the call may go to by their version.
bool is_in(const version_lane& lane, const endpoint_record& r)
{
  switch (lane.at) {
  case version_lane::side::any:
    return true;
  case version_lane::side::present:
    return r.version != lane.target;
  case version_lane::side::trial:
  case version_lane::side::target:
    return r.version == lane.target;
  }
  return true;
}

endpoint_process process_of(const endpoint_record& r)
{
  return {.id = r.id, .incarnation = r.incarnation};
}

} // namespace

endpoint_pool::endpoint_pool(endpoint_pool_options options)
    : options_(std::move(options)), departures_(options_.departure_told), terms_(options_.self),
      peers_(options_.work_valid), health_(options_.health),
      meter_({.initial_speed = initial_prefill_rate}),
      table_({.initial_prefill_rate = initial_prefill_rate}), prefixes_({}), random_(options_.seed)
{
  routing_.availability_zone = options_.zone;
  routing_.tokens_per_block = tokens_per_block;
}

void endpoint_pool::replace_all(std::span<const endpoint_record> listed, std::uint64_t revision,
                                mono_time now)
{
  listed_ = true;
  std::vector<endpoint_departure> missing;
  for (const auto& [id, known] : records_) {
    const auto has_id = [&id = id](const endpoint_record& r) { return r.id == id; };
    if (known.revision <= revision && std::none_of(listed.begin(), listed.end(), has_id)) {
      missing.push_back({.id = id, .revision = revision});
    }
  }
  for (const auto& r : listed) {
    apply(r, now);
  }
  for (const auto& gone : missing) {
    remove(gone, now);
  }
}

void endpoint_pool::apply(const endpoint_record& changed, mono_time now)
{
  const auto known = records_.find(changed.id);
  if (known != records_.end() && changed.revision < known->second.revision) {
    return;
  }
  if (known != records_.end() && is_restart(process_of(known->second), process_of(changed))) {
    // Nothing that was believed or counted of the process before holds for this one.
    peers_.forget(changed.id);
    terms_.forget(changed.id);
    erase(changed.id);
  }
  held_removals_.erase(changed.id);
  auto record = changed;
  record.leaving = record.leaving || departures_.covers(record.id, record.revision) ||
                   terms_.is_leaving(process_of(record));
  store(record);
  if (changed.leaving) {
    departures_.note({.id = changed.id, .revision = changed.revision}, now);
  }
}

void endpoint_pool::store(const endpoint_record& record)
{
  const auto known = table_.find(record.id);
  if (known && table_.at(*known).leaving && !record.leaving) {
    table_.remove(record.id); // the table does not take a leaving endpoint back
  }
  const auto slot = table_.upsert({.id = record.id,
                                   .address = to_string(record.address),
                                   .availability_zone = record.zone,
                                   .reclaimable = record.reclaimable});
  if (record.leaving) {
    table_.on_leaving(slot);
  }
  records_[record.id] = record;
  note_usable(record);
}

void endpoint_pool::note_usable(const endpoint_record& record)
{
  if (may_be_used_ && !may_be_used_(record)) {
    not_usable_.insert(record.id);
  } else {
    not_usable_.erase(record.id);
  }
}

void endpoint_pool::check_usable()
{
  for (const auto& [id, r] : records_) {
    note_usable(r);
  }
}

void endpoint_pool::remove(const endpoint_departure& gone, mono_time now)
{
  const auto it = records_.find(gone.id);
  if (it == records_.end() || it->second.revision > gone.revision) {
    return;
  }
  if (now < hold_until_ && !it->second.leaving) {
    held_removals_[gone.id] = gone.revision;
    return;
  }
  departures_.note(gone, now);
  erase(gone.id);
}

void endpoint_pool::erase(const endpoint_id& id)
{
  if (const auto slot = table_.find(id)) {
    prefixes_.forget(*slot);
  }
  table_.remove(id);
  records_.erase(id);
  own_.erase(id);
  not_usable_.erase(id);
  health_.forget(id);
  held_removals_.erase(id);
}

bool endpoint_pool::on_departure(const endpoint_departure& heard, mono_time now)
{
  const auto it = records_.find(heard.id);
  if (it != records_.end() && it->second.revision > heard.revision) {
    return false;
  }
  departures_.note(heard, now);
  if (it == records_.end() || it->second.leaving) {
    return false;
  }
  it->second.leaving = true;
  store(endpoint_record(it->second));
  return true;
}

void endpoint_pool::tick(mono_time now)
{
  if (now >= hold_until_) {
    for (const auto& [id, revision] : std::exchange(held_removals_, {})) {
      remove({.id = id, .revision = revision}, now);
    }
  }
  // A daemon that follows its peers' views never sees the removal of an entry, only the departure.
  // Its last requests have ended by then.
  for (const auto& id : departures_.over(now)) {
    const auto it = records_.find(id);
    if (it != records_.end() && it->second.leaving) {
      erase(id);
    }
  }
  departures_.forget_old(now);
  terms_.tick(now);
}

bool endpoint_pool::may_be_present(const endpoint_process& process) const
{
  const auto it = records_.find(process.id);
  return it == records_.end() || !is_restart(process, process_of(it->second));
}

terms_step endpoint_pool::on_answer(const answered_terms& said, mono_time now)
{
  if (!may_be_present(said.process)) {
    return terms_step::nothing;
  }
  const auto step = terms_.on_answer(said, now);
  heed_leaving(said.process);
  return step;
}

terms_step endpoint_pool::on_peer_terms(const told_terms& told, mono_time now)
{
  if (!may_be_present(told.process)) {
    return terms_step::nothing;
  }
  const auto step = terms_.on_told(told, now);
  heed_leaving(told.process);
  return step;
}

void endpoint_pool::heed_leaving(const endpoint_process& process)
{
  const auto it = records_.find(process.id);
  if (it != records_.end() && !it->second.leaving && terms_.is_leaving(process)) {
    it->second.leaving = true;
    store(endpoint_record(it->second));
  }
}

std::vector<told_terms> endpoint_pool::terms_to_tell(std::size_t most, mono_time now)
{
  // Of others everybody knows by the store that they leave, or that they are gone.
  const auto is_in_use = [this](const endpoint_id& id) {
    const auto it = records_.find(id);
    return it != records_.end() && !departures_.covers(id, it->second.revision);
  };
  return terms_.to_tell(most, is_in_use, now);
}

std::vector<const endpoint_record*> endpoint_pool::serving(std::string_view service) const
{
  std::vector<const endpoint_record*> out;
  for (const auto& [id, r] : records_) {
    if (r.service == service && !r.leaving && !not_usable_.contains(id)) {
      out.push_back(&r);
    }
  }
  return out;
}

std::vector<endpoint_departure> endpoint_pool::departures(mono_time now) const
{
  return departures_.to_tell(now);
}

mono_time endpoint_pool::left_out_until(routing::endpoint_slot slot) const
{
  return health_.left_out_until(table_.at(slot).description.id);
}

bool endpoint_pool::is_left_out(routing::endpoint_slot slot, mono_time now) const
{
  const auto& id = table_.at(slot).description.id;
  return now < left_out_until(slot) || peers_.at(id).unreachable >= options_.peers_believed;
}

endpoint_pool::candidates endpoint_pool::candidates_for(const endpoint_wish& wish,
                                                        mono_time now) const
{
  candidates out;
  for (const auto* r : serving(wish.service)) {
    if (!is_in(wish.lane, *r)) {
      continue;
    }
    const auto& excluded = wish.excluded;
    if (std::find(excluded.begin(), excluded.end(), r->id) != excluded.end()) {
      continue;
    }
    // Whatever else speaks for it: what an endpoint says of itself is binding.
    const auto open_at = terms_.open_at(r->id, now);
    if (open_at > now) {
      out.opens_at = std::min(out.opens_at.value_or(open_at), open_at);
      continue;
    }
    const auto slot = *table_.find(r->id);
    (is_left_out(slot, now) ? out.left_out : out.open).push_back(slot);
  }
  // With most of them in trouble the trouble is not theirs, and the few others would be overrun.
  if (out.open.size() < out.left_out.size()) {
    out.open.insert(out.open.end(), out.left_out.begin(), out.left_out.end());
    std::sort(out.open.begin(), out.open.end());
    out.left_out.clear();
  }
  if (wish.lane.at == version_lane::side::trial) {
    keep_on_trial(wish, out.open);
  }
  return out;
}

void endpoint_pool::keep_on_trial(const endpoint_wish& wish,
                                  std::vector<routing::endpoint_slot>& open) const
{
  const auto score = [&](routing::endpoint_slot slot) {
    return rendezvous_score(wish.lane.drawn_by, table_.at(slot).description.id.value());
  };
  const auto all = serving(wish.service);
  const auto present = std::count_if(all.begin(), all.end(), [&](const endpoint_record* r) {
    return r->version != wish.lane.target;
  });
  const auto wanted =
      static_cast<std::size_t>(std::ceil(wish.lane.target_part * static_cast<double>(present)));
  const auto number = std::min(open.size(), std::max<std::size_t>(1, wanted));
  std::sort(open.begin(), open.end(), [&](auto a, auto b) { return score(a) > score(b); });
  open.resize(number);
  std::sort(open.begin(), open.end());
}

std::vector<routing::endpoint_slot>
endpoint_pool::homes_of(const prompt_blocks& prompt, const token_size& size,
                        const std::vector<routing::endpoint_slot>& open, mono_time now)
{
  if (!prompt.shared_key) {
    return {};
  }
  const double busy = own_tokens(size, prompt) / initial_prefill_rate;
  const auto wanted = spread_.homes_of(*prompt.shared_key, busy, live_daemons(), now);
  std::vector<std::pair<std::uint64_t, routing::endpoint_slot>> scores;
  scores.reserve(open.size());
  for (const auto slot : open) {
    const auto& id = table_.at(slot).description.id;
    scores.emplace_back(rendezvous_score(*prompt.shared_key, id.value()), slot);
  }
  const auto number = static_cast<std::ptrdiff_t>(std::min(wanted, scores.size()));
  std::partial_sort(scores.begin(), scores.begin() + number, scores.end(), std::greater<>());
  std::vector<routing::endpoint_slot> out;
  for (auto it = scores.begin(); it != scores.begin() + number; ++it) {
    out.push_back(it->second);
  }
  return out;
}

routing::no_endpoint endpoint_pool::none_open(const endpoint_wish& wish, mono_time opens_at)
{
  if (const auto& size = wish.size) {
    // It is demand all the same: a fleet that turns calls away is short of endpoints.
    meter_.on_sent(wish.service, own_tokens(*size, split_prompt(wish.prompt)));
  }
  return {.reason = routing::no_endpoint_reason::none_open, .retry_at = opens_at};
}

pool_choice endpoint_pool::choose(const endpoint_wish& wish, mono_time now)
{
  const auto candidates = candidates_for(wish, now);
  if (candidates.open.empty() && candidates.opens_at) {
    return none_open(wish, *candidates.opens_at);
  }
  if (!wish.size && wish.prompt.empty()) {
    return choose_for_plain(wish, candidates.open, now);
  }
  const auto prompt = split_prompt(wish.prompt);
  const auto& blocks = prompt.hashes;
  const auto size = wish.size.value_or(token_size{});
  const auto homes = homes_of(prompt, size, candidates.open, now);
  const routing::request_view request{.blocks = blocks,
                                      .prompt_tokens = static_cast<int>(size.prompt),
                                      .expected_output_tokens = static_cast<int>(size.output),
                                      .target = wish.target,
                                      .deadline = wish.deadline,
                                      .homes = homes,
                                      .home_blocks = prompt.shared};
  const routing::routing_view view{.endpoints = table_, .prefixes = prefixes_, .options = routing_};
  const auto made = routing::choose_endpoint(view, request, candidates.open, now, random_);
  if (const auto* chosen = std::get_if<routing::chosen_endpoint>(&made)) {
    const int prefill = static_cast<int>(size.prompt) - chosen->parts.cached_tokens;
    auto out = take(chosen->slot, prefill, blocks, wish, now);
    out.prefix_source = prefix_source_for(chosen->slot, prompt, candidates.open, now);
    return out;
  }
  const auto& none = std::get<routing::no_endpoint>(made);
  if (candidates.open.empty()) {
    return none;
  }
  if (none.only_queued && wish.may_be_refused) {
    // It is demand all the same: a fleet that turns calls away is short of endpoints.
    meter_.on_sent(wish.service, own_tokens(size, prompt));
    return none;
  }
  // All look too slow for its size, or it may have run: the least bad is tried.
  const auto slot =
      *std::min_element(candidates.open.begin(), candidates.open.end(), [this](auto a, auto b) {
        return std::pair(left_out_until(a), table_.at(a).crowding()) <
               std::pair(left_out_until(b), table_.at(b).crowding());
      });
  return take(slot, static_cast<int>(size.prompt), blocks, wish, now);
}

pool_choice endpoint_pool::choose_for_plain(const endpoint_wish& wish,
                                            const std::vector<routing::endpoint_slot>& open,
                                            mono_time now)
{
  std::vector<plain_candidate> candidates;
  candidates.reserve(open.size());
  for (const auto slot : open) {
    const auto& id = table_.at(slot).description.id;
    const auto own = own_.find(id);
    const auto calls = own == own_.end() ? 0 : own->second.waiting + own->second.running;
    candidates.push_back({.own_calls = calls, .places = records_.at(id).places});
  }
  const auto best = choose_plain(candidates, random_);
  if (!best) {
    return routing::no_endpoint{};
  }
  return take(open[*best], 0, {}, wish, now);
}

// Endpoints that leave are no source, though they still hold much: one that is gone before it has
// answered holds the prompt up for seconds. With them 0.042 of worth less over six days of three
// seeds each, and 17 failed calls of 445 in place of 1 on the day with four zones lost.
std::optional<http::socket_address>
endpoint_pool::prefix_source_for(routing::endpoint_slot slot, const prompt_blocks& prompt,
                                 const std::vector<routing::endpoint_slot>& open,
                                 mono_time now) const
{
  if (!prompt.shared_key || open.empty()) {
    return std::nullopt;
  }
  std::vector<std::uint32_t> matched(*std::max_element(open.begin(), open.end()) + std::size_t{1});
  prefixes_.match(prompt.hashes, now, matched);
  std::vector<prefix_holder> holders;
  for (const auto other : open) {
    if (other != slot) {
      holders.push_back({.id = table_.at(other).description.id, .believed = matched[other]});
    }
  }
  const auto best = likeliest_holder(prompt, holders);
  return best ? std::optional(records_.at(holders[*best].id).address) : std::nullopt;
}

// Counts an attempt at the chosen endpoint.
pooled_endpoint endpoint_pool::take(routing::endpoint_slot slot, int prefill,
                                    std::span<const std::uint64_t> blocks,
                                    const endpoint_wish& wish, mono_time now)
{
  const auto& id = table_.at(slot).description.id;
  terms_.on_sent(id, now);
  prefixes_.on_sent(slot, blocks, now);
  if (wish.size) {
    meter_.on_sent(wish.service, prefill);
  }
  auto& own = own_[id];
  ++own.waiting;
  own.waiting_tokens += static_cast<std::uint64_t>(std::max(0, prefill));
  const auto& record = records_.at(id);
  return {.id = id,
          .incarnation = record.incarnation,
          .version = record.version,
          .address = record.address,
          .work = table_.on_sent(slot, prefill, now)};
}

void endpoint_pool::end_wait(endpoint_work& own, const routing::sent_work& work)
{
  own.waiting -= std::min<std::uint32_t>(1, own.waiting);
  const auto tokens = static_cast<std::uint64_t>(std::max(0, work.prefill_tokens));
  own.waiting_tokens -= std::min(tokens, own.waiting_tokens);
}

bool endpoint_pool::has_restarted(const pooled_endpoint& chosen) const
{
  const auto it = records_.find(chosen.id);
  return it != records_.end() && is_restart(chosen.process(), process_of(it->second));
}

bool endpoint_pool::is_staying(const endpoint_process& process) const
{
  const auto it = records_.find(process.id);
  return it != records_.end() && !it->second.leaving &&
         it->second.incarnation == process.incarnation;
}

void endpoint_pool::on_first_token(routing::sent_work& work, mono_time now)
{
  if (work.first_token_at) {
    return;
  }
  if (table_.holds(work)) {
    const auto& id = table_.at(work.slot).description.id;
    auto& own = own_[id];
    end_wait(own, work);
    ++own.running;
    meter_.on_first_token(records_.at(id).service, work, now);
  }
  table_.on_first_token(work, now);
}

void endpoint_pool::on_finished(const routing::sent_work& work, std::uint64_t output_tokens,
                                mono_time now)
{
  if (table_.holds(work)) {
    auto& own = own_[table_.at(work.slot).description.id];
    if (work.first_token_at) {
      own.running -= std::min<std::uint32_t>(1, own.running);
    } else {
      end_wait(own, work);
    }
  }
  table_.on_finished(work, static_cast<int>(output_tokens), now);
}

bool endpoint_pool::on_trouble(const endpoint_id& id, endpoint_trouble kind, mono_time now)
{
  return records_.contains(id) && health_.on_trouble(id, kind, now);
}

void endpoint_pool::on_success(const endpoint_id& id)
{
  health_.on_success(id);
}

endpoint_work_map endpoint_pool::own_work() const
{
  endpoint_work_map out;
  for (const auto& [id, work] : own_) {
    if (work != endpoint_work{}) {
      out.emplace(id, work);
    }
  }
  return out;
}

endpoint_work_map endpoint_pool::work_to_tell(mono_time now) const
{
  auto out = own_work();
  for (const auto& id : health_.unreachable(now)) {
    out[id].unreachable = 1;
  }
  return out;
}

void endpoint_pool::on_peer_work(const daemon_id& peer, endpoint_work_map work, mono_time told_at)
{
  peers_.on_work(peer, std::move(work), told_at);
}

endpoint_work endpoint_pool::own_work_at(const endpoint_id& id) const
{
  const auto it = own_.find(id);
  return it == own_.end() ? endpoint_work{} : it->second;
}

void endpoint_pool::refresh_loads(mono_time now)
{
  peers_.expire(now);
  meter_.refresh(live_daemons(), now);
  for (const auto& [id, r] : records_) {
    const auto own = own_work_at(id);
    const auto peers = peers_.at(id);
    table_.on_report(*table_.find(id),
                     {.running = static_cast<int>(own.running + peers.running),
                      .waiting = static_cast<int>(own.waiting + peers.waiting),
                      .max_running = static_cast<int>(r.places),
                      .others_waiting_tokens = static_cast<double>(peers.waiting_tokens),
                      .measured_at = now});
  }
}

void endpoint_pool::on_peer_prefill(const daemon_id& peer, prefill_demand demand, mono_time told_at)
{
  peers_.on_prefill(peer, std::move(demand), told_at);
}

double endpoint_pool::busy_endpoints(std::string_view service, mono_time now)
{
  peers_.expire(now);
  const auto own = meter_.own().find(service);
  fleet_demand demand{.sent = peers_.prefill(service)};
  demand.sent += own == meter_.own().end() ? 0 : own->second;
  for (const auto* r : serving(service)) {
    demand.waiting +=
        static_cast<double>(own_work_at(r->id).waiting_tokens + peers_.at(r->id).waiting_tokens);
  }
  return meter_.busy_endpoints(service, demand);
}

} // namespace wisteriaflow::gateway
