// Exceptions of the objects package, and the description of an invalid field.
//
// All exceptions derive from objects_error.

#ifndef WISTERIAFLOW_OBJECTS_ERRORS_H_
#define WISTERIAFLOW_OBJECTS_ERRORS_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::objects {

// Base class of the exceptions of this package.
class objects_error : public error {
 public:
  using error::error;
};

// The key or value of a label is malformed, or a key occurs twice.
class label_error : public objects_error {
 public:
  using objects_error::objects_error;
};

// The text of a selector is malformed. `position` is the 0-based index of the first unexpected
// character.
class selector_parse_error : public objects_error {
 public:
  selector_parse_error(std::string text, std::size_t position, const std::string& expected)
      : objects_error("selector \"" + text + "\", position " + std::to_string(position) +
                      ": expected " + expected),
        text_(std::move(text)), position_(position)
  {
  }

  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] std::size_t position() const { return position_; }

 private:
  std::string text_;
  std::size_t position_;
};

// Describes an invalid field of a declared object and the values that are allowed there.
struct field_violation {
  std::string kind;
  std::string name;
  std::string field;   // path, such as "spec.latency_targets.first_token_ms"
  std::string value;   // as JSON; "(absent)" if the field is missing
  std::string allowed; // description of the allowed values

  friend bool operator==(const field_violation&, const field_violation&) = default;
};

// Formats the violation as one line for an operator.
[[nodiscard]] inline std::string to_string(const field_violation& violation)
{
  return violation.kind + " " + violation.name + ": " + violation.field + " is " + violation.value +
         "; allowed: " + violation.allowed;
}

// A declared object is invalid.
class invalid_object_error : public objects_error {
 public:
  explicit invalid_object_error(field_violation violation)
      : objects_error(to_string(violation)), violation_(std::move(violation))
  {
  }

  [[nodiscard]] const field_violation& violation() const { return violation_; }

 private:
  field_violation violation_;
};

// A list of objects is not a valid configuration. Contains every violation found.
class configuration_error : public objects_error {
 public:
  explicit configuration_error(std::vector<field_violation> violations)
      : objects_error(describe(violations)), violations_(std::move(violations))
  {
  }

  [[nodiscard]] const std::vector<field_violation>& violations() const { return violations_; }

 private:
  static std::string describe(const std::vector<field_violation>& violations)
  {
    std::string text;
    for (const auto& violation : violations) {
      text += (text.empty() ? "" : "\n") + to_string(violation);
    }
    return text;
  }

  std::vector<field_violation> violations_;
};

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_ERRORS_H_
