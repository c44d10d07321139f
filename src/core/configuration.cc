#include "core/configuration.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::core::internal {
namespace {

// If no peer has reported a configuration revision for this long after the start, the revision of
// the store's list is taken as the floor.
constexpr std::chrono::milliseconds peer_floor_timeout{3'000};
constexpr std::chrono::milliseconds floor_check_interval{200};
// A fetch that failed, or was skipped because another one was running, is repeated at this
// interval.
constexpr std::chrono::milliseconds catch_up_period{500};
// The daemon that ranks first for a change writes its audit record. The daemons that rank next
// write it later as well, so that the record exists even if the first one crashes.
constexpr std::size_t audit_writers = 3;
constexpr std::chrono::milliseconds audit_stagger{3'000};
constexpr std::chrono::milliseconds audit_retry{2'000};
constexpr unsigned audit_attempts = 30;

objects::audit_change audit_change_of(objects::change_kind kind)
{
  switch (kind) {
  case objects::change_kind::added:
    return objects::audit_change::added;
  case objects::change_kind::deleted:
    return objects::audit_change::deleted;
  case objects::change_kind::modified:
  case objects::change_kind::rejected:
    return objects::audit_change::modified;
  }
  return objects::audit_change::modified;
}

} // namespace

configuration::configuration(core_context& context, fleet& members, std::function<void()> changed)
    : context_(context), fleet_(members), changed_(std::move(changed)),
      floor_wait_until_(context.now().mono + peer_floor_timeout)
{
}

void configuration::start()
{
  check_floor();
  context_.run_every(catch_up_period, [this] { catch_up(); });
}

// This daemon must not serve until it knows the floor, because the store's list may be stale.
void configuration::check_floor()
{
  if (ready()) {
    return;
  }
  if (!floor_from_peer_ && context_.now().mono >= floor_wait_until_) {
    store_.on_peers_unreachable();
    apply_changes({});
  }
  context_.timers().schedule(context_.now().mono + floor_check_interval, [this] { check_floor(); });
}

void configuration::on_listed(const declarations_listed& e)
{
  std::vector<boost::json::value> documents;
  documents.reserve(e.objects.size());
  for (const auto& object : e.objects) {
    documents.push_back(object.document);
  }
  apply_changes(store_.on_list(e.version, documents));
}

void configuration::on_changed(const declaration_changed& e)
{
  if (e.deleted) {
    apply_changes(store_.on_deleted(e.object.name, e.object.version));
  } else {
    apply_changes(store_.on_put(e.object.document));
  }
}

void configuration::on_peer_revision(const membership::gossiper::known_configuration& highest)
{
  if (highest.holder.empty() || highest.holder == context_.options().self) {
    return;
  }
  floor_from_peer_ = true;
  store_.on_peer_revision(highest.revision);
  if (highest.revision >= highest_peer_revision_.revision) {
    highest_peer_revision_ = highest;
  }
  catch_up();
}

void configuration::catch_up()
{
  // A watch may deliver the highest revision without earlier ones. Until this daemon is ready, its
  // revision therefore does not show that no object is missing.
  const auto known = ready() ? store_.revision() : 0;
  if (highest_peer_revision_.revision > known) {
    fetch(known);
  }
}

// Fetches the configuration from a peer that has a higher revision. This does not depend on the
// store, which may be unavailable.
void configuration::fetch(std::uint64_t known)
{
  if (fetching_) {
    return;
  }
  const bool any = query_any_peer_ || fleet_.is_gone(highest_peer_revision_.holder);
  const auto to = any ? random_peer() : fleet_.peer_address_of(highest_peer_revision_.holder);
  if (!to) {
    return;
  }
  fetching_ = true;
  context_.call_peer(*to, configuration_query{.known_revision = known},
                     [this, known](const peer_response* response) {
                       fetching_ = false;
                       const auto* snapshot =
                           response == nullptr
                               ? nullptr
                               : std::get_if<objects::configuration_snapshot>(response);
                       // The peer that reported the revision may only have received it by gossip.
                       query_any_peer_ = snapshot == nullptr ||
                                         snapshot->revision < highest_peer_revision_.revision;
                       // A peer without a higher revision sends no objects. This must not be
                       // applied as the deletion of all objects.
                       if (snapshot != nullptr && snapshot->revision > known) {
                         apply_changes(store_.on_peer_snapshot(*snapshot));
                       }
                     });
}

std::optional<http::socket_address> configuration::random_peer() const
{
  auto daemons = fleet_.live_daemon_ids();
  std::erase(daemons, context_.options().self);
  if (daemons.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, daemons.size() - 1);
  return fleet_.peer_address_of(daemons[draw(context_.random())]);
}

objects::configuration_snapshot configuration::on_query(const configuration_query& query) const
{
  if (query.known_revision >= store_.revision()) {
    return {.revision = store_.revision(), .complete_revision = store_.watch_start_revision()};
  }
  return store_.snapshot();
}

void configuration::apply_changes(const std::vector<objects::configuration_change>& changes)
{
  fleet_.set_configuration(store_.current(), store_.watch_start_revision());
  context_.counters().set("configuration_revision", static_cast<double>(store_.revision()));
  context_.counters().set("configuration_rejected_objects",
                          static_cast<double>(store_.rejected().size()));
  for (const auto& change : changes) {
    context_.log(change.kind == objects::change_kind::rejected ? severity::warn : severity::info,
                 "configuration changed",
                 {{"object", change.name},
                  {"old_revision", std::to_string(change.old_revision)},
                  {"new_revision", std::to_string(change.new_revision)}});
    audit_change(change);
  }
  changed_();
}

void configuration::audit_change(const objects::configuration_change& change)
{
  const objects::declaration_change what{.change = audit_change_of(change.kind),
                                         .old_revision = change.old_revision,
                                         .new_revision = change.new_revision};
  auto record = objects::make_audit_record(change.document, what, context_.now().wall);
  if (change.kind == objects::change_kind::rejected) {
    record.detail = "rejected: the last valid version stays in force";
  }
  audit(std::move(record));
}

void configuration::audit(objects::audit_record record)
{
  const bool shared = record.change != objects::audit_change::action;
  const auto rank = shared ? rendezvous_rank(hash64_of(objects::name_of(record)),
                                             context_.options().self, fleet_.live_daemon_ids())
                           : 0;
  if (rank >= audit_writers) {
    return;
  }
  const auto due = context_.now().mono + rank * audit_stagger;
  context_.timers().schedule(due, [this, document = objects::encode_audit_record(record)] {
    write_audit(document, audit_attempts);
  });
}

// Writing a record twice is harmless, because its name is derived from the change.
void configuration::write_audit(const boost::json::value& document, unsigned tries_left)
{
  context_.call_store(store_create{std::string(objects::audit_records_plural), document},
                      [this, document, tries_left](const store_answer& answer) {
                        const bool failed = answer.status == store_status::unavailable ||
                                            answer.status == store_status::not_sent;
                        if (!failed || tries_left == 0) {
                          return;
                        }
                        context_.timers().schedule(context_.jittered_time(audit_retry) +
                                                       audit_retry,
                                                   [this, document, tries_left] {
                                                     write_audit(document, tries_left - 1);
                                                   });
                      });
}

} // namespace wisteriaflow::core::internal
