// Reads a whole kind of objects from the platform's store, page by page.

#ifndef WISTERIAFLOW_SRC_RELAY_STORE_LIST_H_
#define WISTERIAFLOW_SRC_RELAY_STORE_LIST_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "store_calls.h"

namespace wisteriaflow::relay {

// Of one call of the store, but for watches.
inline constexpr std::chrono::milliseconds store_call_timeout{1'200};

struct listing {
  bool whole = false; // else a page is missing
  std::vector<adapter::stored_object> items;
  std::uint64_t revision = 0; // of the store
};

// `kind` is kept by the caller until the list is read. What cannot be read is logged.
boost::asio::awaitable<listing> list_objects(store_client& store, fleet_state& state,
                                             std::string_view kind, adapter::list_age age);

// Tells of objects without a readable name, if there are any.
void note_nameless(fleet_state& state, std::string_view kind, std::size_t number);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORE_LIST_H_
