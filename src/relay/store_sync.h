// Follows the configuration and the endpoints in the store, and registers this daemon there.

#ifndef WISTERIAFLOW_SRC_RELAY_STORE_SYNC_H_
#define WISTERIAFLOW_SRC_RELAY_STORE_SYNC_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "relay/store_list.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class store_sync {
 public:
  store_sync(boost::asio::io_context& context, fleet_state& state, store_client& store);

  // Starts to follow the store. Never ends.
  void start();

  // Removes this daemon's entry from the store; call once, at the end of a drain.
  boost::asio::awaitable<void> deregister_daemon();

 private:
  boost::asio::awaitable<void> follow_configuration();
  boost::asio::awaitable<void> follow_endpoints();
  boost::asio::awaitable<void> follow_daemons();
  // Maximum wait of the next configuration watch.
  [[nodiscard]] std::chrono::milliseconds configuration_wait() const;
  boost::asio::awaitable<void> watch_configuration(gateway::store_revision revision);
  // Reads changes whenever they are due. Returns when the store no longer has the history since the
  // last read.
  boost::asio::awaitable<void> watch_endpoints();
  boost::asio::awaitable<void> wait_until_due();
  boost::asio::awaitable<void> register_daemon();
  void apply_endpoint_list(const listing& all);
  // Applies a list together with the changes made since it was current. Returns false if these
  // changes cannot be read.
  boost::asio::awaitable<bool> apply_list_and_changes(const listing& all);
  void apply_endpoint_changes(const adapter::change_page& page);
  // Applies the changes read by a request that was sent at `asked_at`.
  void apply_page(const adapter::change_page& page, mono_time asked_at);
  // Applies change `i` of a page.
  void apply_endpoint_change(const adapter::change_page& page, std::size_t i);
  // Whether the entry is that of an endpoint; logs it if not.
  bool is_endpoint(const adapter::stored_object& entry);
  // Handles an endpoint's entry that cannot be used: logs it, and removes the endpoint as of
  // `revision`.
  void reject_endpoint(const adapter::stored_object& entry, gateway::store_revision revision,
                       const std::string& reason);
  // Logs each revision of an entry once.
  void log_rejection(const adapter::stored_object& entry, const std::string& reason);
  void on_store_recovery();
  void on_store_restored();

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  // A list that may be stale could show the store as it was before it was restored.
  adapter::list_age endpoint_list_age_ = adapter::list_age::may_be_stale;
  std::map<std::uint64_t, gateway::store_revision> logged_rejections_; // by hash of the name
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORE_SYNC_H_
