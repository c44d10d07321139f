#include "wisteriaflow/objects/audit_record.h"

#include <limits>

#include <boost/json/object.hpp>

#include "objects/field_reader.h"
#include "objects/metadata_codec.h"
#include "wisteriaflow/objects/codec.h"

namespace wisteriaflow::objects {
namespace {

using internal::field_reader;

std::uint64_t read_revision(field_reader& fields, std::string_view key)
{
  return static_cast<std::uint64_t>(
      fields.integer_or(key, {0, std::numeric_limits<std::int64_t>::max()}, 0));
}

wall_time read_time(field_reader& fields, std::string_view key)
{
  const auto text = fields.required_string(key);
  try {
    return parse_rfc3339(text);
  } catch (const objects_error&) {
    fields.reject(key, "a time such as 2026-12-02T15:04:05.678Z");
  }
}

audit_change read_change(field_reader& fields)
{
  const auto text = fields.one_of("change", {"added", "modified", "deleted", "action"}, "");
  for (const auto change : {audit_change::added, audit_change::modified, audit_change::deleted}) {
    if (text == to_string(change)) {
      return change;
    }
  }
  return audit_change::action;
}

std::string find_annotation(const object_metadata& metadata, std::string_view key)
{
  const auto it = metadata.annotations.find(std::string(key));
  return it == metadata.annotations.end() ? "" : it->second;
}

} // namespace

std::string name_of(const audit_record& record)
{
  return record.plural + "." + record.object_name + "." + std::to_string(record.new_revision);
}

boost::json::value encode_audit_record(const audit_record& record)
{
  boost::json::object spec;
  spec["who"] = record.who;
  spec["when"] = to_rfc3339(record.when);
  spec["object"] = {
      {"plural", record.plural}, {"kind", record.object_kind}, {"name", record.object_name}};
  spec["old_revision"] = record.old_revision;
  spec["new_revision"] = record.new_revision;
  spec["change"] = to_string(record.change);
  spec["cause"] = record.cause;
  spec["detail"] = record.detail;
  boost::json::object document;
  document["apiVersion"] = "wisteriaflow.dev/v1";
  document["kind"] = audit_record_kind;
  document["metadata"] = {{"name", name_of(record)}};
  document["spec"] = std::move(spec);
  return document;
}

audit_record decode_audit_record(const boost::json::value& document)
{
  const auto metadata = decode_metadata(document);
  const internal::object_id id{.kind = std::string(audit_record_kind), .name = metadata.name};
  field_reader root(id, "document", document);
  auto spec = root.nested("spec");
  auto object = spec.nested("object");
  audit_record record;
  record.who = spec.string_or("who", "");
  record.when = read_time(spec, "when");
  record.plural = object.required_string("plural");
  record.object_kind = object.required_string("kind");
  record.object_name = object.required_string("name");
  record.old_revision = read_revision(spec, "old_revision");
  record.new_revision = read_revision(spec, "new_revision");
  record.change = read_change(spec);
  record.cause = spec.string_or("cause", "");
  record.detail = spec.string_or("detail", "");
  object.reject_unread_fields();
  spec.reject_unread_fields();
  return record;
}

audit_record make_audit_record(const boost::json::value& document, declaration_change change,
                               wall_time when)
{
  const auto metadata = decode_metadata(document);
  return {.who = find_annotation(metadata, changed_by_annotation),
          .when = when,
          .plural = std::string(declarations_plural),
          .object_kind = internal::read_kind(document),
          .object_name = metadata.name,
          .old_revision = change.old_revision,
          .new_revision = change.new_revision,
          .change = change.change,
          .cause = find_annotation(metadata, cause_annotation)};
}

std::string_view to_string(audit_change change)
{
  switch (change) {
  case audit_change::added:
    return "added";
  case audit_change::modified:
    return "modified";
  case audit_change::deleted:
    return "deleted";
  case audit_change::action:
    return "action";
  }
  return "unknown";
}

} // namespace wisteriaflow::objects
