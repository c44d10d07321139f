// The view of the fleet that one gateway daemon has, shared by the coroutines of its single thread.
//
// The members are free of I/O: no sockets, and times are passed in. The modules around this class
// feed it with store entries, peer reports and answers, and query it.

#ifndef WISTERIAFLOW_SRC_RELAY_FLEET_STATE_H_
#define WISTERIAFLOW_SRC_RELAY_FLEET_STATE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "relay/event_log.h"
#include "relay/hold_log.h"
#include "relay/metrics.h"
#include "relay/start_log.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/configuration.h"
#include "wisteriaflow/gateway/crash_suspects.h"
#include "wisteriaflow/gateway/drain_schedule.h"
#include "wisteriaflow/gateway/endpoint_feed.h"
#include "wisteriaflow/gateway/endpoint_links.h"
#include "wisteriaflow/gateway/endpoint_pool.h"
#include "wisteriaflow/gateway/fleet_clock.h"
#include "wisteriaflow/gateway/fleet_groups.h"
#include "wisteriaflow/gateway/gossip_scheduler.h"
#include "wisteriaflow/gateway/inherited_holds.h"
#include "wisteriaflow/gateway/peer_table.h"
#include "wisteriaflow/gateway/recorded_versions.h"
#include "wisteriaflow/gateway/retry_budget.h"
#include "wisteriaflow/gateway/retry_policy.h"
#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/running_answers.h"
#include "wisteriaflow/gateway/stream_origins.h"
#include "wisteriaflow/gateway/traffic_splitter.h"
#include "wisteriaflow/gateway/usage_counts.h"
#include "wisteriaflow/gateway/usage_courier.h"
#include "wisteriaflow/gateway/version_counts.h"
#include "wisteriaflow/gateway/version_gate.h"
#include "wisteriaflow/gateway/workspace_quota.h"
#include "wisteriaflow/relay/settings.h"

namespace wisteriaflow::relay {

// Reads the monotonic clock and the wall clock.
[[nodiscard]] clock_reading read_clocks();

// State of one daemon. Not thread-safe.
class fleet_state {
 public:
  // `process_start` is the incarnation of this process, which also seeds its random choices; by
  // default the wall-clock time in milliseconds.
  fleet_state(const settings& s, event_log& log,
              std::optional<std::uint64_t> process_start = std::nullopt);

  // Puts a configuration document into force if its version is newer than the present one. `source`
  // names where it came from, for the log. An unreadable document is logged and changes nothing.
  void apply_configuration_if_newer(const boost::json::value& document, std::string_view source);

  [[nodiscard]] const std::shared_ptr<const gateway::configuration_index>& configuration() const
  {
    return configuration_;
  }
  // Version of the configuration in force; 0 if there is none yet.
  [[nodiscard]] std::uint64_t configuration_version() const;
  // Call after a read of the store whose configuration, if any, has been applied.
  void on_configuration_read(mono_time now) { configuration_read_at_ = now; }
  // The document of the configuration in force, which peers may fetch.
  [[nodiscard]] const boost::json::value& configuration_document() const { return document_; }

  // `callback` runs after each change that peers must receive at once instead of with the next
  // periodic report.
  void set_urgent_update_callback(std::function<void()> callback)
  {
    on_urgent_update_ = std::move(callback);
  }
  void signal_urgent_update() const;

  // Lets this daemon's calls speak for the contents that are held. Must be called before a call is
  // refused for one, and for the sake of the other daemons when `crashes` has changed.
  void review_held_contents();

  // Starts the drain, unless it has started before, and lets peers know at once that this daemon
  // stops.
  void begin_drain(const gateway::drain_schedule& drain);
  // The times of the drain; empty unless this daemon drains.
  [[nodiscard]] const std::optional<gateway::drain_schedule>& drain() const { return drain_; }

  // Whether callers may use this daemon: it knows the configuration, the endpoints, their recorded
  // versions and the rollouts, and is not draining.
  [[nodiscard]] bool is_ready() const;

  // What is not known yet of that, in words for the log.
  [[nodiscard]] std::vector<std::string_view> missing_knowledge() const;

  // This daemon's entry for the peers' tables.
  [[nodiscard]] gateway::daemon_contact self_contact() const;

  // Seed for random choices; differs between daemons that start at the same time.
  [[nodiscard]] std::uint64_t seed() const;

  // Records whether this daemon is the leader, that is, holds the fleet's lease; a change is sent
  // to peers at once. Returns whether it has changed.
  bool set_leader(bool leader);

  // Whether this daemon is the leader.
  [[nodiscard]] bool is_leader() const { return is_leader_; }

  // The highest fencing number of the lease that any daemon is known to have used. The store may
  // forget numbers when it is restored; no daemon may use one again.
  [[nodiscard]] std::uint64_t last_fencing_number() const { return last_fencing_number_; }
  void record_fencing_number(std::uint64_t n)
  {
    last_fencing_number_ = std::max(last_fencing_number_, n);
  }

  // Counts of a window that a leader has begun to report. Every report of a window must state the
  // same, also if the store has lost them. The first counts that become known are kept; returns
  // these.
  gateway::window_counts decide_usage(gateway::usage_window window, gateway::window_counts counts);
  // Nothing if no counts are known to have been reported.
  [[nodiscard]] std::optional<gateway::window_counts>
  decided_usage(gateway::usage_window window) const;

  // Whether this daemon is a coordinator: one of the few daemons that hold or compete for the
  // lease, read the endpoints from the store and watch the configuration for all others.
  [[nodiscard]] bool is_coordinator(mono_time now) const;

  // Whether this daemon is the one that sends a probe request with a held content or part of a
  // prompt when a probe is due. If several daemons did so, each request might crash an endpoint.
  [[nodiscard]] bool probes_held(const gateway::crash_suspect& suspect) const;

  // Peer addresses of the other coordinators.
  [[nodiscard]] std::vector<http::socket_address> other_coordinators(mono_time now) const;

  // The daemons that this one regularly exchanges reports with, beside its gossip: the
  // coordinators, or, in a large fleet, the relays of its group, which ask the coordinators. While
  // a version is on trial, the leader needs the reports of all daemons.
  [[nodiscard]] gateway::regular_targets regular_targets(mono_time now) const;

  // Whether the fleet is so large that relays pass on what the coordinators read from the store,
  // and this daemon is neither a relay nor a coordinator.
  [[nodiscard]] bool learns_from_relays(mono_time now) const;

  // Whether this daemon may fetch descriptions of endpoints from the peer. In a large fleet, the
  // coordinators send them to relays only.
  [[nodiscard]] bool may_fetch_endpoints_from(const http::socket_address& peer,
                                              mono_time now) const;

  // Call when the store has listed the addresses of all registered daemons.
  void on_daemons_listed(const std::vector<http::socket_address>& registered, mono_time now);

  // The services that routes lead resumable streams to, and those that are recorded because they
  // did: a stream may have been begun before its route was moved to another service.
  [[nodiscard]] std::vector<std::string> stream_services() const;

  // Whether the view of the endpoints is so recent that it shows every version that is widely
  // known.
  [[nodiscard]] bool has_current_view(mono_time now) const;

  // Applies an endpoint's entry read from the store.
  void apply_endpoint(const gateway::endpoint_record& record, mono_time now);

  // Applies departures of endpoints, reported by a peer or deduced from an unreadable entry.
  // `source` names where they came from, for the log.
  void apply_departures(const std::vector<gateway::endpoint_departure>& departures,
                        std::string_view source, mono_time now);

  // Applies the terms (leaving, rate limit) that an endpoint stated in an answer.
  void apply_answer_terms(const gateway::answer_terms& answered, mono_time now);

  // Applies what an endpoint states of itself in the head of its answer to the request
  // `request_id`, which was sent to it at `sent_at`. Statements that are not believed are logged.
  void apply_answer_statement(const gateway::endpoint_process& from,
                              const gateway::answer_head& head, const std::string& request_id,
                              mono_time sent_at);

  // Returns the interval between two calls of one daemon at which the whole fleet makes
  // `fleet_calls_per_second`.
  [[nodiscard]] std::chrono::milliseconds call_period(double fleet_calls_per_second) const;

  // Input of the retry policy: how many daemons may be calling the store, and whether peers report
  // what it contains. Daemons that read the endpoints for the fleet get no such reports.
  [[nodiscard]] gateway::retry_context current_retry_context() const;

  // How current this daemon's endpoints are, and the changes that a peer lacks whose view is at
  // `revision`, at most `max_records` descriptions. Both are empty while removals are held back
  // after a store outage: a peer that took over such a view would miss these removals for good.
  [[nodiscard]] gateway::endpoint_view endpoint_view(mono_time now) const;
  [[nodiscard]] gateway::endpoint_changes
  endpoint_changes(gateway::store_revision revision, std::size_t max_records, mono_time now) const;

  // Applies the state of a rollout, read from the store or decided by this daemon.
  void apply_rollout(const gateway::rollout& rollout);
  // Call when the operator has deleted a service's rollout order as of the store's `revision`.
  void withdraw_rollout(std::string_view service, gateway::store_revision revision);
  // Call when all rollout orders up to `revision` of the store have been applied.
  void on_rollouts_read(gateway::store_revision revision);
  // Whether the settings enable rollouts.
  [[nodiscard]] bool rollouts_enabled() const { return options.trial_part > 0; }

  // How much a report contains about the rest of the fleet, beside this daemon's own state.
  enum class report_extent {
    full,          // also what is known of other daemons
    full_with_ids, // the same for peers of an earlier version, which need ids to read ages
    brief, // own state only: urgent updates in a large fleet, and reports to its coordinators
  };

  // Builds the report for peers.
  [[nodiscard]] gateway::peer_report report(const clock_reading& now,
                                            report_extent extent = report_extent::full);

  // Merges a report received from a peer.
  void merge_report(const gateway::peer_report& received, const clock_reading& now);

  // Returns the usage counts to be sent to other daemons now; see usage_courier.
  [[nodiscard]] std::vector<gateway::usage_delivery> due_usage(const clock_reading& now);

  // Takes usage counts that a daemon sent to this one as the leader or as a relay.
  void receive_usage(const std::vector<gateway::usage_row>& rows, bool to_leader,
                     const clock_reading& now);

  // The wall-clock time agreed on by the fleet.
  [[nodiscard]] wall_time fleet_time() const { return clock.now(read_clocks()); }

  // Does periodic work; call a few times a second.
  void tick(const clock_reading& now);

  settings options; // as loaded at the start
  event_log& log;
  metrics counters;
  std::uint64_t incarnation;
  gateway::endpoint_pool endpoints;
  gateway::endpoint_links links;
  gateway::endpoint_feed feed; // tracks how current `endpoints` is
  gateway::workspace_quota quota;
  gateway::retry_budget retries;
  gateway::peer_table peers;
  gateway::fleet_clock clock;
  gateway::usage_counts usage;
  gateway::usage_courier courier; // brings `usage` to the leader of a large fleet
  gateway::crash_suspects crashes{{}};
  gateway::inherited_holds inherited_holds;
  gateway::running_answers running_answers; // of this daemon's calls
  gateway::stream_origins stream_origins{
      {}}; // of own streams and of those that peers replicate here
  // The versions that are known to be recorded in the store; see version_store.
  gateway::recorded_versions recorded;
  bool serves_recorded_versions = false; // those that served when this daemon started
  // This daemon knows all versions that were in use after this time.
  mono_time versions_known_since = mono_time::max();
  gateway::rollout_registry rollouts;
  gateway::version_gate versions;
  gateway::traffic_splitter version_calls;
  gateway::rollout_rows rollout_rows;

 private:
  void apply_peer_terms(const gateway::peer_report& received, mono_time now);
  void apply_peer_rejection_limits(const gateway::peer_report& received, mono_time now);
  void apply_peer_outcomes(const gateway::peer_report& received, mono_time now);
  // Decides which endpoints are avoided, and logs the changes.
  void update_avoidance(mono_time now);
  void log_terms(const endpoint_id& id, bool leaving, std::optional<double> rate,
                 std::string_view source);
  void log_rejection_limit(const std::string& service, std::string_view source);
  void on_rollouts_changed();
  [[nodiscard]] bool rollout_is_open() const;
  // The reports of peers to be relayed: the most recent ones, unless all daemons exchange reports
  // directly, and those of daemons that a peer may not know.
  std::vector<gateway::relayed_peer> relayed_peers(mono_time now);
  // Contacts for a report: all peers of a small fleet, a rotating few of a large one.
  std::vector<gateway::daemon_contact> next_contacts(mono_time now);
  [[nodiscard]] gateway::endpoint_work_map work_to_report(mono_time now) const;
  void add_known_peers(gateway::peer_report& to, report_extent extent, mono_time now);
  // Divides rates and quotas among the daemons that are known now.
  void update_fleet_view(const std::vector<gateway::daemon_contact>& live, mono_time now);
  void log_peer_changes(const std::vector<daemon_id>& live);
  // Computes the groups again if `live` differs from the live daemons of the last tick.
  void update_groups(const std::vector<daemon_id>& live);
  void log_departures(const std::vector<endpoint_id>& learned, std::string_view source,
                      mono_time now);
  // Logs when the view of the endpoints becomes old, and when it is recent again.
  void log_view_age(mono_time now);
  // Updates the gauges of the age of the configuration and endpoints, and of the log.
  void update_gauges(mono_time now);

  std::shared_ptr<const gateway::configuration_index> configuration_;
  boost::json::value document_;
  std::optional<mono_time> configuration_read_at_;
  std::function<void()> on_urgent_update_;
  std::optional<gateway::drain_schedule> drain_;
  bool is_leader_ = false; // holds the fleet's lease
  std::uint64_t last_fencing_number_ = 0;
  gateway::decided_usage_map decided_usage_;
  std::set<daemon_id> live_peers_; // as of the last tick
  gateway::fleet_groups groups_;   // as of the last tick
  hold_log hold_log_;
  start_log start_log_{std::chrono::steady_clock::now()};
  bool was_view_old_ = false;                    // at the last tick
  std::chrono::milliseconds oldest_view_age_{0}; // since the view became old
  std::size_t next_contact_ = 0;                 // index of the next contact to report
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_FLEET_STATE_H_
