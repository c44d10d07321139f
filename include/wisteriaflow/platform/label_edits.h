// Edits of labels, and how those of several operators at the same moment come together.

#ifndef WISTERIAFLOW_PLATFORM_LABEL_EDITS_H_
#define WISTERIAFLOW_PLATFORM_LABEL_EDITS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/objects/label_set.h"

namespace wisteriaflow::platform {

// Sets a label, or removes it.
struct label_edit {
  std::string key;
  std::optional<std::string> value; // none: remove

  friend bool operator==(const label_edit&, const label_edit&) = default;
};

// Parses "key=value" or "key-". Throws invalid_input_error.
[[nodiscard]] label_edit parse_label_edit(std::string_view text);

// `labels` after `edits`.
[[nodiscard]] objects::label_set apply_edits(const objects::label_set& labels,
                                             const std::vector<label_edit>& edits);

// A key that one operator edits and another has changed to something else.
struct label_conflict {
  std::string key;
  std::optional<std::string> read;   // when the edit began
  std::optional<std::string> found;  // now
  std::optional<std::string> wanted; // by the edit

  friend bool operator==(const label_conflict&, const label_conflict&) = default;
};

// The first key of `edits` whose value changed between `read` and `found` to other than what is
// wanted. Edits of different keys do not conflict.
[[nodiscard]] std::optional<label_conflict> find_conflict(const objects::label_set& read,
                                                          const objects::label_set& found,
                                                          const std::vector<label_edit>& edits);

// "tier was gold, is silver now, wanted bronze".
[[nodiscard]] std::string to_string(const label_conflict& conflict);

} // namespace wisteriaflow::platform

#endif // WISTERIAFLOW_PLATFORM_LABEL_EDITS_H_
