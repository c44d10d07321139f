#include "wisteriaflow/core/daemon_core.h"

#include <algorithm>
#include <utility>

#include "core/answer_places.h"
#include "core/capacity_service.h"
#include "core/claim_service.h"
#include "core/configuration.h"
#include "core/core_context.h"
#include "core/endpoint_calls.h"
#include "core/fleet.h"
#include "core/http_parts.h"
#include "core/operator_service.h"
#include "core/placement.h"
#include "core/request_table.h"

namespace wisteriaflow::core {
namespace {

using namespace internal; // the services stand only here

constexpr std::chrono::milliseconds shares_interval{500};
constexpr std::chrono::milliseconds exit_check{50};
// A leaving daemon hands over what runs this long before its instance is taken.
constexpr std::chrono::milliseconds handover_margin{3'000};
// It stays to answer peers and late callers this long, so that nobody meets a closed port before
// the addresses that it gave out have been replaced.
constexpr std::chrono::milliseconds linger{1'000};
// After the last moment for requests, claim shards get this long to be released: two store calls
// with their timeout.
constexpr std::chrono::milliseconds release_time{2'000};

} // namespace

class daemon_core::implementation {
 public:
  implementation(daemon_core_options options, clock_reading now)
      : context_(std::move(options), now), members_(context_, make_listener()),
        config_(context_, members_, [this] { requests_.on_configuration_changed(); }),
        claims_(context_, members_), endpoints_(context_), placer_(context_, members_),
        places_(context_, members_), requests_(context_, services()),
        capacity_(context_, members_, config_, endpoints_),
        operators_(context_, services(), requests_, capacity_)
  {
    members_.start();
    config_.start();
    claims_.start();
    capacity_.start();
    context_.every(shares_interval, [this] { requests_.refresh_shares(); });
  }

  std::vector<action> handle(event e, clock_reading now)
  {
    context_.set_now(now);
    std::visit([this](auto& one) { on(one); }, e);
    context_.timers().run_due(now.mono);
    return context_.take_actions();
  }

  [[nodiscard]] std::optional<mono_time> wake_at() { return context_.timers().next(); }

 private:
  request_services services()
  {
    return {.members = members_,
            .config = config_,
            .claims = claims_,
            .endpoints = endpoints_,
            .placer = placer_,
            .places = places_};
  }

  // The services are made one after another: the calls come only after all are there.
  fleet_listener make_listener()
  {
    return {.endpoint_leaving =
                [this](const endpoint_id& id, std::optional<wall_time> reclaim_at) {
                  requests_.on_endpoint_leaving(id, reclaim_at);
                },
            .daemons_changed =
                [this] {
                  claims_.update_ownership();
                  places_.on_daemons_changed();
                },
            .self_leaving = [this](std::optional<wall_time> reclaim_at) { leave(reclaim_at); },
            .configuration_heard =
                [this](const membership::gossiper::known_configuration& highest) {
                  config_.on_peer_revision(highest);
                }};
  }

  void leave(std::optional<wall_time> reclaim_at)
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
    members_.leave(reclaim_at);
    claims_.leave();
    capacity_.leave();
    requests_.drain(hand_over_at);
    exit_after_ = now.mono + linger;
    release_by_ = hand_over_at + release_time;
    check_exit();
  }

  void check_exit()
  {
    const auto now = context_.now().mono;
    // Shards that cannot be released, as with the store away, pass on like a crashed daemon's: to
    // wait for them would keep the process for as long as the store is away.
    const bool released = claims_.released() || now >= release_by_;
    if (requests_.drained() && released && now >= exit_after_) {
      context_.emit(caller_action(stop_accepting{}));
      context_.log(severity::info, "drained");
      context_.emit(process_action(stop_process{}));
      return;
    }
    context_.timers().at(now + exit_check, [this] { check_exit(); });
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

  void send(call_number call, http::response whole)
  {
    context_.emit(caller_action(respond{.call = call, .whole = std::move(whole)}));
  }

  void on(const caller_closed& e) { requests_.on_caller_closed(e.call); }
  void on(const exchange_head& e) { endpoints_.on(e); }
  void on(const exchange_bytes& e) { endpoints_.on(e); }
  void on(const exchange_ended& e) { endpoints_.on(e); }
  void on(const exchange_failed& e) { endpoints_.on(e); }
  void on(const load_reported& e) { members_.on_load(e); }
  void on(const cache_events_reported& e) { members_.on_cache_events(e); }
  void on(const store_answer& e) { context_.on_store_answer(e); }

  void on(const declarations_listed& e) { config_.on_listed(e); }
  void on(const declaration_changed& e) { config_.on_changed(e); }

  void on(const instances_listed& e)
  {
    members_.on_instances(e.document);
    capacity_.on_instances(e.document);
  }
  void on(const cloud_answer& e) { context_.on_cloud_answer(e); }
  void on(const notices_received& e) { members_.on_notices(e.document); }

  void on(const peer_asked& e)
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
    reply(to, members_.on_gossip(message));
  }
  void on_peer(peer_reply_number to, const claims::claim_request& message)
  {
    claims_.on_claim_asked(to, message);
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
    places_.on_note(message);
    reply(to, place_note_reply{});
  }

  void on(const peer_answered& e)
  {
    context_.counters().count("peer_bytes_received_total", {}, static_cast<double>(e.bytes));
    context_.on_peer_answer(e.call, &e.message);
  }
  void on(const peer_failed& e) { context_.on_peer_answer(e.call, nullptr); }
  void on(const drain_requested& /*e*/) { leave(std::nullopt); }
  void on(const ticked& /*e*/) {}

  core_context context_;
  fleet members_;
  configuration config_;
  claim_service claims_;
  endpoint_calls endpoints_;
  placement placer_;
  answer_places places_;
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
