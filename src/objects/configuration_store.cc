#include "wisteriaflow/objects/configuration_store.h"

#include <algorithm>
#include <set>

#include <boost/json/object.hpp>

#include "objects/metadata_codec.h"
#include "wisteriaflow/objects/reference_index.h"

namespace wisteriaflow::objects {
namespace {

// The kind of the documents that represent deletions in a snapshot.
constexpr std::string_view tombstone_kind = "Tombstone";

boost::json::value make_tombstone(const std::string& name, std::uint64_t revision)
{
  return {{"kind", tombstone_kind},
          {"metadata", {{"name", name}, {"resourceVersion", std::to_string(revision)}}}};
}

bool is_tombstone(const boost::json::value& document)
{
  return internal::read_kind(document) == tombstone_kind;
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
  const bool stale = has_full_configuration_ && revision <= complete_revision_;
  if (stale) {
    return {};
  }
  changes made;
  for (const auto& document : documents) {
    put(document, 0, made);
  }
  erase_absent(revision, documents, made);
  has_full_configuration_ = true;
  advance_complete_revision(revision);
  return apply_changes(std::move(made));
}

std::vector<configuration_change> configuration_store::on_put(const boost::json::value& document)
{
  changes made;
  put(document, complete_revision_, made);
  return apply_changes(std::move(made));
}

std::vector<configuration_change> configuration_store::on_deleted(std::string_view name,
                                                                  std::uint64_t revision)
{
  changes made;
  erase(name, revision, made);
  return apply_changes(std::move(made));
}

void configuration_store::on_watch_progress(std::uint64_t revision)
{
  advance_complete_revision(revision);
  apply_changes({});
}

std::vector<configuration_change>
configuration_store::on_peer_snapshot(const configuration_snapshot& snapshot)
{
  on_peer_revision(snapshot.revision);
  changes made;
  merge_peer_objects(snapshot, made);
  has_full_configuration_ = true;
  full_revision_ = std::max(full_revision_, snapshot.revision);
  revision_ = std::max(revision_, snapshot.revision);
  advance_complete_revision(snapshot.complete_revision);
  return apply_changes(std::move(made));
}

void configuration_store::on_peer_revision(std::uint64_t revision)
{
  required_revision_ = std::max(required_revision_, revision);
  update_readiness();
}

void configuration_store::on_peers_unreachable()
{
  peers_unreachable_ = true;
  update_readiness();
}

configuration_readiness configuration_store::readiness() const
{
  if (ready_) {
    return configuration_readiness::ready;
  }
  const bool required_revision_known =
      required_revision_ != 0 || (peers_unreachable_ && has_full_configuration_);
  return required_revision_known ? configuration_readiness::catching_up
                                 : configuration_readiness::required_revision_unknown;
}

configuration_snapshot configuration_store::snapshot() const
{
  configuration_snapshot result{.revision = revision_, .complete_revision = complete_revision_};
  for (const auto& [name, state] : entries_) {
    if (state.deleted_at != 0) {
      result.objects.push_back(make_tombstone(name, state.deleted_at));
      continue;
    }
    if (state.last_valid) {
      result.objects.push_back(state.last_valid->document);
    }
    result.objects.push_back(state.newest.document);
  }
  return result;
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

bool configuration_store::has_declared_object(const object_version& version)
{
  return version.decoded && std::holds_alternative<declared_object>(*version.decoded);
}

void configuration_store::put(const boost::json::value& document, std::uint64_t complete_revision,
                              changes& made)
{
  const auto identity = internal::identity_of(document);
  if (!identity) {
    return;
  }
  const auto it = entries_.find(identity->name);
  const auto seen = it == entries_.end() ? complete_revision : it->second.latest_revision();
  if (identity->revision <= seen) {
    return;
  }
  auto& state = entries_[identity->name];
  const bool is_new = state.deleted_at != 0 || state.newest.revision == 0;
  made.push_back({.kind = is_new ? change_kind::added : change_kind::modified,
                  .name = identity->name,
                  .old_revision = is_new ? 0 : state.newest.revision,
                  .new_revision = identity->revision,
                  .document = document});
  if (is_new) {
    state = object_state{};
  } else if (state.active_revision == state.newest.revision) {
    state.last_valid = std::move(state.newest);
  }
  state.newest = read_version(document, identity->revision);
  revision_ = std::max(revision_, identity->revision);
}

void configuration_store::merge_last_valid(const boost::json::value& document)
{
  const auto identity = internal::identity_of(document);
  const auto it = identity ? entries_.find(identity->name) : entries_.end();
  if (it == entries_.end()) {
    return;
  }
  auto& state = it->second;
  const bool newest_in_force = state.active_revision == state.newest.revision;
  const bool is_better = state.deleted_at == 0 && !newest_in_force &&
                         identity->revision < state.newest.revision &&
                         identity->revision > state.active_revision;
  if (!is_better) {
    return;
  }
  auto version = read_version(document, identity->revision);
  if (has_declared_object(version)) {
    state.last_valid = std::move(version);
  }
}

void configuration_store::erase(std::string_view name, std::uint64_t revision, changes& made)
{
  const auto it = entries_.find(name);
  const auto seen = it == entries_.end() ? complete_revision_ : it->second.latest_revision();
  if (revision <= seen) {
    return;
  }
  revision_ = std::max(revision_, revision);
  if (it == entries_.end()) {
    // Keeps a tombstone, so that a late event with an older version does not restore the object.
    entries_[std::string(name)].deleted_at = revision;
    return;
  }
  auto& state = it->second;
  if (state.deleted_at == 0) {
    made.push_back({.kind = change_kind::deleted,
                    .name = std::string(name),
                    .old_revision = state.newest.revision,
                    .new_revision = revision,
                    .document = state.newest.document});
  }
  state.last_valid.reset();
  state.active_revision = 0;
  state.deleted_at = revision;
}

void configuration_store::erase_absent(std::uint64_t revision,
                                       const std::vector<boost::json::value>& documents,
                                       changes& made)
{
  const auto present = names_of(documents);
  std::vector<std::string> absent;
  for (const auto& [name, state] : entries_) {
    if (state.latest_revision() < revision && state.deleted_at == 0 && !present.contains(name)) {
      absent.push_back(name);
    }
  }
  for (const auto& name : absent) {
    // The object was deleted after its newest version and no later than the list.
    erase(name, revision, made);
  }
}

void configuration_store::merge_peer_objects(const configuration_snapshot& snapshot, changes& made)
{
  const bool peer_is_newer =
      !has_full_configuration_ || snapshot.complete_revision > complete_revision_;
  const auto complete_revision = peer_is_newer ? 0 : complete_revision_;
  // If the snapshot has two versions of an object, the first is its last valid one. It must become
  // active before the second one is applied.
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
    merge_last_valid(*document);
    put(*document, complete_revision, made);
  }
  if (peer_is_newer) {
    erase_absent(snapshot.complete_revision, snapshot.objects, made);
  }
  rebuild();
  for (const auto* document : second) {
    put(*document, complete_revision, made);
  }
}

void configuration_store::advance_complete_revision(std::uint64_t revision)
{
  complete_revision_ = std::max(complete_revision_, revision);
  full_revision_ = std::max(full_revision_, complete_revision_);
  revision_ = std::max(revision_, complete_revision_);
  std::erase_if(entries_, [&](const auto& item) {
    const auto deleted_at = item.second.deleted_at;
    return deleted_at != 0 && deleted_at <= complete_revision_;
  });
}

void configuration_store::update_readiness()
{
  const bool required_revision_known = required_revision_ != 0 || peers_unreachable_;
  ready_ = ready_ || (has_full_configuration_ && required_revision_known &&
                      full_revision_ >= required_revision_);
}

configuration_store::changes configuration_store::apply_changes(changes made)
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

int configuration_store::dependency_rank_of(const object_state& state)
{
  constexpr int no_rank = -1;
  if (state.deleted_at != 0) {
    return no_rank;
  }
  if (has_declared_object(state.newest)) {
    return dependency_rank(std::get<declared_object>(*state.newest.decoded));
  }
  return state.last_valid ? dependency_rank(std::get<declared_object>(*state.last_valid->decoded))
                          : no_rank;
}

void configuration_store::select_active_version(object_state& state, reference_index& index,
                                                std::vector<declared_object>& active)
{
  const auto try_activate = [&](object_version& version) {
    const auto& object = std::get<declared_object>(*version.decoded);
    if (const auto violation = index.find_violation(object)) {
      version.reason = to_string(*violation);
      return false;
    }
    state.active_revision = version.revision;
    index.add(object);
    active.push_back(object);
    return true;
  };
  const int rank = dependency_rank_of(state);
  state.active_revision = 0;
  if (has_declared_object(state.newest) && try_activate(state.newest)) {
    // A version that an active version has replaced is never used again.
    state.last_valid.reset();
    return;
  }
  if (state.last_valid &&
      dependency_rank(std::get<declared_object>(*state.last_valid->decoded)) == rank) {
    try_activate(*state.last_valid);
  }
}

void configuration_store::add_rejected(const std::string& name, const object_state& state)
{
  rejected_.push_back({.name = name,
                       .revision = state.newest.revision,
                       .active_revision = state.active_revision,
                       .reason = state.newest.reason});
}

void configuration_store::rebuild()
{
  rejected_.clear();
  std::vector<declared_object> active;
  std::vector<unsupported_object> unsupported;
  reference_index index;
  constexpr int rank_count = 3;
  for (int rank = 0; rank < rank_count; ++rank) {
    for (auto& [name, state] : entries_) {
      if (dependency_rank_of(state) == rank) {
        select_active_version(state, index, active);
      }
    }
  }
  for (const auto& [name, state] : entries_) {
    if (state.deleted_at != 0) {
      continue;
    }
    const auto& decoded = state.newest.decoded;
    if (decoded && std::holds_alternative<unsupported_object>(*decoded)) {
      unsupported.push_back(std::get<unsupported_object>(*decoded));
    } else if (state.active_revision != state.newest.revision) {
      add_rejected(name, state);
    }
  }
  current_ = std::make_shared<const fleet_configuration>(revision_, std::move(active),
                                                         std::move(unsupported));
}

} // namespace wisteriaflow::objects
