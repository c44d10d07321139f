// Compresses texts of a few kilobytes by zlib, as daemons send them to each other again and again.
//
//   const auto packed = deflate(report);
//   const auto report = inflate(packed, 1 << 20);

#ifndef WISTERIAFLOW_BASE_DEFLATE_H_
#define WISTERIAFLOW_BASE_DEFLATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow {

// Bytes that are not a whole deflated text, or one over the limit.
class deflate_error : public error {
 public:
  using error::error;
};

// `text`, compressed. Throws deflate_error if there is no memory for it.
[[nodiscard]] std::string deflate(std::string_view text);

// The text again; at most `limit` bytes of it. Throws deflate_error.
[[nodiscard]] std::string inflate(std::string_view packed, std::size_t limit);

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_DEFLATE_H_
