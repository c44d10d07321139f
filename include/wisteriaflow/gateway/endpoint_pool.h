// The endpoints to which one daemon may send requests, and the choice among them. The content of
// the requests is opaque to the pool.
//
// Endpoints come from the store (lists and changes, each at a revision) and from peers, which
// report that an endpoint is leaving. Information at a higher revision takes precedence, so that an
// outdated list doesn't bring a leaving endpoint back.
//
//   endpoint_pool pool({.zone = here, .seed = 1});
//   pool.replace_all(listed, revision, now);
//   auto choice = pool.choose({.service = "chat", .prompt = parts, .target = t}, now);
//   if (auto* chosen = std::get_if<pooled_endpoint>(&choice)) {
//     pool.on_first_token(chosen->work, later);
//     pool.on_finished(chosen->work, tokens, last);
//   }

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_POOL_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_POOL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/call.h"
#include "wisteriaflow/gateway/demand_meter.h"
#include "wisteriaflow/gateway/departures.h"
#include "wisteriaflow/gateway/endpoint_health.h"
#include "wisteriaflow/gateway/endpoint_process.h"
#include "wisteriaflow/gateway/endpoint_work.h"
#include "wisteriaflow/gateway/peer_work_totals.h"
#include "wisteriaflow/gateway/place_shares.h"
#include "wisteriaflow/gateway/prefix_affinity.h"
#include "wisteriaflow/gateway/rejection_limits.h"
#include "wisteriaflow/gateway/stated_terms.h"
#include "wisteriaflow/gateway/store_revision.h"
#include "wisteriaflow/gateway/traffic_splitter.h"
#include "wisteriaflow/gateway/version_history.h"
#include "wisteriaflow/http/message.h"
#include "wisteriaflow/load/endpoint_avoidance.h"
#include "wisteriaflow/load/endpoint_outcomes.h"
#include "wisteriaflow/load/long_prompt_affinity.h"
#include "wisteriaflow/load/prefill_rates.h"
#include "wisteriaflow/load/probe_schedule.h"
#include "wisteriaflow/load/prompt_placement.h"
#include "wisteriaflow/load/rank.h"
#include "wisteriaflow/load/usable_endpoints.h"
#include "wisteriaflow/routing/choose_endpoint.h"
#include "wisteriaflow/routing/endpoint_table.h"
#include "wisteriaflow/routing/prefix_cache_index.h"

namespace wisteriaflow::gateway {

// Description of an endpoint in the store.
struct endpoint_record {
  endpoint_id id;
  store_revision revision; // of this description in the store
  // Start time of its process in Unix milliseconds by the instance's own clock; 0: not stated. It
  // is only compared for equality, to detect another process: the clocks of two instances may
  // differ. The revision decides which of two descriptions is newer.
  std::uint64_t incarnation = 0;
  std::string service;
  std::string version; // version of its software; empty: not stated
  http::socket_address address;
  availability_zone zone;
  std::uint32_t places = 1; // number of requests that it runs concurrently
  bool leaving = false;
  bool reclaimable = false;
  bool cold = false; // started recently and is still slow

  friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

struct endpoint_pool_options {
  daemon_id self;
  availability_zone zone;
  std::uint64_t seed = 0;
  // Departures are gossiped to all peers for this long.
  std::chrono::milliseconds departure_gossip_duration{2'500};
  // A peer's work report is used for this long after it was sent: in a large fleet, each peer's
  // report arrives every 3.1 s at least.
  std::chrono::milliseconds peer_work_ttl{3'500};
  endpoint_health_options health;
  // Assumed prefill rate until an endpoint's own rate is measured.
  double initial_prefill_rate = 30'000; // tokens/s
  // An endpoint that this many peers report as unreachable is ejected here as well, so that not
  // every daemon has to find out by timeouts of its own. A single peer may itself be disconnected
  // from the network.
  std::uint32_t unreachable_quorum = 2;
};

// Input of the choice of an endpoint.
struct selection_criteria {
  std::string_view service;
  std::span<const prompt_part> prompt;
  std::optional<token_size> size;
  mono_time target;
  mono_time deadline;
  std::span<const endpoint_id> excluded;
  version_selection versions = {};
  // The only version that the call may go to, because it started the call's stream. Replaces
  // `versions`. No endpoint has the empty version.
  std::optional<std::string_view> required_version = std::nullopt;
  // Versions that the call must not go to, because a stream that they begin could be taken for one
  // of another version.
  std::span<const std::string> barred_versions = {};
  // Whether the call may still be refused as not run. If not, it is sent to the least loaded
  // endpoint even if it is likely to miss its deadline.
  bool may_be_refused = true;
  // Set if calls of different ranks are sent to the service, whose endpoints then admit waiting
  // calls by rank; see configuration_index::has_ranks. Absent: first come, first served.
  std::optional<load::rank_class> rank = std::nullopt;
  // Whether the call can be sent to another endpoint if this attempt fails. Such calls are
  // preferred for probing avoided endpoints.
  bool may_be_repeated = false;
  // KV memory of each endpoint of the service in tokens; 0: not declared.
  std::uint64_t kv_tokens = 0;
};

// The size of the call, bounded by what an endpoint can hold; zero if it is not stated.
[[nodiscard]] token_size believed_size(const selection_criteria& criteria);

// The endpoint chosen for one attempt. `work` must be passed back to the pool as the attempt
// proceeds.
struct pooled_endpoint {
  endpoint_id id;
  std::uint64_t incarnation = 0; // see endpoint_record
  std::string version;
  http::socket_address address;
  routing::sent_attempt work;
  // Address of another endpoint that probably has the prompt's shared parts in its cache and from
  // which they can be copied.
  std::optional<http::socket_address> prefix_source = std::nullopt;
  // Whether this daemon may send the request itself. If not, it holds no free place at the
  // endpoint, and only a peer that holds one may; see place_holders().
  bool has_place = true;
  // Why this endpoint was chosen; absent if the placement by rank and size is not active.
  std::optional<load::choice_reason> reason = std::nullopt;

  [[nodiscard]] endpoint_process process() const { return {.id = id, .incarnation = incarnation}; }
};

// An endpoint, or the reason why there is none and when to retry.
using pool_choice = std::variant<pooled_endpoint, routing::no_endpoint>;

// Not thread-safe.
class endpoint_pool {
 public:
  explicit endpoint_pool(endpoint_pool_options options);

  // Replaces the list of endpoints by that of store revision `revision`. Endpoints that are not
  // listed are removed, unless removals are on hold.
  void replace_all(std::span<const endpoint_record> listed, store_revision revision, mono_time now);

  // Applies one endpoint's new description; ignored if it is older than the known one.
  void apply(const endpoint_record& changed, mono_time now);

  // The endpoint's entry was removed from the store.
  void remove(const endpoint_departure& departure, mono_time now);

  // An endpoint is leaving according to a peer, or because its entry has become unusable. Returns
  // true if that was not known here and the endpoint was in use.
  bool on_departure(const endpoint_departure& departure, mono_time now);

  // Until `deadline`, entries that disappear from the store are kept, since they may only have
  // expired during an outage of the store. Those still missing at the deadline are removed.
  void hold_removals_until(mono_time deadline) { removals_held_until_ = deadline; }

  // Whether a removal may be on hold. As long as one is, this daemon's view is not equal to what it
  // has read from the store.
  [[nodiscard]] bool holds_removals(mono_time now) const
  {
    return now < removals_held_until_ || !held_removals_.empty();
  }

  // Performs removals whose hold has ended. Call this a few times a second.
  void tick(mono_time now);

  // Whether a list was received at least once.
  [[nodiscard]] bool has_list() const { return has_list_; }

  // Whether an endpoint may be used, apart from what this pool knows about it. The filter is called
  // for each description that is stored.
  using usable_filter = std::function<bool(const endpoint_record&)>;
  void set_usable_filter(usable_filter filter) { is_usable_ = std::move(filter); }
  // Calls the filter again for all endpoints; to be called when its results may have changed.
  void reapply_usable_filter();

  // Endpoints of `service` that accept new requests.
  [[nodiscard]] std::vector<const endpoint_record*> serving(std::string_view service) const;

  // All known endpoints, including leaving and unusable ones.
  [[nodiscard]] const std::map<endpoint_id, endpoint_record>& all() const { return records_; }

  // Departures to gossip to peers now: the recent ones, and all after `after` unless that is 0.
  [[nodiscard]] std::vector<endpoint_departure> departures(mono_time now,
                                                           store_revision after = {}) const;
  // Departures after `revision`, for a peer whose endpoint view is at that revision.
  [[nodiscard]] std::vector<endpoint_departure> departures_after(store_revision revision) const
  {
    return departures_.since(revision);
  }

  // Chooses the endpoint for one attempt and counts the attempt as its work from now on. Returns
  // routing::no_endpoint if no endpoint accepts new requests, or if the queues at all of them make
  // the deadline unreachable.
  [[nodiscard]] pool_choice choose(const selection_criteria& criteria, mono_time now);

  // Whether the endpoint's process has restarted since it was chosen: its requests in flight are
  // lost.
  [[nodiscard]] bool has_restarted(const pooled_endpoint& chosen) const;

  // Sets the daemons of the fleet, which share the request rates stated by endpoints.
  void set_fleet(fleet_view fleet, mono_time now);

  // Applies the terms in an answer of an endpoint or in a report of a peer; terms_to_gossip returns
  // those of up to `max_count` endpoints for the next report to peers.
  terms_action on_answer(const answer_terms& answer, mono_time now);
  terms_action on_peer_terms(const peer_terms& received, mono_time now);
  [[nodiscard]] std::vector<peer_terms> terms_to_gossip(std::size_t max_count, mono_time now);
  // Applies the rejection limit that an answer states, or that it states none. Returns the service
  // if its limit begins or ends with it.
  std::optional<std::string> on_answered_rejection_limit(const answer_terms& answer, mono_time now);
  // The same for what a peer knows. Returns true if the service's limit begins with it.
  bool on_peer_rejection_limit(const peer_rejection_limit& received, mono_time now)
  {
    return rejection_limits_.on_peer_limit(received, now);
  }
  [[nodiscard]] const gateway::rejection_limits& rejection_limits() const
  {
    return rejection_limits_;
  }

  // The attempt has ended. Frees the place that this daemon used for it, if it did.
  void on_attempt_ended(const pooled_endpoint& chosen, request_end end, mono_time now);
  // The endpoint rejected a request that this daemon sent itself.
  void on_rejected(const endpoint_process& process, mono_time now);

  // The daemons through which requests may be sent to an endpoint whose places are shared; nothing
  // if any daemon may send them.
  [[nodiscard]] std::optional<std::vector<daemon_id>> place_holders(const endpoint_id& id) const;
  // Whether a peer passed on a request for which this daemon had no place. After some failures in a
  // row, requests are refused at once for a moment.
  void on_passed_on(const endpoint_id& id, bool accepted, mono_time now);

  // Counts a request that this daemon sends to the endpoint for a peer. Returns false if it holds
  // no free place there.
  [[nodiscard]] bool start_carried(const endpoint_process& process, mono_time now);
  void on_carried_ended(const endpoint_process& process, request_end end, mono_time now)
  {
    places_.on_ended(process, end, now);
  }

  // Number of endpoints with a rate limit, and of endpoints that have asked this daemon for a
  // pause.
  [[nodiscard]] std::size_t rate_limited_count() const { return terms_.rate_limited_count(); }
  [[nodiscard]] std::size_t paused_count() const { return terms_.paused_count(); }

  // Whether an endpoint of this version accepts new requests.
  [[nodiscard]] bool serves_version(const service_version& version) const;

  // Whether the endpoint still has the process and the version that it had when it was chosen, as
  // far as they are known.
  [[nodiscard]] bool is_version_unchanged(const pooled_endpoint& chosen) const;

  // Versions whose endpoints may have served streams. on_version_stated() adds one that another
  // daemon or the store has stated.
  [[nodiscard]] const version_history& versions() const { return versions_; }
  void on_version_stated(const service_version& version, mono_time now)
  {
    versions_.on_stated(version, now);
  }

  // Whether the endpoint is known and not known to be leaving.
  [[nodiscard]] bool is_in_use(const endpoint_id& id) const;

  // Whether the process is known and not known to be leaving.
  [[nodiscard]] bool is_active(const endpoint_process& process) const;
  // Whether another process is known under the id of this one, or as the later one at its address.
  [[nodiscard]] bool is_replaced(const endpoint_process& process,
                                 const http::socket_address& address) const;

  // The attempt's first event or complete answer has arrived.
  void on_first_token(routing::sent_attempt& work, mono_time now);

  // The attempt has ended, with any result.
  void on_finished(const routing::sent_attempt& work, std::uint64_t output_tokens, mono_time now);

  // An attempt at the endpoint failed or succeeded. on_failure returns true if this failure newly
  // ejects the endpoint.
  bool on_failure(const endpoint_id& id, endpoint_failure kind, mono_time now);
  void on_success(const endpoint_id& id);

  // Counts the result of one of this daemon's calls for the estimate that the fleet shares of the
  // calls that an endpoint answers; see load/endpoint_outcomes.h. Each call counts once.
  void on_outcome(const endpoint_id& id, load::call_result result, mono_time now);
  // Outcomes to be sent to peers: this daemon's own, and recent ones of other daemons.
  // on_peer_outcomes stores what `peer` stated at `as_of`.
  [[nodiscard]] load::outcome_map outcomes_to_gossip(mono_time now) const
  {
    return outcomes_.statement(now);
  }
  [[nodiscard]] std::vector<load::relayed_outcomes> outcomes_to_relay(mono_time now) const
  {
    return outcomes_.to_relay(now);
  }
  void on_peer_outcomes(const daemon_id& peer, load::outcome_map outcomes, mono_time as_of,
                        mono_time now);
  // Decides anew which endpoints are avoided and returns the changes. Call this a few times a
  // second.
  std::vector<load::avoidance_change> update_avoidance(mono_time now);
  [[nodiscard]] bool is_avoided(const endpoint_id& id) const { return avoidance_.is_avoided(id); }
  // Number of avoided endpoints, of reporters that are not believed, and of calls that this daemon
  // has sent to avoided endpoints as probes.
  [[nodiscard]] std::size_t avoided_count() const { return avoidance_.avoided_count(); }
  [[nodiscard]] std::size_t disbelieved_count() const { return disbelieved_count_; }
  [[nodiscard]] std::uint64_t probe_count() const { return probe_count_; }

  // Requests in flight from this daemon.
  [[nodiscard]] endpoint_work_map own_work() const;

  // The same together with the endpoints that are unreachable from here, to be sent to peers;
  // on_peer_work stores such a report of a peer.
  [[nodiscard]] endpoint_work_map work_to_gossip(mono_time now) const;
  void on_peer_work(const daemon_id& peer, endpoint_work_map work, mono_time sent_at);
  [[nodiscard]] const peer_work_totals& peers() const { return peers_; }

  // The same for prompt tokens to be computed. `refresh_loads` updates the own figure.
  [[nodiscard]] const prefill_demand& own_prefill() const { return meter_.local_rates(); }
  void on_peer_prefill(const daemon_id& peer, prefill_demand demand, mono_time sent_at);

  // Fitted prefill times of the endpoints of each service.
  [[nodiscard]] const load::prefill_rates& prefill_rates() const { return prefill_rates_; }

  // Number of endpoints of `service` that the prompts of the whole fleet, sent and waiting, would
  // keep fully busy; see demand_meter.h.
  [[nodiscard]] double busy_endpoints(std::string_view service, mono_time now);

  // Updates the load of the endpoints from the peers' reports that are still valid. Call this a few
  // times a second.
  void refresh_loads(mono_time now);

 private:
  // Endpoints of the requested service, by whether they may be chosen now.
  struct candidates {
    std::vector<routing::endpoint_slot> open;
    std::vector<routing::endpoint_slot> ejected;
    // Answer fewer calls than the others according to the whole fleet.
    std::vector<routing::endpoint_slot> avoided;
    // This daemon has no free place at these.
    std::vector<routing::endpoint_slot> full;
    // Earliest time at which one of the endpoints opens that accept no request now under the terms
    // that they have stated.
    std::optional<mono_time> next_allowed_at;
  };

  [[nodiscard]] candidates candidates_for(const selection_criteria& criteria, mono_time now);
  pool_choice choose_among(const candidates& candidates, const selection_criteria& criteria,
                           mono_time now);
  // The avoided endpoint that the call is to probe.
  std::optional<routing::endpoint_slot> take_probe(const candidates& found, bool may_be_repeated,
                                                   mono_time now);
  // Replaces `found.open` by the endpoints that one call may use in view of the avoided ones and of
  // the capacity of the others.
  void limit_to_usable(candidates& found);
  void forget_outcomes(const endpoint_id& id, mono_time now);
  // Result for a call that cannot be sent to any endpoint before `next_allowed_at`.
  routing::no_endpoint reject_until(const selection_criteria& criteria, mono_time next_allowed_at);
  // Keeps as few endpoints of the version on trial as its part of the traffic needs, in proportion
  // to the number of present endpoints; see version_selection.
  void limit_trial_endpoints(const selection_criteria& criteria,
                             std::vector<routing::endpoint_slot>& open) const;
  // Endpoints to which the fleet sends prompts with this one's shared parts; see prefix_affinity.h.
  std::vector<routing::endpoint_slot>
  affinity_endpoints(const prompt_blocks& prompt, const token_size& size,
                     const std::vector<routing::endpoint_slot>& open, mono_time now);
  // Number of live daemons, including this one.
  [[nodiscard]] std::size_t live_daemons() const;
  // Factor from the sums over the peers whose reports are known to those over all live peers. In a
  // large fleet the reports of some peers arrive too late to count.
  [[nodiscard]] double unreported_factor() const;
  // Inputs to the placement by rank and size; empty if it is not active.
  struct placement {
    double own_tokens = 0;                      // of the prompt
    std::vector<bool> own;                      // for each open endpoint, see long_prompt_affinity
    std::vector<routing::candidate_hint> hints; // for each open endpoint
  };
  [[nodiscard]] placement place(const selection_criteria& criteria, const token_size& size,
                                const prompt_blocks& prompt,
                                const std::vector<routing::endpoint_slot>& open) const;
  // The prompt, and what is known of an endpoint, as the placement by length sees them.
  [[nodiscard]] load::placed_prompt placed_prompt_at(routing::endpoint_slot slot,
                                                     double own_tokens) const;
  [[nodiscard]] load::placement_engine placement_engine_of(routing::endpoint_slot slot,
                                                           bool is_own) const;
  [[nodiscard]] std::optional<load::choice_reason>
  reason_of(const placement& known, const routing::chosen_endpoint& chosen,
            const std::vector<routing::endpoint_slot>& open) const;
  // Properties of an attempt that later choices consider.
  [[nodiscard]] routing::attempt_traits traits_of(const selection_criteria& criteria,
                                                  routing::endpoint_slot slot, int prefill) const;
  // Work of the peers at the endpoints of each service.
  [[nodiscard]] std::map<std::string_view, load::service_work> work_by_service() const;
  // Work of the peers at one endpoint, bounded by what it can have to do.
  [[nodiscard]] load::reported_work peer_work_at(const endpoint_record& record) const;
  // Chooses an endpoint to which a peer may send the request.
  pool_choice choose_through_peer(const selection_criteria& criteria,
                                  const std::vector<routing::endpoint_slot>& full, mono_time now);
  // Failures to pass requests on for want of room at peers.
  struct pass_on_failures {
    unsigned in_a_row = 0;
    mono_time paused_until;
  };
  [[nodiscard]] static endpoint_places places_of(const endpoint_record& record);
  // Whether this daemon may send the endpoint one more request.
  [[nodiscard]] bool has_free_place(const endpoint_record& record, mono_time now);
  pool_choice choose_for_plain(const selection_criteria& criteria,
                               const std::vector<routing::endpoint_slot>& open, mono_time now);
  // Address from which the endpoint in `slot` can copy the prompt's shared parts.
  [[nodiscard]] std::optional<http::socket_address>
  prefix_source_for(routing::endpoint_slot slot, const prompt_blocks& prompt,
                    const std::vector<routing::endpoint_slot>& open, mono_time now) const;
  pooled_endpoint start_attempt(routing::endpoint_slot slot, int prefill,
                                std::span<const std::uint64_t> blocks,
                                const selection_criteria& criteria, mono_time now,
                                bool has_place = true);
  [[nodiscard]] mono_time ejected_until(routing::endpoint_slot slot) const;
  // Whether it is ejected because of this daemon's failures or its peers' reports.
  [[nodiscard]] bool is_ejected(routing::endpoint_slot slot, mono_time now) const;
  void store(const endpoint_record& record, mono_time now);
  void update_usable(const endpoint_record& record);
  void erase(const endpoint_id& id, mono_time now);
  // Whether the process may be the one that is running now.
  [[nodiscard]] bool may_be_present(const endpoint_process& process) const;
  // Sends no new requests to the process if it has stated that it is leaving.
  void apply_leaving(const endpoint_process& process, mono_time now);
  [[nodiscard]] endpoint_work own_work_at(const endpoint_id& id) const;
  // Ends the waiting of an attempt: its answer has begun, or it ended without one.
  void end_wait(endpoint_work& own, const routing::sent_attempt& work);

  endpoint_pool_options options_;
  routing::routing_options routing_;
  std::map<endpoint_id, endpoint_record> records_;
  usable_filter is_usable_;
  std::set<endpoint_id> unusable_;
  std::map<endpoint_id, store_revision> held_removals_; // revision of each removal
  gateway::departures departures_;
  version_history versions_;
  stated_terms terms_;
  gateway::rejection_limits rejection_limits_;
  place_shares places_;
  std::map<std::string, pass_on_failures, std::less<>> pass_on_failures_; // by service
  peer_work_totals peers_;
  std::map<endpoint_id, endpoint_work> own_;
  endpoint_health health_;
  load::endpoint_outcomes outcomes_{{}};
  load::endpoint_avoidance avoidance_{{}};
  load::probe_schedule probes_;
  std::uint64_t probe_count_ = 0;
  std::size_t disbelieved_count_ = 0; // as of the last update_avoidance
  load::long_prompt_affinity affinity_;
  demand_meter meter_;
  routing::endpoint_table table_;
  routing::prefix_cache_index prefixes_;
  prefix_traffic_meter prefix_traffic_;
  load::prefill_rates prefill_rates_;
  std::mt19937_64 random_;
  mono_time removals_held_until_;
  bool has_list_ = false;
  std::size_t live_count_ = 1; // live daemons by the last set_fleet
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_POOL_H_
