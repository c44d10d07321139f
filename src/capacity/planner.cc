#include "wisteriaflow/capacity/planner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "capacity/pool_view.h"

namespace wisteriaflow::capacity {
namespace {

launch_backoff_options effective_backoff_options(const planner_options& options)
{
  auto out = options.backoff;
  if (!options.back_off_refused) {
    out.initial = std::chrono::milliseconds{0};
    out.limit = std::chrono::milliseconds{0};
  }
  return out;
}

// Longest delay until the instance list shows a change.
constexpr std::chrono::minutes max_list_lag{10};

std::string cause_of(const mix_column& column, const mix_problem& problem)
{
  return "cheapest mix: " + to_string(column.key) + " at " + to_text(column.price_per_hour) +
         " an hour carries " + to_text(column.weight) + " of the demand; needed " +
         to_text(problem.required) + ", and " + to_text(problem.required_after_zone_loss) +
         " after the loss of any one zone";
}

} // namespace

planner::planner(const planner_options& options)
    : options_(options), backoff_(effective_backoff_options(options_)), load_queue_(options_.loads)
{
}

void planner::take_over(std::uint64_t fencing_number, std::vector<launch_record> launches)
{
  fencing_number_ = fencing_number;
  launch_counter_ = 0;
  launches_ = std::move(launches);
  launch_retry_at_.clear(); // unanswered launches of the former holder are retried at once
}

std::vector<planner_action> planner::plan(const plan_input& input, clock_reading now)
{
  actions_.clear();
  reasons_.clear();
  reports_.clear();
  reconcile_launches(input, now.mono);
  for (const auto& in : input.pools) {
    record_reclaims(in, now.mono);
  }
  retry_unanswered_launches(now);
  for (const auto& in : input.pools) {
    if (in.pool.max_instances > 0) {
      plan_pool(input, in, now);
    }
  }
  return std::exchange(actions_, {});
}

// Removes the launches whose outcome the instance list shows: the instance is listed and has loaded
// its models, is leaving, or is listed no more.
void planner::reconcile_launches(const plan_input& input, mono_time now)
{
  std::map<std::string, std::pair<const pool_instance*, const pool_input*>> by_token;
  std::set<instance_id> listed;
  for (const auto& in : input.pools) {
    for (const auto& instance : in.instances) {
      listed.insert(instance.id);
      if (!instance.launched_with.empty()) {
        by_token[instance.launched_with] = {&instance, &in};
      }
    }
  }
  load_queue_.retain_only(listed);
  std::erase_if(released_, [&](const auto& each) {
    return each.second <= now && !listed.contains(each.first);
  });
  std::erase_if(recorded_reclaims_, [&](const instance_id& id) { return !listed.contains(id); });
  std::erase_if(launches_, [&](launch_record& record) {
    const auto it = by_token.find(record.token);
    if (it == by_token.end()) {
      return listed_tokens_.erase(record.token) > 0; // no longer listed: reclaimed before it served
    }
    const auto& [instance, in] = it->second;
    record.id = instance->id;
    listed_tokens_.insert(record.token);
    const bool resolved =
        is_leaving(*instance) || load_queue_.has_loaded_all(instance->id, in->model_loads);
    if (resolved) {
      listed_tokens_.erase(record.token);
    }
    return resolved;
  });
}

void planner::observe(const std::vector<pool_input>& pools, mono_time now)
{
  std::set<instance_id> listed;
  for (const auto& in : pools) {
    record_reclaims(in, now);
    for (const auto& instance : in.instances) {
      listed.insert(instance.id);
    }
  }
  std::erase_if(recorded_reclaims_, [&](const instance_id& id) { return !listed.contains(id); });
}

// Avoids offers of which an instance is being reclaimed: a new one would probably be reclaimed soon
// as well.
void planner::record_reclaims(const pool_input& in, mono_time now)
{
  for (const auto& instance : in.instances) {
    const bool reclaimed = instance.leaving && !released_.contains(instance.id);
    if (reclaimed && instance.key.reclaimable && recorded_reclaims_.insert(instance.id).second) {
      backoff_.on_reclaimed(instance.key, now);
    }
  }
}

void planner::retry_unanswered_launches(clock_reading now)
{
  for (const auto& record : launches_) {
    auto& due = launch_retry_at_[record.token];
    if (record.id.empty() && due <= now.mono) {
      due = now.mono + options_.launch_retry_interval;
      actions_.emplace_back(launch{.token = record.token,
                                   .pool = record.pool,
                                   .key = record.key,
                                   .cause = "asked again: no answer has come"});
    }
  }
}

bool planner::is_leaving(const pool_instance& instance) const
{
  return instance.leaving || released_.contains(instance.id);
}

bool planner::is_starting(const pool_instance& instance) const
{
  return std::any_of(launches_.begin(), launches_.end(), [&](const launch_record& record) {
    return record.token == instance.launched_with;
  });
}

void planner::plan_pool(const plan_input& input, const pool_input& in, clock_reading now)
{
  auto& window =
      demand_windows_.try_emplace(in.pool.metadata.name, options_.release_after).first->second;
  internal::pool_view view(options_, in, window.add(in.demand, now.mono));
  for (const auto& instance : in.instances) {
    if (!is_leaving(instance)) {
      view.add_instance(instance, is_starting(instance));
    }
  }
  for (const auto& record : launches_) {
    if (record.pool == in.pool.metadata.name && !listed_tokens_.contains(record.token)) {
      view.add_launch(record);
    }
  }
  view.solve(input.offers,
             [&](const offer_key& key) { return backoff_.may_launch(key, now.mono); });
  launch_missing(in, view, now);
  release_surplus(in, view, now.mono);
  release_timed_out_launches(in, now);
  order_loads(in, view, now.mono);
  record_reasons(in, view, now.mono);
}

void planner::launch_missing(const pool_input& in, const internal::pool_view& view,
                             clock_reading now)
{
  for (std::size_t i = view.first_new(); i < view.problem().columns.size(); ++i) {
    const auto& column = view.problem().columns[i];
    for (std::int64_t n = 0; n < view.target().counts[i]; ++n) {
      const auto token = launch_token(in.pool.metadata.name, fencing_number_, ++launch_counter_);
      launches_.push_back({.token = token,
                           .pool = in.pool.metadata.name,
                           .key = column.key,
                           .give_up_at = now.wall + options_.launch_timeout});
      launch_retry_at_[token] = now.mono + options_.launch_retry_interval;
      actions_.emplace_back(launch{.token = token,
                                   .pool = in.pool.metadata.name,
                                   .key = column.key,
                                   .cause = cause_of(column, view.problem())});
    }
  }
}

void planner::release_surplus(const pool_input& in, internal::pool_view& view, mono_time now)
{
  for (const auto* instance : view.take_releasable()) {
    released_[instance->id] = now + max_list_lag;
    std::erase_if(launches_, [&](const launch_record& record) {
      return record.token == instance->launched_with;
    });
    actions_.emplace_back(release{.id = instance->id,
                                  .pool = in.pool.metadata.name,
                                  .cause = "surplus: what serves meets the demand without it, " +
                                           to_string(instance->key) + " at " +
                                           to_text(instance->price_per_hour) + " an hour"});
  }
}

// Launches without an answer are not dropped, since they may have taken place; they are retried.
void planner::release_timed_out_launches(const pool_input& in, clock_reading now)
{
  std::erase_if(launches_, [&](const launch_record& record) {
    const bool late =
        record.pool == in.pool.metadata.name && !record.id.empty() && record.give_up_at <= now.wall;
    if (late) {
      released_[record.id] = now.mono + max_list_lag;
      listed_tokens_.erase(record.token);
      actions_.emplace_back(release{
          .id = record.id, .pool = record.pool, .cause = "did not serve in time after its launch"});
    }
    return late;
  });
}

void planner::order_loads(const pool_input& in, const internal::pool_view& view, mono_time now)
{
  for (const auto* instance : view.starting_first()) {
    for (const auto& load : in.model_loads) {
      if (load_queue_.has_loaded_all(instance->id, {load})) {
        continue;
      }
      if (!released_.contains(instance->id) && load_queue_.try_start(instance->id, load, now)) {
        actions_.emplace_back(order_load{.endpoint = instance->id,
                                         .load = load,
                                         .fencing_number = fencing_number_,
                                         .cause = "pool " + in.pool.metadata.name + " serves it"});
      }
      break; // a model is loaded before its adapters
    }
  }
}

void planner::on_launch_answered(const std::string& token, const launch_answer& answer,
                                 clock_reading now)
{
  const auto it = std::find_if(launches_.begin(), launches_.end(),
                               [&](const launch_record& r) { return r.token == token; });
  if (it == launches_.end()) {
    return; // already removed, since the instance list shows its outcome
  }
  if (const auto* started = std::get_if<launch_started>(&answer)) {
    it->id = started->id;
    backoff_.on_started(it->key);
  } else if (std::holds_alternative<launch_refused>(answer)) {
    backoff_.on_refused(it->key, now.mono);
    launch_retry_at_.erase(token);
    launches_.erase(it);
  } else {
    launch_retry_at_[token] = now.mono + options_.launch_retry_interval;
  }
}

void planner::on_load_answered(const instance_id& endpoint, const model_load& load, bool loaded)
{
  load_queue_.on_answered(endpoint, load, loaded);
}

void planner::record_reasons(const pool_input& in, const internal::pool_view& view, mono_time now)
{
  const auto& pool = in.pool.metadata.name;
  for (const auto& instance : in.instances) {
    reasons_.push_back(is_leaving(instance)
                           ? instance_reason{.subject = instance.id.value(),
                                             .pool = pool,
                                             .state = "leaving",
                                             .reason = released_.contains(instance.id)
                                                           ? "released by this duty"
                                                           : "being reclaimed"}
                           : view.reason_for(instance));
  }
  auto report = view.report();
  for (const auto& record : launches_) {
    if (record.pool != pool || listed_tokens_.contains(record.token)) {
      continue;
    }
    ++report.launching;
    reasons_.push_back({.subject = record.token,
                        .pool = pool,
                        .state = "launching",
                        .reason = to_string(record.key) +
                                  (record.id.empty() ? ": not answered yet" : ": not listed yet")});
  }
  for (const auto& column : view.offered()) {
    if (!backoff_.may_launch(column, now)) {
      report.avoided_offers.push_back(column);
    }
  }
  reports_.push_back(std::move(report));
}

} // namespace wisteriaflow::capacity
