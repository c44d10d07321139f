#include "fake_cloud_api.h"

#include <algorithm>
#include <array>

#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace wisteriaflow::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::array<std::string_view, 3> price_key = {"availability_zone", "class", "reclaimable"};

// Defaults of the fields that POST /_fake/instances may omit.
json::object instance_defaults()
{
  return {{"address", ""},        {"availability_zone", ""}, {"class", ""},
          {"reclaimable", false}, {"role", "engine"},        {"labels", json::object()},
          {"state", "live"},      {"checks_fencing", false}, {"price_per_hour", 0.0},
          {"launched_with", ""}};
}

bool same_price_key(const json::value& a, const json::value& b)
{
  return std::all_of(price_key.begin(), price_key.end(),
                     [&](std::string_view name) { return a.at(name) == b.at(name); });
}

} // namespace

fake_cloud_api::fake_cloud_api(asio::io_context& context, std::uint16_t port)
    : fake_server(context, port)
{
}

void fake_cloud_api::control(std::string_view name, const json::value& body)
{
  if (name == "instances") {
    for (const auto& each : body.at("instances").as_array()) {
      add_instance(each);
    }
  } else if (name == "addresses") {
    for (const auto& each : body.at("addresses").as_array()) {
      spare_addresses_.emplace_back(each.as_string());
    }
  } else if (name == "prices") {
    for (const auto& each : body.at("prices").as_array()) {
      set_price(each);
    }
  } else if (name == "refuse") {
    const std::pair key(string_field(body, "availability_zone"), string_field(body, "class"));
    without_capacity_.erase(key);
    if (body.at("refuse").as_bool()) {
      without_capacity_.insert(key);
    }
  } else if (name == "notice") {
    issue_reclaim_notice(body);
  } else if (name == "settings") {
    read_field(body, "list_lag_ms", list_lag_);
    read_field(body, "lose_answers", lose_answers_);
  } else {
    throw std::invalid_argument("no such switch: " + std::string(name));
  }
}

json::array fake_cloud_api::instances() const
{
  return list_at(wall_now());
}

asio::awaitable<void> fake_cloud_api::serve(fake_request received, http::response_writer& w)
{
  const bool controlling = received.path.starts_with("/_fake/");
  auto reply = dispatch(received);
  if (!controlling && received.method != "GET" && lose_answers_ > 0) {
    --lose_answers_;
    w.abort();
    co_return;
  }
  co_await send(w, std::move(reply));
}

fake_reply fake_cloud_api::dispatch(const fake_request& received)
{
  const auto& parts = received.segments;
  if (received.is("GET", "/_fake/stats")) {
    return stats();
  }
  if (parts.size() == 2 && parts[0] == "_fake") {
    control(parts[1], received.body);
    return {};
  }
  ++calls_;
  if (received.is("GET", "/prices")) {
    return {.body = {{"prices", prices_}}};
  }
  if (received.is("GET", "/notices")) {
    return notices_after(http::find_header(received.query, "after", "0"));
  }
  if (received.is("GET", "/instances")) {
    return {.body = {{"instances", list_at(wall_now() - list_lag_)}}};
  }
  if (received.is("POST", "/instances")) {
    return launch(received.body);
  }
  if (received.method == "DELETE" && parts.size() == 2 && parts[0] == "instances") {
    return release(parts[1]);
  }
  return {.status = 404};
}

fake_reply fake_cloud_api::launch(const json::value& wanted)
{
  const auto token = string_field(wanted, "token");
  const auto known = ids_by_token_.find(token);
  if (known != ids_by_token_.end()) {
    return {.status = 201, .body = {{"id", known->second}}};
  }
  if (lacks_capacity(wanted)) {
    ++refused_;
    return {.status = 503, .body = {{"reason", "InsufficientCapacity"}}};
  }
  const auto id = "launched-" + std::to_string(launched_.size() + 1);
  ids_by_token_[token] = id;
  launched_.push_back(id);
  auto instance = wanted.as_object();
  instance.erase("token");
  instance["id"] = id;
  instance["launched_with"] = token;
  for (const auto& price : prices_) {
    if (same_price_key(price, instance)) {
      instance["price_per_hour"] = price.at("price_per_hour");
    }
  }
  if (!spare_addresses_.empty()) {
    instance["address"] = spare_addresses_.front();
    spare_addresses_.pop_front();
  }
  add_instance(instance);
  return {.status = 201, .body = {{"id", id}}};
}

fake_reply fake_cloud_api::release(const std::string& id)
{
  if (instances_.erase(id) > 0) {
    released_.push_back(id);
    record_history();
  }
  return {};
}

fake_reply fake_cloud_api::notices_after(std::string_view number) const
{
  const auto after = std::stoll(std::string(number));
  json::array out;
  for (const auto& each : notices_) {
    if (each.sequence > after) {
      out.push_back({{"sequence", each.sequence},
                     {"instance_id", each.instance_id},
                     {"reclaim_at_unix_ms", to_unix_ms(each.reclaim_at)}});
    }
  }
  return {.body = {{"notices", std::move(out)}}};
}

fake_reply fake_cloud_api::stats() const
{
  return {.body = {{"launched", json::value_from(launched_)},
                   {"released", json::value_from(released_)},
                   {"refused", refused_},
                   {"calls", calls_}}};
}

// Returns the list at `time`. An instance is absent from the time of its reclaim on, and while it
// has no address.
json::array fake_cloud_api::list_at(wall_time time) const
{
  json::array out;
  for (const auto& [id, instance] : history_.at(time)) {
    const auto reclaim = reclaim_times_.find(id);
    const bool reclaimed = reclaim != reclaim_times_.end() && reclaim->second <= time;
    if (!reclaimed && !string_field(instance, "address").empty()) {
      out.push_back(instance);
    }
  }
  return out;
}

bool fake_cloud_api::lacks_capacity(const json::value& wanted) const
{
  const auto zone = string_field(wanted, "availability_zone");
  const auto kind = string_field(wanted, "class");
  return without_capacity_.contains({zone, kind}) || without_capacity_.contains({zone, ""}) ||
         without_capacity_.contains({"", kind}) || without_capacity_.contains({"", ""});
}

void fake_cloud_api::add_instance(const json::value& instance)
{
  const auto id = string_field(instance, "id");
  auto merged = instance_defaults();
  const auto known = instances_.find(id);
  if (known != instances_.end()) {
    merged = known->second.as_object();
  }
  for (const auto& field : instance.as_object()) {
    merged[field.key()] = field.value();
  }
  instances_[id] = std::move(merged);
  record_history();
}

void fake_cloud_api::set_price(const json::value& price)
{
  auto* const known = std::find_if(prices_.begin(), prices_.end(), [&](const json::value& each) {
    return same_price_key(each, price);
  });
  if (known != prices_.end()) {
    *known = price;
  } else {
    prices_.push_back(price);
  }
}

void fake_cloud_api::issue_reclaim_notice(const json::value& body)
{
  const auto reclaim_at =
      wall_now() + std::chrono::milliseconds(integer_field(body, "reclaim_in_ms"));
  const auto zone = string_field(body, "availability_zone");
  if (zone.empty()) {
    issue_reclaim_notice(string_field(body, "instance_id"), reclaim_at);
    return;
  }
  for (const auto& [id, instance] : instances_) {
    if (string_field(instance, "availability_zone") == zone && !reclaim_times_.contains(id)) {
      issue_reclaim_notice(id, reclaim_at);
    }
  }
}

void fake_cloud_api::issue_reclaim_notice(const std::string& id, wall_time reclaim_at)
{
  const auto sequence = static_cast<std::int64_t>(notices_.size()) + 1;
  notices_.push_back({.sequence = sequence, .instance_id = id, .reclaim_at = reclaim_at});
  reclaim_times_[id] = reclaim_at;
  const auto known = instances_.find(id);
  if (known != instances_.end()) {
    known->second.as_object()["state"] = "leaving";
    record_history();
  }
}

void fake_cloud_api::record_history()
{
  history_.set(wall_now(), instances_);
}

} // namespace wisteriaflow::fakes
