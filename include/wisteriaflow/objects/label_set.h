// Labels: key and value pairs by which operators group workspaces, requests and instances.

#ifndef WISTERIAFLOW_OBJECTS_LABEL_SET_H_
#define WISTERIAFLOW_OBJECTS_LABEL_SET_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriaflow::objects {

// Whether `text` is a valid label key: up to 63 letters, digits, '-', '_' or '.', beginning and
// ending with a letter or digit, with an optional "prefix/" of up to 253 lower-case characters.
[[nodiscard]] bool is_label_key(std::string_view text);

// Whether `text` is a valid label value: empty, or of the form of a key without a prefix.
[[nodiscard]] bool is_label_value(std::string_view text);

// An immutable map of labels, sorted by key.
//
//   const label_set labels{{"tier", "gold"}, {"region", "akl"}};
//   labels.find("tier"); // "gold"
class label_set {
 public:
  using entry = std::pair<std::string, std::string>;

  label_set() = default;

  // Throws label_error if a key or value is malformed or a key occurs twice.
  explicit label_set(std::vector<entry> entries);
  label_set(std::initializer_list<entry> entries);

  // The value of `key`, or nullopt. The view is valid as long as this set.
  [[nodiscard]] std::optional<std::string_view> find(std::string_view key) const;

  // A copy of this set with `key` set to `value`. Throws label_error if either is malformed.
  [[nodiscard]] label_set with(std::string_view key, std::string_view value) const;

  // A copy of this set without `key`.
  [[nodiscard]] label_set without(std::string_view key) const;

  [[nodiscard]] bool empty() const { return entries_.empty(); }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] auto begin() const { return entries_.begin(); }
  [[nodiscard]] auto end() const { return entries_.end(); }

  friend auto operator<=>(const label_set&, const label_set&) = default;

 private:
  std::vector<entry> entries_;
};

// Parses the format of the header Wisteriaflow-Labels, such as "tier=gold,region=akl". Throws
// label_error if the text is malformed or a key occurs twice.
[[nodiscard]] label_set parse_label_set(std::string_view text);

// Formats the labels sorted by key, such as "region=akl,tier=gold".
[[nodiscard]] std::string to_string(const label_set& labels);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_LABEL_SET_H_
