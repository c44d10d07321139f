// Keeps what held contents are held for in the platform's store, so that it outlasts all daemons,
// and reads what others have written there.
//
// One object for each held content, written by the daemons that lead. Everything else that is known
// of crashes travels between daemons alone.

#ifndef WISTERIAFLOW_SRC_RELAY_CRASH_STORE_H_
#define WISTERIAFLOW_SRC_RELAY_CRASH_STORE_H_

#include <cstddef>
#include <map>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/crash_suspects.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class crash_store {
 public:
  crash_store(boost::asio::io_context& context, fleet_state& state, store_client& store)
      : context_(context), state_(state), store_(store)
  {
  }

  // Starts to read and write. Never ends.
  void start();

 private:
  boost::asio::awaitable<void> run();
  // Each of these returns whether the store has done what it was asked.
  boost::asio::awaitable<bool> read();
  boost::asio::awaitable<bool> write_holds();
  boost::asio::awaitable<bool> write(gateway::content_id content, std::size_t ended);
  boost::asio::awaitable<bool> remove_needless();

  // Takes an object's content in. Returns how many ends it tells of; none if it is unreadable.
  std::size_t take(const std::string& name, const boost::json::value& spec);
  [[nodiscard]] bool is_read_due(mono_time now) const;
  // Whether the leads have anything to write or to remove.
  [[nodiscard]] bool has_work();

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  std::map<gateway::content_id, std::size_t> stored_; // with the ends that the object tells of
  mono_time next_read_;
  bool was_read_ = false;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CRASH_STORE_H_
