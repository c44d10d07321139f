// Carries exchanges with endpoints: over this daemon's own link, or through a peer while that link
// is lost.
//
//   endpoint_transport transport(context, state, checker);
//   co_await transport.exchange({.endpoint = id, ...}, address, {}, observer, handle, relay);

#ifndef WISTERIAFLOW_SRC_RELAY_ENDPOINT_TRANSPORT_H_
#define WISTERIAFLOW_SRC_RELAY_ENDPOINT_TRANSPORT_H_

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "relay/fleet_state.h"
#include "relay/link_checker.h"
#include "relay/relay_messages.h"
#include "wisteriaflow/gateway/relay_peers.h"
#include "wisteriaflow/http/client.h"
#include "wisteriaflow/http/errors.h"

namespace wisteriaflow::relay {

// Nothing was sent: neither this daemon nor the peer could connect to the endpoint.
class endpoint_unreachable_error : public http::connect_error {
 public:
  using connect_error::connect_error;
};

// The exchange with the peer broke off after the request may have been sent. Nothing is known about
// the endpoint.
class relay_lost_error : public http::broken_exchange_error {
 public:
  using broken_exchange_error::broken_exchange_error;
};

// Not thread-safe. The state and the checker must outlive it.
class endpoint_transport {
 public:
  endpoint_transport(boost::asio::io_context& context, fleet_state& state, link_checker& checker);

  // Whether this daemon may send a request itself.
  enum class own_link {
    preferred,
    avoided, // a peer is preferred, even if the link is not known to be lost
    barred,  // only a peer may send it
  };

  // Sends the request to the endpoint and passes its answer to `observer`, like
  // http::client::stream(). `relay` is set to the peer that carries the exchange, if one does.
  // `observer` must receive body bytes by on_bytes_async.
  boost::asio::awaitable<void> exchange(endpoint_request request, http::socket_address address,
                                        own_link link, http::stream_observer observer,
                                        http::cancel_handle& handle,
                                        std::optional<daemon_id>& relay);

  // The same over this daemon's own link only.
  boost::asio::awaitable<void> exchange_directly(endpoint_request request,
                                                 http::socket_address address,
                                                 http::stream_observer observer,
                                                 http::cancel_handle& handle);

  [[nodiscard]] link_checker& links() { return checker_; }

 private:
  // The answer of a peer so far.
  struct relayed_answer {
    int status = 0; // 0: no head was received
    std::optional<relay_result> result;
  };

  // Whether a peer carried a call.
  struct peers_result {
    bool is_sent = false;
    std::string refusal; // why none did; empty if there was none to try
  };

  // The live daemons that may send requests to the endpoint.
  [[nodiscard]] std::vector<gateway::daemon_contact> senders_to(const endpoint_id& id,
                                                                mono_time now) const;
  // Throws what the exchange with the peer that carried the call throws.
  boost::asio::awaitable<peers_result> exchange_through_peers(const endpoint_request& request,
                                                              const http::stream_observer& observer,
                                                              http::cancel_handle& handle,
                                                              std::optional<daemon_id>& relay);
  boost::asio::awaitable<void> exchange_through(gateway::daemon_contact peer,
                                                endpoint_request request,
                                                http::stream_observer observer,
                                                http::cancel_handle& handle);
  // Throws the exception that corresponds to the result, unless the endpoint has answered.
  static void check_result(const relayed_answer& answer, const endpoint_id& endpoint);
  // Whether the peer has certainly sent nothing to the endpoint.
  [[nodiscard]] static bool is_refused(const relayed_answer& answer);

  fleet_state& state_;
  link_checker& checker_;
  http::client endpoint_client_;
  http::client peer_client_;
  gateway::relay_peers relays_;
};

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_ENDPOINT_TRANSPORT_H_
