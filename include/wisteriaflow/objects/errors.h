// Errors of the objects package.

#ifndef WISTERIAFLOW_OBJECTS_ERRORS_H_
#define WISTERIAFLOW_OBJECTS_ERRORS_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow::objects {

// Base of the package's errors.
class objects_error : public error {
 public:
  using error::error;
};

// A label's key or value is malformed.
class label_error : public objects_error {
 public:
  using objects_error::objects_error;
};

// A selector's text is malformed. `position` counts characters from 0.
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

// Where a declared object is wrong, and what would be right.
struct object_fault {
  std::string kind;
  std::string name;
  std::string field;   // as in "spec.latency_targets.first_token_ms"
  std::string value;   // as JSON; "(absent)" if the field is missing
  std::string allowed; // what may stand there

  friend bool operator==(const object_fault&, const object_fault&) = default;
};

// The fault as one line for an operator.
[[nodiscard]] inline std::string to_string(const object_fault& fault)
{
  return fault.kind + " " + fault.name + ": " + fault.field + " is " + fault.value +
         "; allowed: " + fault.allowed;
}

// A declared object is not valid.
class invalid_object_error : public objects_error {
 public:
  explicit invalid_object_error(object_fault fault)
      : objects_error(to_string(fault)), fault_(std::move(fault))
  {
  }

  [[nodiscard]] const object_fault& fault() const { return fault_; }

 private:
  object_fault fault_;
};

// A list of objects does not make a valid configuration. Names every fault.
class configuration_error : public objects_error {
 public:
  explicit configuration_error(std::vector<object_fault> faults)
      : objects_error(describe(faults)), faults_(std::move(faults))
  {
  }

  [[nodiscard]] const std::vector<object_fault>& faults() const { return faults_; }

 private:
  static std::string describe(const std::vector<object_fault>& faults)
  {
    std::string text;
    for (const auto& fault : faults) {
      text += (text.empty() ? "" : "\n") + to_string(fault);
    }
    return text;
  }

  std::vector<object_fault> faults_;
};

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_ERRORS_H_
