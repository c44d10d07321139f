// Edits of labels, and detection of conflicts between concurrent edits of several operators.

#ifndef WISTERIAFLOW_PLATFORM_LABEL_EDITS_H_
#define WISTERIAFLOW_PLATFORM_LABEL_EDITS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/objects/label_set.h"

namespace wisteriaflow::platform {

// Sets or removes one label.
struct label_edit {
  std::string key;
  std::optional<std::string> value; // nullopt removes the label

  friend bool operator==(const label_edit&, const label_edit&) = default;
};

// Parses "key=value" (set) or "key-" (remove). Throws invalid_input_error.
[[nodiscard]] label_edit parse_label_edit(std::string_view text);

// Returns `labels` with `edits` applied in their order.
[[nodiscard]] objects::label_set apply_edits(const objects::label_set& labels,
                                             const std::vector<label_edit>& edits);

// A label that one operator edits and that was changed concurrently to a different value. nullopt
// stands for an absent label.
struct label_conflict {
  std::string key;
  std::optional<std::string> base_value;      // when the edit began
  std::optional<std::string> current_value;   // in the stored object now
  std::optional<std::string> requested_value; // that the edit sets

  friend bool operator==(const label_conflict&, const label_conflict&) = default;
};

// Returns the first key of `edits` whose value differs between `base` (when the edit began) and
// `current`, unless `current` has the requested value already. Edits of different keys do not
// conflict.
[[nodiscard]] std::optional<label_conflict> find_conflict(const objects::label_set& base,
                                                          const objects::label_set& current,
                                                          const std::vector<label_edit>& edits);

// Returns, for example, `label tier was "gold", is now "silver", wanted "bronze"`.
[[nodiscard]] std::string to_string(const label_conflict& conflict);

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_LABEL_EDITS_H_
