// Includes the public headers of every package without I/O, and those of the daemon.
//
// wisteriaflow serves language models and plain services on cheap instances that the cloud provider
// may reclaim, without interrupting callers' requests.
//
// The library makes decisions and does no I/O. The lifecycle of requests, claims, routing,
// admission, membership and configuration are state machines that take typed events and the current
// time and return typed actions. They use no sockets, threads or clocks, so the same code runs in
// the daemon, in tests, in benchmarks and in your own program.
//
//   #include "wisteriaflow/wisteriaflow.h"
//   // target_link_libraries(my_program PRIVATE wisteriaflow_core)
//
//   using namespace wisteriaflow;
//   requests::request_lifecycle lifecycle(
//       {.request_id = "r1", .model = "phrasebook", .streamed = true});
//   for (const auto& action : lifecycle.handle(requests::admission_granted{}, now)) {
//     std::visit(perform, action);  // start_attempt{1}: choose an endpoint, send the request
//   }
//
// Each package has its own folder and namespace:
//
//   base        ids, clocks, hashes, the base class of the exceptions
//   objects     labels, selectors, declared objects, the fleet's configuration, audit records
//   requests    the lifecycle of a request, its outcomes, the callers' interface
//   claims      at-most-once execution per key of non-idempotent requests (protocol of the daemons)
//   membership  live, leaving and gone daemons and endpoints; gossip, subsets, addresses
//   routing     the choice of an endpoint for a request, and its explanation
//   admission   rate limits of workspaces, refusals with a retry time, retry budgets
//   capacity    the cheapest mix of instances; the lease that lets one daemon plan it
//   core        the decisions of one daemon, combined from all of these
//
// I/O is done by `daemon::daemon` (link wisteriaflow_daemon), which passes events and actions
// between the core and HTTP, gRPC and the platform. The headers of the I/O components (http,
// platform, peer) depend on Boost.Asio and are not included here.
//
// Errors are exceptions derived from `wisteriaflow::error`; each package has its own subclasses.
// Types are not safe to share between threads unless their documentation says so; immutable values
// may be shared.
//
// samples/ has examples from simple to complete; docs/PRIMER.md is the introduction.

#ifndef WISTERIAFLOW_WISTERIAFLOW_H_
#define WISTERIAFLOW_WISTERIAFLOW_H_

// base
#include "wisteriaflow/base/deflate.h"
#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/hex.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/ini_file.h"
#include "wisteriaflow/base/percent_encoding.h"
#include "wisteriaflow/base/suspension_clock.h"
#include "wisteriaflow/base/text.h"
#include "wisteriaflow/base/time.h"

// objects
#include "wisteriaflow/objects/audit_record.h"
#include "wisteriaflow/objects/codec.h"
#include "wisteriaflow/objects/configuration_store.h"
#include "wisteriaflow/objects/declared_object.h"
#include "wisteriaflow/objects/errors.h"
#include "wisteriaflow/objects/fleet_configuration.h"
#include "wisteriaflow/objects/label_set.h"
#include "wisteriaflow/objects/reference_index.h"
#include "wisteriaflow/objects/selector.h"

// requests
#include "wisteriaflow/requests/answer_store.h"
#include "wisteriaflow/requests/call_headers.h"
#include "wisteriaflow/requests/completion_render.h"
#include "wisteriaflow/requests/completion_request.h"
#include "wisteriaflow/requests/errors.h"
#include "wisteriaflow/requests/move_choice.h"
#include "wisteriaflow/requests/outcome.h"
#include "wisteriaflow/requests/request_actions.h"
#include "wisteriaflow/requests/request_events.h"
#include "wisteriaflow/requests/request_lifecycle.h"
#include "wisteriaflow/requests/sse_parser.h"
#include "wisteriaflow/requests/stream_assembler.h"

// claims
#include "wisteriaflow/capacity/demand_window.h"
#include "wisteriaflow/capacity/errors.h"
#include "wisteriaflow/capacity/inputs.h"
#include "wisteriaflow/capacity/instance_mix.h"
#include "wisteriaflow/capacity/launch_backoff.h"
#include "wisteriaflow/capacity/launch_records.h"
#include "wisteriaflow/capacity/lease_client.h"
#include "wisteriaflow/capacity/load_queue.h"
#include "wisteriaflow/capacity/planner.h"
#include "wisteriaflow/claims/claim.h"
#include "wisteriaflow/claims/claim_client.h"
#include "wisteriaflow/claims/claim_shard_owner.h"
#include "wisteriaflow/claims/errors.h"
#include "wisteriaflow/claims/owner_events.h"
#include "wisteriaflow/claims/request_key.h"
#include "wisteriaflow/claims/shard_map.h"
#include "wisteriaflow/claims/shard_tail.h"
#include "wisteriaflow/claims/tail_codec.h"

// membership
#include "wisteriaflow/membership/address_selector.h"
#include "wisteriaflow/membership/gossip.h"
#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/membership/messages.h"
#include "wisteriaflow/membership/subsets.h"
#include "wisteriaflow/membership/usage_aggregator.h"
#include "wisteriaflow/membership/view.h"

// routing
#include "wisteriaflow/routing/choose_endpoint.h"
#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/errors.h"
#include "wisteriaflow/routing/ewma.h"
#include "wisteriaflow/routing/prefix_blocks.h"
#include "wisteriaflow/routing/prefix_cache_index.h"

// admission
#include "wisteriaflow/admission/admission_control.h"
#include "wisteriaflow/admission/max_min_fair.h"
#include "wisteriaflow/admission/rate_limit.h"
#include "wisteriaflow/admission/retry.h"
#include "wisteriaflow/admission/workspace_limiter.h"

// capacity
#include "wisteriaflow/capacity/demand_window.h"
#include "wisteriaflow/capacity/errors.h"
#include "wisteriaflow/capacity/inputs.h"
#include "wisteriaflow/capacity/instance_mix.h"
#include "wisteriaflow/capacity/launch_backoff.h"
#include "wisteriaflow/capacity/launch_records.h"
#include "wisteriaflow/capacity/lease_client.h"
#include "wisteriaflow/capacity/load_queue.h"
#include "wisteriaflow/capacity/planner.h"

// core
#include "wisteriaflow/core/actions.h"
#include "wisteriaflow/core/daemon_core.h"
#include "wisteriaflow/core/events.h"
#include "wisteriaflow/core/metrics.h"
#include "wisteriaflow/core/peer_messages.h"
#include "wisteriaflow/core/store.h"
#include "wisteriaflow/core/timer_queue.h"
#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/framing.h"
#include "wisteriaflow/http/message.h"
#include "wisteriaflow/http/status.h"

// daemon
#include "wisteriaflow/daemon/daemon.h"
#include "wisteriaflow/daemon/settings.h"
#include "wisteriaflow/daemon/version.h"

// gateway: routes, endpoints, fleet-wide limits, peers and leader duties for requests whose content
// the gateway does not interpret
#include "wisteriaflow/gateway/answer_end.h"
#include "wisteriaflow/gateway/answer_progress.h"
#include "wisteriaflow/gateway/attempt_outcome.h"
#include "wisteriaflow/gateway/call.h"
#include "wisteriaflow/gateway/caller_addresses.h"
#include "wisteriaflow/gateway/configuration.h"
#include "wisteriaflow/gateway/crash_judgement.h"
#include "wisteriaflow/gateway/crash_report_codec.h"
#include "wisteriaflow/gateway/crash_suspect.h"
#include "wisteriaflow/gateway/crash_suspects.h"
#include "wisteriaflow/gateway/daemon_ages.h"
#include "wisteriaflow/gateway/demand_meter.h"
#include "wisteriaflow/gateway/departures.h"
#include "wisteriaflow/gateway/drain_schedule.h"
#include "wisteriaflow/gateway/endpoint_feed.h"
#include "wisteriaflow/gateway/endpoint_health.h"
#include "wisteriaflow/gateway/endpoint_links.h"
#include "wisteriaflow/gateway/endpoint_name.h"
#include "wisteriaflow/gateway/endpoint_pool.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/endpoint_statement.h"
#include "wisteriaflow/gateway/endpoint_work.h"
#include "wisteriaflow/gateway/event_splitter.h"
#include "wisteriaflow/gateway/fleet_clock.h"
#include "wisteriaflow/gateway/fleet_groups.h"
#include "wisteriaflow/gateway/fleet_view.h"
#include "wisteriaflow/gateway/gossip_scheduler.h"
#include "wisteriaflow/gateway/inherited_holds.h"
#include "wisteriaflow/gateway/least_loaded_choice.h"
#include "wisteriaflow/gateway/open_streams.h"
#include "wisteriaflow/gateway/origin_holders.h"
#include "wisteriaflow/gateway/outcomes_codec.h"
#include "wisteriaflow/gateway/peer_report.h"
#include "wisteriaflow/gateway/peer_table.h"
#include "wisteriaflow/gateway/peer_work_totals.h"
#include "wisteriaflow/gateway/place_shares.h"
#include "wisteriaflow/gateway/prefix_affinity.h"
#include "wisteriaflow/gateway/rate_shares.h"
#include "wisteriaflow/gateway/recorded_versions.h"
#include "wisteriaflow/gateway/rejection_limits.h"
#include "wisteriaflow/gateway/relay_peers.h"
#include "wisteriaflow/gateway/request_content.h"
#include "wisteriaflow/gateway/retry_budget.h"
#include "wisteriaflow/gateway/retry_policy.h"
#include "wisteriaflow/gateway/retry_time.h"
#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/rollout_codec.h"
#include "wisteriaflow/gateway/rollout_controller.h"
#include "wisteriaflow/gateway/running_answers.h"
#include "wisteriaflow/gateway/scaling_planner.h"
#include "wisteriaflow/gateway/slow_call_detector.h"
#include "wisteriaflow/gateway/stated_terms.h"
#include "wisteriaflow/gateway/store_revision.h"
#include "wisteriaflow/gateway/stream_origin_codec.h"
#include "wisteriaflow/gateway/stream_origins.h"
#include "wisteriaflow/gateway/terms_codec.h"
#include "wisteriaflow/gateway/traffic_splitter.h"
#include "wisteriaflow/gateway/usage_counts.h"
#include "wisteriaflow/gateway/usage_courier.h"
#include "wisteriaflow/gateway/version_counts.h"
#include "wisteriaflow/gateway/version_evaluator.h"
#include "wisteriaflow/gateway/version_gate.h"
#include "wisteriaflow/gateway/version_history.h"
#include "wisteriaflow/gateway/workspace_quota.h"

#endif // WISTERIAFLOW_WISTERIAFLOW_H_
