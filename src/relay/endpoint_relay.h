// Carries calls of peers that have lost their links to endpoints: sends each over this daemon's own
// link, never through a third daemon, and passes the endpoint's answer back as it arrives.
//
// The peer that admitted the call counts it, retries it and judges the endpoint; this daemon only
// applies what it knows itself: which endpoints are in use, and what they state in their answers.

#ifndef WISTERIAFLOW_SRC_RELAY_ENDPOINT_RELAY_H_
#define WISTERIAFLOW_SRC_RELAY_ENDPOINT_RELAY_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_set>

#include <boost/asio/awaitable.hpp>

#include "relay/endpoint_transport.h"
#include "relay/fleet_state.h"
#include "relay/relay_messages.h"
#include "wisteriaflow/http/server.h"

namespace wisteriaflow::relay {

// Not thread-safe. The state and the transport must outlive it.
class endpoint_relay {
 public:
  endpoint_relay(fleet_state& state, endpoint_transport& transport)
      : state_(state), transport_(transport)
  {
  }

  // Carries one call.
  boost::asio::awaitable<void> serve(http::request received, http::response_writer& writer);

  // Number of calls being carried.
  [[nodiscard]] std::size_t open_calls() const { return open_calls_.size(); }

  // Ends all calls being carried, each with an answer that tells the peer that this daemon, not the
  // endpoint, ended the exchange.
  void end_open_calls();

 private:
  struct carried_call;

  // The endpoint's record if this daemon can send it a call.
  [[nodiscard]] const gateway::endpoint_record*
  usable_endpoint(const endpoint_request& request) const;
  // Sends the call and writes the answer. Returns the result to state if no answer was begun.
  boost::asio::awaitable<std::optional<relay_result>> carry(std::shared_ptr<carried_call> call,
                                                            http::response_writer& writer);
  void apply_statement(const carried_call& call);
  // Frees the place that the call had at the endpoint.
  void release_place(const carried_call& call, std::optional<relay_result> failure) const;

  fleet_state& state_;
  endpoint_transport& transport_;
  std::unordered_set<carried_call*> open_calls_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ENDPOINT_RELAY_H_
