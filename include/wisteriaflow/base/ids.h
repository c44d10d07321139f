// Identifier types. Each kind of identifier is a distinct type, so the compiler rejects, for
// example, an endpoint_id where an instance_id is required.

#ifndef WISTERIAFLOW_BASE_IDS_H_
#define WISTERIAFLOW_BASE_IDS_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace wisteriaflow {

// An identifier string that is never modified after construction. `tag` is an incomplete type that
// makes each kind of identifier a type of its own.
template <typename tag> class strong_id {
 public:
  strong_id() = default;
  explicit strong_id(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] const std::string& value() const { return value_; }
  [[nodiscard]] bool empty() const { return value_.empty(); }

  friend auto operator<=>(const strong_id&,
                          const strong_id&) = default; // NOLINT(modernize-use-nullptr)

 private:
  std::string value_;
};

using daemon_id = strong_id<struct daemon_tag>;
using endpoint_id = strong_id<struct endpoint_tag>;
using instance_id = strong_id<struct instance_tag>;
using workspace_id = strong_id<struct workspace_tag>;
using availability_zone = strong_id<struct availability_zone_tag>;
using model_id = strong_id<struct model_tag>;

} // namespace wisteriaflow

template <typename tag> struct std::hash<wisteriaflow::strong_id<tag>> {
  std::size_t operator()(const wisteriaflow::strong_id<tag>& id) const noexcept
  {
    return std::hash<std::string>{}(id.value());
  }
};

#endif // WISTERIAFLOW_BASE_IDS_H_
