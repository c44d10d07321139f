#include "relay/fleet_state.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <tuple>
#include <utility>

#include "documents.h"
#include "errors.h"
#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/gateway/peer_rounds.h"

namespace wisteriaflow::relay {
namespace {

// A clock reading of a peer counts for this long: several reports.
constexpr std::chrono::milliseconds clock_reading_valid{4'000};

// Windows of usage that are kept: a report is due two windows after its end, and a duty that moves
// to another daemon may be one lease later.
constexpr gateway::usage_window usage_windows_kept = 5;

// Bounds of a report. With the ages of a few peers only, live daemons of a large fleet would be
// taken for silent, and owners of rates change with them. Work is passed on of those of whom there
// is the latest news: a daemon's own reports reach all others too seldom to count.
constexpr std::size_t contacts_told = 8;
constexpr std::size_t peers_relayed = 24;
constexpr std::size_t ages_told = 512;
// Endpoints at which work is told, those with the most first: of the sender's own, and of all peers
// together whose work is passed on. Where daemons have calls at hundreds of endpoints, the rest is
// a call here and there, and over before it is heard of.
constexpr std::size_t own_work_told = 48;
constexpr std::size_t relayed_work_told = 192;
// In a fleet of so many peers each is heard in each round, and there is nothing to pass on.
constexpr std::size_t peers_heard_directly = gateway::gossip_scheduler_options{}.full_mesh_limit;
// Daemons that do something for all: compete for the duties, read the endpoints in the store, and
// look after the configuration. Two of them may fall out at once.
constexpr std::size_t lead_number = 3;
constexpr std::string_view lead_job = "duties";
// Daemons whose reports one can take in every 0.8 s beside its other work.
constexpr std::size_t most_heard_by_one = 100;
// Endpoints whose terms are told in one report; with more of them they take turns.
constexpr std::size_t terms_told = 32;
constexpr std::size_t usage_rows_told = 16; // of daemons that fell silent

// Of what a version on trial may get. The rest is for calls that the platform counts otherwise, as
// those of daemons that die with them.
constexpr double trial_margin = 0.8;
constexpr double trial_slack_margin = 0.5;

// Of the peers that do not leave.
std::vector<daemon_id> ids_of_staying(const std::vector<gateway::daemon_contact>& live)
{
  std::vector<daemon_id> out;
  for (const auto& peer : live) {
    if (!peer.leaving) {
      out.push_back(peer.id);
    }
  }
  return out;
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

fleet_state::fleet_state(const settings& s, event_log& event_log)
    : options(s), log(event_log), incarnation(start_time()),
      endpoints({.self = s.id, .zone = s.zone, .seed = hash64_of(s.id.value(), incarnation)}),
      feed({.max_leaving_delay = s.endpoint_notice, .seed = hash64_of(s.id.value(), incarnation)}),
      quota({.self = s.id, .slack = s.quota_slack}), retries({.retry_ratio = s.retry_ratio,
                                                              .fleet_allowance = s.retry_slack,
                                                              .window = s.retry_window}),
      peers({.self = s.id, .self_address = s.peers}), clock(clock_reading_valid),
      usage({.daemon = s.id, .incarnation = incarnation}, s.usage_window, usage_windows_kept),
      versions(s.trial_part > 0),
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

void fleet_state::offer_configuration(const boost::json::value& document, std::string_view source)
{
  gateway::configuration declared;
  try {
    // Most documents are known already; reading one whole takes milliseconds here.
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
  announce_news();
}

void fleet_state::announce_news() const
{
  if (on_news_) {
    on_news_();
  }
}

void fleet_state::leave(mono_time now)
{
  if (leaving_since_) {
    return;
  }
  leaving_since_ = now;
  announce_news();
}

bool fleet_state::is_ready() const
{
  const bool knows_rollouts = !has_rollouts() || versions.rollouts_revision() > 0;
  return knows_rollouts && configuration_ && endpoints.has_list() && !leaving_since_;
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
          .leaving = leaving_since_.has_value(),
          .acting = acting_};
}

bool fleet_state::set_acting(bool acting)
{
  const bool changed = std::exchange(acting_, acting) != acting;
  if (changed) {
    announce_news();
  }
  return changed;
}

bool fleet_state::leads(mono_time now) const
{
  const auto staying = ids_of_staying(peers.live(now));
  return acting_ || rendezvous_rank(hash64_of(lead_job), options.id, staying) < lead_number;
}

bool fleet_state::tries_held(const gateway::content_id& content) const
{
  const auto staying = ids_of_staying(peers.live(std::chrono::steady_clock::now()));
  return rendezvous_rank(content.hash.low, options.id, staying) == 0;
}

// The holder of the duties may be none of the first: it took them when few were known, and keeps
// them.
std::vector<http::socket_address> fleet_state::other_leads(mono_time now) const
{
  struct candidate {
    bool acting = false;
    std::uint64_t score = 0;
    http::socket_address address;
  };
  const auto key = hash64_of(lead_job);
  std::vector<candidate> ranked;
  for (auto& peer : peers.live(now)) {
    if (!peer.leaving) {
      ranked.push_back({.acting = peer.acting,
                        .score = rendezvous_score(key, peer.id.value()),
                        .address = std::move(peer.peer_address)});
    }
  }
  auto number = std::min(lead_number, ranked.size());
  const bool one_collects = rollout_is_open() && ranked.size() <= most_heard_by_one;
  if (one_collects &&
      std::any_of(ranked.begin(), ranked.end(), [](const candidate& c) { return c.acting; })) {
    number = 1; // it has to hear soon of calls that go badly on a version on trial
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

void fleet_state::take_endpoint(const gateway::endpoint_record& record, mono_time now)
{
  endpoints.apply(record, now);
  feed.update(record);
}

void fleet_state::take_departures(const std::vector<gateway::endpoint_departure>& told,
                                  mono_time now)
{
  bool news = false;
  for (const auto& d : told) {
    if (endpoints.on_departure(d, now)) {
      feed.on_departure(d);
      news = true;
    }
  }
  if (news) {
    announce_news();
  }
}

void fleet_state::take_answer(const gateway::answer_terms& said, mono_time now)
{
  if (endpoints.on_answer(said, now) == gateway::terms_action::gossip) {
    log_terms(said.process.id, said.terms.leaving, said.terms.request_rate, "answer");
    announce_news();
  }
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

void fleet_state::take_terms(const gateway::peer_report& told, mono_time now)
{
  bool news = false;
  for (const auto& t : told.terms) {
    const auto step = endpoints.on_peer_terms(t, now);
    if (step == gateway::terms_action::gossip) {
      log_terms(t.process.id, t.leaving, t.request_rate, "peer");
      news = true;
    }
    if (step == gateway::terms_action::reject) {
      log.write(daemon::log_level::warn, "terms told by a peer not believed",
                {{"peer", told.self.id.value()},
                 {"endpoint", t.process.id.value()},
                 {"request_rate", std::to_string(t.request_rate.value_or(0))}});
    }
  }
  if (news) {
    announce_news();
  }
}

bool fleet_state::rollout_is_open() const
{
  return std::any_of(rollouts.all().begin(), rollouts.all().end(),
                     [](const auto& it) { return gateway::is_open(it.second.latest); });
}

void fleet_state::follow_rollouts()
{
  version_calls.update_orders(rollouts);
  endpoints.reapply_usable_filter();
  std::vector<std::uint64_t> orders;
  for (const auto& [service, e] : rollouts.all()) {
    orders.push_back(e.latest.order);
  }
  rollout_rows.retain(orders);
  announce_news();
}

void fleet_state::take_rollout(const gateway::rollout& known)
{
  if (rollouts.update(known)) {
    follow_rollouts();
  }
}

void fleet_state::withdraw_rollout(std::string_view service, std::uint64_t revision)
{
  if (rollouts.withdraw(service, revision)) {
    follow_rollouts();
  }
}

void fleet_state::on_rollouts_read(std::uint64_t revision)
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

gateway::retry_context fleet_state::retry_situation() const
{
  const auto now = std::chrono::steady_clock::now();
  return {.daemons = peers.running_count(now),
          .peers_relay_store = !live_peers_.empty() && !feed.is_reader() && is_ready()};
}

std::vector<gateway::daemon_contact> fleet_state::contacts_to_tell(mono_time now)
{
  const auto live = peers.live(now);
  std::vector<gateway::daemon_contact> out;
  for (std::size_t i = 0; i < std::min(contacts_told, live.size()); ++i) {
    out.push_back(live[next_contact_++ % live.size()]);
  }
  return out;
}

std::vector<gateway::relayed_peer> fleet_state::relayed_peers(mono_time now) const
{
  std::vector<gateway::relayed_peer> out;
  if (live_peers_.size() <= peers_heard_directly) {
    return out;
  }
  const auto latest = peers.most_recent(peers_relayed, now);
  const auto for_each = relayed_work_told / std::max<std::size_t>(1, latest.size());
  for (const auto& peer : latest) {
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - peer.as_of);
    const auto& id = peer.contact.id;
    out.push_back({.contact = peer.contact,
                   .age = age,
                   .work = top_endpoints(endpoints.peers().work_of(id), for_each),
                   .prefill = endpoints.peers().prefill_of(id)});
  }
  return out;
}

gateway::endpoint_view fleet_state::endpoint_view(mono_time now) const
{
  return endpoints.holds_removals(now) ? gateway::endpoint_view{} : feed.view(now);
}

gateway::endpoint_changes fleet_state::endpoint_changes(std::uint64_t revision, mono_time now) const
{
  if (endpoints.holds_removals(now)) {
    return {};
  }
  auto out = feed.changes_after(revision, now);
  out.departures = endpoints.departures_after(revision);
  return out;
}

void fleet_state::add_what_is_known_of_others(gateway::peer_report& to, mono_time now)
{
  to.last_seen = peers.most_recently_seen(ages_told, now);
  to.relayed = relayed_peers(now);
  if (to.relayed.empty()) {
    to.known_daemons = contacts_to_tell(now);
  }
}

gateway::peer_report fleet_state::report(const clock_reading& now, report_extent extent)
{
  const auto is_silent = [&](const daemon_id& id) {
    return id != options.id && !peers.is_live(id, now.mono);
  };
  gateway::peer_report out{.self = self_contact(),
                           .configuration_version = configuration_version(),
                           .clock = now.wall,
                           .work = top_endpoints(endpoints.work_to_gossip(now.mono), own_work_told),
                           .prefill = endpoints.own_prefill(),
                           .departures = endpoints.departures(now.mono),
                           .terms = endpoints.terms_to_gossip(terms_told, now.mono),
                           .endpoints = endpoint_view(now.mono),
                           .usage = usage.rows_for_peer(is_silent, usage_rows_told),
                           .rollouts = rollouts.all(),
                           .rollouts_revision = versions.rollouts_revision(),
                           .rollout_rows = version_calls.rows(clock.now(now)),
                           .crashes = crashes.recent_changes(clock.now(now)),
                           .crash_digest = crashes.digest()};
  if (extent == report_extent::whole) {
    add_what_is_known_of_others(out, now.mono);
  }
  return out;
}

void fleet_state::absorb(const gateway::peer_report& told, const clock_reading& now)
{
  if (told.self.id == options.id) {
    return;
  }
  peers.on_report(told, now.mono);
  clock.on_reading(told.self.id, told.clock, now.mono);
  take_departures(told.departures, now.mono);
  take_terms(told, now.mono);
  const auto told_at = now.mono - told.age;
  endpoints.on_peer_work(told.self.id, told.work, told_at);
  endpoints.on_peer_prefill(told.self.id, told.prefill, told_at);
  for (const auto& r : told.relayed) {
    const auto relayed_at = now.mono - r.age;
    if (peers.on_relayed(r.contact, relayed_at)) {
      endpoints.on_peer_work(r.contact.id, r.work, relayed_at);
      endpoints.on_peer_prefill(r.contact.id, r.prefill, relayed_at);
    }
  }
  for (const auto& row : told.usage) {
    usage.merge(row);
  }
  for (const auto& row : told.rollout_rows) {
    rollout_rows.merge(row);
  }
  if (rollouts.merge(told.rollouts)) {
    follow_rollouts();
  }
  on_rollouts_read(told.rollouts_revision);
  crashes.merge(told.crashes, clock.now(now));
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

void fleet_state::set_gauges(mono_time now)
{
  using seconds = std::chrono::duration<double>;
  if (configuration_read_at_) {
    counters.set("configuration_age_seconds", seconds(now - *configuration_read_at_).count());
  }
  counters.set("endpoints_known", static_cast<double>(endpoints.all().size()));
  counters.set("endpoints_limited", static_cast<double>(endpoints.rate_limited_count()));
  counters.set("endpoints_paused", static_cast<double>(endpoints.paused_count()));
  if (endpoints.has_list()) {
    counters.set("endpoints_age_seconds", seconds(feed.view(now).age).count());
  }
  counters.set("log_lines_queued", static_cast<double>(log.queued_lines()));
  counters.set("log_lines_left_out", static_cast<double>(log.dropped_lines()));
}

void fleet_state::tick(const clock_reading& now)
{
  const auto daemons = peers.running_count(now.mono);
  retries.set_daemons(daemons);
  const auto live = peers.live(now.mono);
  auto staying = ids_of_staying(live);
  counters.set("peers_live", static_cast<double>(live.size()));
  set_gauges(now.mono);
  log_peer_changes(staying);
  const gateway::fleet_view fleet{.candidates = std::move(staying),
                                  .live_count = live.size() + 1,
                                  .running_count = daemons,
                                  .leaving = leaving_since_.has_value()};
  quota.set_fleet(fleet, now.mono);
  endpoints.set_fleet(fleet, now.mono);
  quota.update_demand(now.mono);
  endpoints.tick(now.mono);
  endpoints.refresh_loads(now.mono);
  feed.set_reader(leads(now.mono));
  feed.retain(endpoints.all());
  version_calls.set_extra_calls(trial_slack_margin * options.trial_slack /
                                static_cast<double>(daemons));
  usage.forget_old(clock.now(now));
  crashes.tick(clock.now(now));
  holds_.log_changes(crashes.holds(), log);
  counters.set("contents_held", static_cast<double>(holds_.size()));
  counters.set("endpoint_crashes_known", static_cast<double>(crashes.crashes_known()));
}

} // namespace wisteriaflow::relay
