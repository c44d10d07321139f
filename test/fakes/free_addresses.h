// Addresses for processes that must be told theirs before they listen.

#ifndef WISTERIAFLOW_TEST_FAKES_FREE_ADDRESSES_H_
#define WISTERIAFLOW_TEST_FAKES_FREE_ADDRESSES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "wisteriaflow/http/message.h"

namespace wisteriaflow::fakes {

// A loopback address for one server of this process: 127.x.y.N, x and y by the process id.
[[nodiscard]] std::string own_loopback_host(unsigned number);

// `count` addresses at `host`, with ports that the kernel chose. On a host of one server nobody
// else takes the ports meanwhile: the kernel gives connections a port of the host that they lead
// to, so on a shared host about one of a thousand ports was taken when the server bound it.
[[nodiscard]] std::vector<http::socket_address> free_addresses(const std::string& host,
                                                               std::size_t count);

} // namespace wisteriaflow::fakes

#endif // WISTERIAFLOW_TEST_FAKES_FREE_ADDRESSES_H_
