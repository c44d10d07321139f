// Keeps the origins of this daemon's open streams in the platform's store while a service has
// several software versions, or the record of its versions is not complete, so that callers can
// resume them after the end of all daemons, and reads the origins that other processes stored.
//
// The store has one object for each process that has such streams. It is written some hundred
// milliseconds after a stream has started: the origin of a stream that started just before the end
// of all daemons stays unknown.
//
//   origin_store stored(context, state, store);
//   stored.on_started(stream);              // with its first event
//   stored.on_completed(stream);            // with its last event
//   co_await stored.read(deadline);         // then stored.find(id, now)

#ifndef WISTERIAFLOW_SRC_RELAY_ORIGIN_STORE_H_
#define WISTERIAFLOW_SRC_RELAY_ORIGIN_STORE_H_

#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/completion.h"
#include "relay/fleet_state.h"
#include "relay/store_client.h"
#include "store_calls.h"
#include "wisteriaflow/gateway/open_streams.h"
#include "wisteriaflow/gateway/stream_origins.h"

namespace wisteriaflow::relay {

// Not thread-safe.
class origin_store {
 public:
  origin_store(boost::asio::io_context& context, fleet_state& state, store_client& store);

  // Starts coroutines that read once and then keep the objects until the context stops.
  void start();

  // A stream of this daemon has started, or its answer has been sent to its end.
  void on_started(gateway::started_stream stream);
  void on_completed(const gateway::stream_id& stream);

  // Whether this daemon reads for itself. In a large fleet the coordinators read for all.
  [[nodiscard]] bool is_reader(mono_time now) const;
  // Whether this daemon is one of the few that read for all.
  [[nodiscard]] bool reads_for_others(mono_time now) const;

  // Reads what the store holds, unless that was done just before. Waits for it until the deadline
  // at most.
  boost::asio::awaitable<void> read(mono_time deadline);

  // The origin that another process has stored.
  [[nodiscard]] gateway::origin_lookup find(const gateway::stream_id& stream, mono_time now) const
  {
    return found_.find(stream, now);
  }

 private:
  // One reading of what the store holds, for all that wait for it.
  struct reading {
    completion done;
    bool succeeded = false;
  };

  // The object of another process.
  struct foreign_object {
    gateway::store_revision revision;
    mono_time unchanged_since;
  };

  boost::asio::awaitable<void> keep_own();
  boost::asio::awaitable<void> keep_others();
  boost::asio::awaitable<bool> write(gateway::origins_by_version origins);
  boost::asio::awaitable<bool> read_all();
  // The reading in progress; begins one if there is none.
  std::shared_ptr<reading> join_reading();
  boost::asio::awaitable<void> read_into(std::shared_ptr<reading> into);
  // Joins a reading and waits for its end. Returns whether it succeeded.
  boost::asio::awaitable<bool> read_to_end();
  boost::asio::awaitable<void> remove_abandoned();
  // Takes over the origins in an object. Returns how many there are.
  std::size_t merge(const adapter::stored_object& object, mono_time now);
  // The origins that the store should hold for this process.
  [[nodiscard]] gateway::origins_by_version own_origins(mono_time now) const;
  [[nodiscard]] bool has_several_versions(mono_time now) const;

  boost::asio::io_context& context_;
  fleet_state& state_;
  store_client& store_;
  std::string own_name_;
  gateway::open_streams open_{{}};
  gateway::origins_by_version written_; // what the own object holds
  mono_time written_at_;
  gateway::store_revision own_revision_;         // of the own object; 0: there may be none
  std::map<std::string, foreign_object> others_; // by name
  mono_time next_read_at_;
  gateway::stream_origins found_{{}}; // in the objects of other processes
  std::shared_ptr<reading> reading_;  // null while nothing is being read
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ORIGIN_STORE_H_
