#include "wisteriaflow/core/daemon_core.h"

#include <algorithm>
#include <utility>

#include "core/answer_directory.h"
#include "core/capacity_service.h"
#include "core/claim_service.h"
#include "core/configuration.h"
#include "core/core_context.h"
#include "core/endpoint_calls.h"
#include "core/fleet.h"
#include "core/http_conversions.h"
#include "core/operator_service.h"
#include "core/placement.h"
#include "core/request_table.h"

namespace wisteriaflow::core {
namespace {

using namespace internal; // Only this file combines the services.

constexpr std::chrono::milliseconds share_refresh_interval{500};
constexpr std::chrono::milliseconds exit_check_interval{50};
// Before its instance is reclaimed, a draining daemon hands over running requests this much
// earlier.
constexpr std::chrono::milliseconds handover_margin{3'000};
// A draining daemon keeps answering peers and late callers for at least this long, so that they do
// not find a closed port before the addresses that it handed out have been replaced.
constexpr std::chrono::milliseconds exit_delay{1'000};
// Time for the release of claim shards after running requests were handed over: two store calls
// with their timeouts.
constexpr std::chrono::milliseconds claim_release_time{2'000};

} // namespace

class daemon_core::implementation {
 public:
  implementation(daemon_core_options options, clock_reading now)
      : context_(std::move(options), now), fleet_(context_, make_listener()),
        config_(context_, fleet_, [this] { requests_.on_configuration_changed(); }),
        claims_(context_, fleet_), endpoints_(context_), placer_(context_, fleet_),
        directory_(context_, fleet_), requests_(context_, services()),
        capacity_(context_, fleet_, config_, endpoints_),
        operators_(context_, services(), requests_, capacity_)
  {
    fleet_.start();
    config_.start();
    claims_.start();
    capacity_.start();
    context_.run_every(share_refresh_interval, [this] { requests_.refresh_shares(); });
  }

  std::vector<action> handle(event e, clock_reading now)
  {
    context_.set_now(now);
    std::visit([this](auto& one) { on(one); }, e);
    context_.timers().run_due(now.mono);
    return context_.take_actions();
  }

  [[nodiscard]] std::optional<mono_time> wake_at() { return context_.timers().next_deadline(); }

 private:
  request_services services()
  {
    return {.members = fleet_,
            .config = config_,
            .claims = claims_,
            .endpoints = endpoints_,
            .placer = placer_,
            .directory = directory_};
  }

  // The callbacks refer to services that are constructed later. They are called only after all
  // services exist.
  fleet_listener make_listener()
  {
    return {
        .endpoint_leaving =
            [this](const endpoint_id& id, std::optional<wall_time> reclaim_at) {
              requests_.on_endpoint_leaving(id, reclaim_at);
            },
        .daemons_changed =
            [this] {
              claims_.update_ownership();
              directory_.on_daemons_changed();
            },
        .self_reclaimed = [this](std::optional<wall_time> reclaim_at) { begin_drain(reclaim_at); },
        .peer_configuration_received =
            [this](const membership::gossiper::known_configuration& highest) {
              config_.on_peer_revision(highest);
            }};
  }

  void begin_drain(std::optional<wall_time> reclaim_at)
  {
    if (draining_) {
      return;
    }
    draining_ = true;
    const auto now = context_.now();
    auto hand_over_at = now.mono + context_.options().drain_grace;
    if (reclaim_at) {
      const auto taken_at = now.mono + (*reclaim_at - now.wall);
      hand_over_at = std::min(hand_over_at, taken_at - handover_margin);
    }
    context_.log(severity::info, "draining",
                 {{"in_flight", std::to_string(requests_.in_flight())}});
    fleet_.deregister(reclaim_at);
    claims_.release_shards();
    capacity_.stop();
    requests_.drain(hand_over_at);
    exit_after_ = now.mono + exit_delay;
    release_by_ = hand_over_at + claim_release_time;
    check_exit();
  }

  void check_exit()
  {
    const auto now = context_.now().mono;
    // Shards that cannot be released, for example during a store outage, are taken over like those
    // of a crashed daemon. Waiting for them would keep the process running for the whole outage.
    const bool released = claims_.all_released() || now >= release_by_;
    if (requests_.drained() && released && now >= exit_after_) {
      context_.emit(caller_action(stop_accepting{}));
      context_.log(severity::info, "drained");
      context_.emit(process_action(stop_process{}));
      return;
    }
    context_.timers().schedule(now + exit_check_interval, [this] { check_exit(); });
  }

  void on(call_received& e)
  {
    context_.counters().count("calls_received_total");
    const auto target = http::parse_target(e.message.target);
    if (e.message.method == "POST" && target.path == "/v1/completions") {
      requests_.open_completion(e.call, std::move(e.message));
    } else if (target.path.starts_with("/services/")) {
      auto parts = split_service_target(e.message.target);
      requests_.open_service_call(e.call, std::move(e.message), parts.service, parts.target);
    } else if (e.message.method == "GET") {
      on_get(e.call, target, e.message);
    } else {
      send(e.call, not_found());
    }
  }

  void on_get(call_number call, const http::target_parts& target, const http::request& message)
  {
    constexpr std::string_view answers = "/v1/answers/";
    if (target.path.starts_with(answers)) {
      requests_.fetch_answer(call, message, target.path.substr(answers.size()));
    } else if (target.path == "/v1/addresses") {
      send(call, operators_.addresses(target, message));
    } else if (target.path == "/healthz") {
      send(call, operators_.health());
    } else if (target.path == "/readyz") {
      send(call, operators_.readiness(draining_));
    } else if (target.path == "/metrics") {
      send(call, operators_.metrics());
    } else if (target.path == "/operator/v1/fleet") {
      send(call, operators_.fleet_view());
    } else if (target.path == "/operator/v1/capacity") {
      send(call, operators_.capacity_view());
    } else if (target.path == "/operator/v1/explain") {
      send(call, operators_.explain(target));
    } else {
      send(call, not_found());
    }
  }

  static http::response not_found()
  {
    constexpr int status = 404;
    auto out = json_response(
        status, R"({"error":{"type":"invalid","reason":"not_found","message":"no such path"}})");
    out.fields.push_back({.name = "Wisteriaflow-Outcome", .value = "invalid"});
    return out;
  }

  void send(call_number call, http::response response)
  {
    context_.emit(caller_action(respond{.call = call, .response = std::move(response)}));
  }

  void on(const caller_closed& e) { requests_.on_caller_closed(e.call); }
  void on(const exchange_head& e) { endpoints_.on(e); }
  void on(const exchange_bytes& e) { endpoints_.on(e); }
  void on(const exchange_ended& e) { endpoints_.on(e); }
  void on(const exchange_failed& e) { endpoints_.on(e); }
  void on(const load_reported& e) { fleet_.on_load(e); }
  void on(const cache_events_reported& e) { fleet_.on_cache_events(e); }
  void on(const store_answer& e) { context_.on_store_answer(e); }

  void on(const declarations_listed& e) { config_.on_listed(e); }
  void on(const declaration_changed& e) { config_.on_changed(e); }

  void on(const instances_listed& e)
  {
    fleet_.on_instances(e.document);
    capacity_.on_instances(e.document);
  }
  void on(const cloud_answer& e) { context_.on_cloud_answer(e); }
  void on(const notices_received& e) { fleet_.on_notices(e.document); }

  void on(const peer_request_received& e)
  {
    context_.counters().count("peer_bytes_received_total", {}, static_cast<double>(e.bytes));
    std::visit([&](const auto& message) { on_peer(e.reply, message); }, e.message);
  }

  void reply(peer_reply_number to, peer_response message)
  {
    context_.emit(peer_action(reply_to_peer{.reply = to, .message = std::move(message)}));
  }

  void on_peer(peer_reply_number to, const membership::gossip_message& message)
  {
    reply(to, fleet_.on_gossip(message));
  }
  void on_peer(peer_reply_number to, const claims::claim_request& message)
  {
    claims_.on_peer_claim(to, message);
  }
  void on_peer(peer_reply_number to, const request_query& message)
  {
    reply(to, requests_.on_query(message));
  }
  void on_peer(peer_reply_number to, const handed_over_request& message)
  {
    reply(to, requests_.on_handed_over(message));
  }
  void on_peer(peer_reply_number to, const configuration_query& message)
  {
    reply(to, config_.on_query(message));
  }
  void on_peer(peer_reply_number to, const place_note& message)
  {
    directory_.on_note(message);
    reply(to, place_note_reply{});
  }

  void on(const peer_response_received& e)
  {
    context_.counters().count("peer_bytes_received_total", {}, static_cast<double>(e.bytes));
    context_.on_peer_answer(e.call, &e.message);
  }
  void on(const peer_call_failed& e) { context_.on_peer_answer(e.call, nullptr); }
  void on(const drain_requested& /*e*/) { begin_drain(std::nullopt); }
  void on(const ticked& /*e*/) {}

  core_context context_;
  fleet fleet_;
  configuration config_;
  claim_service claims_;
  endpoint_calls endpoints_;
  placement placer_;
  answer_directory directory_;
  request_table requests_;
  capacity_service capacity_;
  operator_service operators_;
  bool draining_ = false;
  mono_time exit_after_;
  mono_time release_by_;
};

daemon_core::daemon_core(daemon_core_options options, clock_reading now)
    : implementation_(std::make_unique<implementation>(std::move(options), now))
{
}

daemon_core::~daemon_core() = default;

std::vector<action> daemon_core::handle(event e, clock_reading now)
{
  return implementation_->handle(std::move(e), now);
}

std::optional<mono_time> daemon_core::wake_at() const
{
  return implementation_->wake_at();
}

} // namespace wisteriaflow::core
