// zlib compression for texts of a few kilobytes, such as the reports that daemons periodically send
// to each other.
//
//   const auto compressed = deflate(report);
//   const auto report = inflate(compressed, 1 << 20);

#ifndef WISTERIAFLOW_BASE_DEFLATE_H_
#define WISTERIAFLOW_BASE_DEFLATE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "wisteriaflow/base/errors.h"

namespace wisteriaflow {

// Thrown for input that is not a complete zlib stream, for output over the size limit, and for
// other failures of zlib, such as a lack of memory.
class deflate_error : public error {
 public:
  using error::error;
};

// Returns `text` in the zlib format. Throws deflate_error if zlib cannot allocate memory.
[[nodiscard]] std::string deflate(std::string_view text);

// Returns the decompressed text. Throws deflate_error if `compressed` is malformed or truncated, or
// if the text is longer than `limit` bytes.
[[nodiscard]] std::string inflate(std::string_view compressed, std::size_t limit);

} // namespace wisteriaflow

#endif // WISTERIAFLOW_BASE_DEFLATE_H_
