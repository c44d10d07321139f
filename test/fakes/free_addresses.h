// Free loopback addresses for processes that need their address before they listen, for example in
// a settings file.

#ifndef WISTERIAFLOW_TEST_FAKES_FREE_ADDRESSES_H_
#define WISTERIAFLOW_TEST_FAKES_FREE_ADDRESSES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::fakes {

// Returns a loopback address for one server of this process: 127.x.y.N, with x and y from the
// process id and N from `number`.
[[nodiscard]] std::string process_loopback_host(unsigned number);

// The loopback address that all fake endpoints of this process listen on. Other programs never get
// the port of one that has closed.
[[nodiscard]] std::string endpoint_host();

// Returns `count` addresses at `host` with ports that the kernel chose; they are free again on
// return. Use a `host` with one server only, see process_loopback_host(): on 127.0.0.1, where
// outgoing connections have their local ports, and on a host that servers share, about one in a
// thousand ports was taken before the server bound it.
[[nodiscard]] std::vector<http::socket_address> free_addresses(const std::string& host,
                                                               std::size_t count);

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FREE_ADDRESSES_H_
