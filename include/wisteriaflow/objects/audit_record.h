// The audit trail: one record per change, stored in the platform's object API.
//
// The name of a record is derived from the change. Several daemons that observe the same change
// therefore create a record of the same name, and only the first create takes effect.
//
//   const auto record = make_audit_record(document, change, now);
//   const auto body = encode_audit_record(record); // create it under name_of(record)

#ifndef WISTERIAFLOW_OBJECTS_AUDIT_RECORD_H_
#define WISTERIAFLOW_OBJECTS_AUDIT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "wisteriaflow/base/time.h"

namespace wisteriaflow::objects {

// The object API's resource that stores the audit trail, and the kind of its objects.
inline constexpr std::string_view audit_records_plural = "auditrecords";
inline constexpr std::string_view audit_record_kind = "AuditRecord";

// Annotations of a declared object: the author of its last change, the cause, and the id of the
// write.
inline constexpr std::string_view changed_by_annotation = "wisteriaflow.dev/changed-by";
inline constexpr std::string_view cause_annotation = "wisteriaflow.dev/cause";
inline constexpr std::string_view write_id_annotation = "wisteriaflow.dev/write-id";

// The type of a change. `action` is a change that a daemon's control loop made on its own, such as
// starting an instance.
enum class audit_change { added, modified, deleted, action };

// One change: its author, time, object and cause.
struct audit_record {
  std::string who;    // an operator's name, or a daemon's id
  wall_time when;     // when the daemon that writes the record observed the change
  std::string plural; // resource of the changed object, such as "declarations"
  std::string object_kind;
  std::string object_name;
  std::uint64_t old_revision = 0; // 0 if the object is new
  std::uint64_t new_revision = 0; // for an action: a number that the writer assigns
  audit_change change = audit_change::modified;
  std::string cause;
  std::string detail;

  friend bool operator==(const audit_record&, const audit_record&) = default;
};

// The name of the stored record: "<plural>.<object name>.<new revision>".
[[nodiscard]] std::string name_of(const audit_record& record);

// The complete document to create in the object API.
[[nodiscard]] boost::json::value encode_audit_record(const audit_record& record);

// Decodes a document of the audit trail. Throws invalid_object_error if the metadata are malformed,
// or if a field of the spec is unknown, required but missing, or of the wrong type.
[[nodiscard]] audit_record decode_audit_record(const boost::json::value& document);

// The type and the revisions of a change of a declared object.
struct declaration_change {
  audit_change change = audit_change::modified;
  std::uint64_t old_revision = 0;
  std::uint64_t new_revision = 0;
};
// Makes the record of a change of a declared object. `document` is its newest version, or the last
// one before a deletion; the author and the cause are read from its annotations. Throws
// invalid_object_error if the metadata are malformed.
[[nodiscard]] audit_record make_audit_record(const boost::json::value& document,
                                             declaration_change change, wall_time when);

// "added", "modified", "deleted" or "action".
[[nodiscard]] std::string_view to_string(audit_change change);

// Formats and parses a UTC time with milliseconds, such as "2026-12-02T15:04:05.678Z". The parser
// throws objects_error if the text has another format or is not a valid time.
[[nodiscard]] std::string to_rfc3339(wall_time t);
[[nodiscard]] wall_time parse_rfc3339(std::string_view text);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_AUDIT_RECORD_H_
