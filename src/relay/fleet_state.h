// What one gateway daemon believes, shared by the coroutines of its one thread.
//
// Every member is pure (no sockets, no clock); the modules around it bring news and ask.

#ifndef WISTERIAFLOW_SRC_RELAY_FLEET_STATE_H_
#define WISTERIAFLOW_SRC_RELAY_FLEET_STATE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "relay/event_log.h"
#include "relay/hold_log.h"
#include "relay/metrics.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/configuration.h"
#include "wisteriaflow/gateway/crash_suspects.h"
#include "wisteriaflow/gateway/endpoint_feed.h"
#include "wisteriaflow/gateway/endpoint_pool.h"
#include "wisteriaflow/gateway/fleet_clock.h"
#include "wisteriaflow/gateway/peer_table.h"
#include "wisteriaflow/gateway/retry_budget.h"
#include "wisteriaflow/gateway/retry_policy.h"
#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/usage_counts.h"
#include "wisteriaflow/gateway/version_counts.h"
#include "wisteriaflow/gateway/version_gate.h"
#include "wisteriaflow/gateway/version_traffic.h"
#include "wisteriaflow/gateway/workspace_quota.h"
#include "wisteriaflow/relay/settings.h"

namespace wisteriaflow::relay {

// Both clocks, read now.
[[nodiscard]] clock_reading read_clocks();

class fleet_state {
 public:
  fleet_state(const settings& s, event_log& log);

  // Takes a configuration document into force if it is newer than the present one. `source` says
  // how it was learned. An unreadable one is logged and leaves the present one in force.
  void offer_configuration(const boost::json::value& document, std::string_view source);

  [[nodiscard]] const std::shared_ptr<const gateway::configuration_index>& configuration() const
  {
    return configuration_;
  }
  [[nodiscard]] std::uint64_t configuration_version() const;
  // The store was read, and what it holds has been offered.
  void note_configuration_read(mono_time now) { configuration_read_at_ = now; }
  // The document that the configuration in force was read from, for peers.
  [[nodiscard]] const boost::json::value& configuration_document() const { return document_; }

  // Told after each change that peers should hear of at once.
  void on_news(std::function<void()> callback) { on_news_ = std::move(callback); }
  void announce_news() const;

  // Starts the drain: peers and callers are told that this daemon ends.
  void leave(mono_time now);
  [[nodiscard]] std::optional<mono_time> leaving_since() const { return leaving_since_; }

  // Whether callers may be sent here.
  [[nodiscard]] bool is_ready() const;

  [[nodiscard]] gateway::daemon_contact self_contact() const;

  // Of random choices; differs between daemons that start together.
  [[nodiscard]] std::uint64_t seed() const;

  // Notes whether this daemon holds the fleet's duties; peers are told at once. True if that has
  // changed.
  bool set_acting(bool acting);

  // Whether this daemon holds the fleet's duties.
  [[nodiscard]] bool is_acting() const { return acting_; }

  // Whether this daemon is one of the few that do something for all: hold the duties or compete for
  // them, read the endpoints in the store, and look after the configuration.
  [[nodiscard]] bool leads(mono_time now) const;

  // Whether this daemon is the one that tries a held content when that is due: of all that repeat
  // it at once a single request may end an endpoint.
  [[nodiscard]] bool tries_held(const gateway::content_id& content) const;

  // Where the daemons that lead are asked, but for this one.
  [[nodiscard]] std::vector<http::socket_address> other_leads(mono_time now) const;

  // An endpoint's description, from the store.
  void take_endpoint(const gateway::endpoint_record& record, mono_time now);

  // Departures that a peer told.
  void take_departures(const std::vector<gateway::endpoint_departure>& told, mono_time now);

  // What an endpoint said of itself in an answer.
  void take_answer(const gateway::answer_terms& said, mono_time now);

  // Time between two calls of one daemon, so that the whole fleet makes `fleet_calls_per_second`.
  [[nodiscard]] std::chrono::milliseconds call_period(double fleet_calls_per_second) const;

  // Who else may be calling the store, and whether peers tell what it holds. Those that read the
  // endpoints for all are told by nobody.
  [[nodiscard]] gateway::retry_context retry_situation() const;

  // How current the endpoints are here, and what a peer lacks whose view is at `revision`. Nothing
  // is told while removals are on hold: a peer that followed would never see them.
  [[nodiscard]] gateway::endpoint_view endpoint_view(mono_time now) const;
  [[nodiscard]] gateway::endpoint_changes endpoint_changes(std::uint64_t revision,
                                                           mono_time now) const;

  // What is known of an order, from the store or by this daemon's own judgement.
  void take_rollout(const gateway::rollout& known);
  // The operator has withdrawn a service's order as of `revision`.
  void withdraw_rollout(std::string_view service, std::uint64_t revision);
  // All orders up to this revision of the store have been taken.
  void on_rollouts_read(std::uint64_t revision);
  // Whether this deployment has roll-outs at all.
  [[nodiscard]] bool has_rollouts() const { return options.trial_part > 0; }

  // How much of the fleet a report tells beside this daemon's own part.
  enum class report_extent {
    whole, // what it knows of others, to pass on
    brief, // nothing: in a large fleet, for news, and for a lead, whom all ask
  };

  // What to tell a peer now.
  [[nodiscard]] gateway::peer_report report(const clock_reading& now,
                                            report_extent extent = report_extent::whole);

  // Takes in what a peer told.
  void absorb(const gateway::peer_report& told, const clock_reading& now);

  // The fleet's wall-clock time.
  [[nodiscard]] wall_time fleet_time() const { return clock.now(read_clocks()); }

  // Work that is due as time passes; call a few times a second.
  void tick(const clock_reading& now);

  settings options; // as at the start
  event_log& log;
  metrics counters;
  std::uint64_t incarnation;
  gateway::endpoint_pool endpoints;
  gateway::endpoint_feed feed; // how current `endpoints` is
  gateway::workspace_quota quota;
  gateway::retry_budget retries;
  gateway::peer_table peers;
  gateway::fleet_clock clock;
  gateway::usage_counts usage;
  gateway::crash_suspects crashes{{}};
  gateway::rollout_registry rollouts;
  gateway::version_gate versions;
  gateway::traffic_splitter version_calls;
  gateway::rollout_rows rollout_rows;

 private:
  void take_terms(const gateway::peer_report& told, mono_time now);
  void log_terms(const endpoint_id& id, bool leaving, std::optional<double> rate,
                 std::string_view source);
  void follow_rollouts();
  [[nodiscard]] bool rollout_is_open() const;
  // What the latest news of peers is, for a report; nothing where all ask each other.
  std::vector<gateway::relayed_peer> relayed_peers(mono_time now) const;
  // Contacts for a report: all of a small fleet's, a changing few of a large one's.
  std::vector<gateway::daemon_contact> contacts_to_tell(mono_time now);
  void add_what_is_known_of_others(gateway::peer_report& to, mono_time now);
  void log_peer_changes(const std::vector<daemon_id>& live);
  // How old what is believed is, and the state of the log.
  void set_gauges(mono_time now);

  std::shared_ptr<const gateway::configuration_index> configuration_;
  boost::json::value document_;
  std::optional<mono_time> configuration_read_at_;
  std::function<void()> on_news_;
  std::optional<mono_time> leaving_since_;
  bool acting_ = false;            // holds the duties
  std::set<daemon_id> live_peers_; // at the last tick
  hold_log holds_;
  std::size_t next_contact_ = 0; // to tell
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_FLEET_STATE_H_
