// Encodes declared objects as canonical JSON.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "wisteriaflow/objects/codec.h"

namespace wisteriaflow::objects {
namespace {

namespace json = boost::json;

template <typename strings> json::array array_of(const strings& items)
{
  json::array array;
  for (const auto& item : items) {
    array.emplace_back(item);
  }
  return array;
}

template <typename pairs> json::object object_of(const pairs& items)
{
  json::object object;
  for (const auto& [key, value] : items) {
    object.emplace(key, value);
  }
  return object;
}

json::object encode_metadata(const object_metadata& metadata)
{
  json::object encoded;
  encoded["name"] = metadata.name;
  encoded["labels"] = object_of(metadata.labels);
  encoded["annotations"] = object_of(metadata.annotations);
  if (metadata.revision != 0) {
    encoded["resourceVersion"] = std::to_string(metadata.revision);
  }
  return encoded;
}

json::object encode_spec(const workspace& w)
{
  json::object spec{{"share_weight", w.share_weight},
                    {"priority", {{"min", w.priority.min}, {"max", w.priority.max}}}};
  if (w.requests_per_second) {
    spec["requests_per_second"] = *w.requests_per_second;
  }
  if (w.tokens_per_second) {
    spec["tokens_per_second"] = *w.tokens_per_second;
  }
  if (w.max_tokens_in_flight) {
    spec["max_tokens_in_flight"] = *w.max_tokens_in_flight;
  }
  return spec;
}

json::object encode_spec(const pool& p)
{
  json::object spec;
  spec["instance_selector"] = to_string(p.instance_selector);
  spec["role"] = p.role == pool_role::engine ? "engine" : "service";
  if (!p.model.empty()) {
    spec["model"] = p.model.value();
  }
  spec["latency_targets"] = {{"first_token_ms", p.latency_targets.first_token_ms},
                             {"between_tokens_ms", p.latency_targets.between_tokens_ms}};
  spec["min_instances"] = p.min_instances;
  spec["max_instances"] = p.max_instances;
  json::array zones;
  for (const auto& zone : p.availability_zones) {
    zones.emplace_back(zone.value());
  }
  spec["availability_zones"] = std::move(zones);
  spec["instance_classes"] = array_of(p.instance_classes);
  spec["max_reclaimable_share"] = p.max_reclaimable_share;
  spec["headroom"] = p.headroom;
  return spec;
}

json::object encode_spec(const model_version& m)
{
  json::object rates;
  for (const auto& [instance_class, rate] : m.rates) {
    rates[instance_class] = {{"prefill_tokens_per_second", rate.prefill_tokens_per_second},
                             {"decode_tokens_per_second", rate.decode_tokens_per_second}};
  }
  return {{"model", m.model.value()},         {"version", m.version},      {"adapter", m.adapter},
          {"weights_bytes", m.weights_bytes}, {"rates", std::move(rates)}, {"retired", m.retired}};
}

json::object encode_spec(const routing_intent& i)
{
  const bool cost = i.price_preference == price_preference::cost;
  json::object spec{{"workspace_selector", to_string(i.workspace_selector)},
                    {"request_selector", to_string(i.request_selector)},
                    {"instance_selector", to_string(i.instance_selector)},
                    {"pool", i.pool},
                    {"priority", i.priority},
                    {"batch", i.batch},
                    {"weight", i.weight},
                    {"price_preference", cost ? "cost" : "latency"}};
  if (!i.model.empty()) {
    spec["model"] = i.model.value();
  }
  return spec;
}

json::object encode_spec(const service& s)
{
  return {{"instance_selector", to_string(s.instance_selector)},
          {"idempotent_methods", array_of(s.idempotent_methods)},
          {"timeout_ms", s.timeout_ms}};
}

} // namespace

json::value encode_object(const declared_object& object)
{
  auto spec = std::visit([](const auto& o) { return encode_spec(o); }, object);
  spec["schema"] = newest_schema;
  json::object document;
  document["apiVersion"] = "wisteriaflow.dev/v1";
  document["kind"] = kind_of(object);
  document["metadata"] = encode_metadata(metadata_of(object));
  document["spec"] = std::move(spec);
  return document;
}

} // namespace wisteriaflow::objects
