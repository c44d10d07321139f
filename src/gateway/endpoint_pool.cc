#include "wisteriaflow/gateway/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::gateway {
namespace {

// A version whose last endpoint has gone is remembered for this long, which is at least the time
// for which its streams may be resumed.
constexpr std::chrono::milliseconds version_memory{600'000};

endpoint_process process_of(const endpoint_record& r)
{
  return {.id = r.id, .incarnation = r.incarnation};
}

service_version version_of(const endpoint_record& r)
{
  return {.service = r.service, .version = r.version};
}

} // namespace

endpoint_pool::endpoint_pool(endpoint_pool_options options)
    : options_(std::move(options)), departures_(options_.departure_gossip_duration),
      terms_(options_.self), places_(options_.self), peers_(options_.peer_work_ttl),
      health_(options_.health), probes_(options_.seed), affinity_(options_.self),
      meter_({.initial_speed = options_.initial_prefill_rate}),
      table_(
          {.initial_prefill_rate = options_.initial_prefill_rate, .external_prefill_rates = true}),
      prefixes_({}), prefill_rates_({.initial_rate = options_.initial_prefill_rate}),
      random_(options_.seed)
{
  routing_.availability_zone = options_.zone;
  routing_.tokens_per_block = tokens_per_block;
}

void endpoint_pool::replace_all(std::span<const endpoint_record> listed, store_revision revision,
                                mono_time now)
{
  has_list_ = true;
  std::set<endpoint_id> listed_ids;
  for (const auto& r : listed) {
    listed_ids.insert(r.id);
  }
  std::vector<endpoint_departure> missing;
  for (const auto& [id, known] : records_) {
    if (known.revision <= revision && !listed_ids.contains(id)) {
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
    // Estimates and counts of the previous process don't apply to the new one.
    peers_.forget_endpoint(changed.id);
    terms_.remove(changed.id);
    erase(changed.id, now);
  }
  held_removals_.erase(changed.id);
  const bool was_in_use = is_in_use(changed.id);
  auto record = changed;
  record.leaving = record.leaving ||
                   departures_.had_departed(process_of(record), record.revision) ||
                   terms_.is_leaving(process_of(record));
  store(record, now);
  if (changed.leaving) {
    departures_.record({.id = changed.id, .revision = changed.revision}, changed.incarnation,
                       was_in_use, now);
  }
}

void endpoint_pool::store(const endpoint_record& record, mono_time now)
{
  const auto known = table_.find(record.id);
  if (known && table_.at(*known).leaving && !record.leaving) {
    // The table cannot undo on_leaving(). Calls in flight belong to the former slot and are not
    // counted any more.
    prefixes_.remove_endpoint(*known);
    affinity_.remove_engine(*known);
    own_.erase(record.id);
    table_.remove(record.id);
  }
  const auto slot = table_.upsert({.id = record.id,
                                   .address = to_string(record.address),
                                   .availability_zone = record.zone,
                                   .reclaimable = record.reclaimable});
  affinity_.add_engine(slot, record.id);
  if (record.leaving) {
    table_.on_leaving(slot);
  }
  const auto before = records_.find(record.id);
  if (before == records_.end() || version_of(before->second) != version_of(record)) {
    if (before != records_.end()) {
      versions_.on_endpoint_removed(version_of(before->second), now);
    }
    versions_.on_endpoint_added(version_of(record), now);
  }
  records_[record.id] = record;
  update_usable(record);
}

void endpoint_pool::update_usable(const endpoint_record& record)
{
  if (is_usable_ && !is_usable_(record)) {
    unusable_.insert(record.id);
  } else {
    unusable_.erase(record.id);
  }
}

void endpoint_pool::reapply_usable_filter()
{
  for (const auto& [id, r] : records_) {
    update_usable(r);
  }
}

void endpoint_pool::remove(const endpoint_departure& departure, mono_time now)
{
  const auto it = records_.find(departure.id);
  if (it == records_.end() || it->second.revision > departure.revision) {
    return;
  }
  if (now < removals_held_until_ && !it->second.leaving) {
    held_removals_[departure.id] = departure.revision;
    return;
  }
  departures_.record(departure, it->second.incarnation, !it->second.leaving, now);
  erase(departure.id, now);
}

void endpoint_pool::erase(const endpoint_id& id, mono_time now)
{
  if (const auto slot = table_.find(id)) {
    prefixes_.remove_endpoint(*slot);
    affinity_.remove_engine(*slot);
  }
  table_.remove(id);
  if (const auto it = records_.find(id); it != records_.end()) {
    versions_.on_endpoint_removed(version_of(it->second), now);
    records_.erase(it);
  }
  own_.erase(id);
  prefill_rates_.forget(id);
  unusable_.erase(id);
  health_.forget(id);
  places_.forget(id);
  forget_outcomes(id, now);
  held_removals_.erase(id);
}

bool endpoint_pool::is_in_use(const endpoint_id& id) const
{
  const auto it = records_.find(id);
  return it != records_.end() && !it->second.leaving;
}

bool endpoint_pool::on_departure(const endpoint_departure& departure, mono_time now)
{
  if (departures_.is_recorded(departure)) {
    return false; // each report of a peer repeats it
  }
  const auto it = records_.find(departure.id);
  if (it != records_.end() && it->second.revision > departure.revision) {
    return false;
  }
  const bool in_use = is_in_use(departure.id);
  departures_.record(departure, it == records_.end() ? 0 : it->second.incarnation, in_use, now);
  if (!in_use) {
    return false;
  }
  it->second.leaving = true;
  store(endpoint_record(it->second), now);
  return true;
}

void endpoint_pool::tick(mono_time now)
{
  if (now >= removals_held_until_) {
    for (const auto& [id, revision] : std::exchange(held_removals_, {})) {
      remove({.id = id, .revision = revision}, now);
    }
  }
  // A daemon that follows its peers' views never sees the removal of an entry, only the departure.
  // The endpoint's last requests have ended by now.
  for (const auto& id : departures_.completed(now)) {
    const auto it = records_.find(id);
    if (it != records_.end() && it->second.leaving) {
      erase(id, now);
    }
  }
  departures_.remove_expired(now);
  versions_.forget_before(now - version_memory);
  terms_.tick(now);
  rejection_limits_.tick(now);
  places_.tick(now);
}

bool endpoint_pool::may_be_present(const endpoint_process& process) const
{
  const auto it = records_.find(process.id);
  return it == records_.end() || !is_restart(process, process_of(it->second));
}

terms_action endpoint_pool::on_answer(const answer_terms& answer, mono_time now)
{
  if (!may_be_present(answer.process)) {
    return terms_action::nothing;
  }
  const auto step = terms_.on_answer(answer, now);
  apply_leaving(answer.process, now);
  return step;
}

terms_action endpoint_pool::on_peer_terms(const peer_terms& received, mono_time now)
{
  if (!may_be_present(received.process)) {
    return terms_action::nothing;
  }
  const auto step = terms_.on_peer_terms(received, now);
  apply_leaving(received.process, now);
  return step;
}

std::optional<std::string> endpoint_pool::on_answered_rejection_limit(const answer_terms& answer,
                                                                      mono_time now)
{
  const auto it = records_.find(answer.process.id);
  const auto& limit = answer.terms.rejection_limit;
  // An unsigned answer may come from another program, and an invalid limit is not the end of one.
  const bool may_end = answer.is_signed && answer.terms.rejected.empty();
  if (it == records_.end() || !may_be_present(answer.process) || (!limit && !may_end)) {
    return std::nullopt;
  }
  const auto& service = it->second.service;
  const bool is_changed = rejection_limits_.on_answer(
      {.service = service, .limit = limit, .sent_at = answer.sent_at}, now);
  return is_changed ? std::optional(service) : std::nullopt;
}

void endpoint_pool::apply_leaving(const endpoint_process& process, mono_time now)
{
  const auto it = records_.find(process.id);
  if (it != records_.end() && !it->second.leaving && terms_.is_leaving(process)) {
    it->second.leaving = true;
    store(endpoint_record(it->second), now);
  }
}

std::vector<peer_terms> endpoint_pool::terms_to_gossip(std::size_t max_count, mono_time now)
{
  // Peers know from the store that the other endpoints are leaving or were removed.
  const auto is_in_use = [this](const endpoint_id& id) {
    const auto it = records_.find(id);
    return it != records_.end() &&
           !departures_.had_departed(process_of(it->second), it->second.revision);
  };
  return terms_.to_gossip(max_count, is_in_use, now);
}

std::vector<const endpoint_record*> endpoint_pool::serving(std::string_view service) const
{
  std::vector<const endpoint_record*> out;
  for (const auto& [id, r] : records_) {
    if (r.service == service && !r.leaving && !unusable_.contains(id)) {
      out.push_back(&r);
    }
  }
  return out;
}

std::vector<endpoint_departure> endpoint_pool::departures(mono_time now, store_revision after) const
{
  return departures_.to_gossip(after, now);
}

void endpoint_pool::end_wait(endpoint_work& own, const routing::sent_attempt& work)
{
  own.remove_waiting(work.traits.rank,
                     static_cast<std::uint64_t>(std::max(0, work.prefill_tokens)));
}

bool endpoint_pool::has_restarted(const pooled_endpoint& chosen) const
{
  const auto it = records_.find(chosen.id);
  return it != records_.end() && is_restart(chosen.process(), process_of(it->second));
}

bool endpoint_pool::is_version_unchanged(const pooled_endpoint& chosen) const
{
  const auto it = records_.find(chosen.id);
  return it == records_.end() || (!is_restart(chosen.process(), process_of(it->second)) &&
                                  it->second.version == chosen.version);
}

bool endpoint_pool::serves_version(const service_version& version) const
{
  const auto all = serving(version.service);
  return std::any_of(all.begin(), all.end(),
                     [&](const endpoint_record* r) { return r->version == version.version; });
}

bool endpoint_pool::is_active(const endpoint_process& process) const
{
  const auto it = records_.find(process.id);
  return it != records_.end() && !it->second.leaving &&
         it->second.incarnation == process.incarnation;
}

bool endpoint_pool::is_replaced(const endpoint_process& process,
                                const http::socket_address& address) const
{
  const auto own = records_.find(process.id);
  const bool is_known = own != records_.end();
  if (is_known && is_restart(process, process_of(own->second))) {
    return true;
  }
  return std::any_of(records_.begin(), records_.end(), [&](const auto& entry) {
    const auto& [id, other] = entry;
    const bool is_later = !is_known || own->second.revision < other.revision;
    return id != process.id && other.address == address && is_later;
  });
}

void endpoint_pool::on_first_token(routing::sent_attempt& work, mono_time now)
{
  if (work.first_token_at) {
    return;
  }
  if (table_.is_current(work)) {
    const auto& id = table_.at(work.slot).description.id;
    auto& own = own_[id];
    end_wait(own, work);
    ++own.running;
    meter_.on_first_token(records_.at(id).service, work, now);
    if (work.sent_when_idle && work.prefill_tokens > 0) {
      const std::chrono::duration<double> elapsed = now - work.sent_at;
      prefill_rates_.add(
          records_.at(id).service, id,
          {.tokens = static_cast<double>(work.prefill_tokens), .seconds = elapsed.count()}, now);
    }
  }
  table_.on_first_token(work, now);
}

void endpoint_pool::on_finished(const routing::sent_attempt& work, std::uint64_t output_tokens,
                                mono_time now)
{
  if (table_.is_current(work)) {
    auto& own = own_[table_.at(work.slot).description.id];
    own.resident_tokens -= std::min(own.resident_tokens, work.traits.resident_tokens);
    if (work.first_token_at) {
      own.running -= std::min<std::uint32_t>(1, own.running);
    } else {
      end_wait(own, work);
    }
  }
  table_.on_finished(work, static_cast<int>(output_tokens), now);
}

bool endpoint_pool::on_failure(const endpoint_id& id, endpoint_failure kind, mono_time now)
{
  return records_.contains(id) && health_.on_failure(id, kind, now);
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

endpoint_work_map endpoint_pool::work_to_gossip(mono_time now) const
{
  auto out = own_work();
  for (const auto& id : health_.unreachable(now)) {
    out[id].unreachable = 1;
  }
  return out;
}

void endpoint_pool::on_peer_work(const daemon_id& peer, endpoint_work_map work, mono_time sent_at)
{
  peers_.on_work(peer, std::move(work), sent_at);
}

endpoint_work endpoint_pool::own_work_at(const endpoint_id& id) const
{
  const auto it = own_.find(id);
  return it == own_.end() ? endpoint_work{} : it->second;
}

void endpoint_pool::refresh_loads(mono_time now)
{
  peers_.expire(now);
  meter_.update_rates(live_daemons(), now);
  prefill_rates_.decay(now);
  const auto services = work_by_service();
  for (const auto& [id, r] : records_) {
    const auto own = own_work_at(id);
    const auto peers = peers_.total_at(id);
    table_.set_prefill_rate(*table_.find(id), prefill_rates_.rate_of(r.service, id));
    table_.on_report(
        *table_.find(id),
        {.running = static_cast<int>(own.running + peers.running),
         .waiting = static_cast<int>(own.waiting + peers.waiting),
         .max_running = static_cast<int>(r.places),
         .others_waiting_tokens = static_cast<double>(peers.waiting_tokens),
         .others_by_rank = load::expected_work(peer_work_at(r), services.at(r.service)),
         .others_resident_tokens = peers.resident_tokens,
         .measured_at = now});
  }
}

std::map<std::string_view, load::service_work> endpoint_pool::work_by_service() const
{
  std::map<std::string_view, load::service_work> out;
  for (const auto& [id, r] : records_) {
    auto& service = out[r.service];
    service.sum += peer_work_at(r);
    ++service.engines;
  }
  return out;
}

load::reported_work endpoint_pool::peer_work_at(const endpoint_record& record) const
{
  // An endpoint refuses calls long before it has this much to do.
  constexpr std::uint32_t max_loads = 4; // calls, as a multiple of its slots
  constexpr double max_prefill_seconds = 10;
  const double rate = prefill_rates_.rate_of(record.service, record.id);
  return load::bounded_work(peers_.total_at(record.id).by_rank(),
                            {.calls = max_loads * record.places,
                             .tokens = static_cast<std::uint64_t>(max_prefill_seconds * rate)});
}

void endpoint_pool::on_peer_prefill(const daemon_id& peer, prefill_demand demand, mono_time sent_at)
{
  peers_.on_prefill(peer, std::move(demand), sent_at);
}

void endpoint_pool::set_fleet(fleet_view fleet, mono_time now)
{
  live_count_ = fleet.live_count;
  affinity_.set_daemons(fleet.candidates);
  places_.set_fleet(fleet, now);
  terms_.set_fleet(std::move(fleet), now);
}

std::size_t endpoint_pool::live_daemons() const
{
  return std::max(1 + peers_.peer_count(), live_count_);
}

double endpoint_pool::unreported_factor() const
{
  const auto known = peers_.peer_count();
  return known == 0 ? 1 : static_cast<double>(live_daemons() - 1) / static_cast<double>(known);
}

double endpoint_pool::busy_endpoints(std::string_view service, mono_time now)
{
  peers_.expire(now);
  const auto own = meter_.local_rates().find(service);
  const double factor = unreported_factor();
  fleet_demand demand{.tokens_per_second = factor * peers_.total_prefill(service)};
  demand.tokens_per_second += own == meter_.local_rates().end() ? 0 : own->second;
  for (const auto* r : serving(service)) {
    demand.waiting_tokens += static_cast<double>(own_work_at(r->id).waiting_tokens) +
                             factor * static_cast<double>(peers_.total_at(r->id).waiting_tokens);
  }
  return meter_.busy_endpoints(service, demand);
}

} // namespace wisteriaflow::gateway
