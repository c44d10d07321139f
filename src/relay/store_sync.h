// Follows the configuration and the endpoints in the store, and enters this daemon there.

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

  // Starts to follow. Never ends.
  void start();

  // Removes this daemon's entry; once, at the end of a drain.
  boost::asio::awaitable<void> withdraw();

 private:
  boost::asio::awaitable<void> follow_configuration();
  boost::asio::awaitable<void> follow_endpoints();
  boost::asio::awaitable<void> follow_daemons();
  // The changes after a revision; none of them unless `result` says done.
  struct change_reading {
    adapter::store_result result = adapter::store_result::failed;
    adapter::change_page page;
  };

  boost::asio::awaitable<change_reading> read_changes(std::string_view kind, std::uint64_t revision,
                                                      std::chrono::milliseconds wait);
  // For how long the next watch of the configuration waits.
  [[nodiscard]] std::chrono::milliseconds configuration_wait() const;
  boost::asio::awaitable<void> watch_configuration(std::uint64_t revision);
  // Reads changes whenever they are due, until the store has forgotten some of them.
  boost::asio::awaitable<void> watch_endpoints();
  boost::asio::awaitable<void> wait_until_due();
  boost::asio::awaitable<void> enter();
  void take_endpoints(const listing& all);
  // Takes change `i` of a page.
  // Takes a list in with what has changed since it was true. False if that is not to be had.
  boost::asio::awaitable<bool> take_list_and_changes(const listing& all);
  void take_endpoint_changes(const adapter::change_page& page);
  // Takes in what has changed up to a question of `asked_at`.
  void take_read(const adapter::change_page& page, mono_time asked_at);
  void take_endpoint_change(const adapter::change_page& page, std::size_t i);
  // An endpoint's entry cannot be used: what it named before is withdrawn.
  void reject(const adapter::stored_object& entry, std::uint64_t revision,
              const std::string& reason);
  void on_store_return();

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  std::map<std::string, std::uint64_t> rejected_; // entries in the log, with their revision
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_STORE_SYNC_H_
