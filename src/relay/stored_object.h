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

namespace wisteriaflow::relay {

// Decides what replaces an object that another daemon has written; nothing if it may stay as it is.
using object_merge =
    std::function<std::optional<boost::json::value>(const adapter::stored_object& present)>;

// Creates the object, or replaces the present one by what `merge` returns for it. Returns whether
// the store holds the result. If another daemon writes at the same time, or the store does not
// answer, it returns false, and the caller tries again. `kind` must stay valid until then.
boost::asio::awaitable<bool> create_or_replace(store_client& store, fleet_state& state,
                                               std::string_view kind, std::string name,
                                               boost::json::value spec, object_merge merge);

// Removes the object. Returns whether the store does not hold it any more.
boost::asio::awaitable<bool> remove_object(store_client& store, std::string_view kind,
                                           std::string name);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORED_OBJECT_H_
