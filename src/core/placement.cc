#include "core/placement.h"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr std::chrono::milliseconds no_candidate_retry{1'000};
constexpr double latency_preference = 0.3;
constexpr double cost_preference = 1.0;
// Estimated tokens of a prefix block of 16 words, with 4 bytes per token and 6 bytes per word. The
// length of a whole prompt is estimated in the same way.
constexpr int tokens_per_block = 24;

double seconds_until(mono_time t, mono_time now)
{
  return std::chrono::duration<double>(t - now).count();
}

} // namespace

placement::placement(core_context& context, fleet& members) : context_(context), fleet_(members) {}

std::optional<route> placement::route_for(const objects::fleet_configuration& configuration,
                                          const objects::request_description& request) const
{
  const auto intents = configuration.matching_intents(request);
  if (intents.empty()) {
    return std::nullopt;
  }
  const auto& intent = *intents.front();
  route out;
  out.intent = intent.metadata.name;
  out.model = configuration.model_of(intent);
  out.priority = intent.priority;
  out.batch = intent.batch;
  out.prefers_cost = intent.price_preference == objects::price_preference::cost;
  out.description = request;
  out.first_token_target = context_.options().first_token_target;
  if (const auto* pool = configuration.find_pool(intent.pool)) {
    out.first_token_target = std::chrono::milliseconds(pool->latency_targets.first_token_ms);
  }
  return out;
}

std::vector<routing::endpoint_slot>
placement::candidates(const objects::fleet_configuration& configuration, const route& r) const
{
  if (!r.service.empty()) {
    const auto* service = configuration.find_service(r.service);
    if (service == nullptr) {
      return {};
    }
    return fleet_.candidates([&](const objects::instance_description& instance) {
      return objects::is_eligible(*service, instance);
    });
  }
  const auto& intents = configuration.intents();
  const auto it = std::find_if(intents.begin(), intents.end(), [&](const auto& intent) {
    return intent.metadata.name == r.intent;
  });
  if (it == intents.end()) {
    return {};
  }
  return fleet_.candidates([&](const objects::instance_description& instance) {
    return configuration.is_eligible(*it, instance);
  });
}

routing::routing_options placement::options_for(const route& r) const
{
  routing::routing_options out;
  out.availability_zone = context_.options().zone;
  out.price_preference = r.prefers_cost ? cost_preference : latency_preference;
  out.tokens_per_block = tokens_per_block;
  return out;
}

routing::request_view placement::view_of(const route& r) const
{
  const auto now = context_.now().mono;
  return {.blocks = r.blocks,
          .prompt_tokens = r.prompt_tokens,
          .expected_output_tokens = r.output_tokens,
          .target = std::min(now + r.first_token_target, r.deadline),
          .deadline = r.deadline};
}

placement_result placement::place(const objects::fleet_configuration& configuration, const route& r,
                                  const std::set<endpoint_id>& excluded)
{
  std::vector<routing::endpoint_slot> excluded_slots;
  for (const auto& id : excluded) {
    if (const auto slot = fleet_.endpoints().find(id)) {
      excluded_slots.push_back(*slot);
    }
  }
  const auto options = options_for(r);
  const routing::routing_view view{
      .endpoints = fleet_.endpoints(), .prefixes = fleet_.prefixes(), .options = options};
  auto request = view_of(r);
  request.excluded = excluded_slots;
  const auto now = context_.now().mono;
  const auto made =
      routing::choose_endpoint(view, request, candidates(configuration, r), now, context_.random());
  if (const auto* none = std::get_if<routing::no_endpoint>(&made)) {
    return not_placed{.reason = none->reason,
                      .retry_at = none->retry_at.value_or(now + no_candidate_retry)};
  }
  const auto& chosen = std::get<routing::chosen_endpoint>(made);
  const auto& description = fleet_.endpoints().at(chosen.slot).description;
  try {
    return placed{.endpoint = description.id,
                  .address = http::parse_socket_address(description.address),
                  .slot = chosen.slot,
                  .expected_cached_tokens = chosen.parts.cached_tokens,
                  .first_token_at = chosen.first_token_at};
  } catch (const http::http_error&) {
    return not_placed{.retry_at = now + no_candidate_retry};
  }
}

double placement::utilisation(const objects::fleet_configuration& configuration,
                              const route& r) const
{
  return fleet_.endpoints().utilisation(candidates(configuration, r));
}

boost::json::value placement::explain(const objects::fleet_configuration& configuration,
                                      const route& r)
{
  const auto options = options_for(r);
  const routing::routing_view view{
      .endpoints = fleet_.endpoints(), .prefixes = fleet_.prefixes(), .options = options};
  const auto now = context_.now().mono;
  auto random = context_.random(); // copied, so that explaining does not affect later choices
  boost::json::array lines;
  for (const auto& line :
       routing::explain_choice(view, view_of(r), candidates(configuration, r), now, random)) {
    const auto& state = fleet_.endpoints().at(line.slot);
    lines.push_back(
        boost::json::object{{"endpoint", state.description.id.value()},
                            {"availability_zone", state.description.availability_zone.value()},
                            {"verdict", routing::to_string(line.result)},
                            {"first_token_seconds", line.parts.first_token()},
                            {"queue_seconds", line.parts.queue},
                            {"prefill_seconds", line.parts.prefill},
                            {"network_seconds", line.parts.network},
                            {"cached_tokens", line.parts.cached_tokens},
                            {"cost", line.cost},
                            {"score", line.score}});
  }
  return boost::json::object{{"intent", r.intent},
                             {"service", r.service},
                             {"model", r.model.value()},
                             {"priority", r.priority},
                             {"batch", r.batch},
                             {"target_seconds", seconds_until(view_of(r).target, now)},
                             {"candidates", std::move(lines)}};
}

} // namespace wisteriaflow::core::internal
