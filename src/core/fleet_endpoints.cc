// The part of `fleet` for endpoints: the subset that a daemon reaches, their load and cache
// reports, and the announcement of leaving ones.

#include <algorithm>
#include <utility>

#include "core/fleet.h"
#include "core/fleet_addresses.h"
#include "core/platform_documents.h"
#include "wisteriaflow/membership/subsets.h"

namespace wisteriaflow::core::internal {
namespace {

using membership::member;
using membership::member_kind;
using membership::member_state;

// Minimum time between two computations of the subset. Leaving endpoints are processed at once.
constexpr std::chrono::milliseconds subset_interval{250};

objects::label_set labels_of(const member& m)
{
  objects::label_set out;
  for (const auto& [key, value] : m.attributes.labels) {
    if (objects::is_label_key(key) && objects::is_label_value(value)) {
      out = out.with(key, value);
    }
  }
  return out;
}

routing::endpoint_description describe_endpoint(const member& m)
{
  return {.id = endpoint_id(m.key.id),
          .address = m.attributes.address,
          .availability_zone = m.attributes.zone,
          .instance_class = m.attributes.instance_class,
          .labels = m.attributes.labels,
          .price_per_hour = m.attributes.price_per_hour,
          .reclaimable = m.attributes.reclaimable};
}

} // namespace

objects::instance_description describe(const member& m)
{
  return {.labels = labels_of(m),
          .zone = m.attributes.zone,
          .instance_class = m.attributes.instance_class,
          .role = m.attributes.role == "service" ? objects::pool_role::service
                                                 : objects::pool_role::engine};
}

// The instance list may show that an endpoint is leaving before a notice gives the time. The time
// is reported as soon as it is known, because it determines whether running requests can finish
// there.
void fleet::announce_leaving_endpoints()
{
  for (const auto slot : endpoints_.slots()) {
    const auto& id = endpoints_.at(slot).description.id;
    const auto* m = view_.find({.kind = member_kind::endpoint, .id = id.value()});
    if (m != nullptr && m->state == member_state::live) {
      continue;
    }
    const auto reclaim_at = m == nullptr ? std::nullopt : m->reclaim_at;
    const auto [it, is_new] = announced_leaving_.emplace(id, reclaim_at);
    if (is_new || it->second != reclaim_at) {
      it->second = reclaim_at;
      endpoints_.on_leaving(slot);
      listener_.endpoint_leaving(id, reclaim_at);
    }
  }
}

void fleet::set_configuration(std::shared_ptr<const objects::fleet_configuration> configuration,
                              std::uint64_t floor)
{
  configuration_ = std::move(configuration);
  gossiper_.set_configuration(configuration_->revision(), floor);
  update_endpoints();
}

// Returns the endpoints of all pools and services that this daemon reaches.
std::set<endpoint_id> fleet::endpoint_subset() const
{
  const auto daemons = view_.live_daemons();
  const membership::subset_options subset{.target_size = context_.options().subset_size};
  std::set<endpoint_id> out;
  const auto add = [&](const std::function<bool(const member&)>& matches) {
    const auto all = view_.live_endpoints(matches);
    for (auto& id : membership::subset_of(context_.options().self, daemons, all, subset)) {
      out.insert(std::move(id));
    }
  };
  for (const auto& pool : configuration_->pools()) {
    add([&](const member& m) { return objects::is_eligible(pool, describe(m)); });
  }
  for (const auto& service : configuration_->services()) {
    add([&](const member& m) { return objects::is_eligible(service, describe(m)); });
  }
  return out;
}

void fleet::update_endpoints()
{
  update_due_ = context_.now().mono + subset_interval;
  const auto wanted = endpoint_subset();
  for (const auto& id : wanted) {
    const auto* m = view_.find({.kind = member_kind::endpoint, .id = id.value()});
    const auto slot = endpoints_.upsert(describe_endpoint(*m));
    descriptions_.resize(std::max<std::size_t>(descriptions_.size(), slot + 1));
    descriptions_[slot] = describe(*m);
  }
  std::vector<endpoint_id> unwanted;
  for (const auto slot : endpoints_.slots()) {
    const auto& id = endpoints_.at(slot).description.id;
    const auto* m = view_.find({.kind = member_kind::endpoint, .id = id.value()});
    const bool gone = m == nullptr || m->state == member_state::gone;
    // Requests continue on an endpoint that only left the subset or is temporarily unreachable.
    if (gone || (!wanted.contains(id) && m->state == member_state::live)) {
      unwanted.push_back(id);
    }
  }
  for (const auto& id : unwanted) {
    prefixes_.remove_endpoint(*endpoints_.find(id));
    endpoints_.remove(id);
    announced_leaving_.erase(id);
    cache_events_seen_.erase(id);
  }
  context_.counters().set("endpoints_reached", static_cast<double>(endpoints_.slots().size()));
  context_.counters().set("daemons_live", static_cast<double>(view_.live_daemons().size()));
}

std::vector<routing::endpoint_slot>
fleet::candidates(const std::function<bool(const objects::instance_description&)>& matches) const
{
  std::vector<routing::endpoint_slot> out;
  for (const auto slot : endpoints_.slots()) {
    const auto& id = endpoints_.at(slot).description.id;
    if (view_.is_routable(id) && matches(descriptions_[slot])) {
      out.push_back(slot);
    }
  }
  return out;
}

void fleet::on_connect_failed(const endpoint_id& endpoint)
{
  view_.connect_failed({.kind = member_kind::endpoint, .id = endpoint.value()}, context_.now());
  if (const auto slot = endpoints_.find(endpoint)) {
    endpoints_.on_connect_failure(*slot, context_.now().mono);
  }
}

void fleet::on_connected(const endpoint_id& endpoint)
{
  view_.connect_succeeded({.kind = member_kind::endpoint, .id = endpoint.value()}, context_.now());
  if (const auto slot = endpoints_.find(endpoint)) {
    endpoints_.on_connected(*slot);
  }
}

void fleet::poll_loads()
{
  const auto deadline = context_.now().mono + context_.options().load_period;
  for (const auto slot : endpoints_.slots()) {
    const auto& description = endpoints_.at(slot).description;
    const auto* m = view_.find({.kind = member_kind::endpoint, .id = description.id.value()});
    const auto to = parse_address(description.address);
    if (m == nullptr || m->attributes.role != "engine" || !to) {
      continue;
    }
    context_.emit(endpoint_action(
        poll_load{.endpoint = description.id.value(), .to = *to, .deadline = deadline}));
    context_.emit(endpoint_action(poll_cache_events{.endpoint = description.id.value(),
                                                    .to = *to,
                                                    .after = cache_events_seen_[description.id],
                                                    .deadline = deadline}));
  }
}

void fleet::on_load(const load_reported& report)
{
  const endpoint_id id(report.endpoint);
  const auto slot = endpoints_.find(id);
  if (!slot) {
    return;
  }
  if (!report.reached) {
    on_connect_failed(id);
    return;
  }
  on_connected(id);
  if (const auto load = read_load(report.report, context_.now())) {
    endpoints_.on_report(*slot, *load);
  }
}

void fleet::on_cache_events(const cache_events_reported& report)
{
  const endpoint_id id(report.endpoint);
  const auto slot = endpoints_.find(id);
  if (!slot) {
    return;
  }
  auto& seen = cache_events_seen_[id];
  for (const auto& e : read_cache_events(report.report)) {
    seen = std::max(seen, e.sequence);
    prefixes_.on_event(*slot, e, context_.now().mono);
    context_.counters().count("cache_events_total");
  }
}

} // namespace wisteriaflow::core::internal
