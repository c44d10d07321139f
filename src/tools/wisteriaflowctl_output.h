// How wisteriaflowctl prints results: as JSON, or as tables for people.

#ifndef WISTERIAFLOW_SRC_TOOLS_WISTERIAFLOWCTL_OUTPUT_H_
#define WISTERIAFLOW_SRC_TOOLS_WISTERIAFLOWCTL_OUTPUT_H_

#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/platform/operator_commands.h"

namespace wisteriaflow::tools {

enum class output_format { json, table };

// Each prints to standard output.
void print_objects(output_format format, const std::vector<boost::json::value>& documents);
void print_changes(output_format format, const std::vector<platform::changed_object>& changes);
void print_audit_trail(output_format format, const platform::audit_trail& trail);

// An answer of a daemon: as a table, one line for each field, arrays of objects with a column for
// each field.
void print_answer(output_format format, const boost::json::value& answer);

} // namespace wisteriaflow::tools

#endif // WISTERIAFLOW_SRC_TOOLS_WISTERIAFLOWCTL_OUTPUT_H_
