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
  // An idle pool of two or more keeps one instance after the loss of a zone: its weight is 1.
  const bool outlives_a_zone = options.zone_headroom && (!idle || in.pool.min_instances > 1);
  problem_.required_after_zone_loss = outlives_a_zone ? 1 : 0;
  problem_.min_instances = in.pool.min_instances;
  problem_.max_instances = in.pool.max_instances;
  problem_.max_reclaimable_share = in.pool.max_reclaimable_share;
}

void pool_view::add_instance(const pool_instance& instance, bool starting)
{
  auto& h = held_[instance.key];
  (starting ? h.starting : h.serving).push_back(&instance);
  h.price_per_hour = instance.price_per_hour;
}

void pool_view::add_launch(const launch_record& record)
{
  ++held_[record.key].launching;
}

// The part of the demand that one instance carries within the latency targets.
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
  return load <= 0 ? 1 : options_.utilisation_at_target / load;
}

bool pool_view::takes(const offer_key& key) const
{
  return allows(in_.pool.availability_zones, key.zone) &&
         allows(in_.pool.instance_classes, key.instance_class);
}

// While an instance starts, it and what it replaces are both paid for: spread over the horizon
// within which that must pay.
double pool_view::start_cost_factor() const
{
  if (!options_.switch_hysteresis) {
    return 1;
  }
  double bytes = 0;
  for (const auto& load : in_.loads) {
    bytes += static_cast<double>(load.bytes);
  }
  const double starts = std::chrono::duration<double>(options_.launch_time).count() +
                        bytes / options_.loads.bytes_per_second;
  return 1 + starts / std::chrono::duration<double>(options_.payback_horizon).count();
}

void pool_view::solve(const std::vector<offer>& offers,
                      const std::function<bool(const offer_key&)>& may_launch)
{
  for (auto& [key, h] : held_) {
    const auto it = std::find_if(offers.begin(), offers.end(),
                                 [&key = key](const offer& o) { return o.key == key; });
    h.price_per_hour = it == offers.end() ? h.price_per_hour : it->price_per_hour;
    problem_.columns.push_back({.key = key,
                                .price_per_hour = h.price_per_hour,
                                .weight = weight_of(key.instance_class),
                                .limit = h.size()});
  }
  first_new_ = problem_.columns.size();
  for (const auto& o : offers) {
    if (!takes(o.key)) {
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

std::int64_t pool_view::kept(const offer_key& key) const
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
    out[i] = static_cast<std::int64_t>(held_.at(problem_.columns[i].key).serving.size());
  }
  return out;
}

std::vector<const pool_instance*> pool_view::take_releasable()
{
  std::vector<const pool_instance*> out;
  auto counts = serving_counts();
  for (std::size_t i = 0; i < first_new_; ++i) {
    auto& h = held_.at(problem_.columns[i].key);
    auto surplus = h.size() - target_.counts[i];
    // What does not serve yet is missed by nobody.
    for (; surplus > 0 && !h.starting.empty(); --surplus) {
      out.push_back(h.starting.back());
      h.starting.pop_back();
    }
    for (; surplus > 0 && !h.serving.empty(); --surplus) {
      const double before = shortfall_of(problem_, counts);
      --counts[i];
      if (shortfall_of(problem_, counts) > before) {
        ++counts[i];
        break; // its replacement does not serve yet
      }
      out.push_back(h.serving.back());
      h.serving.pop_back();
    }
  }
  return out;
}

std::vector<const pool_instance*> pool_view::starting_first() const
{
  std::vector<const pool_instance*> out;
  for (const auto& [key, h] : held_) {
    out.insert(out.end(), h.starting.begin(), h.starting.end());
  }
  for (const auto& [key, h] : held_) {
    out.insert(out.end(), h.serving.begin(), h.serving.end());
  }
  return out;
}

instance_reason pool_view::reason_for(const pool_instance& instance) const
{
  const auto& h = held_.at(instance.key);
  const bool starting =
      std::find(h.starting.begin(), h.starting.end(), &instance) != h.starting.end();
  instance_reason out{.subject = instance.id.value(), .pool = in_.pool.metadata.name};
  const auto offer = to_string(instance.key) + " at " + to_text(h.price_per_hour) + " an hour";
  const auto surplus = h.size() - kept(instance.key);
  if (surplus > 0) {
    out.state = "surplus";
    out.reason = offer + ": the cheapest mix keeps " + std::to_string(kept(instance.key)) + " of " +
                 std::to_string(h.size()) + "; released when what replaces it serves";
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
  for (const auto& [key, h] : held_) {
    const double weight = weight_of(key.instance_class) * static_cast<double>(h.serving.size());
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
