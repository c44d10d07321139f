// What operators do to declared objects, as the tool wisteriaflowctl offers it: read, apply, label,
// delete, and read the audit trail.
//
// Changes are checked against the whole live configuration before anything is written. Races end
// in one winner and a conflict_error for the other, but for edits of different labels, which both
// hold.

#ifndef WISTERIAFLOW_PLATFORM_OPERATOR_COMMANDS_H_
#define WISTERIAFLOW_PLATFORM_OPERATOR_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/objects/audit_record.h"
#include "wisteriaflow/platform/errors.h"
#include "wisteriaflow/platform/label_edits.h"
#include "wisteriaflow/platform/object_api.h"
#include "wisteriaflow/platform/settled_writes.h"

namespace wisteriaflow::platform {

// Who makes changes, and why; kept in annotations and so in the audit trail.
struct change_author {
  std::string name;
  std::string cause;
};

// A kind and a name. The kind is the object's canonical one, such as "Pool".
struct object_reference {
  std::string kind;
  std::string name;
};

// What became of one object.
enum class change_result { created, changed, unchanged, deleted };

struct changed_object {
  std::string kind;
  std::string name;
  std::uint64_t revision = 0; // now; of the last version, if it was deleted
  change_result result = change_result::unchanged;

  friend bool operator==(const changed_object&, const changed_object&) = default;
};

// The audit trail, and the names of records that could not be read.
struct audit_trail {
  std::vector<objects::audit_record> records; // by time, then by revision
  std::vector<std::string> unreadable;
};

// Options of operator_commands.
struct operator_command_options {
  change_author author;
  mono_time deadline = mono_time::max(); // of everything done through one operator_commands
  settled_write_options writes;
};

// Runs commands one after the other. Each throws platform_unavailable, conflict_error,
// not_found_error, rejected_error or invalid_input_error.
class operator_commands {
 public:
  operator_commands(object_api& api, operator_command_options options);

  // The declared objects, sorted by kind and name. An empty kind or name means all.
  boost::asio::awaitable<std::vector<boost::json::value>> get(std::string kind, std::string name);

  // Creates or replaces each of `documents`. The spec becomes that of the document; labels and
  // annotations of the document are set and others kept, so that label edits made elsewhere hold.
  // A document with a resourceVersion applies only to that version. Nothing is written unless the
  // configuration would be valid as a whole; the writes then go one by one, in the order in which
  // objects refer to each other.
  boost::asio::awaitable<std::vector<changed_object>>
  apply(std::vector<boost::json::value> documents);

  // Edits labels. Others' edits of other keys hold; another's edit of the same key meanwhile is a
  // conflict. With `expected_revision` the edit applies only to that version, whatever its labels.
  boost::asio::awaitable<changed_object> label(object_reference target,
                                               std::vector<label_edit> edits,
                                               std::optional<std::uint64_t> expected_revision);

  // Deletes an object that nothing refers to.
  boost::asio::awaitable<changed_object> remove(object_reference target,
                                                std::optional<std::uint64_t> expected_revision);

  // The audit trail, or that of one object.
  boost::asio::awaitable<audit_trail> audit(std::string object_name);

 private:
  boost::asio::awaitable<stored_object> read(object_reference target);
  boost::asio::awaitable<changed_object> apply_one(boost::json::value wanted,
                                                   std::optional<stored_object> read);
  void stamp(boost::json::value& document) const;

  operator_command_options options_;
  settled_writes declarations_;
  settled_writes audit_records_;
};

// Reads one document, an array of them, a List, or several one after the other. Throws
// invalid_input_error.
[[nodiscard]] std::vector<boost::json::value> parse_documents(std::string_view text);

// Checks documents by themselves, as one whole configuration. Throws invalid_input_error with
// every fault.
void validate_documents(const std::vector<boost::json::value>& documents);

// The canonical kind for what an operator typed, such as "pools" or "routing_intent". Throws
// invalid_input_error with what is allowed.
[[nodiscard]] std::string canonical_kind(std::string_view text);

// "created", "changed", "unchanged" or "deleted".
[[nodiscard]] std::string_view to_string(change_result result);

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_OPERATOR_COMMANDS_H_
