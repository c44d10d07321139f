// Reads the fields of one JSON object, validates types and ranges, and rejects unknown fields.
// Errors contain the declared object, the path of the field, its value and the allowed values.
//
//   field_reader spec(id, "spec", value);
//   const auto timeout_ms = spec.integer_or("timeout_ms", {1, 60'000}, 1000);
//   spec.reject_unread_fields();

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

// Kind and name of the declared object that is read, for error messages.
struct object_id {
  std::string kind;
  std::string name;
};

// The allowed range of a number, both ends included.
template <typename number> struct allowed_range {
  number min;
  number max;
};

// Reads the fields of one JSON object and records which keys were read.
class field_reader {
 public:
  // Reads the fields of `value`, located at `path`. Throws invalid_object_error if it is not an
  // object. `value` must outlive the reader.
  field_reader(object_id id, std::string path, const boost::json::value& value);

  // Each throws invalid_object_error if the field is of the wrong type or out of range. If it is
  // missing or null, required_string throws (also if it is empty), the optional_* functions return
  // nullopt, selector_or_all returns the empty selector, and the others return the fallback.
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

  // The value of the field, or null if it is missing or JSON null. Fields inside the value are not
  // validated; use another reader for them.
  const boost::json::value* find(std::string_view key);

  // A reader of the object at `key`, or of an empty object if the field is missing.
  field_reader nested(std::string_view key);

  // All keys of the object, for objects used as maps. Marks all of them as read.
  std::vector<std::string> keys();

  // Throws invalid_object_error if the object has a field that was not read.
  void reject_unread_fields() const;

  // Throws invalid_object_error for the field `key` with its current value.
  [[noreturn]] void reject(std::string_view key, std::string allowed) const;

 private:
  object_id id_;
  std::string path_;
  const boost::json::object* fields_ = nullptr;
  std::vector<std::string> read_keys_;
};

} // namespace wisteriaflow::objects::internal

#endif // WISTERIAFLOW_SRC_OBJECTS_FIELD_READER_H_
