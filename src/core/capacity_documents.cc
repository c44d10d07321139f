#include "core/capacity_documents.h"

#include <exception>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace wisteriaflow::core::internal {
namespace {

namespace json = boost::json;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_unavailable = 503;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

capacity::offer read_offer(const json::value& document)
{
  const auto text = [&](std::string_view key) {
    return json::value_to<std::string>(document.at(key));
  };
  return {.key = {.zone = availability_zone(text("availability_zone")),
                  .instance_class = text("class"),
                  .reclaimable = document.at("reclaimable").as_bool()},
          .price_per_hour = document.at("price_per_hour").to_number<double>()};
}

http::request json_request(std::string method, std::string target, const json::value& body)
{
  return {.method = std::move(method),
          .target = std::move(target),
          .fields = {{.name = "Content-Type", .value = "application/json"}},
          .body = json::serialize(body)};
}

// Returns labels that satisfy the requirements of the pool's instance selector.
json::object labels_for(const objects::pool& pool)
{
  json::object out;
  for (const auto& wanted : pool.instance_selector.requirements()) {
    if (wanted.op == objects::selector_operator::in && !wanted.values.empty()) {
      out[wanted.key] = wanted.values.front();
    } else if (wanted.op == objects::selector_operator::exists) {
      out[wanted.key] = "true";
    }
  }
  out[pool_label] = pool.metadata.name;
  return out;
}

} // namespace

std::optional<std::vector<capacity::offer>> read_prices(std::string_view body)
{
  try {
    std::vector<capacity::offer> out;
    const auto document = json::parse(json::string_view(body));
    for (const auto& item : document.at("prices").as_array()) {
      out.push_back(read_offer(item));
    }
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::map<std::string, std::string> read_launch_tokens(const json::value& instance_list)
{
  std::map<std::string, std::string> out;
  const auto* root = instance_list.if_object();
  const auto* instances = root == nullptr ? nullptr : root->if_contains("instances");
  if (instances == nullptr || !instances->is_array()) {
    return out;
  }
  for (const auto& item : instances->get_array()) {
    const auto* o = item.if_object();
    const auto* id = o == nullptr ? nullptr : o->if_contains("id");
    const auto* token = o == nullptr ? nullptr : o->if_contains("launched_with");
    if (id != nullptr && id->is_string() && token != nullptr && token->is_string()) {
      out[json::value_to<std::string>(*id)] = json::value_to<std::string>(*token);
    }
  }
  return out;
}

http::request make_launch(const capacity::launch& a, const objects::pool& pool)
{
  const bool engine = pool.role == objects::pool_role::engine;
  const json::object body{{"token", a.token},
                          {"availability_zone", a.key.zone.value()},
                          {"class", a.key.instance_class},
                          {"reclaimable", a.key.reclaimable},
                          {"role", engine ? "engine" : "service"},
                          {"labels", labels_for(pool)}};
  return json_request("POST", "/instances", body);
}

http::request make_release(const instance_id& id)
{
  return {.method = "DELETE", .target = "/instances/" + id.value()};
}

http::request make_order(const capacity::order_load& a)
{
  return json_request("POST", "/orders",
                      json::object{{"order", "load"},
                                   {"model", a.load.model.value()},
                                   {"adapter", a.load.adapter},
                                   {"fencing_number", a.fencing_number}});
}

capacity::launch_answer read_launch_answer(const http::response* answer)
{
  if (answer == nullptr) {
    return capacity::launch_unanswered{};
  }
  const bool refused =
      answer->status == status_unavailable ||
      (answer->status >= first_client_error && answer->status < first_server_error);
  if (refused) {
    return capacity::launch_refused{};
  }
  if (answer->status != status_created && answer->status != status_ok) {
    return capacity::launch_unanswered{};
  }
  try {
    const auto body = json::parse(answer->body);
    return capacity::launch_started{instance_id(json::value_to<std::string>(body.at("id")))};
  } catch (const std::exception&) {
    return capacity::launch_unanswered{};
  }
}

json::object to_json(const capacity::pool_report& report)
{
  json::array avoided;
  for (const auto& key : report.avoided_offers) {
    avoided.emplace_back(to_string(key));
  }
  return {{"pool", report.pool},
          {"demand", json::object{{"requests_per_second", report.demand.requests},
                                  {"prefill_tokens_per_second", report.demand.prefill_tokens},
                                  {"decode_tokens_per_second", report.demand.decode_tokens}}},
          {"required", report.required},
          {"serving", report.serving},
          {"serving_after_zone_loss", report.serving_after_zone_loss},
          {"launching", report.launching},
          {"meets_requirements", report.meets_requirements},
          {"price_per_hour", report.price_per_hour},
          {"avoided_offers", std::move(avoided)}};
}

json::object to_json(const capacity::instance_reason& reason)
{
  return {{"instance", reason.subject},
          {"pool", reason.pool},
          {"state", reason.state},
          {"reason", reason.reason}};
}

} // namespace wisteriaflow::core::internal
