// Label selectors with equality-based and set-based requirements, as in Kubernetes.

#ifndef WISTERIAFLOW_OBJECTS_SELECTOR_H_
#define WISTERIAFLOW_OBJECTS_SELECTOR_H_

#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/objects/label_set.h"

namespace wisteriaflow::objects {

// The operator of a requirement. Equality is `in` with one value, inequality `not_in`.
enum class selector_operator { in, not_in, exists, does_not_exist };

// A condition on one label.
struct requirement {
  std::string key;
  selector_operator op = selector_operator::exists;
  std::vector<std::string> values; // sorted, without duplicates; empty for the existence operators

  friend bool operator==(const requirement&, const requirement&) = default;
};

// Whether `labels` satisfies `condition`. An absent label satisfies `not_in`.
[[nodiscard]] bool matches(const requirement& condition, const label_set& labels);

// An immutable conjunction of requirements. An empty selector matches everything.
//
//   const auto gold_tier = parse_selector("tier=gold, zone in (a,b), !retired");
//   gold_tier.matches({{"tier", "gold"}, {"zone", "a"}}); // true
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

// Parses a comma-separated list of requirements. "==" means the same as "=". Throws
// selector_parse_error if the text is malformed.
//
//   parse_selector("a=b, c!=d, e in (x,y), f notin (z), g, !h")
[[nodiscard]] selector parse_selector(std::string_view text);

// The canonical text of the selector. parse_selector turns it back into an equal selector.
[[nodiscard]] std::string to_string(const selector& source);

} // namespace wisteriaflow::objects

#endif // WISTERIAFLOW_OBJECTS_SELECTOR_H_
