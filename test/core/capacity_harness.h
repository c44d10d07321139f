// A test harness for capacity planning: one daemon core with a fake store, cloud API and endpoints.

#ifndef WISTERIAFLOW_TEST_CORE_CAPACITY_HARNESS_H_
#define WISTERIAFLOW_TEST_CORE_CAPACITY_HARNESS_H_

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "wisteriaflow/core/daemon_core.h"

namespace wisteriaflow::core {

class capacity_harness {
 public:
  bool store_answers = true;
  bool cloud_answers_launches = true;
  std::vector<http::request> cloud_calls; // without GET /prices
  std::vector<boost::json::value> orders;
  std::vector<boost::json::value> audit_records;
  std::map<std::string, store_object> leases;

  explicit capacity_harness(bool enabled) : core_(options(enabled), now_)
  {
    dispatch(declarations_listed{.version = 2, .objects = {model(), pool()}});
    list({});
  }

  // Advances the clock in steps of 50 ms.
  void advance(std::chrono::milliseconds time)
  {
    constexpr std::chrono::milliseconds step{50};
    for (auto left = time; left.count() > 0; left -= step) {
      now_.mono += step;
      now_.wall += step;
      dispatch(ticked{});
    }
  }

  void list(const boost::json::array& instances)
  {
    dispatch(instances_listed{boost::json::object{{"instances", instances}}});
  }

  // Returns the entry of the instance list for an instance that was launched with `launch`.
  static boost::json::value instance(const boost::json::value& launch, const std::string& id)
  {
    auto out = launch.as_object();
    out["launched_with"] = out.at("token");
    out["id"] = id;
    out["address"] = "127.0.0.1:9";
    out["state"] = "live";
    out["checks_fencing"] = true;
    return out;
  }

  // Returns the bodies of the launch calls made so far.
  [[nodiscard]] std::vector<boost::json::value> launches() const
  {
    std::vector<boost::json::value> out;
    for (const auto& call : cloud_calls) {
      if (call.method == "POST") {
        out.push_back(boost::json::parse(call.body));
      }
    }
    return out;
  }

  [[nodiscard]] boost::json::value view()
  {
    dispatch(call_received{.call = 1, .message = {.target = "/operator/v1/capacity"}});
    return boost::json::parse(last_response_.body);
  }

 private:
  static daemon_core_options options(bool enabled)
  {
    daemon_core_options out;
    out.self = daemon_id("d1");
    out.zone = availability_zone("a");
    out.has_cloud = true;
    out.seed = 1;
    out.capacity.enabled = enabled;
    out.capacity.plan_period = std::chrono::milliseconds(500);
    return out;
  }

  static store_object declaration(std::uint64_t version, const std::string& text)
  {
    auto document = boost::json::parse(text);
    auto& metadata = document.at("metadata").as_object();
    metadata["resourceVersion"] = std::to_string(version);
    return {.name = std::string(metadata.at("name").as_string()),
            .version = version,
            .document = std::move(document)};
  }
  static store_object model()
  {
    return declaration(1, R"({"kind":"ModelVersion","metadata":{"name":"m-1"},
        "spec":{"model":"m","version":"1","weights_bytes":1000}})");
  }
  static store_object pool()
  {
    return declaration(2, R"({"kind":"Pool","metadata":{"name":"p"},
        "spec":{"instance_selector":"tier=gold","role":"engine","model":"m",
                "min_instances":2,"max_instances":4}})");
  }

  // Passes an event to the core and performs the returned actions, until there are none left.
  void dispatch(event first)
  {
    std::deque<event> events;
    events.push_back(std::move(first));
    while (!events.empty()) {
      const auto actions = core_.handle(std::move(events.front()), now_);
      events.pop_front();
      for (const auto& a : actions) {
        std::visit([&](const auto& one) { perform(one, events); }, a);
      }
    }
  }

  void perform(const platform_action& a, std::deque<event>& events)
  {
    if (const auto* call = std::get_if<call_store>(&a)) {
      events.emplace_back(answer_of(*call));
    } else {
      events.emplace_back(answer_of(std::get<call_cloud>(a)));
    }
  }
  void perform(const endpoint_action& a, std::deque<event>& events)
  {
    const auto* start = std::get_if<start_exchange>(&a);
    if (start != nullptr && start->message.target == "/orders") {
      orders.push_back(boost::json::parse(start->message.body));
      events.emplace_back(exchange_head{.exchange = start->exchange});
      events.emplace_back(exchange_ended{.exchange = start->exchange});
    }
  }
  void perform(const caller_action& a, std::deque<event>& /*events*/)
  {
    if (const auto* whole = std::get_if<respond>(&a)) {
      last_response_ = whole->response;
    }
  }
  template <typename other> void perform(const other& /*a*/, std::deque<event>& /*events*/) {}

  store_answer answer_of(const call_store& call)
  {
    auto out = store_answers
                   ? std::visit([this](const auto& o) { return perform(o); }, call.operation)
                   : store_answer{};
    out.call = call.call;
    return out;
  }

  store_answer perform(const store_list& /*o*/) { return {.status = store_status::ok}; }
  store_answer perform(const store_remove& /*o*/) { return {.status = store_status::ok}; }
  store_answer perform(const store_get& o)
  {
    const auto it = leases.find(o.name);
    if (it == leases.end()) {
      return {.status = store_status::not_found};
    }
    return {.status = store_status::ok, .objects = {it->second}};
  }
  store_answer perform(const store_create& o)
  {
    if (o.plural == "auditrecords") {
      audit_records.push_back(o.document);
    }
    return write(o.plural, o.document);
  }
  store_answer perform(const store_replace& o)
  {
    const auto name = std::string(o.document.at("metadata").at("name").as_string());
    const auto version = o.document.at("metadata").at("resourceVersion").as_string();
    if (version != std::to_string(leases[name].version)) {
      return {.status = store_status::conflict};
    }
    return write(o.plural, o.document);
  }
  store_answer write(const std::string& plural, const boost::json::value& document)
  {
    const store_object object{.name = std::string(document.at("metadata").at("name").as_string()),
                              .version = ++version_,
                              .document = document};
    if (plural == "leases") {
      leases[object.name] = object;
    }
    return {.status = store_status::ok, .objects = {object}};
  }

  cloud_answer answer_of(const call_cloud& call)
  {
    cloud_answer out{.call = call.call, .reached = true};
    if (call.message.target == "/prices") {
      out.response.body = R"({"prices":[
          {"availability_zone":"a","class":"s","reclaimable":true,"price_per_hour":0.3},
          {"availability_zone":"b","class":"s","reclaimable":true,"price_per_hour":0.4}]})";
      return out;
    }
    cloud_calls.push_back(call.message);
    if (call.message.method == "POST") {
      out.reached = cloud_answers_launches;
      out.response.status = 201;
      out.response.body = R"({"id":"i)" + std::to_string(cloud_calls.size()) + "\"}";
    }
    return out;
  }

  clock_reading now_{.mono = mono_time(std::chrono::hours(1)),
                     .wall = wall_time(std::chrono::hours(500'000))};
  daemon_core core_;
  std::uint64_t version_ = 2;
  http::response last_response_;
};

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_TEST_CORE_CAPACITY_HARNESS_H_
