#include "core/capacity_inputs.h"

#include "core/capacity_documents.h"

#include <algorithm>
#include <utility>

namespace wisteriaflow::core::internal {
namespace {

// The part of all tokens that are computed for prompts, until it is measured.
constexpr double usual_prefill_part = 0.5;

void add_model(const objects::fleet_configuration& configuration, capacity::pool_input& in)
{
  for (const auto& version : configuration.model_versions()) {
    if (version.model != in.pool.model || version.retired) {
      continue;
    }
    in.loads.push_back(
        {.model = version.model, .adapter = version.adapter, .bytes = version.weights_bytes});
    for (const auto& [instance_class, rates] : version.rates) {
      in.rates.emplace(instance_class, rates);
    }
  }
  // A model comes before its adapters, and each is loaded once.
  std::sort(in.loads.begin(), in.loads.end());
  const auto same = [](const capacity::model_load& a, const capacity::model_load& b) {
    return a.model == b.model && a.adapter == b.adapter;
  };
  in.loads.erase(std::unique(in.loads.begin(), in.loads.end(), same), in.loads.end());
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
  add_usage(configuration, out);
  for (auto& in : out) {
    raise_to_occupancy(in);
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

double capacity_inputs::prefill_part() const
{
  const auto& counters = context_.counters();
  const double prompt =
      counters.value("prompt_tokens_total") - counters.value("cached_tokens_total");
  const double all = prompt + counters.value("completion_tokens_total");
  return all <= 0 ? usual_prefill_part : std::clamp(prompt / all, 0.0, 1.0);
}

// A workspace's use, as gossiped, goes to the pool of the first intent that selects it.
void capacity_inputs::add_usage(const objects::fleet_configuration& configuration,
                                std::vector<capacity::pool_input>& pools)
{
  const double prefill = prefill_part();
  for (const auto& workspace : configuration.workspaces()) {
    const auto usage = fleet_.gossip().usage().fleet_usage(workspace.id(), context_.now().mono);
    const auto intents = configuration.matching_intents({.workspace = workspace.id()});
    if (!usage || intents.empty()) {
      continue;
    }
    for (auto& in : pools) {
      if (in.pool.metadata.name == intents.front()->pool) {
        in.demand.requests += usage->requests_per_second;
        in.demand.prefill_tokens += usage->tokens_per_second * prefill;
        in.demand.decode_tokens += usage->tokens_per_second * (1 - prefill);
      }
    }
  }
}

// This daemon hears nothing of workspaces that it does not serve; how busy the endpoints are that
// it reaches shows the rest. The others are taken to be as busy.
void capacity_inputs::raise_to_occupancy(capacity::pool_input& in) const
{
  double busy = 0;
  int reached = 0;
  for (const auto& instance : in.instances) {
    const auto slot = fleet_.endpoints().find(endpoint_id(instance.id.value()));
    const auto rates = in.rates.find(instance.key.instance_class);
    if (!slot || rates == in.rates.end()) {
      continue;
    }
    const auto& state = fleet_.endpoints().at(*slot);
    const double places = std::max(state.report.max_running, 1);
    busy += (state.running_now() + state.waiting_now()) / places *
            rates->second.decode_tokens_per_second;
    ++reached;
  }
  if (reached > 0) {
    const double seen = busy * static_cast<double>(in.instances.size()) / reached;
    in.demand.decode_tokens = std::max(in.demand.decode_tokens, seen);
  }
}

} // namespace wisteriaflow::core::internal
