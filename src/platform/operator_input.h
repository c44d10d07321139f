// Validation, accessors and merging of the documents that operator_commands handles.

#ifndef WISTERIAFLOW_SRC_PLATFORM_OPERATOR_INPUT_H_
#define WISTERIAFLOW_SRC_PLATFORM_OPERATOR_INPUT_H_

#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/objects/declared_object.h"
#include "wisteriaflow/objects/errors.h"
#include "wisteriaflow/platform/label_edits.h"

namespace wisteriaflow::platform::internal {

// Returns the faults of `documents` as one configuration.
[[nodiscard]] std::vector<objects::field_violation>
violations_of(const std::vector<boost::json::value>& documents);

// Throws invalid_input_error if `after` has faults that `before` does not have. Existing faults do
// not prevent an operator from correcting something else.
void require_no_new_faults(const std::vector<boost::json::value>& before,
                           const std::vector<boost::json::value>& after);

// Decodes a document. Throws invalid_input_error if it is invalid, or of a kind or schema that
// this version does not support.
[[nodiscard]] objects::declared_object require_declared(const boost::json::value& document);

[[nodiscard]] std::string kind_of(const boost::json::value& document);
[[nodiscard]] std::string name_of(const boost::json::value& document);

// Returns an edit for each label of `document` that sets it.
[[nodiscard]] std::vector<label_edit> edits_of(const boost::json::value& document);

// Returns the labels of `document`. Throws invalid_input_error if they are malformed.
[[nodiscard]] objects::label_set labels_of(const boost::json::value& document);

void set_labels(boost::json::value& document, const objects::label_set& labels);

// Applies `wanted` to `current`: returns the kind and spec of `wanted`, the labels and annotations
// of both (those of `wanted` take precedence), and the version of `current`.
[[nodiscard]] boost::json::value merge(const boost::json::value& wanted,
                                       const boost::json::value& current);

// Whether both are equal apart from their versions and the annotations that this package sets.
[[nodiscard]] bool is_equivalent(const boost::json::value& a, const boost::json::value& b);

// Whether both have the same spec.
[[nodiscard]] bool has_same_spec(const boost::json::value& a, const boost::json::value& b);

} // namespace wisteriaflow::platform::internal

#endif // WISTERIAFLOW_SRC_PLATFORM_OPERATOR_INPUT_H_
