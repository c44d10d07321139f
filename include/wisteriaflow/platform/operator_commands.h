// The commands of the operators' tool wisteriaflowctl on declared objects: get, apply, label,
// delete, and read the audit trail.
//
//   operator_commands commands(api, {.author = {.name = "ann", .cause = "more capacity"}});
//   co_await commands.apply(parse_documents(text));
//
// Changes are validated against the complete stored configuration before anything is written. Of
// two concurrent changes of one object, one succeeds and the other throws conflict_error; edits of
// different labels both succeed.

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
#include "wisteriaflow/platform/retrying_object_client.h"

namespace wisteriaflow::platform {

// Who makes a change and why. Stored in annotations of the object, from where it gets into the
// audit trail.
struct change_author {
  std::string name;
  std::string cause;
};

// Identifies an object. The kind is a canonical one, such as "Pool" (see canonical_kind()).
struct object_reference {
  std::string kind;
  std::string name;
};

// What a command did to one object.
enum class change_result { created, changed, unchanged, deleted };

struct changed_object {
  std::string kind;
  std::string name;
  std::uint64_t revision = 0; // after the command; for a deleted object, its last revision
  change_result result = change_result::unchanged;

  friend bool operator==(const changed_object&, const changed_object&) = default;
};

// The audit trail. `unreadable` has the names of records that could not be decoded.
struct audit_trail {
  std::vector<objects::audit_record> records; // sorted by time, then by revision
  std::vector<std::string> unreadable;
};

// Options of operator_commands.
struct operator_command_options {
  change_author author;
  mono_time deadline = mono_time::max(); // of everything done through one operator_commands
  object_retry_options retries;
};

// Runs one command at a time. Each command throws platform_unavailable, conflict_error,
// not_found_error, rejected_error or invalid_input_error.
class operator_commands {
 public:
  operator_commands(object_api& api, operator_command_options options);

  // Returns declared objects, sorted by kind and name. An empty kind or name matches all.
  boost::asio::awaitable<std::vector<boost::json::value>> get(std::string kind, std::string name);

  // Creates or updates each of `documents`. The spec of a document replaces the stored one. Its
  // labels and annotations are set and other stored ones are kept, so that label edits by others
  // are not undone. A document with a resourceVersion is applied only to that version. Nothing is
  // written unless the complete configuration would be valid. The objects are then written one by
  // one, each after the objects that it refers to.
  boost::asio::awaitable<std::vector<changed_object>>
  apply(std::vector<boost::json::value> documents);

  // Edits labels. Concurrent edits of other keys are kept; a concurrent edit of the same key is a
  // conflict. With `expected_revision`, the edit is applied only if the object has that revision,
  // whatever its labels are.
  boost::asio::awaitable<changed_object> label(object_reference target,
                                               std::vector<label_edit> edits,
                                               std::optional<std::uint64_t> expected_revision);

  // Deletes an object. Throws invalid_input_error if other objects refer to it.
  boost::asio::awaitable<changed_object> remove(object_reference target,
                                                std::optional<std::uint64_t> expected_revision);

  // Returns the audit trail of the object with this name, or of all objects if it is empty.
  boost::asio::awaitable<audit_trail> audit(std::string object_name);

 private:
  boost::asio::awaitable<stored_object> read(object_reference target);
  boost::asio::awaitable<changed_object> apply_one(boost::json::value wanted,
                                                   std::optional<stored_object> read);
  void annotate_author(boost::json::value& document) const;

  operator_command_options options_;
  retrying_object_client declarations_;
  retrying_object_client audit_records_;
};

// Parses JSON text: one document, an array of documents, an object with a List's "items", or
// several of these one after the other. Throws invalid_input_error.
[[nodiscard]] std::vector<boost::json::value> parse_documents(std::string_view text);

// Validates documents as a complete configuration, without the platform. Throws
// invalid_input_error that lists every fault.
void validate_documents(const std::vector<boost::json::value>& documents);

// Returns the canonical kind, such as "Pool" or "RoutingIntent", for an operator's spelling, such
// as "pools" or "routing_intent". Throws invalid_input_error that lists the known kinds.
[[nodiscard]] std::string canonical_kind(std::string_view text);

// Returns "created", "changed", "unchanged" or "deleted".
[[nodiscard]] std::string_view to_string(change_result result);

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_OPERATOR_COMMANDS_H_
