// Writes one object of the platform's store that several daemons may write.

#ifndef WISTERIAFLOW_SRC_RELAY_STORED_OBJECT_H_
#define WISTERIAFLOW_SRC_RELAY_STORED_OBJECT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "store_calls.h"
#include "wisteriaflow/gateway/store_revision.h"

namespace wisteriaflow::relay {

struct object_write {
  std::string_view kind; // must stay valid until the write has ended
  std::string name;
  boost::json::value spec;
  // Decides what replaces an object that another daemon has written; nothing if it may stay.
  std::function<std::optional<boost::json::value>(const adapter::stored_object& present)> merge;
  // Of the object as this daemon last wrote it; 0: the object is to be created.
  gateway::store_revision last_revision = {};
};

// Creates the object or replaces the present one. Returns the revision at which the store holds the
// result; nothing if another daemon wrote at the same time, or the store did not answer: the caller
// then tries again.
boost::asio::awaitable<std::optional<gateway::store_revision>>
create_or_replace(store_client& store, fleet_state& state, object_write wanted);

// Removes the object. Returns whether the store does not hold it any more.
boost::asio::awaitable<bool> remove_object(store_client& store, std::string_view kind,
                                           std::string name);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORED_OBJECT_H_
