// What operator_commands needs to know of the documents that it handles.

#ifndef WISTERIAFLOW_SRC_PLATFORM_OPERATOR_INPUT_H_
#define WISTERIAFLOW_SRC_PLATFORM_OPERATOR_INPUT_H_

#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/objects/declared_object.h"
#include "wisteriaflow/objects/errors.h"
#include "wisteriaflow/platform/label_edits.h"

namespace wisteriaflow::platform::internal {

// The faults of `documents` as one configuration.
[[nodiscard]] std::vector<objects::object_fault>
faults_of(const std::vector<boost::json::value>& documents);

// Throws invalid_input_error if `after` has faults that `before` has not. Faults that are there
// already do not stand in the way of mending something else.
void require_no_new_faults(const std::vector<boost::json::value>& before,
                           const std::vector<boost::json::value>& after);

// The document as a declared object. Throws invalid_input_error if it is not valid, or not of a
// kind and schema that this version knows.
[[nodiscard]] objects::declared_object require_declared(const boost::json::value& document);

[[nodiscard]] std::string kind_of(const boost::json::value& document);
[[nodiscard]] std::string name_of(const boost::json::value& document);

// The labels of `document` as edits that set them.
[[nodiscard]] std::vector<label_edit> edits_of(const boost::json::value& document);

// The labels of `document`. Throws invalid_input_error if they are malformed.
[[nodiscard]] objects::label_set labels_of(const boost::json::value& document);

void set_labels(boost::json::value& document, const objects::label_set& labels);

// `wanted` on top of `present`: the spec of `wanted`, labels and annotations of both, and the
// version of `present`.
[[nodiscard]] boost::json::value merge(const boost::json::value& wanted,
                                       const boost::json::value& present);

// Whether both say the same but for versions and annotations of the tool itself.
[[nodiscard]] bool says_the_same(const boost::json::value& a, const boost::json::value& b);

// Whether both have the same spec.
[[nodiscard]] bool has_same_spec(const boost::json::value& a, const boost::json::value& b);

} // namespace wisteriaflow::platform::internal

#endif // WISTERIAFLOW_SRC_PLATFORM_OPERATOR_INPUT_H_
