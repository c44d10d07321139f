// Persists holds in the platform's store, so that they survive the end of all daemons, and reads
// the holds that other daemons wrote. A hold keeps requests whose content, or a part of whose
// prompt, crashed several endpoints from being sent to more of them; see crash_suspects.h.
//
// The store has one object for each hold, with the crashes behind it. The coordinator
// daemons write it. Everything else that is known of crashes is exchanged between daemons only.

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

// Keeps the crashes in `state` and the objects in the store in step. Not thread-safe.
class crash_store {
 public:
  crash_store(boost::asio::io_context& context, fleet_state& state, store_client& store)
      : context_(context), state_(state), store_(store)
  {
    store_.add_restore_callback([this] {
      stored_.clear();
      initial_read_done_ = false;
    });
  }

  // Starts a coroutine that reads and writes until the context stops. Call it once; the object must
  // outlive the context's run.
  void start();

 private:
  // What an object says of a hold.
  struct stored_hold {
    std::size_t crashes = 0;
    bool is_contested = false;

    // Whether it lacks what `other` says.
    [[nodiscard]] bool is_behind(const stored_hold& other) const
    {
      return crashes < other.crashes || (other.is_contested && !is_contested);
    }
  };

  boost::asio::awaitable<void> run();
  // Each of these returns whether all its calls to the store succeeded.
  boost::asio::awaitable<bool> read_holds();
  boost::asio::awaitable<bool> write_holds();
  boost::asio::awaitable<bool> write_hold(gateway::crash_suspect suspect, stored_hold hold);
  boost::asio::awaitable<bool> remove_expired_holds();

  // Merges an object into the known crashes. Returns what it says, nothing if it is unreadable.
  stored_hold merge(const std::string& name, const boost::json::value& spec);
  [[nodiscard]] bool is_read_due(mono_time now) const;
  // Whether there may be an object to write or to remove.
  [[nodiscard]] bool has_pending_writes();

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  std::map<gateway::crash_suspect, stored_hold> stored_; // the objects in the store
  mono_time next_read_at_;
  bool initial_read_done_ = false;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_CRASH_STORE_H_
