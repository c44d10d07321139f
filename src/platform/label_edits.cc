#include "wisteriaflow/platform/label_edits.h"

#include "wisteriaflow/platform/errors.h"

namespace wisteriaflow::platform {
namespace {

std::optional<std::string> find_value(const objects::label_set& labels, const std::string& key)
{
  const auto found = labels.find(key);
  return found ? std::optional<std::string>(*found) : std::nullopt;
}

std::string display_value(const std::optional<std::string>& value)
{
  return value ? "\"" + *value + "\"" : "absent";
}

} // namespace

label_edit parse_label_edit(std::string_view text)
{
  label_edit edit;
  const auto equals = text.find('=');
  if (equals != std::string_view::npos) {
    edit.key = text.substr(0, equals);
    edit.value = text.substr(equals + 1);
  } else if (text.ends_with('-')) {
    edit.key = text.substr(0, text.size() - 1);
  }
  if (!objects::is_label_key(edit.key) || !objects::is_label_value(edit.value.value_or(""))) {
    throw invalid_input_error("label edit \"" + std::string(text) +
                              "\": expected key=value to set or key- to remove");
  }
  return edit;
}

objects::label_set apply_edits(const objects::label_set& labels,
                               const std::vector<label_edit>& edits)
{
  auto edited = labels;
  for (const auto& edit : edits) {
    edited = edit.value ? edited.with(edit.key, *edit.value) : edited.without(edit.key);
  }
  return edited;
}

std::optional<label_conflict> find_conflict(const objects::label_set& base,
                                            const objects::label_set& current,
                                            const std::vector<label_edit>& edits)
{
  for (const auto& edit : edits) {
    const auto base_value = find_value(base, edit.key);
    const auto current_value = find_value(current, edit.key);
    if (current_value != base_value && current_value != edit.value) {
      return label_conflict{edit.key, base_value, current_value, edit.value};
    }
  }
  return std::nullopt;
}

std::string to_string(const label_conflict& conflict)
{
  return "label " + conflict.key + " was " + display_value(conflict.base_value) + ", is now " +
         display_value(conflict.current_value) + ", wanted " +
         display_value(conflict.requested_value);
}

} // namespace wisteriaflow::platform
