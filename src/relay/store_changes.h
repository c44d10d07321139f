// Reads the changes of the objects of one kind from the platform's store.

#ifndef WISTERIAFLOW_SRC_RELAY_STORE_CHANGES_H_
#define WISTERIAFLOW_SRC_RELAY_STORE_CHANGES_H_

#include <chrono>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "store_calls.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/store_revision.h"

namespace wisteriaflow::relay {

// Result of a reading. `page` is set only if `result` is `done`.
struct changes_reading {
  adapter::store_result result = adapter::store_result::failed;
  adapter::change_page page;
};

// Waits at most for `wait` for changes of `kind`, which must stay valid meanwhile, after
// `revision`. The result is `expired` if the store no longer has them all, was restored, or gave an
// unreadable answer: the caller lists the objects again. It is `failed` if the changes lead no
// further than `revision`: reading on from there would return them again.
boost::asio::awaitable<changes_reading> read_changes(store_client& store, fleet_state& state,
                                                     std::string_view kind,
                                                     gateway::store_revision revision,
                                                     std::chrono::milliseconds wait);

// Waits until a loop that found no change at once may read again. A store that does not wait for
// changes would otherwise be called without a pause.
boost::asio::awaitable<void> pause_if_unchanged(const adapter::change_page& page,
                                                mono_time asked_at);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORE_CHANGES_H_
