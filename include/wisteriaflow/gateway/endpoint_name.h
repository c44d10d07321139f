// Names of entries in the list of endpoints. Other programs may store entries there, too, under
// names of their own; those are no endpoints.

#ifndef WISTERIAFLOW_GATEWAY_ENDPOINT_NAME_H_
#define WISTERIAFLOW_GATEWAY_ENDPOINT_NAME_H_

#include <cstddef>
#include <string_view>

namespace wisteriaflow::gateway {

// In bytes. The longest name of a host in DNS is as long.
inline constexpr std::size_t max_endpoint_id_size = 253;

// Returns whether an endpoint may have this id: 1 to `max_endpoint_id_size` of RFC 3986's
// unreserved characters, which need no escape in targets, header fields, messages and log lines.
[[nodiscard]] bool is_endpoint_id(std::string_view name);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_ENDPOINT_NAME_H_
