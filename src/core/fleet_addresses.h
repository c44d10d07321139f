// Addresses as they stand in members' records.

#ifndef WISTERIAFLOW_SRC_CORE_FLEET_ADDRESSES_H_
#define WISTERIAFLOW_SRC_CORE_FLEET_ADDRESSES_H_

#include <optional>
#include <string>

#include "wisteriaflow/http/errors.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::core::internal {

// The address that `text` stands for; nothing if it is none, as in a record of a newer daemon.
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
