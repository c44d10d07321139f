#include "wisteriaflow/objects/codec.h"

#include <algorithm>
#include <limits>

#include "objects/field_reader.h"
#include "objects/metadata_codec.h"

namespace wisteriaflow::objects {
namespace {

using internal::field_reader;

constexpr double max_per_second = 1e9;
constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t max_instances = 100'000;
constexpr std::int64_t max_milliseconds = 3'600'000;
constexpr double min_weight = 0.001;
constexpr double max_weight = 1000;
constexpr double max_headroom = 4;

priority_range read_priority_range(field_reader fields)
{
  priority_range range;
  range.min = fields.integer_or("min", {lowest_priority, highest_priority}, range.min);
  range.max = fields.integer_or("max", {range.min, highest_priority}, range.max);
  fields.reject_unread_fields();
  return range;
}

workspace read_workspace(object_metadata metadata, field_reader& spec)
{
  return {.metadata = std::move(metadata),
          .share_weight = spec.number_or("share_weight", {min_weight, max_weight}, 1),
          .requests_per_second = spec.optional_number("requests_per_second", {0, max_per_second}),
          .tokens_per_second = spec.optional_number("tokens_per_second", {0, max_per_second}),
          .max_tokens_in_flight = spec.optional_integer("max_tokens_in_flight", {0, max_integer}),
          .priority = read_priority_range(spec.nested("priority"))};
}

latency_targets read_latency_targets(field_reader fields)
{
  latency_targets targets;
  targets.first_token_ms =
      fields.integer_or("first_token_ms", {1, max_milliseconds}, targets.first_token_ms);
  targets.between_tokens_ms =
      fields.integer_or("between_tokens_ms", {1, max_milliseconds}, targets.between_tokens_ms);
  fields.reject_unread_fields();
  return targets;
}

std::vector<availability_zone> read_zones(field_reader& spec)
{
  std::vector<availability_zone> zones;
  for (auto& name : spec.strings_or("availability_zones", {})) {
    zones.emplace_back(std::move(name));
  }
  return zones;
}

pool read_pool(object_metadata metadata, field_reader& spec)
{
  pool result{.metadata = std::move(metadata)};
  result.instance_selector = spec.selector_or_all("instance_selector");
  const auto role = spec.one_of("role", {"engine", "service"}, "engine");
  result.role = role == "engine" ? pool_role::engine : pool_role::service;
  result.model = model_id(spec.string_or("model", ""));
  if (result.model.empty() != (result.role == pool_role::service)) {
    spec.reject("model", "a model for role engine, none for role service");
  }
  result.latency_targets = read_latency_targets(spec.nested("latency_targets"));
  result.min_instances = spec.integer_or("min_instances", {0, max_instances}, 0);
  result.max_instances = spec.integer_or("max_instances", {result.min_instances, max_instances},
                                         std::max<std::int64_t>(result.min_instances, 1));
  result.availability_zones = read_zones(spec);
  result.instance_classes = spec.strings_or("instance_classes", {});
  result.max_reclaimable_share =
      spec.number_or("max_reclaimable_share", {0, 1}, result.max_reclaimable_share);
  result.headroom = spec.number_or("headroom", {0, max_headroom}, result.headroom);
  return result;
}

token_rates read_token_rates(field_reader fields)
{
  const token_rates rates{.prefill_tokens_per_second =
                              fields.number_or("prefill_tokens_per_second", {0, max_per_second}, 0),
                          .decode_tokens_per_second =
                              fields.number_or("decode_tokens_per_second", {0, max_per_second}, 0)};
  fields.reject_unread_fields();
  return rates;
}

model_version read_model_version(object_metadata metadata, field_reader& spec)
{
  model_version result{.metadata = std::move(metadata),
                       .model = model_id(spec.required_string("model")),
                       .version = spec.required_string("version"),
                       .adapter = spec.string_or("adapter", ""),
                       .weights_bytes = spec.integer_or("weights_bytes", {0, max_integer}, 0)};
  auto rates = spec.nested("rates");
  for (const auto& instance_class : rates.keys()) {
    result.rates.emplace(instance_class, read_token_rates(rates.nested(instance_class)));
  }
  result.retired = spec.boolean_or("retired", false);
  return result;
}

routing_intent read_routing_intent(object_metadata metadata, field_reader& spec)
{
  routing_intent result{.metadata = std::move(metadata)};
  result.workspace_selector = spec.selector_or_all("workspace_selector");
  result.request_selector = spec.selector_or_all("request_selector");
  result.instance_selector = spec.selector_or_all("instance_selector");
  result.model = model_id(spec.string_or("model", ""));
  result.pool = spec.required_string("pool");
  result.priority =
      spec.integer_or("priority", {lowest_priority, highest_priority}, result.priority);
  result.batch = spec.boolean_or("batch", result.batch);
  result.weight = spec.number_or("weight", {min_weight, max_weight}, result.weight);
  const auto preference = spec.one_of("price_preference", {"latency", "cost"}, "latency");
  result.price_preference =
      preference == "cost" ? price_preference::cost : price_preference::latency;
  return result;
}

service read_service(object_metadata metadata, field_reader& spec)
{
  service result{.metadata = std::move(metadata)};
  result.instance_selector = spec.selector_or_all("instance_selector");
  result.idempotent_methods = spec.strings_or("idempotent_methods", result.idempotent_methods);
  result.timeout_ms = spec.integer_or("timeout_ms", {1, max_milliseconds}, result.timeout_ms);
  return result;
}

declared_object read_declared(const std::string& kind, object_metadata metadata, field_reader& spec)
{
  if (kind == "Workspace") {
    return read_workspace(std::move(metadata), spec);
  }
  if (kind == "Pool") {
    return read_pool(std::move(metadata), spec);
  }
  if (kind == "ModelVersion") {
    return read_model_version(std::move(metadata), spec);
  }
  if (kind == "RoutingIntent") {
    return read_routing_intent(std::move(metadata), spec);
  }
  return read_service(std::move(metadata), spec);
}

bool is_known_kind(const std::string& kind)
{
  const auto& kinds = known_kinds();
  return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

const boost::json::value& spec_of(const boost::json::value& document)
{
  static const boost::json::value empty_spec = boost::json::object{};
  const auto* spec = document.get_object().if_contains("spec");
  return spec == nullptr ? empty_spec : *spec;
}

} // namespace

decoded_object decode_object(const boost::json::value& document)
{
  const auto kind = internal::read_kind(document);
  auto metadata = decode_metadata(document);
  if (!is_known_kind(kind)) {
    return unsupported_object{std::move(metadata), kind, "unknown kind " + kind};
  }
  field_reader spec({.kind = kind, .name = metadata.name}, "spec", spec_of(document));
  const auto schema = spec.integer_or("schema", {1, max_integer}, 1);
  if (schema > newest_schema) {
    return unsupported_object{std::move(metadata), kind,
                              "unknown schema " + std::to_string(schema)};
  }
  auto object = read_declared(kind, std::move(metadata), spec);
  spec.reject_unread_fields();
  return object;
}

} // namespace wisteriaflow::objects
