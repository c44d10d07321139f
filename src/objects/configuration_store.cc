#include "wisteriaflow/objects/configuration_store.h"

#include <algorithm>
#include <set>

#include <boost/json/object.hpp>

#include "objects/metadata_codec.h"
#include "wisteriaflow/objects/references.h"

namespace wisteriaflow::objects {
namespace {

// Stands in a snapshot for a deletion.
constexpr std::string_view tombstone_kind = "Tombstone";

boost::json::value make_tombstone(const std::string& name, std::uint64_t revision)
{
  return {{"kind", tombstone_kind},
          {"metadata", {{"name", name}, {"resourceVersion", std::to_string(revision)}}}};
}

bool is_tombstone(const boost::json::value& document)
{
  return internal::kind_in(document) == tombstone_kind;
}

std::set<std::string> names_of(const std::vector<boost::json::value>& documents)
{
  std::set<std::string> names;
  for (const auto& document : documents) {
    if (const auto identity = internal::identity_of(document)) {
      names.insert(identity->name);
    }
  }
  return names;
}

} // namespace

configuration_store::configuration_store() : current_(std::make_shared<const fleet_configuration>())
{
}

std::vector<configuration_change>
configuration_store::on_list(std::uint64_t revision,
                             const std::vector<boost::json::value>& documents)
{
  const bool stale = whole_ && revision <= complete_revision_;
  if (stale) {
    return {};
  }
  changes made;
  for (const auto& document : documents) {
    put(document, 0, made);
  }
  erase_absent(revision, documents, made);
  whole_ = true;
  complete_through(revision);
  return put_in_force(std::move(made));
}

std::vector<configuration_change> configuration_store::on_put(const boost::json::value& document)
{
  changes made;
  put(document, complete_revision_, made);
  return put_in_force(std::move(made));
}

std::vector<configuration_change> configuration_store::on_deleted(std::string_view name,
                                                                  std::uint64_t revision)
{
  changes made;
  erase(name, revision, made);
  return put_in_force(std::move(made));
}

void configuration_store::on_watched_through(std::uint64_t revision)
{
  complete_through(revision);
  put_in_force({});
}

std::vector<configuration_change>
configuration_store::on_peer_snapshot(const configuration_snapshot& snapshot)
{
  on_peer_revision(snapshot.revision);
  changes made;
  merge_peer_objects(snapshot, made);
  whole_ = true;
  held_revision_ = std::max(held_revision_, snapshot.revision);
  revision_ = std::max(revision_, snapshot.revision);
  complete_through(snapshot.floor);
  return put_in_force(std::move(made));
}

void configuration_store::on_peer_revision(std::uint64_t revision)
{
  peer_floor_ = std::max(peer_floor_, revision);
  update_readiness();
}

void configuration_store::on_peers_silent()
{
  peers_silent_ = true;
  update_readiness();
}

configuration_readiness configuration_store::readiness() const
{
  if (ready_) {
    return configuration_readiness::ready;
  }
  const bool floor_known = peer_floor_ != 0 || (peers_silent_ && whole_);
  return floor_known ? configuration_readiness::catching_up
                     : configuration_readiness::floor_unknown;
}

configuration_snapshot configuration_store::snapshot() const
{
  configuration_snapshot taken{.revision = revision_, .floor = complete_revision_};
  for (const auto& [name, known] : entries_) {
    if (known.deleted_at != 0) {
      taken.objects.push_back(make_tombstone(name, known.deleted_at));
      continue;
    }
    if (known.last_valid) {
      taken.objects.push_back(known.last_valid->document);
    }
    taken.objects.push_back(known.newest.document);
  }
  return taken;
}

configuration_store::object_version
configuration_store::read_version(const boost::json::value& document, std::uint64_t revision)
{
  object_version version{.revision = revision, .document = document};
  try {
    version.decoded = decode_object(document);
  } catch (const objects_error& e) {
    version.reason = e.what();
  }
  return version;
}

bool configuration_store::is_understood(const object_version& version)
{
  return version.decoded && std::holds_alternative<declared_object>(*version.decoded);
}

void configuration_store::put(const boost::json::value& document, std::uint64_t known_through,
                              changes& made)
{
  const auto identity = internal::identity_of(document);
  if (!identity) {
    return;
  }
  const auto it = entries_.find(identity->name);
  const auto seen = it == entries_.end() ? known_through : it->second.seen_revision();
  if (identity->revision <= seen) {
    return;
  }
  auto& known = entries_[identity->name];
  const bool is_new = known.deleted_at != 0 || known.newest.revision == 0;
  made.push_back({.kind = is_new ? change_kind::added : change_kind::modified,
                  .name = identity->name,
                  .old_revision = is_new ? 0 : known.newest.revision,
                  .new_revision = identity->revision,
                  .document = document});
  if (is_new) {
    known = entry{};
  } else if (known.in_force_revision == known.newest.revision) {
    known.last_valid = std::move(known.newest);
  }
  known.newest = read_version(document, identity->revision);
  revision_ = std::max(revision_, identity->revision);
}

void configuration_store::offer_last_valid(const boost::json::value& document)
{
  const auto identity = internal::identity_of(document);
  const auto it = identity ? entries_.find(identity->name) : entries_.end();
  if (it == entries_.end()) {
    return;
  }
  auto& known = it->second;
  const bool newest_in_force = known.in_force_revision == known.newest.revision;
  const bool helps = known.deleted_at == 0 && !newest_in_force &&
                     identity->revision < known.newest.revision &&
                     identity->revision > known.in_force_revision;
  if (!helps) {
    return;
  }
  auto version = read_version(document, identity->revision);
  if (is_understood(version)) {
    known.last_valid = std::move(version);
  }
}

void configuration_store::erase(std::string_view name, std::uint64_t revision, changes& made)
{
  const auto it = entries_.find(name);
  const auto seen = it == entries_.end() ? complete_revision_ : it->second.seen_revision();
  if (revision <= seen) {
    return;
  }
  revision_ = std::max(revision_, revision);
  if (it == entries_.end()) {
    // Remembered, so that a late report of an older version does not bring the object back.
    entries_[std::string(name)].deleted_at = revision;
    return;
  }
  auto& known = it->second;
  if (known.deleted_at == 0) {
    made.push_back({.kind = change_kind::deleted,
                    .name = std::string(name),
                    .old_revision = known.newest.revision,
                    .new_revision = revision,
                    .document = known.newest.document});
  }
  known.last_valid.reset();
  known.in_force_revision = 0;
  known.deleted_at = revision;
}

void configuration_store::erase_absent(std::uint64_t revision,
                                       const std::vector<boost::json::value>& documents,
                                       changes& made)
{
  const auto present = names_of(documents);
  std::vector<std::string> absent;
  for (const auto& [name, known] : entries_) {
    if (known.seen_revision() < revision && known.deleted_at == 0 && !present.contains(name)) {
      absent.push_back(name);
    }
  }
  for (const auto& name : absent) {
    // It was deleted after its newest version and no later than the list.
    erase(name, revision, made);
  }
}

void configuration_store::merge_peer_objects(const configuration_snapshot& snapshot, changes& made)
{
  const bool newer = !whole_ || snapshot.floor > complete_revision_;
  const auto known_through = newer ? 0 : complete_revision_;
  // Of two versions of one object the first is the last valid one: it must come into force before
  // the second is tried.
  std::map<std::string, const boost::json::value*> first;
  std::vector<const boost::json::value*> second;
  for (const auto& document : snapshot.objects) {
    const auto identity = internal::identity_of(document);
    if (!identity) {
      continue;
    }
    if (is_tombstone(document)) {
      erase(identity->name, identity->revision, made);
    } else if (!first.emplace(identity->name, &document).second) {
      second.push_back(&document);
    }
  }
  for (const auto& [name, document] : first) {
    offer_last_valid(*document);
    put(*document, known_through, made);
  }
  if (newer) {
    erase_absent(snapshot.floor, snapshot.objects, made);
  }
  rebuild();
  for (const auto* document : second) {
    put(*document, known_through, made);
  }
}

void configuration_store::complete_through(std::uint64_t revision)
{
  complete_revision_ = std::max(complete_revision_, revision);
  held_revision_ = std::max(held_revision_, complete_revision_);
  revision_ = std::max(revision_, complete_revision_);
  std::erase_if(entries_, [&](const auto& item) {
    const auto deleted_at = item.second.deleted_at;
    return deleted_at != 0 && deleted_at <= complete_revision_;
  });
}

void configuration_store::update_readiness()
{
  const bool floor_known = peer_floor_ != 0 || peers_silent_;
  ready_ = ready_ || (whole_ && floor_known && held_revision_ >= peer_floor_);
}

configuration_store::changes configuration_store::put_in_force(changes made)
{
  update_readiness();
  if (!made.empty() || current_->revision() != revision_) {
    rebuild();
  }
  for (auto& change : made) {
    const auto rejected = std::find_if(rejected_.begin(), rejected_.end(), [&](const auto& r) {
      return r.name == change.name && r.revision == change.new_revision;
    });
    if (rejected != rejected_.end()) {
      change.kind = change_kind::rejected;
    }
  }
  return made;
}

int configuration_store::rank_of(const entry& known)
{
  constexpr int no_rank = -1;
  if (known.deleted_at != 0) {
    return no_rank;
  }
  if (is_understood(known.newest)) {
    return reference_rank(std::get<declared_object>(*known.newest.decoded));
  }
  return known.last_valid ? reference_rank(std::get<declared_object>(*known.last_valid->decoded))
                          : no_rank;
}

void configuration_store::settle(entry& known, reference_index& index,
                                 std::vector<declared_object>& in_force)
{
  const auto try_version = [&](object_version& version) {
    const auto& object = std::get<declared_object>(*version.decoded);
    if (const auto fault = index.find_fault(object)) {
      version.reason = to_string(*fault);
      return false;
    }
    known.in_force_revision = version.revision;
    index.add(object);
    in_force.push_back(object);
    return true;
  };
  const int rank = rank_of(known);
  known.in_force_revision = 0;
  if (is_understood(known.newest) && try_version(known.newest)) {
    // What was once replaced by a version in force never comes back.
    known.last_valid.reset();
    return;
  }
  if (known.last_valid &&
      reference_rank(std::get<declared_object>(*known.last_valid->decoded)) == rank) {
    try_version(*known.last_valid);
  }
}

void configuration_store::note_rejected(const std::string& name, const entry& known)
{
  rejected_.push_back({.name = name,
                       .revision = known.newest.revision,
                       .in_force_revision = known.in_force_revision,
                       .reason = known.newest.reason});
}

void configuration_store::rebuild()
{
  rejected_.clear();
  std::vector<declared_object> in_force;
  std::vector<not_understood_object> not_understood;
  reference_index index;
  constexpr int ranks = 3;
  for (int rank = 0; rank < ranks; ++rank) {
    for (auto& [name, known] : entries_) {
      if (rank_of(known) == rank) {
        settle(known, index, in_force);
      }
    }
  }
  for (const auto& [name, known] : entries_) {
    if (known.deleted_at != 0) {
      continue;
    }
    const auto& decoded = known.newest.decoded;
    if (decoded && std::holds_alternative<not_understood_object>(*decoded)) {
      not_understood.push_back(std::get<not_understood_object>(*decoded));
    } else if (known.in_force_revision != known.newest.revision) {
      note_rejected(name, known);
    }
  }
  current_ = std::make_shared<const fleet_configuration>(revision_, std::move(in_force),
                                                         std::move(not_understood));
}

} // namespace wisteriaflow::objects
