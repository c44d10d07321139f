#include "core/configuration.h"

#include <algorithm>
#include <utility>

#include "wisteriaflow/base/hash.h"

namespace wisteriaflow::core::internal {
namespace {

// A daemon to whom no peer names a revision this long takes the store's own list for the floor.
constexpr std::chrono::milliseconds peers_silent_after{3'000};
constexpr std::chrono::milliseconds floor_check{200};
// A fetch that failed, or found another one under way, is made up for this soon.
constexpr std::chrono::milliseconds catch_up_period{500};
// A change is written to the audit trail by the daemon that ranks first for it; others follow, so
// that it is written though the first one dies.
constexpr std::size_t audit_writers = 3;
constexpr std::chrono::milliseconds audit_stagger{3'000};
constexpr std::chrono::milliseconds audit_retry{2'000};
constexpr unsigned audit_tries = 30;

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
      silent_at_(context.now().mono + peers_silent_after)
{
}

void configuration::start()
{
  check_floor();
  context_.every(catch_up_period, [this] { catch_up(); });
}

// Until the floor is known this daemon may not serve: what the store lists could be stale.
void configuration::check_floor()
{
  if (ready()) {
    return;
  }
  if (!floor_named_ && context_.now().mono >= silent_at_) {
    store_.on_peers_silent();
    after({});
  }
  context_.timers().at(context_.now().mono + floor_check, [this] { check_floor(); });
}

void configuration::on_listed(const declarations_listed& e)
{
  std::vector<boost::json::value> documents;
  documents.reserve(e.objects.size());
  for (const auto& object : e.objects) {
    documents.push_back(object.document);
  }
  after(store_.on_list(e.version, documents));
}

void configuration::on_changed(const declaration_changed& e)
{
  if (e.deleted) {
    after(store_.on_deleted(e.object.name, e.object.version));
  } else {
    after(store_.on_put(e.object.document));
  }
}

void configuration::on_peer_revision(const membership::gossiper::known_configuration& highest)
{
  if (highest.holder.empty() || highest.holder == context_.options().self) {
    return;
  }
  floor_named_ = true;
  store_.on_peer_revision(highest.revision);
  if (highest.revision >= heard_.revision) {
    heard_ = highest;
  }
  catch_up();
}

void configuration::catch_up()
{
  // A watch may have brought the highest revision without those before it, so that until this
  // daemon is ready the revision alone does not tell that nothing is missing.
  const auto known = ready() ? store_.revision() : 0;
  if (heard_.revision > known) {
    fetch(known);
  }
}

// A peer knows more: its answer does not wait for the store, which may be down.
void configuration::fetch(std::uint64_t known)
{
  if (fetching_) {
    return;
  }
  const bool any = ask_any_ || fleet_.is_gone(heard_.holder);
  const auto to = any ? any_peer() : fleet_.peer_address_of(heard_.holder);
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
                       // Who named the revision may only have heard of it.
                       ask_any_ = snapshot == nullptr || snapshot->revision < heard_.revision;
                       // A peer that knows no more than was asked after sends no objects: that
                       // none are there must not be taken for their deletion.
                       if (snapshot != nullptr && snapshot->revision > known) {
                         after(store_.on_peer_snapshot(*snapshot));
                       }
                     });
}

std::optional<http::socket_address> configuration::any_peer() const
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
    return {.revision = store_.revision(), .floor = store_.watch_from()};
  }
  return store_.snapshot();
}

void configuration::after(const std::vector<objects::configuration_change>& changes)
{
  fleet_.set_configuration(store_.current(), store_.watch_from());
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
  context_.timers().at(due, [this, document = objects::encode_audit_record(record)] {
    write_audit(document, audit_tries);
  });
}

// The name follows from the change, so writing it twice is harmless.
void configuration::write_audit(const boost::json::value& document, unsigned tries_left)
{
  context_.call_store(store_create{std::string(objects::audit_records_plural), document},
                      [this, document, tries_left](const store_answer& answer) {
                        const bool failed = answer.status == store_status::unavailable ||
                                            answer.status == store_status::not_sent;
                        if (!failed || tries_left == 0) {
                          return;
                        }
                        context_.timers().at(context_.jittered(audit_retry) + audit_retry,
                                             [this, document, tries_left] {
                                               write_audit(document, tries_left - 1);
                                             });
                      });
}

} // namespace wisteriaflow::core::internal
