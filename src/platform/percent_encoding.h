// Percent-encoding of values in request targets.

#ifndef WISTERIAFLOW_SRC_PLATFORM_PERCENT_ENCODING_H_
#define WISTERIAFLOW_SRC_PLATFORM_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace wisteriaflow::platform::internal {

// Returns `text` with every byte except RFC 3986's unreserved characters encoded as "%XX".
[[nodiscard]] std::string percent_encoded(std::string_view text);

} // namespace wisteriaflow::platform::internal

#endif // WISTERIAFLOW_SRC_PLATFORM_PERCENT_ENCODING_H_
