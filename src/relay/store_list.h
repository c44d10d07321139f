// Reads all objects of one kind from the platform's store, page by page.

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

// Timeout of every store call except watches.
inline constexpr std::chrono::milliseconds store_call_timeout{1'200};

// Objects read by list_objects().
struct listing {
  bool is_complete = false; // false: a page is missing
  std::vector<adapter::stored_object> items;
  gateway::store_revision revision; // of the store, from which to watch for changes
};

// Reads all objects of `kind`, which must stay valid until the list is read. Every page must lead
// further than those before it; else the list ends as incomplete, as it does at an unreadable
// answer. The reason is logged. An incomplete list says nothing about objects that it lacks.
boost::asio::awaitable<listing> list_objects(store_client& store, fleet_state& state,
                                             std::string_view kind, adapter::list_age age);

// Logs and counts `number` objects without a readable name, if there are any.
void report_unnamed(fleet_state& state, std::string_view kind, std::size_t number);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORE_LIST_H_
