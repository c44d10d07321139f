#include "capacity/pool_view.h"

#include <algorithm>
#include <cstdio>

namespace wisteriaflow::capacity {

std::string to_text(double value)
{
  constexpr std::size_t longest = 32;
  char buf[longest];
  const int n = std::snprintf(buf, sizeof buf, "%.2f", value);
  return {buf, static_cast<std::size_t>(std::max(n, 0))};
}

namespace internal {
namespace {

double engine_load(const pool_demand& demand, const objects::token_rates& rates)
{
  double out = 0;
  if (rates.prefill_tokens_per_second > 0) {
    out += demand.prefill_tokens / rates.prefill_tokens_per_second;
  }
  if (rates.decode_tokens_per_second > 0) {
    out += demand.decode_tokens / rates.decode_tokens_per_second;
  }
  return out;
}

template <typename value> bool allows(const std::vector<value>& allowed, const value& one)
{
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), one) != allowed.end();
}

} // namespace

pool_view::pool_view(const planner_options& options, const pool_input& in,
                     const pool_demand& demand)
    : options_(options), in_(in), demand_(demand)
{
  const bool idle = demand.requests <= 0 && demand.prefill_tokens <= 0 && demand.decode_tokens <= 0;
  problem_.required = idle ? 0 : 1 + in.pool.headroom;
  // An idle pool of at least two instances keeps one after the loss of a zone: in an idle pool an
  // instance has weight 1.
  const bool must_survive_zone_loss = options.zone_headroom && (!idle || in.pool.min_instances > 1);
  problem_.required_after_zone_loss = must_survive_zone_loss ? 1 : 0;
  problem_.min_instances = in.pool.min_instances;
  problem_.max_instances = in.pool.max_instances;
  problem_.max_reclaimable_share = in.pool.max_reclaimable_share;
}

void pool_view::add_instance(const pool_instance& instance, bool starting)
{
  auto& group = groups_[instance.key];
  (starting ? group.starting : group.serving).push_back(&instance);
  group.price_per_hour = instance.price_per_hour;
}

void pool_view::add_launch(const launch_record& record)
{
  ++groups_[record.key].launching;
}

// The fraction of the demand that one instance serves within the latency targets.
double pool_view::weight_of(const std::string& instance_class) const
{
  double load = 0;
  if (in_.pool.role == objects::pool_role::service) {
    load = demand_.requests / options_.service_requests_per_second;
  } else {
    const auto it = in_.rates.find(instance_class);
    const bool declared = it != in_.rates.end() && it->second.decode_tokens_per_second > 0;
    load = engine_load(demand_, declared ? it->second : options_.default_rates);
  }
  return load <= 0 ? 1 : options_.target_utilisation / load;
}

bool pool_view::accepts(const offer_key& key) const
{
  return allows(in_.pool.availability_zones, key.zone) &&
         allows(in_.pool.instance_classes, key.instance_class);
}

// The price factor of a new instance. While it starts, both it and the instance that it replaces
// are paid for; that cost is spread over the payback horizon.
double pool_view::start_cost_factor() const
{
  if (!options_.switch_hysteresis) {
    return 1;
  }
  double bytes = 0;
  for (const auto& load : in_.model_loads) {
    bytes += static_cast<double>(load.bytes);
  }
  const double starts = std::chrono::duration<double>(options_.launch_time).count() +
                        bytes / options_.loads.bytes_per_second;
  return 1 + starts / std::chrono::duration<double>(options_.payback_horizon).count();
}

void pool_view::solve(const std::vector<offer>& offers,
                      const std::function<bool(const offer_key&)>& may_launch)
{
  for (auto& [key, group] : groups_) {
    const auto it = std::find_if(offers.begin(), offers.end(),
                                 [&key = key](const offer& o) { return o.key == key; });
    group.price_per_hour = it == offers.end() ? group.price_per_hour : it->price_per_hour;
    problem_.columns.push_back({.key = key,
                                .price_per_hour = group.price_per_hour,
                                .weight = weight_of(key.instance_class),
                                .limit = group.size()});
  }
  first_new_ = problem_.columns.size();
  for (const auto& o : offers) {
    if (!accepts(o.key)) {
      continue;
    }
    offered_.push_back(o.key);
    if (may_launch(o.key)) {
      problem_.columns.push_back({.key = o.key,
                                  .price_per_hour = o.price_per_hour * start_cost_factor(),
                                  .weight = weight_of(o.key.instance_class)});
    }
  }
  target_ = cheapest_mix(problem_);
}

std::int64_t pool_view::kept_count(const offer_key& key) const
{
  for (std::size_t i = 0; i < first_new_; ++i) {
    if (problem_.columns[i].key == key) {
      return target_.counts[i];
    }
  }
  return 0;
}

std::vector<std::int64_t> pool_view::serving_counts() const
{
  std::vector<std::int64_t> out(problem_.columns.size(), 0);
  for (std::size_t i = 0; i < first_new_; ++i) {
    out[i] = static_cast<std::int64_t>(groups_.at(problem_.columns[i].key).serving.size());
  }
  return out;
}

std::vector<const pool_instance*> pool_view::take_releasable()
{
  std::vector<const pool_instance*> out;
  auto counts = serving_counts();
  for (std::size_t i = 0; i < first_new_; ++i) {
    auto& group = groups_.at(problem_.columns[i].key);
    auto surplus = group.size() - target_.counts[i];
    // Instances that do not serve yet can always be released.
    for (; surplus > 0 && !group.starting.empty(); --surplus) {
      out.push_back(group.starting.back());
      group.starting.pop_back();
    }
    for (; surplus > 0 && !group.serving.empty(); --surplus) {
      const double before = shortfall_of(problem_, counts);
      --counts[i];
      if (shortfall_of(problem_, counts) > before) {
        ++counts[i];
        break; // still needed: its replacement does not serve yet
      }
      out.push_back(group.serving.back());
      group.serving.pop_back();
    }
  }
  return out;
}

std::vector<const pool_instance*> pool_view::starting_first() const
{
  std::vector<const pool_instance*> out;
  for (const auto& [key, group] : groups_) {
    out.insert(out.end(), group.starting.begin(), group.starting.end());
  }
  for (const auto& [key, group] : groups_) {
    out.insert(out.end(), group.serving.begin(), group.serving.end());
  }
  return out;
}

instance_reason pool_view::reason_for(const pool_instance& instance) const
{
  const auto& group = groups_.at(instance.key);
  const bool starting =
      std::find(group.starting.begin(), group.starting.end(), &instance) != group.starting.end();
  instance_reason out{.subject = instance.id.value(), .pool = in_.pool.metadata.name};
  const auto offer = to_string(instance.key) + " at " + to_text(group.price_per_hour) + " an hour";
  const auto surplus = group.size() - kept_count(instance.key);
  if (surplus > 0) {
    out.state = "surplus";
    out.reason = offer + ": the cheapest mix keeps " + std::to_string(kept_count(instance.key)) +
                 " of " + std::to_string(group.size()) + "; released when what replaces it serves";
    return out;
  }
  out.state = starting ? "starting" : "serving";
  out.reason = offer + ": in the cheapest mix, carries " +
               to_text(weight_of(instance.key.instance_class)) + " of the demand" +
               (starting ? "; waits for its models" : "");
  return out;
}

pool_report pool_view::report() const
{
  std::map<availability_zone, double> by_zone;
  pool_report out{.pool = in_.pool.metadata.name,
                  .demand = demand_,
                  .required = problem_.required,
                  .meets_requirements = target_.meets_requirements,
                  .price_per_hour = target_.price_per_hour};
  for (const auto& [key, group] : groups_) {
    const double weight = weight_of(key.instance_class) * static_cast<double>(group.serving.size());
    out.serving += weight;
    by_zone[key.zone] += weight;
  }
  double largest = 0;
  for (const auto& [zone, weight] : by_zone) {
    largest = std::max(largest, weight);
  }
  out.serving_after_zone_loss = out.serving - largest;
  return out;
}

} // namespace internal
} // namespace wisteriaflow::capacity
