#include "core/capacity_service.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <boost/json/array.hpp>

#include "core/capacity_documents.h"
#include "core/platform_documents.h"
#include "wisteriaflow/capacity/errors.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::core::internal {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int first_failure = 300;
constexpr std::string_view lease_name = "capacity";

capacity::lease_options lease_options_of(core_context& context)
{
  const auto& options = context.options();
  return {.name = std::string(lease_name),
          .self = options.self,
          .duration = options.capacity.lease_duration,
          .renew_period = options.capacity.lease_renew_period,
          .order_timeout = options.capacity.order_timeout,
          .skew_margin = options.capacity.clock_skew,
          .seed = context.random()()};
}

// Object names consist of lower-case letters, digits, '-' and '.'.
std::string as_object_name(std::string text)
{
  for (auto& c : text) {
    const auto lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const bool allowed = std::isalnum(static_cast<unsigned char>(lower)) != 0 || lower == '.';
    c = allowed ? lower : '-';
  }
  return text;
}

} // namespace

capacity_service::capacity_service(core_context& context, fleet& members, configuration& config,
                                   endpoint_calls& endpoints)
    : context_(context), fleet_(members), config_(config), endpoints_(endpoints),
      inputs_(context, members), lease_(lease_options_of(context)),
      planner_(context.options().capacity.planner)
{
}

void capacity_service::start()
{
  const auto& options = context_.options();
  if (!options.capacity.enabled || !options.has_cloud) {
    return;
  }
  feed_lease(capacity::lease_wanted{true});
  context_.run_every(options.capacity.plan_period, [this] { fetch_prices(); });
}

void capacity_service::stop()
{
  stopping_ = true;
  feed_lease(capacity::lease_wanted{false});
}

void capacity_service::on_instances(const boost::json::value& document)
{
  listed_.endpoints = read_instance_list(document).endpoints;
  listed_.launched_with = read_launch_tokens(document);
  has_instance_list_ = true;
  const bool observes = context_.options().capacity.enabled && config_.ready();
  if (observes && !lease_.holds(context_.now().mono)) {
    planner_.observe(inputs_.pools(*config_.current(), listed_), context_.now().mono);
  }
}

void capacity_service::feed_lease(const capacity::lease_event& e)
{
  for (const auto& a : lease_.handle(e, context_.now())) {
    std::visit([this](const auto& one) { perform(one); }, a);
  }
  context_.timers().cancel(lease_timer_);
  if (const auto due = lease_.wake_at()) {
    // A deadline in the past must not run at once: the core would not get to any other work.
    const auto soonest = context_.now().mono + std::chrono::milliseconds(1);
    lease_timer_ = context_.timers().schedule(std::max(*due, soonest),
                                              [this] { feed_lease(capacity::lease_tick{}); });
  }
  apply_lease_state();
}

void capacity_service::perform(const capacity::read_lease& a)
{
  context_.call_store(
      store_get{std::string(capacity::leases_plural), std::string(lease_name)},
      [this, call = a.call](const store_answer& answer) { on_lease_read(call, answer); });
}

void capacity_service::on_lease_read(std::uint64_t call, const store_answer& answer)
{
  if (answer.status == store_status::not_found) {
    feed_lease(capacity::lease_missing{call});
    return;
  }
  if (answer.status != store_status::ok || answer.objects.empty()) {
    feed_lease(capacity::lease_call_unanswered{call});
    return;
  }
  try {
    const auto& object = answer.objects.front();
    feed_lease(capacity::lease_found{.call = call,
                                     .record = capacity::decode_lease(object.document),
                                     .version = object.version});
  } catch (const capacity::capacity_error& e) {
    context_.log(severity::error, "the capacity lease cannot be read", {{"error", e.what()}});
    feed_lease(capacity::lease_call_unanswered{call});
  }
}

void capacity_service::perform(const capacity::write_lease& a)
{
  auto document = capacity::encode_lease(std::string(lease_name), a.record, a.version);
  const std::string plural(capacity::leases_plural);
  const auto done = [this, call = a.call](const store_answer& answer) {
    on_lease_written(call, answer);
  };
  if (a.version == 0) {
    context_.call_store(store_create{plural, std::move(document)}, done);
  } else {
    context_.call_store(store_replace{plural, std::move(document)}, done);
  }
}

void capacity_service::on_lease_written(std::uint64_t call, const store_answer& answer)
{
  if (answer.status == store_status::ok && !answer.objects.empty()) {
    feed_lease(capacity::lease_written{.call = call, .version = answer.objects.front().version});
  } else if (answer.status == store_status::conflict || answer.status == store_status::not_found) {
    feed_lease(capacity::lease_conflict{call});
  } else {
    feed_lease(capacity::lease_call_unanswered{call});
  }
}

// Starts planning if the lease was acquired, and sends launches whose records are now stored.
void capacity_service::apply_lease_state()
{
  const bool holds = lease_.holds(context_.now().mono);
  context_.counters().set("capacity_lease_held", holds ? 1 : 0);
  if (!holds) {
    unsent_launches_.clear(); // the next holder finds in the lease those that were recorded
    return;
  }
  if (planner_fencing_number_ != lease_.fencing_number()) {
    planner_fencing_number_ = lease_.fencing_number();
    unsent_launches_.clear();
    try {
      planner_.take_over(planner_fencing_number_, capacity::decode_launches(lease_.notes()));
    } catch (const capacity::capacity_error& e) {
      context_.log(severity::error, "cannot read the previous lease holder's launches",
                   {{"error", e.what()}});
      planner_.take_over(planner_fencing_number_, {});
    }
    context_.log(severity::info, "capacity lease acquired",
                 {{"fencing_number", std::to_string(planner_fencing_number_)}});
  }
  send_launches();
}

bool capacity_service::may_issue_order(bool checks_fencing) const
{
  return !stopping_ && lease_.may_issue_order(checks_fencing, context_.now().mono);
}

void capacity_service::fetch_prices()
{
  // The cloud API does not check fencing numbers.
  if (!may_issue_order(false) || !config_.ready() || !has_instance_list_) {
    return;
  }
  context_.call_cloud({.method = "GET", .target = "/prices"}, [this](const http::response* answer) {
    const auto offers =
        answer == nullptr || answer->status != status_ok ? std::nullopt : read_prices(answer->body);
    if (!offers) {
      context_.counters().count("capacity_plans_total", {{"result", "no_prices"}});
    } else if (may_issue_order(false)) {
      plan(*offers);
    }
  });
}

void capacity_service::plan(const std::vector<capacity::offer>& offers)
{
  context_.counters().count("capacity_plans_total", {{"result", "planned"}});
  const capacity::plan_input input{.offers = offers,
                                   .pools = inputs_.pools(*config_.current(), listed_)};
  for (const auto& a : planner_.plan(input, context_.now())) {
    std::visit([this](const auto& one) { perform(one); }, a);
  }
  for (const auto& report : planner_.reports()) {
    context_.counters().set("capacity_serving", report.serving, {{"pool", report.pool}});
    context_.counters().set("capacity_required", report.required, {{"pool", report.pool}});
  }
  store_launches();
}

void capacity_service::store_launches()
{
  auto notes = capacity::encode_launches(planner_.launches());
  if (notes != lease_.notes()) {
    feed_lease(capacity::notes_changed{std::move(notes)});
  } else {
    send_launches();
  }
}

void capacity_service::perform(const capacity::launch& a)
{
  unsent_launches_.push_back(a);
}

// A launch is sent only after its token is stored in the lease, so that the next holder finds it.
void capacity_service::send_launches()
{
  if (!lease_.notes_written() || !may_issue_order(false)) {
    return;
  }
  for (const auto& a : std::exchange(unsent_launches_, {})) {
    send_launch(a);
  }
}

void capacity_service::send_launch(const capacity::launch& a)
{
  const auto* pool = config_.current()->find_pool(a.pool);
  if (pool == nullptr) {
    planner_.on_launch_answered(a.token, capacity::launch_unanswered{}, context_.now());
    return;
  }
  audit("Launch", a.token, a.cause, to_string(a.key));
  context_.counters().count("capacity_launches_total");
  context_.call_cloud(make_launch(a, *pool), [this, a](const http::response* answer) {
    const auto meaning = read_launch_answer(answer);
    if (std::holds_alternative<capacity::launch_refused>(meaning)) {
      context_.counters().count("capacity_launches_refused_total");
      context_.log(severity::warn, "launch refused",
                   {{"token", a.token}, {"offer", to_string(a.key)}});
    }
    planner_.on_launch_answered(a.token, meaning, context_.now());
    if (lease_.holds(context_.now().mono)) {
      store_launches();
    }
  });
}

void capacity_service::perform(const capacity::release& a)
{
  audit("Instance", a.id.value(), a.cause, "released, pool " + a.pool);
  context_.counters().count("capacity_releases_total");
  context_.call_cloud(make_release(a.id), [this, id = a.id](const http::response* answer) {
    const bool done =
        answer != nullptr && (answer->status < first_failure || answer->status == status_not_found);
    if (!done) {
      planner_.on_release_failed(id);
    }
  });
}

void capacity_service::perform(const capacity::order_load& a)
{
  const auto it =
      std::find_if(listed_.endpoints.begin(), listed_.endpoints.end(),
                   [&](const membership::member& m) { return m.key.id == a.endpoint.value(); });
  if (it == listed_.endpoints.end() || !may_issue_order(it->attributes.checks_fencing)) {
    planner_.on_load_answered(a.endpoint, a.load, false);
    return;
  }
  const auto& options = context_.options().capacity;
  const std::chrono::duration<double> loads{static_cast<double>(a.load.bytes) /
                                            options.planner.loads.bytes_per_second};
  const auto deadline = context_.now().mono + options.planner.loads.order_timeout +
                        std::chrono::duration_cast<std::chrono::milliseconds>(loads);
  audit("Order", a.endpoint.value(), a.cause,
        "load " + a.load.model.value() + (a.load.adapter.empty() ? "" : "/" + a.load.adapter));
  try {
    const auto to = http::parse_socket_address(it->attributes.address);
    endpoints_.call(to, make_order(a), deadline,
                    [this, a](const std::optional<http::response>& answer) {
                      const bool loaded = answer && answer->status < first_failure;
                      planner_.on_load_answered(a.endpoint, a.load, loaded);
                    });
  } catch (const http::http_error&) {
    planner_.on_load_answered(a.endpoint, a.load, false);
  }
}

void capacity_service::audit(const std::string& object_kind, const std::string& name,
                             const std::string& cause, const std::string& detail)
{
  // The revision must be unique among this daemon's records and must increase.
  last_audit_ =
      std::max(last_audit_ + 1, static_cast<std::uint64_t>(to_unix_ms(context_.now().wall)));
  config_.audit({.who = context_.options().self.value(),
                 .when = context_.now().wall,
                 .plural = "instances",
                 .object_kind = object_kind,
                 .object_name = as_object_name(name),
                 .new_revision = last_audit_,
                 .change = objects::audit_change::action,
                 .cause = cause,
                 .detail = detail});
}

boost::json::object capacity_service::report() const
{
  const bool holds = lease_.holds(context_.now().mono);
  boost::json::array pools;
  boost::json::array instances;
  if (holds) {
    for (const auto& each : planner_.reports()) {
      pools.push_back(to_json(each));
    }
    for (const auto& each : planner_.reasons()) {
      instances.push_back(to_json(each));
    }
  }
  return {{"enabled", context_.options().capacity.enabled},
          {"lease_holder", lease_.last_seen_holder().value()},
          {"held_here", holds},
          {"fencing_number", holds ? lease_.fencing_number() : 0},
          {"pools", std::move(pools)},
          {"instances", std::move(instances)}};
}

std::string capacity_service::reason_for(const std::string& instance) const
{
  if (!lease_.holds(context_.now().mono)) {
    return {};
  }
  for (const auto& each : planner_.reasons()) {
    if (each.subject == instance) {
      return each.state + ": " + each.reason;
    }
  }
  return {};
}

} // namespace wisteriaflow::core::internal
