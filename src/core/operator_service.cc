#include "core/operator_service.h"

#include <string>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "core/http_conversions.h"
#include "wisteriaflow/objects/errors.h"

namespace wisteriaflow::core::internal {
namespace {

namespace json = boost::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

std::string_view name_of(membership::member_state state)
{
  switch (state) {
  case membership::member_state::live:
    return "live";
  case membership::member_state::leaving:
    return "leaving";
  case membership::member_state::gone:
    return "gone";
  }
  return "gone";
}

http::response error_response(int status, std::string_view reason, std::string_view message)
{
  const json::object body{
      {"error", json::object{{"type", "invalid"}, {"reason", reason}, {"message", message}}}};
  return json_response(status, json::serialize(body));
}

std::string query_value(const http::target_parts& target, std::string_view name)
{
  return std::string(http::find_header(target.query, name));
}

} // namespace

operator_service::operator_service(core_context& context, request_services services,
                                   request_table& requests, capacity_service& capacity)
    : context_(context), services_(services), requests_(requests), capacity_(capacity),
      book_({.validity = context.options().address_validity})
{
}

http::response operator_service::health() const
{
  return json_response(status_ok, R"({"status":"ok"})");
}

http::response operator_service::readiness(bool draining) const
{
  if (draining) {
    return json_response(status_unavailable, R"({"status":"draining"})");
  }
  if (!services_.config.ready()) {
    return json_response(status_unavailable, R"({"status":"configuration not known yet"})");
  }
  return json_response(status_ok, R"({"status":"ready"})");
}

http::response operator_service::metrics() const
{
  auto& counters = context_.counters();
  counters.set("requests_in_flight", static_cast<double>(requests_.in_flight()));
  counters.set("endpoints_utilisation", services_.members.endpoints().utilisation());
  return {.status = status_ok,
          .fields = {{.name = "Content-Type", .value = "text/plain; version=0.0.4"}},
          .body = counters.render()};
}

http::response operator_service::fleet_view() const
{
  json::array daemons;
  json::array endpoints;
  const auto& view = services_.members.view();
  for (const auto& [version, key] : view.changes()) {
    const auto* m = view.find(key);
    if (m == nullptr) {
      continue;
    }
    json::object line{{"id", key.id},
                      {"state", name_of(m->state)},
                      {"availability_zone", m->attributes.zone.value()},
                      {"address", m->attributes.address}};
    if (m->reclaim_at) {
      line["reclaim_at_unix_ms"] = to_unix_ms(*m->reclaim_at);
    }
    if (key.kind == membership::member_kind::daemon) {
      line["suspected"] = view.is_suspected(daemon_id(key.id));
      daemons.push_back(std::move(line));
      continue;
    }
    const auto slot = services_.members.endpoints().find(endpoint_id(key.id));
    line["class"] = m->attributes.instance_class;
    line["role"] = m->attributes.role;
    line["reclaimable"] = m->attributes.reclaimable;
    line["reached_from_here"] = slot.has_value();
    const auto reason = capacity_.reason_for(key.id);
    if (!reason.empty()) {
      line["capacity"] = reason;
    }
    line["unreachable"] = view.is_unreachable(endpoint_id(key.id));
    if (slot) {
      const auto& state = services_.members.endpoints().at(*slot);
      line["running"] = state.running_now();
      line["waiting"] = state.waiting_now();
    }
    endpoints.push_back(std::move(line));
  }
  json::array rejected;
  for (const auto& object : services_.config.store().rejected()) {
    rejected.push_back(json::object{{"name", object.name},
                                    {"revision", object.revision},
                                    {"in_force_revision", object.active_revision},
                                    {"reason", object.reason}});
  }
  const json::object body{{"daemon", context_.options().self.value()},
                          {"configuration_revision", services_.config.store().revision()},
                          {"ready", services_.config.ready()},
                          {"requests_in_flight", requests_.in_flight()},
                          {"daemons", std::move(daemons)},
                          {"endpoints", std::move(endpoints)},
                          {"rejected_objects", std::move(rejected)}};
  return json_response(status_ok, json::serialize(body));
}

http::response operator_service::capacity_view() const
{
  return json_response(status_ok, json::serialize(capacity_.report()));
}

// Explains the choice of an endpoint. If this daemon holds the capacity lease, the explanation also
// says why each candidate is running.
json::value operator_service::explain_route(const objects::fleet_configuration& configuration,
                                            const route& r)
{
  auto out = services_.placer.explain(configuration, r);
  for (auto& line : out.at("candidates").as_array()) {
    auto& candidate = line.as_object();
    const auto reason = capacity_.reason_for(std::string(candidate.at("endpoint").as_string()));
    if (!reason.empty()) {
      candidate["capacity"] = reason;
    }
  }
  out.as_object()["capacity_lease_holder"] = capacity_.report().at("lease_holder");
  return out;
}

http::response operator_service::explain(const http::target_parts& target)
{
  const auto& configuration = *services_.config.current();
  route r;
  const auto service = query_value(target, "service");
  r.deadline = context_.now().mono + context_.options().default_timeout;
  if (!service.empty()) {
    if (configuration.find_service(service) == nullptr) {
      return error_response(status_not_found, "unknown_service", "no service named " + service);
    }
    r.service = service;
    r.first_token_target = context_.options().first_token_target;
    return json_response(status_ok, json::serialize(explain_route(configuration, r)));
  }
  const workspace_id workspace(query_value(target, "workspace"));
  if (configuration.find_workspace(workspace) == nullptr) {
    return error_response(status_not_found, "unknown_workspace",
                          "no workspace named " + workspace.value());
  }
  try {
    const objects::request_description description{
        .workspace = workspace,
        .labels = objects::parse_label_set(query_value(target, "labels")),
        .model = model_id(query_value(target, "model"))};
    auto found = services_.placer.route_for(configuration, description);
    if (!found) {
      return error_response(status_not_found, "no_intent",
                            "no routing intent selects such a request");
    }
    found->deadline = r.deadline;
    return json_response(status_ok, json::serialize(explain_route(configuration, *found)));
  } catch (const objects::objects_error& e) {
    return error_response(status_bad_request, "labels", e.what());
  }
}

http::response operator_service::addresses(const http::target_parts& target,
                                           const http::request& message) const
{
  membership::address_query query;
  query.zone = availability_zone(query_value(target, "availability_zone"));
  query.workspace = workspace_id(query_value(target, "workspace"));
  // The answers are spread over the callers by this value. Callers with the same value get the same
  // addresses.
  query.caller = std::string(http::find_header(message.fields, "Wisteriaflow-Caller",
                                               http::find_header(message.fields, "User-Agent")));
  const auto live = services_.members.view().live_daemons();
  const auto answer = book_.addresses_for(query, live, context_.now().wall);
  json::array addresses;
  for (const auto& address : answer.addresses) {
    addresses.push_back(
        json::object{{"address", address.address}, {"availability_zone", address.zone.value()}});
  }
  return json_response(status_ok, json::serialize(json::object{
                                      {"addresses", std::move(addresses)},
                                      {"good_until_unix_ms", to_unix_ms(answer.valid_until)}}));
}

} // namespace wisteriaflow::core::internal
