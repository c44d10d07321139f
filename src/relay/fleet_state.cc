#include "relay/fleet_state.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <tuple>
#include <utility>

#include "documents.h"
#include "errors.h"
#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::relay {
namespace {

// A view of the endpoints that is not older than this shows all versions that are widely known.
constexpr std::chrono::milliseconds max_current_view_age{4'000};
// A peer's clock reading is used for this long, the time of several reports.
constexpr std::chrono::milliseconds clock_reading_valid{4'000};

// Number of usage windows kept: a report is due two windows after the end of its window, and a new
// leader may send it one lease duration later.
constexpr gateway::usage_window usage_windows_kept = 5;
// Windows whose reported counts are kept and told to peers: those that may be reported again.
constexpr std::size_t decided_windows_kept = 3;

// Limits of one report. Work is relayed for the peers with the most recent reports: in a large
// fleet a daemon's own reports reach the others too rarely to be useful. max_report_ages applies to
// reports for peers of an earlier version.
constexpr std::size_t max_contacts_per_report = 8;
constexpr std::size_t max_relayed_peers = 24;
constexpr std::size_t max_repaired_peers = 32;
constexpr std::size_t max_report_ages = 512;
// Maximum number of endpoints whose work is reported, those with the most work first: for the
// sender itself, and for all relayed peers together. Where daemons have calls at hundreds of
// endpoints, the others have a call now and then, which has ended before the report arrives.
constexpr std::size_t max_own_work_entries = 48;
constexpr std::size_t max_relayed_work_entries = 192;
// Up to this number of peers, every daemon exchanges reports with every other one in each round, so
// nothing needs to be relayed.
constexpr std::size_t max_full_mesh_peers = gateway::gossip_scheduler_options{}.full_mesh_limit;
// Number of coordinators: daemons that compete for the lease, read the endpoints from the store and
// watch the configuration for the fleet. Two of them may fail at the same time.
constexpr std::size_t coordinator_count = 3;
constexpr std::string_view coordinator_rank_key = "duties";
// Number of daemons whose reports one daemon can process every 0.8 s beside its other work.
constexpr std::size_t max_reporters_per_collector = 100;
// Endpoints whose terms one report contains; if there are more, they alternate.
constexpr std::size_t max_terms_per_report = 32;
constexpr std::size_t max_usage_rows = 16; // rows of daemons that are silent

// Reads of the endpoints from the store by all daemons that relays should inform.
constexpr double fallback_reads_per_second = 16;
// Endpoints that one log line names.
constexpr std::size_t max_logged_departures = 16;
// Age from which a view counts as old in the log, as a part of the endpoint notice.
constexpr int old_view_percent = 70;

// Fractions of the limits for a version on trial that the fleet uses. The rest covers calls that
// the platform counts differently, such as calls of a daemon that crashed before it reported them.
constexpr double trial_margin = 0.8;
constexpr double trial_slack_margin = 0.5;

// Returns the ids of the peers that are not draining.
std::vector<daemon_id> ids_of(const std::vector<gateway::daemon_contact>& live, bool draining)
{
  std::vector<daemon_id> out;
  for (const auto& peer : live) {
    if (peer.leaving == draining) {
      out.push_back(peer.id);
    }
  }
  return out;
}

std::vector<daemon_id> ids_of_non_draining(const std::vector<gateway::daemon_contact>& live)
{
  return ids_of(live, false);
}

std::uint64_t start_time()
{
  return static_cast<std::uint64_t>(to_unix_ms(read_clocks().wall));
}

} // namespace

clock_reading read_clocks()
{
  const auto wall = std::chrono::system_clock::now();
  return {.mono = std::chrono::steady_clock::now(),
          .wall = std::chrono::time_point_cast<std::chrono::milliseconds>(wall)};
}

fleet_state::fleet_state(const settings& s, event_log& event_log,
                         std::optional<std::uint64_t> process_start)
    : options(s), log(event_log), incarnation(process_start.value_or(start_time())),
      endpoints({.self = s.id, .zone = s.zone, .seed = seed()}), links({.seed = seed()}),
      feed({.max_leaving_delay = s.endpoint_notice, .seed = seed()}),
      quota({.self = s.id, .seed = seed(), .slack = s.quota_slack}),
      retries({.retry_ratio = s.retry_ratio,
               .fleet_allowance = s.retry_slack,
               .window = s.retry_window}),
      peers({.self = s.id, .self_address = s.peers}), clock(clock_reading_valid),
      usage({.daemon = s.id, .incarnation = incarnation}, s.usage_window, usage_windows_kept),
      courier({.self = s.id, .seed = seed()}), versions(s.trial_part > 0),
      version_calls({.source = {.daemon = s.id, .incarnation = incarnation},
                     .target_fraction = trial_margin * s.trial_part})
{
  endpoints.set_usable_filter([this](const gateway::endpoint_record& r) {
    return versions.is_usable({.service = r.service, .version = r.version, .revision = r.revision},
                              rollouts);
  });
  for (const auto& seed : s.seeds) {
    peers.add_address(seed);
  }
}

std::uint64_t fleet_state::configuration_version() const
{
  return configuration_ ? configuration_->version() : 0;
}

void fleet_state::apply_configuration_if_newer(const boost::json::value& document,
                                               std::string_view source)
{
  gateway::configuration declared;
  try {
    // Most documents are already in force, and decoding a whole one takes milliseconds here.
    if (adapter::decode_version(document) <= configuration_version()) {
      return;
    }
    declared = adapter::decode_configuration(document);
  } catch (const adapter::format_error& e) {
    log.write(daemon::log_level::error, "configuration rejected",
              {{"source", std::string(source)},
               {"reason", e.what()},
               {"version_in_force", std::to_string(configuration_version())}});
    return;
  }
  const auto before = configuration_version();
  configuration_ = std::make_shared<const gateway::configuration_index>(std::move(declared));
  document_ = document;
  quota.set_workspaces(configuration_->declared().workspaces, std::chrono::steady_clock::now());
  counters.set("configuration_version", static_cast<double>(configuration_version()));
  log.write(daemon::log_level::info, "configuration in force",
            {{"version", std::to_string(configuration_version())},
             {"version_before", std::to_string(before)},
             {"source", std::string(source)},
             {"routes", std::to_string(configuration_->declared().routes.size())}});
  signal_urgent_update();
}

void fleet_state::signal_urgent_update() const
{
  if (on_urgent_update_) {
    on_urgent_update_();
  }
}

void fleet_state::begin_drain(const gateway::drain_schedule& drain)
{
  if (drain_) {
    return;
  }
  drain_ = drain;
  signal_urgent_update();
}

bool fleet_state::is_ready() const
{
  return !drain_ && missing_knowledge().empty();
}

std::vector<std::string_view> fleet_state::missing_knowledge() const
{
  std::vector<std::string_view> out;
  const auto require = [&out](bool is_known, std::string_view what) {
    if (!is_known) {
      out.push_back(what);
    }
  };
  require(configuration_ != nullptr, "configuration");
  require(endpoints.has_list(), "endpoints");
  require(serves_recorded_versions, "recorded versions");
  require(quota.knows_fleet(), "size of the fleet");
  require(!rollouts_enabled() || versions.rollouts_revision().number > 0, "roll-outs");
  return out;
}

std::uint64_t fleet_state::seed() const
{
  return hash64_of(options.id.value(), incarnation);
}

gateway::daemon_contact fleet_state::self_contact() const
{
  return {.id = options.id,
          .incarnation = incarnation,
          .peer_address = options.peers,
          .caller_address = options.callers,
          .zone = options.zone,
          .ready = is_ready(),
          .leaving = drain_.has_value(),
          .acting = is_leader_,
          .cut_off = links.is_cut_off()};
}

bool fleet_state::set_leader(bool leader)
{
  const bool changed = std::exchange(is_leader_, leader) != leader;
  if (changed) {
    signal_urgent_update();
  }
  return changed;
}

gateway::window_counts fleet_state::decide_usage(gateway::usage_window window,
                                                 gateway::window_counts counts)
{
  const auto [it, added] = decided_usage_.try_emplace(window, std::move(counts));
  auto out = it->second;
  while (decided_usage_.size() > decided_windows_kept) {
    decided_usage_.erase(decided_usage_.begin());
  }
  if (added && is_leader_) {
    signal_urgent_update(); // another leader may report the window next
  }
  return out;
}

std::optional<gateway::window_counts> fleet_state::decided_usage(gateway::usage_window window) const
{
  const auto it = decided_usage_.find(window);
  return it == decided_usage_.end() ? std::nullopt : std::optional(it->second);
}

bool fleet_state::is_coordinator(mono_time now) const
{
  const auto non_draining = ids_of_non_draining(peers.live(now));
  return is_leader_ || rendezvous_rank(hash64_of(coordinator_rank_key), options.id, non_draining) <
                           coordinator_count;
}

bool fleet_state::probes_held(const gateway::crash_suspect& suspect) const
{
  const auto non_draining = ids_of_non_draining(peers.live(std::chrono::steady_clock::now()));
  return rendezvous_rank(hash64_of(to_string(suspect)), options.id, non_draining) == 0;
}

// The leader need not be among the highest ranked daemons: it may have taken the lease when few
// daemons were known, and it keeps it.
std::vector<http::socket_address> fleet_state::other_coordinators(mono_time now) const
{
  struct candidate {
    bool acting = false;
    std::uint64_t score = 0;
    http::socket_address address;
  };
  const auto key = hash64_of(coordinator_rank_key);
  std::vector<candidate> ranked;
  for (auto& peer : peers.live(now)) {
    if (!peer.leaving) {
      ranked.push_back({.acting = peer.acting,
                        .score = rendezvous_score(key, peer.id.value()),
                        .address = std::move(peer.peer_address)});
    }
  }
  auto number = std::min(coordinator_count, ranked.size());
  const bool has_single_collector =
      rollout_is_open() && ranked.size() <= max_reporters_per_collector;
  if (has_single_collector &&
      std::any_of(ranked.begin(), ranked.end(), [](const candidate& c) { return c.acting; })) {
    number = 1; // the leader must learn quickly of failed calls to a version on trial
  }
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(number),
                    ranked.end(), [](const candidate& a, const candidate& b) {
                      return std::tie(a.acting, a.score) > std::tie(b.acting, b.score);
                    });
  std::vector<http::socket_address> out;
  for (std::size_t i = 0; i < number; ++i) {
    out.push_back(std::move(ranked[i].address));
  }
  return out;
}

gateway::regular_targets fleet_state::regular_targets(mono_time now) const
{
  if (groups_.empty() || rollout_is_open()) {
    return {.addresses = other_coordinators(now), .askers = peers.running_count(now)};
  }
  if (groups_.is_relay(options.id)) {
    return {.addresses = other_coordinators(now), .askers = groups_.relay_count()};
  }
  auto daemons = groups_.relays_of(options.id);
  const auto leader = peers.leader(now);
  if (leader && peers.running_count(now) <= max_reporters_per_collector * (daemons.size() + 1)) {
    daemons.push_back(*leader); // it has room for the reports of all, each third time
  }
  gateway::regular_targets out{.askers = groups_.group_size()};
  for (const auto& id : daemons) {
    if (const auto address = peers.address_of(id)) {
      out.addresses.push_back(*address);
    }
  }
  return out;
}

bool fleet_state::learns_from_relays(mono_time now) const
{
  return !groups_.empty() && !groups_.is_relay(options.id) && !is_coordinator(now);
}

bool fleet_state::may_fetch_endpoints_from(const http::socket_address& peer, mono_time now) const
{
  if (!learns_from_relays(now)) {
    return true;
  }
  const auto coordinators = other_coordinators(now);
  return std::find(coordinators.begin(), coordinators.end(), peer) == coordinators.end();
}

void fleet_state::on_daemons_listed(const std::vector<http::socket_address>& registered,
                                    mono_time now)
{
  peers.add_registered(registered, now);
  if (!quota.knows_fleet()) {
    update_fleet_view(peers.live(now), now);
  }
}

void fleet_state::apply_endpoint(const gateway::endpoint_record& record, mono_time now)
{
  endpoints.apply(record, now);
  feed.update(record);
}

void fleet_state::apply_departures(const std::vector<gateway::endpoint_departure>& departures,
                                   std::string_view source, mono_time now)
{
  std::vector<endpoint_id> learned;
  for (const auto& d : departures) {
    if (endpoints.on_departure(d, now)) {
      feed.on_departure(d);
      learned.push_back(d.id);
    }
  }
  if (!learned.empty()) {
    log_departures(learned, source, now);
    signal_urgent_update();
  }
}

void fleet_state::log_departures(const std::vector<endpoint_id>& learned, std::string_view source,
                                 mono_time now)
{
  std::string ids;
  for (std::size_t i = 0; i < std::min(learned.size(), max_logged_departures); ++i) {
    ids += (i == 0 ? "" : ",") + learned[i].value();
  }
  log.write(daemon::log_level::info, "departures learned",
            {{"source", std::string(source)},
             {"number", std::to_string(learned.size())},
             {"endpoints", ids},
             {"view_revision", to_string(feed.revision())},
             {"view_age_ms", std::to_string(feed.departures_age(now).count())}});
}

void fleet_state::log_view_age(mono_time now)
{
  if (!endpoints.has_list()) {
    return;
  }
  const auto age = feed.departures_age(now);
  const bool is_old = age >= options.endpoint_notice * old_view_percent / 100;
  if (is_old) {
    oldest_view_age_ = std::max(oldest_view_age_, age);
  }
  if (std::exchange(was_view_old_, is_old) == is_old) {
    return;
  }
  const auto oldest = is_old ? age : std::exchange(oldest_view_age_, std::chrono::milliseconds{0});
  log.write(is_old ? daemon::log_level::warn : daemon::log_level::info,
            is_old ? "view of the endpoints is old" : "view of the endpoints is recent again",
            {{"age_ms", std::to_string(age.count())},
             {"oldest_ms", std::to_string(oldest.count())},
             {"revision", to_string(feed.revision())},
             {"outdated", feed.is_outdated(now) ? "yes" : "no"},
             {"reader", feed.is_reader() ? "yes" : "no"}});
}

void fleet_state::apply_answer_terms(const gateway::answer_terms& answered, mono_time now)
{
  if (endpoints.on_answer(answered, now) == gateway::terms_action::gossip) {
    log_terms(answered.process.id, answered.terms.leaving, answered.terms.request_rate, "answer");
    signal_urgent_update();
  }
  if (const auto service = endpoints.on_answered_rejection_limit(answered, now)) {
    log_rejection_limit(*service, "answer");
    signal_urgent_update();
  }
}

void fleet_state::apply_answer_statement(const gateway::endpoint_process& from,
                                         const gateway::answer_head& head,
                                         const std::string& request_id, mono_time sent_at)
{
  const auto terms = gateway::validated_terms(head.statement);
  for (const auto& text : terms.rejected) {
    counters.count("endpoint_statements_rejected");
    log.write(daemon::log_level::warn, "endpoint statement not believed",
              {{"request", request_id}, {"endpoint", from.id.value()}, {"statement", text}});
  }
  apply_answer_terms(
      {.process = from, .terms = terms, .sent_at = sent_at, .is_signed = head.has_signature},
      std::chrono::steady_clock::now());
}

void fleet_state::log_terms(const endpoint_id& id, bool leaving, std::optional<double> rate,
                            std::string_view source)
{
  log.write(daemon::log_level::info, "endpoint states other terms",
            {{"endpoint", id.value()},
             {"leaving", leaving ? "yes" : "no"},
             {"request_rate", rate ? std::to_string(*rate) : "any"},
             {"source", std::string(source)}});
}

void fleet_state::apply_peer_rejection_limits(const gateway::peer_report& received, mono_time now)
{
  for (const auto& r : received.rejection_limits) {
    if (endpoints.on_peer_rejection_limit(r, now)) {
      log_rejection_limit(r.service, "peer");
      signal_urgent_update();
    }
  }
}

void fleet_state::log_rejection_limit(const std::string& service, std::string_view source)
{
  const auto limit = endpoints.rejection_limits().limit_of(service);
  log.write(daemon::log_level::info, "endpoints begin or cease to state a rejection limit",
            {{"service", service},
             {"rejections_per_second", limit ? std::to_string(*limit) : "any"},
             {"source", std::string(source)}});
}

void fleet_state::apply_peer_terms(const gateway::peer_report& received, mono_time now)
{
  bool changed = false;
  for (const auto& t : received.terms) {
    const auto step = endpoints.on_peer_terms(t, now);
    if (step == gateway::terms_action::gossip) {
      log_terms(t.process.id, t.leaving, t.request_rate, "peer");
      changed = true;
    }
    if (step == gateway::terms_action::reject) {
      log.write(daemon::log_level::warn, "terms told by a peer not believed",
                {{"peer", received.self.id.value()},
                 {"endpoint", t.process.id.value()},
                 {"request_rate", std::to_string(t.request_rate.value_or(0))}});
    }
  }
  if (changed) {
    signal_urgent_update();
  }
}

void fleet_state::apply_peer_outcomes(const gateway::peer_report& received, mono_time now)
{
  endpoints.on_peer_outcomes(received.self.id, received.outcomes, now - received.age, now);
  for (const auto& r : received.peer_outcomes) {
    endpoints.on_peer_outcomes(r.daemon, r.counts, now - r.age, now);
  }
  if (received.rejected_outcomes > 0) {
    counters.count("endpoint_outcomes_rejected", {}, received.rejected_outcomes);
  }
}

void fleet_state::update_avoidance(mono_time now)
{
  for (const auto& change : endpoints.update_avoidance(now)) {
    const auto& counts = change.evidence.counts;
    counters.count("endpoint_avoidance_changes", {{"avoided", change.avoided ? "yes" : "no"}});
    log.write(change.avoided ? daemon::log_level::warn : daemon::log_level::info,
              change.avoided ? "endpoint avoided" : "endpoint no longer avoided",
              {{"endpoint", change.id.value()},
               {"estimate", std::to_string(change.estimate)},
               {"answered", std::to_string(counts.answered)},
               {"failed", std::to_string(counts.failed)},
               {"failing_reporters", std::to_string(change.evidence.failing_reporters)}});
  }
  counters.set("endpoints_avoided", static_cast<double>(endpoints.avoided_count()));
  counters.set("avoided_endpoint_calls", static_cast<double>(endpoints.probe_count()));
  counters.set("reporters_disbelieved", static_cast<double>(endpoints.disbelieved_count()));
}

bool fleet_state::rollout_is_open() const
{
  return std::any_of(rollouts.all().begin(), rollouts.all().end(),
                     [](const auto& it) { return gateway::is_open(it.second.latest); });
}

void fleet_state::on_rollouts_changed()
{
  version_calls.update_orders(rollouts);
  endpoints.reapply_usable_filter();
  std::vector<std::uint64_t> orders;
  for (const auto& [service, e] : rollouts.all()) {
    orders.push_back(e.latest.order);
  }
  rollout_rows.retain(orders);
  signal_urgent_update();
}

void fleet_state::apply_rollout(const gateway::rollout& rollout)
{
  if (rollouts.update(rollout)) {
    on_rollouts_changed();
  }
}

void fleet_state::withdraw_rollout(std::string_view service, gateway::store_revision revision)
{
  if (rollouts.withdraw(service, revision)) {
    on_rollouts_changed();
  }
}

void fleet_state::on_rollouts_read(gateway::store_revision revision)
{
  const bool was_behind = versions.awaits_rollouts();
  versions.set_rollouts_revision(revision);
  if (was_behind) {
    endpoints.reapply_usable_filter();
  }
}

std::chrono::milliseconds fleet_state::call_period(double fleet_calls_per_second) const
{
  const auto daemons = static_cast<double>(peers.running_count(std::chrono::steady_clock::now()));
  const std::chrono::duration<double> period(daemons / fleet_calls_per_second);
  return std::chrono::duration_cast<std::chrono::milliseconds>(period);
}

gateway::retry_context fleet_state::current_retry_context() const
{
  const auto now = std::chrono::steady_clock::now();
  return {.daemons = peers.running_count(now),
          .peers_relay_store = !live_peers_.empty() && !feed.is_reader() && is_ready()};
}

std::vector<gateway::daemon_contact> fleet_state::next_contacts(mono_time now)
{
  const auto live = peers.live(now);
  std::vector<gateway::daemon_contact> out;
  for (std::size_t i = 0; i < std::min(max_contacts_per_report, live.size()); ++i) {
    out.push_back(live[next_contact_++ % live.size()]);
  }
  return out;
}

std::vector<gateway::relayed_peer> fleet_state::relayed_peers(mono_time now)
{
  auto relayed = peers.contacts_to_repair(max_repaired_peers, now);
  if (live_peers_.size() > max_full_mesh_peers) {
    for (auto& peer : peers.most_recent(max_relayed_peers, now)) {
      relayed.push_back(std::move(peer));
    }
  }
  const auto entries_per_peer = max_relayed_work_entries / std::max<std::size_t>(1, relayed.size());
  std::vector<gateway::relayed_peer> out;
  for (const auto& peer : relayed) {
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - peer.as_of);
    const auto& id = peer.contact.id;
    out.push_back({.contact = peer.contact,
                   .age = age,
                   .work = top_endpoints(endpoints.peers().work_of(id), entries_per_peer),
                   .prefill = endpoints.peers().prefill_of(id)});
  }
  return out;
}

std::vector<std::string> fleet_state::stream_services() const
{
  std::set<std::string> out;
  if (configuration_) {
    for (const auto& r : configuration_->declared().routes) {
      if (r.kind == gateway::call_kind::stream && r.resumable) {
        for (const auto& s : r.services) {
          out.insert(s.service);
        }
      }
    }
  }
  for (const auto& v : recorded.all()) {
    out.insert(v.service);
  }
  return {out.begin(), out.end()};
}

bool fleet_state::has_current_view(mono_time now) const
{
  return feed.revision().number > 0 && feed.view(now).age <= max_current_view_age;
}

gateway::endpoint_view fleet_state::endpoint_view(mono_time now) const
{
  return endpoints.holds_removals(now) ? gateway::endpoint_view{} : feed.view(now);
}

gateway::endpoint_changes fleet_state::endpoint_changes(gateway::store_revision revision,
                                                        std::size_t max_records,
                                                        mono_time now) const
{
  if (endpoints.holds_removals(now)) {
    return {};
  }
  auto out = feed.changes_after(revision, max_records, now);
  out.departures = endpoints.departures_after(std::min(revision, out.view.departures_after));
  return out;
}

void fleet_state::add_known_peers(gateway::peer_report& to, report_extent extent, mono_time now)
{
  to.ages = peers.ages(now);
  if (extent == report_extent::full_with_ids) {
    to.last_seen = peers.most_recently_seen(max_report_ages, now);
  }
  to.relayed = relayed_peers(now);
  if (live_peers_.size() <= max_full_mesh_peers) {
    to.known_daemons = next_contacts(now);
  } else {
    to.peer_outcomes = endpoints.outcomes_to_relay(now);
  }
}

// A daemon without links to endpoints knows nothing about which of them can be reached.
gateway::endpoint_work_map fleet_state::work_to_report(mono_time now) const
{
  return links.is_cut_off() ? endpoints.own_work() : endpoints.work_to_gossip(now);
}

gateway::peer_report fleet_state::report(const clock_reading& now, report_extent extent)
{
  const auto is_silent = [&](const daemon_id& id) {
    return id != options.id && !peers.is_live(id, now.mono);
  };
  const auto view = endpoint_view(now.mono);
  gateway::peer_report out{
      .self = self_contact(),
      .configuration_version = configuration_version(),
      .clock = now.wall,
      .running_daemons = quota.knows_fleet() ? peers.observed_running_count(now.mono) : 0,
      .work = top_endpoints(work_to_report(now.mono), max_own_work_entries),
      .prefill = endpoints.own_prefill(),
      .outcomes = endpoints.outcomes_to_gossip(now.mono),
      .departures = endpoints.departures(now.mono, view.departures_after),
      .terms = endpoints.terms_to_gossip(max_terms_per_report, now.mono),
      .rejection_limits = endpoints.rejection_limits().to_gossip(now.mono),
      .endpoints = view,
      .usage = usage.rows_for_peer(is_silent, max_usage_rows),
      .decided_usage = is_leader_ ? decided_usage_ : gateway::decided_usage_map(),
      .fencing_number = last_fencing_number_,
      .rollouts = rollouts.all(),
      .rollouts_revision = versions.rollouts_revision(),
      .rollout_rows = version_calls.rows(clock.now(now)),
      .crashes = crashes.recent_changes(clock.now(now)),
      .crash_digest = crashes.digest()};
  if (extent != report_extent::brief) {
    add_known_peers(out, extent, now.mono);
  }
  return out;
}

void fleet_state::merge_report(const gateway::peer_report& received, const clock_reading& now)
{
  if (received.self.id == options.id) {
    return;
  }
  if (received.clamped_values > 0) {
    counters.count("peer_report_values_clamped", {}, received.clamped_values);
  }
  const auto known_before = peers.known_count();
  peers.on_report(received, now.mono);
  if (received.running_daemons > 0 && !quota.knows_fleet()) {
    update_fleet_view(peers.live(now.mono), now.mono);
  }
  clock.on_reading(received.self.id, received.clock, now.mono);
  apply_departures(received.departures, received.self.id.value(), now.mono);
  apply_peer_terms(received, now.mono);
  apply_peer_rejection_limits(received, now.mono);
  const auto reported_at = now.mono - received.age;
  endpoints.on_peer_work(received.self.id, received.work, reported_at);
  endpoints.on_peer_prefill(received.self.id, received.prefill, reported_at);
  apply_peer_outcomes(received, now.mono);
  for (const auto& r : received.relayed) {
    const auto relayed_at = now.mono - r.age;
    if (peers.on_relayed(r.contact, relayed_at)) {
      endpoints.on_peer_work(r.contact.id, r.work, relayed_at);
      endpoints.on_peer_prefill(r.contact.id, r.prefill, relayed_at);
    }
  }
  // Until the next tick, a daemon that has just started would not use what it has learned of the
  // fleet: it would ask the wrong owners for units.
  if (quota.knows_fleet() && peers.known_count() > known_before) {
    update_fleet_view(peers.live(now.mono), now.mono);
  }
  for (const auto& row : received.usage) {
    usage.merge(row);
  }
  for (const auto& [window, counts] : received.decided_usage) {
    decide_usage(window, counts);
  }
  record_fencing_number(received.fencing_number);
  for (const auto& row : received.rollout_rows) {
    rollout_rows.merge(row);
  }
  if (rollouts.merge(received.rollouts)) {
    on_rollouts_changed();
  }
  on_rollouts_read(received.rollouts_revision);
  crashes.merge(received.crashes, clock.now(now));
  review_held_contents();
}

void fleet_state::review_held_contents()
{
  const auto contents = crashes.on_running(running_answers, fleet_time());
  for (const auto& content : contents) {
    log.write(daemon::log_level::info, "held content runs elsewhere",
              running_log_fields(content, crashes.hold_of(content), running_answers));
  }
  if (!contents.empty()) {
    signal_urgent_update();
  }
}

std::vector<gateway::usage_delivery> fleet_state::due_usage(const clock_reading& now)
{
  if (groups_.empty()) {
    return {};
  }
  const gateway::usage_route route{.relays = groups_.relays_of(options.id),
                                   .leader = is_leader_ ? options.id : peers.leader(now.mono)};
  return courier.due(usage, route, clock.now(now));
}

void fleet_state::receive_usage(const std::vector<gateway::usage_row>& rows, bool to_leader,
                                const clock_reading& now)
{
  std::vector<gateway::usage_row> kept;
  for (const auto& row : rows) {
    if (usage.is_kept(row.window, clock.now(now))) {
      usage.merge(row);
      kept.push_back(row);
    }
  }
  if (kept.size() < rows.size()) {
    counters.count("usage_rows_ignored", {}, rows.size() - kept.size());
  }
  if (!to_leader) {
    courier.on_received(kept);
  }
}

void fleet_state::log_peer_changes(const std::vector<daemon_id>& live)
{
  std::set<daemon_id> present(live.begin(), live.end());
  for (const auto& id : present) {
    if (!live_peers_.contains(id)) {
      log.write(daemon::log_level::info, "peer heard", {{"peer", id.value()}});
    }
  }
  for (const auto& id : live_peers_) {
    if (!present.contains(id)) {
      log.write(daemon::log_level::warn, "peer silent or leaving", {{"peer", id.value()}});
    }
  }
  live_peers_ = std::move(present);
}

void fleet_state::update_groups(const std::vector<daemon_id>& live)
{
  const bool is_same = live.size() == live_peers_.size() &&
                       std::all_of(live.begin(), live.end(),
                                   [this](const auto& id) { return live_peers_.contains(id); });
  if (is_same) {
    return;
  }
  auto daemons = live;
  daemons.push_back(options.id);
  groups_ = gateway::fleet_groups({}, daemons);
}

void fleet_state::update_gauges(mono_time now)
{
  using seconds = std::chrono::duration<double>;
  if (configuration_read_at_) {
    counters.set("configuration_age_seconds", seconds(now - *configuration_read_at_).count());
  }
  counters.set("endpoints_known", static_cast<double>(endpoints.all().size()));
  counters.set("endpoint_links_lost", static_cast<double>(links.lost_count()));
  counters.set("cut_off_from_endpoints", links.is_cut_off() ? 1 : 0);
  counters.set("endpoints_limited", static_cast<double>(endpoints.rate_limited_count()));
  counters.set("endpoints_paused", static_cast<double>(endpoints.paused_count()));
  counters.set("services_with_rejection_limit",
               static_cast<double>(endpoints.rejection_limits().size()));
  if (endpoints.has_list()) {
    counters.set("endpoints_age_seconds", seconds(feed.view(now).age).count());
    counters.set("departures_age_seconds", seconds(feed.departures_age(now)).count());
  }
  for (const auto& [service, model] : endpoints.prefill_rates().models()) {
    const metric_labels labels = {{"service", service}};
    counters.set("prefill_tokens_per_second", model.rate(), labels);
    counters.set("prefill_fixed_seconds", model.fixed_seconds(), labels);
  }
  counters.set("log_lines_queued", static_cast<double>(log.queued_lines()));
  counters.set("log_lines_left_out", static_cast<double>(log.dropped_lines()));
}

void fleet_state::update_fleet_view(const std::vector<gateway::daemon_contact>& live, mono_time now)
{
  const auto daemons = peers.running_count(now);
  retries.set_daemons(daemons);
  gateway::fleet_view fleet{.candidates = ids_of_non_draining(live),
                            .draining = ids_of(live, true),
                            .running = peers.running(now),
                            .live_count = live.size() + 1,
                            .running_count = daemons,
                            .leaving = drain_.has_value()};
  endpoints.set_fleet(fleet, now);
  quota.set_fleet(std::move(fleet), now);
  version_calls.set_extra_calls(trial_slack_margin * options.trial_slack /
                                static_cast<double>(daemons));
}

void fleet_state::tick(const clock_reading& now)
{
  const auto live = peers.live(now.mono);
  counters.set("peers_live", static_cast<double>(live.size()));
  update_gauges(now.mono);
  start_log_.update(missing_knowledge(), now.mono, log);
  log_view_age(now.mono);
  const auto non_draining = ids_of_non_draining(live);
  update_groups(non_draining);
  log_peer_changes(non_draining);
  if (quota.knows_fleet()) {
    update_fleet_view(live, now.mono);
  }
  quota.update_demand(now.mono);
  endpoints.tick(now.mono);
  endpoints.refresh_loads(now.mono);
  update_avoidance(now.mono);
  feed.set_reader(is_coordinator(now.mono));
  feed.set_min_read_interval(learns_from_relays(now.mono) ? call_period(fallback_reads_per_second)
                                                          : std::chrono::milliseconds{0});
  feed.retain(endpoints.all());
  usage.forget_old(clock.now(now));
  stream_origins.forget_expired(now.mono);
  counters.set("stream_origins_known", static_cast<double>(stream_origins.size()));
  crashes.tick(clock.now(now));
  review_held_contents();
  hold_log_.log_changes(crashes.holds(), running_answers, log);
  counters.set("contents_held", static_cast<double>(hold_log_.contents()));
  counters.set("prompt_parts_held", static_cast<double>(hold_log_.prompt_parts()));
  counters.set("endpoint_crashes_known", static_cast<double>(crashes.crashes_known()));
}

} // namespace wisteriaflow::relay
