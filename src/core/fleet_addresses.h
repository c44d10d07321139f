// Parsing of the addresses in member records.

#ifndef WISTERIAFLOW_SRC_CORE_FLEET_ADDRESSES_H_
#define WISTERIAFLOW_SRC_CORE_FLEET_ADDRESSES_H_

#include <optional>
#include <string>

#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::core::internal {

// Returns the address in `text`, or nothing if it is malformed, for example because the record was
// written by a newer version.
inline std::optional<http::socket_address> parse_address(const std::string& text)
{
  try {
    return http::parse_socket_address(text);
  } catch (const http::http_error&) {
    return std::nullopt;
  }
}

} // namespace wisteriaflow::core::internal

#endif // WISTERIAFLOW_SRC_CORE_FLEET_ADDRESSES_H_
