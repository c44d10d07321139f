// endpoint_pool's use of the outcomes of calls that daemons share; see endpoint_pool.cc for the
// rest. The decisions are in the package load.

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "wisteriaflow/gateway/endpoint_pool.h"

namespace wisteriaflow::gateway {

void endpoint_pool::on_outcome(const endpoint_id& id, load::call_result result, mono_time now)
{
  if (records_.contains(id)) {
    outcomes_.on_result(id, result, now);
  }
}

void endpoint_pool::on_peer_outcomes(const daemon_id& peer, load::outcome_map outcomes,
                                     mono_time as_of, mono_time now)
{
  if (peer != options_.self) {
    outcomes_.on_statement(peer, std::move(outcomes), as_of, now);
  }
}

std::vector<load::avoidance_change> endpoint_pool::update_avoidance(mono_time now)
{
  outcomes_.update(now);
  const auto evidence = outcomes_.evidence(now);
  disbelieved_count_ = evidence.disbelieved;
  if (evidence.endpoints.empty() && avoidance_.avoided_count() == 0) {
    return {};
  }
  std::map<std::string_view, std::vector<endpoint_id>> services;
  for (const auto& [id, r] : records_) {
    if (!r.leaving && !unusable_.contains(id)) {
      services[r.service].push_back(id);
    }
  }
  std::vector<load::avoidance_change> out;
  for (const auto& [service, ids] : services) {
    auto changes = avoidance_.update(ids, evidence.endpoints, now);
    for (auto& change : changes) {
      probes_.forget(change.id);
      out.push_back(std::move(change));
    }
  }
  return out;
}

void endpoint_pool::forget_outcomes(const endpoint_id& id, mono_time now)
{
  outcomes_.forget(id, now);
  avoidance_.forget(id);
  probes_.forget(id);
}

std::optional<routing::endpoint_slot> endpoint_pool::take_probe(const candidates& found,
                                                                bool may_be_repeated, mono_time now)
{
  probes_.on_call();
  const load::probe_terms terms{.daemons = live_daemons(),
                                .avoided = avoidance_.avoided_count(),
                                .may_be_repeated = may_be_repeated};
  for (const auto slot : found.avoided) {
    const bool has_free_slot = table_.at(slot).batch_load() < 1;
    if (has_free_slot && probes_.take(table_.at(slot).description.id, terms, now)) {
      return slot;
    }
  }
  return std::nullopt;
}

void endpoint_pool::limit_to_usable(candidates& found)
{
  std::vector<routing::endpoint_slot> all = found.open;
  all.insert(all.end(), found.avoided.begin(), found.avoided.end());
  std::vector<load::usable_candidate> states;
  states.reserve(all.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    const auto& state = table_.at(all[i]);
    const bool avoided = i >= found.open.size();
    states.push_back(
        {.avoided = avoided,
         .estimate = avoided ? avoidance_.estimate(state.description.id) : 1,
         .slots = static_cast<std::uint32_t>(std::max(1, state.report.max_running)),
         .in_flight = static_cast<std::uint32_t>(state.running_now() + state.waiting_now())});
  }
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  found.open.clear();
  for (const auto i : load::usable_endpoints(states, draw)) {
    found.open.push_back(all[i]);
  }
  std::sort(found.open.begin(), found.open.end());
}

pool_choice endpoint_pool::choose(const selection_criteria& criteria, mono_time now)
{
  auto found = candidates_for(criteria, now);
  if (found.avoided.empty()) {
    return choose_among(found, criteria, now);
  }
  if (const auto probed = take_probe(found, criteria.may_be_repeated, now)) {
    const candidates probe{.open = {*probed}};
    auto choice = choose_among(probe, criteria, now);
    if (std::holds_alternative<pooled_endpoint>(choice)) {
      ++probe_count_;
      return choice;
    }
  }
  auto usable = found;
  limit_to_usable(usable);
  auto choice = choose_among(usable, criteria, now);
  if (std::holds_alternative<pooled_endpoint>(choice)) {
    return choice;
  }
  // No call is refused on account of the avoidance alone.
  found.open.insert(found.open.end(), found.avoided.begin(), found.avoided.end());
  std::sort(found.open.begin(), found.open.end());
  return choose_among(found, criteria, now);
}

} // namespace wisteriaflow::gateway
