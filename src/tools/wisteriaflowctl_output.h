// Prints the results of wisteriaflowctl to standard output, as JSON or as tables.

#ifndef WISTERIAFLOW_SRC_TOOLS_WISTERIAFLOWCTL_OUTPUT_H_
#define WISTERIAFLOW_SRC_TOOLS_WISTERIAFLOWCTL_OUTPUT_H_

#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/platform/operator_commands.h"

namespace wisteriaflow::tools {

enum class output_format { json, table };

// These print declared objects, the results of changes and audit records.
void print_objects(output_format format, const std::vector<boost::json::value>& documents);
void print_changes(output_format format, const std::vector<platform::changed_object>& changes);
void print_audit_trail(output_format format, const platform::audit_trail& trail);

// Prints an answer of a daemon. The table format has one line per field; each array of objects
// becomes a table of its own with one column per field.
void print_answer(output_format format, const boost::json::value& answer);

} // namespace wisteriaflow::tools

#endif // WISTERIAFLOW_SRC_TOOLS_WISTERIAFLOWCTL_OUTPUT_H_
