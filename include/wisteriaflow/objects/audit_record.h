// The audit trail: one record for each change, kept in the platform's object API.
//
// A record's name follows from the change that it tells of, so that several daemons which saw the
// same change write the same record, and only the first create takes effect.

#ifndef WISTERIAFLOW_OBJECTS_AUDIT_RECORD_H_
#define WISTERIAFLOW_OBJECTS_AUDIT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::objects {

// The object API's resource that holds the audit trail, and the kind of its objects.
inline constexpr std::string_view audit_records_plural = "auditrecords";
inline constexpr std::string_view audit_record_kind = "AuditRecord";

// Annotations on declarations that say who changed them, why, and by which write.
inline constexpr std::string_view changed_by_annotation = "wisteriaflow.dev/changed-by";
inline constexpr std::string_view cause_annotation = "wisteriaflow.dev/cause";
inline constexpr std::string_view write_id_annotation = "wisteriaflow.dev/write-id";

// What happened. `action` is what a control duty did of itself, such as starting an instance.
enum class audit_change { added, modified, deleted, action };

// One change.
struct audit_record {
  std::string who;    // an operator's name, or a daemon's id
  wall_time when;     // when the writer of the record learned of the change
  std::string plural; // of the changed object, such as "declarations"
  std::string object_kind;
  std::string object_name;
  std::uint64_t old_revision = 0; // 0 if the object is new
  std::uint64_t new_revision = 0; // for an action: the writer's number for it
  audit_change change = audit_change::modified;
  std::string cause;
  std::string detail;

  friend bool operator==(const audit_record&, const audit_record&) = default;
};

// "<plural>.<object name>.<new revision>".
[[nodiscard]] std::string name_of(const audit_record& record);

// The whole document, to be created in the object API.
[[nodiscard]] boost::json::value encode_audit_record(const audit_record& record);

// Throws invalid_object_error if a field is unknown, missing or mistyped.
[[nodiscard]] audit_record decode_audit_record(const boost::json::value& document);

// The record of a change of a declaration: who and why are taken from the annotations of
// `document`, its newest version (the last one, if it was deleted).
struct declaration_change {
  audit_change change = audit_change::modified;
  std::uint64_t old_revision = 0;
  std::uint64_t new_revision = 0;
};
[[nodiscard]] audit_record make_audit_record(const boost::json::value& document,
                                             declaration_change change, wall_time when);

// "added", "modified", "deleted" or "action".
[[nodiscard]] std::string_view to_string(audit_change change);

// "2026-12-02T15:04:05.678Z" and back. The parser throws objects_error.
[[nodiscard]] std::string to_rfc3339(wall_time t);
[[nodiscard]] wall_time parse_rfc3339(std::string_view text);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_AUDIT_RECORD_H_
