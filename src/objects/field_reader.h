// Reads the fields of one JSON object, checking type and range, and refuses fields that nobody
// asked for. Errors name the declared object, the field's path, the value and what is allowed.

#ifndef WISTERIAFLOW_SRC_OBJECTS_FIELD_READER_H_
#define WISTERIAFLOW_SRC_OBJECTS_FIELD_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "wisteriaflow/objects/errors.h"
#include "wisteriaflow/objects/label_set.h"
#include "wisteriaflow/objects/selector.h"

namespace wisteriaflow::objects::internal {

// Whose fields are read, for error messages.
struct owner {
  std::string kind;
  std::string name;
};

// Both ends are allowed.
template <typename number> struct allowed_range {
  number min;
  number max;
};

class field_reader {
 public:
  // Reads the fields of `value`, which stands at `path`. Throws invalid_object_error if it is not
  // an object. `value` must outlive the reader.
  field_reader(owner whose, std::string path, const boost::json::value& value);

  // Each throws invalid_object_error if the field is missing, mistyped or out of range; those with
  // a fallback return it if the field is missing or null.
  std::string required_string(std::string_view key);
  std::string string_or(std::string_view key, std::string fallback);
  std::string one_of(std::string_view key, const std::vector<std::string_view>& choices,
                     std::string_view fallback);
  double number_or(std::string_view key, allowed_range<double> range, double fallback);
  std::optional<double> optional_number(std::string_view key, allowed_range<double> range);
  std::int64_t integer_or(std::string_view key, allowed_range<std::int64_t> range,
                          std::int64_t fallback);
  std::optional<std::int64_t> optional_integer(std::string_view key,
                                               allowed_range<std::int64_t> range);
  bool boolean_or(std::string_view key, bool fallback);
  selector selector_or_all(std::string_view key);
  std::vector<std::string> strings_or(std::string_view key, std::vector<std::string> fallback);

  // The field's value if it is there; its own fields are read by a reader of its own.
  const boost::json::value* find(std::string_view key);

  // A reader of the object at `key`; of an empty one if it is missing.
  field_reader nested(std::string_view key);

  // The keys of the object, as for a map. Marks all as read.
  std::vector<std::string> keys();

  // Throws if a field is left that was not asked for.
  void finish() const;

  // Throws invalid_object_error for `key` as it stands.
  [[noreturn]] void reject(std::string_view key, std::string allowed) const;

 private:
  owner whose_;
  std::string path_;
  const boost::json::object* fields_ = nullptr;
  std::vector<std::string> asked_;
};

} // namespace wisteriaflow::objects::internal

#endif // WISTERIAFLOW_SRC_OBJECTS_FIELD_READER_H_
