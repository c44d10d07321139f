#include "core/capacity_inputs.h"

#include <algorithm>
#include <utility>

#include "core/capacity_documents.h"

namespace wisteriaflow::core::internal {
namespace {

void add_model(const objects::fleet_configuration& configuration, capacity::pool_input& in)
{
  for (const auto& version : configuration.model_versions()) {
    if (version.model != in.pool.model || version.retired) {
      continue;
    }
    in.model_loads.push_back(
        {.model = version.model, .adapter = version.adapter, .bytes = version.weights_bytes});
    for (const auto& [instance_class, rates] : version.rates) {
      in.rates.emplace(instance_class, rates);
    }
  }
  // Sorting puts a model before its adapters. Each is loaded once.
  std::sort(in.model_loads.begin(), in.model_loads.end());
  const auto same = [](const capacity::model_load& a, const capacity::model_load& b) {
    return a.model == b.model && a.adapter == b.adapter;
  };
  in.model_loads.erase(std::unique(in.model_loads.begin(), in.model_loads.end(), same),
                       in.model_loads.end());
}

capacity::pool_input* pool_of(const membership::member& m, std::vector<capacity::pool_input>& pools)
{
  const auto label = m.attributes.labels.find(std::string(pool_label));
  const auto description = describe(m);
  for (auto& in : pools) {
    const bool named = label != m.attributes.labels.end() && label->second == in.pool.metadata.name;
    const bool taken =
        label == m.attributes.labels.end() && objects::is_eligible(in.pool, description);
    if (named || taken) {
      return &in;
    }
  }
  return nullptr;
}

} // namespace

std::vector<capacity::pool_input>
capacity_inputs::pools(const objects::fleet_configuration& configuration,
                       const listed_instances& listed)
{
  std::vector<capacity::pool_input> out;
  for (const auto& pool : configuration.pools()) {
    out.push_back({.pool = pool});
    add_model(configuration, out.back());
  }
  for (const auto& m : listed.endpoints) {
    if (auto* in = pool_of(m, out)) {
      in->instances.push_back(instance_of(m, listed));
    }
  }
  for (auto& in : out) {
    estimate_demand(in);
  }
  return out;
}

capacity::pool_instance capacity_inputs::instance_of(const membership::member& m,
                                                     const listed_instances& listed) const
{
  const auto* known = fleet_.view().find(m.key);
  const bool leaving = m.state != membership::member_state::live ||
                       (known != nullptr && known->state != membership::member_state::live);
  const auto token = listed.launched_with.find(m.key.id);
  return {.id = instance_id(m.key.id),
          .key = {.zone = m.attributes.zone,
                  .instance_class = m.attributes.instance_class,
                  .reclaimable = m.attributes.reclaimable},
          .price_per_hour = m.attributes.price_per_hour,
          .leaving = leaving,
          .launched_with = token == listed.launched_with.end() ? std::string() : token->second};
}

// Estimates the demand of a pool from the load of the endpoints that this daemon reaches, assuming
// the same load for the others. The gossiped usage is unsuitable, because a daemon receives it only
// for workspaces that it serves itself. Waiting requests are included, so that demand above the
// capacity is visible.
void capacity_inputs::estimate_demand(capacity::pool_input& in) const
{
  const auto& defaults = context_.options().capacity.planner.default_rates;
  double decoded = 0;
  int reached = 0;
  for (const auto& instance : in.instances) {
    const auto slot = fleet_.endpoints().find(endpoint_id(instance.id.value()));
    if (!slot) {
      continue;
    }
    const auto rates = in.rates.find(instance.key.instance_class);
    const auto& state = fleet_.endpoints().at(*slot);
    const double batch_slots = std::max(state.report.max_running, 1);
    const double batch_load = (state.running_now() + state.waiting_now()) / batch_slots;
    decoded +=
        batch_load * (rates == in.rates.end() ? defaults : rates->second).decode_tokens_per_second;
    ++reached;
  }
  if (reached > 0) {
    in.demand.decode_tokens = decoded * static_cast<double>(in.instances.size()) / reached;
  }
}

} // namespace wisteriaflow::core::internal
