// Percent-encoding of names and values in request targets (RFC 3986).
//
//   const auto target = "/things?after=" + percent_encoded(name);

#ifndef WISTERIAFLOW_BASE_PERCENT_ENCODING_H_
#define WISTERIAFLOW_BASE_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace wisteriaflow {

// Returns whether `c` is one of RFC 3986's unreserved characters: an ASCII letter, a digit, or one
// of "-._~". They mean the same in every part of a request target.
[[nodiscard]] bool is_unreserved(char c);

// Returns `text` with every byte except the unreserved characters encoded as "%XX".
[[nodiscard]] std::string percent_encoded(std::string_view text);

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_PERCENT_ENCODING_H_
