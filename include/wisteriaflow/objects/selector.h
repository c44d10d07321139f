// Selectors over labels, equality and set based, as in Kubernetes.

#ifndef WISTERIAFLOW_OBJECTS_SELECTOR_H_
#define WISTERIAFLOW_OBJECTS_SELECTOR_H_

#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/objects/label_set.h"

namespace wisteriaflow::objects {

// How a requirement looks at a label. Equality is `in` with one value.
enum class selector_operator { in, not_in, exists, does_not_exist };

// One condition on one label.
struct requirement {
  std::string key;
  selector_operator op = selector_operator::exists;
  std::vector<std::string> values; // sorted, without repeats; empty for the existence operators

  friend bool operator==(const requirement&, const requirement&) = default;
};

// Whether `labels` satisfies `wanted`. A label that is absent satisfies `not_in`.
[[nodiscard]] bool matches(const requirement& wanted, const label_set& labels);

// An immutable conjunction of requirements. An empty selector matches everything.
//
//   const auto chosen = parse_selector("tier=gold, zone in (a,b), !retired");
//   chosen.matches({{"tier", "gold"}, {"zone", "a"}}); // true
class selector {
 public:
  selector() = default;
  explicit selector(std::vector<requirement> requirements);

  [[nodiscard]] bool matches(const label_set& labels) const;
  [[nodiscard]] const std::vector<requirement>& requirements() const { return requirements_; }

  friend bool operator==(const selector&, const selector&) = default;

 private:
  std::vector<requirement> requirements_;
};

// Parses "a=b, c!=d, e in (x,y), f notin (z), g, !h" ("==" is taken for "="). Throws
// selector_parse_error.
[[nodiscard]] selector parse_selector(std::string_view text);

// The selector's canonical text; parse_selector gives the same selector back.
[[nodiscard]] std::string to_string(const selector& chosen);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_SELECTOR_H_
