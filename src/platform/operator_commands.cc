#include "wisteriaflow/platform/operator_commands.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "platform/operator_input.h"
#include "wisteriaflow/objects/codec.h"
#include "wisteriaflow/objects/reference_index.h"

namespace wisteriaflow::platform {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace internal;

// Result of a conditional write; `conflict` is the error text if the object was changed by another
// writer. Returned as a value because a coroutine cannot await inside a catch block.
struct write_result {
  std::optional<stored_object> written;
  std::string conflict;
};

template <typename call> asio::awaitable<write_result> try_write(call send)
{
  write_result result;
  try {
    result.written = co_await send();
  } catch (const conflict_error& e) {
    result.conflict = e.what();
  }
  co_return result;
}

changed_object describe(const stored_object& object, change_result result)
{
  return {.kind = kind_of(object.document),
          .name = object.name,
          .revision = object.version,
          .result = result};
}

std::string describe_last_change(const stored_object& object)
{
  const auto who = annotation_of(object.document, objects::changed_by_annotation);
  return object.name + " is at revision " + std::to_string(object.version) + ", changed by " +
         (who.empty() ? "an unknown writer" : who);
}

void require_revision(const stored_object& object, std::optional<std::uint64_t> expected)
{
  if (expected && object.version != *expected) {
    throw conflict_error(describe_last_change(object) + "; expected was revision " +
                         std::to_string(*expected));
  }
}

[[noreturn]] void throw_label_conflict(const stored_object& now, const label_conflict& conflict)
{
  throw conflict_error(
      describe_last_change(now) + ": " + to_string(conflict) +
      "; to overwrite it, repeat with --expect_revision=" + std::to_string(now.version));
}

std::vector<json::value> documents_of(const object_list& listed)
{
  std::vector<json::value> documents;
  documents.reserve(listed.items.size());
  for (const auto& item : listed.items) {
    documents.push_back(item.document);
  }
  return documents;
}

// Returns `changed` and those objects of `live` whose names are not among them.
std::vector<json::value> overlay(const std::vector<json::value>& live,
                                 const std::vector<json::value>& changed)
{
  std::vector<json::value> merged = changed;
  for (const auto& document : live) {
    const auto same_name = [&](const auto& d) { return name_of(d) == name_of(document); };
    if (std::none_of(changed.begin(), changed.end(), same_name)) {
      merged.push_back(document);
    }
  }
  return merged;
}

void require_same_kind(const json::value& wanted, const stored_object& current)
{
  const auto kind = kind_of(current.document);
  if (kind != kind_of(wanted)) {
    throw invalid_input_error(kind_of(wanted) + " " + current.name + ": a " + kind +
                              " has that name; names are unique over all kinds");
  }
}

std::optional<std::uint64_t> revision_in(const json::value& document)
{
  const auto revision = objects::decode_metadata(document).revision;
  return revision == 0 ? std::nullopt : std::optional(revision);
}

void sort_by_reference(std::vector<json::value>& documents)
{
  std::stable_sort(documents.begin(), documents.end(), [](const auto& a, const auto& b) {
    return objects::dependency_rank(require_declared(a)) <
           objects::dependency_rank(require_declared(b));
  });
}

} // namespace

operator_commands::operator_commands(object_api& api, operator_command_options options)
    : options_(std::move(options)),
      declarations_(api, std::string(objects::declarations_plural), options_.retries),
      audit_records_(api, std::string(objects::audit_records_plural), options_.retries)
{
}

asio::awaitable<std::vector<json::value>> operator_commands::get(std::string kind, std::string name)
{
  std::vector<json::value> found;
  if (!name.empty()) {
    object_reference target{.kind = std::move(kind), .name = std::move(name)};
    auto object = co_await read(std::move(target));
    found.push_back(std::move(object.document));
    co_return found;
  }
  const auto listed = co_await declarations_.list(options_.deadline);
  for (auto& document : documents_of(listed)) {
    if (kind.empty() || kind_of(document) == kind) {
      found.push_back(std::move(document));
    }
  }
  std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return std::pair(kind_of(a), name_of(a)) < std::pair(kind_of(b), name_of(b));
  });
  co_return found;
}

asio::awaitable<std::vector<changed_object>>
operator_commands::apply(std::vector<json::value> documents)
{
  sort_by_reference(documents);
  const auto listed = co_await declarations_.list(options_.deadline);
  std::map<std::string, stored_object> current;
  for (const auto& item : listed.items) {
    current.emplace(item.name, item);
  }
  for (const auto& wanted : documents) {
    const auto it = current.find(name_of(wanted));
    if (it != current.end()) {
      require_same_kind(wanted, it->second);
      require_revision(it->second, revision_in(wanted));
    }
  }
  const auto live = documents_of(listed);
  require_no_new_faults(live, overlay(live, documents));
  std::vector<changed_object> results;
  for (auto& wanted : documents) {
    const auto it = current.find(name_of(wanted));
    auto read = it == current.end() ? std::nullopt : std::optional(it->second);
    results.push_back(co_await apply_one(std::move(wanted), std::move(read)));
  }
  co_return results;
}

asio::awaitable<changed_object> operator_commands::apply_one(json::value wanted,
                                                             std::optional<stored_object> read)
{
  if (!read) {
    annotate_author(wanted);
    wanted.at("metadata").as_object().erase("resourceVersion");
    const auto created = co_await declarations_.create(std::move(wanted), options_.deadline);
    co_return describe(created, change_result::created);
  }
  auto base = *read;
  for (int attempt = 0;; ++attempt) {
    auto merged = merge(wanted, base.document);
    if (is_equivalent(merged, base.document)) {
      const bool same = base.version == read->version;
      co_return describe(base, same ? change_result::unchanged : change_result::changed);
    }
    annotate_author(merged);
    auto result =
        co_await try_write([&] { return declarations_.replace(merged, options_.deadline); });
    if (result.written) {
      co_return describe(*result.written, change_result::changed);
    }
    co_await declarations_.back_off(attempt, options_.deadline, result.conflict);
    base = co_await declarations_.get(read->name, options_.deadline);
    const bool same_spec =
        has_same_spec(base.document, read->document) || has_same_spec(base.document, wanted);
    if (!same_spec || revision_in(wanted)) {
      throw conflict_error(describe_last_change(base) + " since it was read at revision " +
                           std::to_string(read->version) + "; look at it and apply again");
    }
    const auto conflict =
        find_conflict(labels_of(read->document), labels_of(base.document), edits_of(wanted));
    if (conflict) {
      throw_label_conflict(base, *conflict);
    }
  }
}

asio::awaitable<changed_object>
operator_commands::label(object_reference target, std::vector<label_edit> edits,
                         std::optional<std::uint64_t> expected_revision)
{
  const auto initial = co_await read(target);
  require_revision(initial, expected_revision);
  const auto initial_labels = labels_of(initial.document);
  auto base = initial;
  for (int attempt = 0;; ++attempt) {
    const auto labels = labels_of(base.document);
    const auto edited = apply_edits(labels, edits);
    if (edited == labels) {
      const bool same = base.version == initial.version;
      co_return describe(base, same ? change_result::unchanged : change_result::changed);
    }
    auto document = base.document;
    set_labels(document, edited);
    annotate_author(document);
    auto result =
        co_await try_write([&] { return declarations_.replace(document, options_.deadline); });
    if (result.written) {
      co_return describe(*result.written, change_result::changed);
    }
    co_await declarations_.back_off(attempt, options_.deadline, result.conflict);
    base = co_await read(target);
    if (const auto conflict = find_conflict(initial_labels, labels_of(base.document), edits)) {
      throw_label_conflict(base, *conflict);
    }
    require_revision(base, expected_revision);
  }
}

asio::awaitable<changed_object>
operator_commands::remove(object_reference target, std::optional<std::uint64_t> expected_revision)
{
  const auto current = co_await read(target);
  require_revision(current, expected_revision);
  const auto listed = co_await declarations_.list(options_.deadline);
  const auto live = documents_of(listed);
  auto remaining = live;
  std::erase_if(remaining, [&](const auto& document) { return name_of(document) == target.name; });
  require_no_new_faults(live, remaining);
  // Writes the author and cause before deleting, because the audit trail takes them from the last
  // version of the object.
  auto document = current.document;
  annotate_author(document);
  const auto last = co_await declarations_.replace(std::move(document), options_.deadline);
  co_await declarations_.remove(target.name, last.version, options_.deadline);
  co_return describe(last, change_result::deleted);
}

asio::awaitable<audit_trail> operator_commands::audit(std::string object_name)
{
  const auto listed = co_await audit_records_.list(options_.deadline);
  audit_trail trail;
  for (const auto& item : listed.items) {
    try {
      auto record = objects::decode_audit_record(item.document);
      if (object_name.empty() || record.object_name == object_name) {
        trail.records.push_back(std::move(record));
      }
    } catch (const objects::objects_error&) {
      trail.unreadable.push_back(item.name);
    }
  }
  std::sort(trail.records.begin(), trail.records.end(), [](const auto& a, const auto& b) {
    return std::tie(a.when, a.new_revision, a.object_name) <
           std::tie(b.when, b.new_revision, b.object_name);
  });
  co_return trail;
}

asio::awaitable<stored_object> operator_commands::read(object_reference target)
{
  auto object = co_await declarations_.get(target.name, options_.deadline);
  const auto kind = kind_of(object.document);
  if (!target.kind.empty() && kind != target.kind) {
    throw not_found_error("there is no " + target.kind + " " + target.name + "; a " + kind +
                          " has that name");
  }
  co_return object;
}

void operator_commands::annotate_author(json::value& document) const
{
  set_annotation(document, objects::changed_by_annotation, options_.author.name);
  set_annotation(document, objects::cause_annotation, options_.author.cause);
}

std::string_view to_string(change_result result)
{
  switch (result) {
  case change_result::created:
    return "created";
  case change_result::changed:
    return "changed";
  case change_result::unchanged:
    return "unchanged";
  case change_result::deleted:
    return "deleted";
  }
  return "unknown";
}

} // namespace wisteriaflow::platform
