#include "relay/endpoint_transport.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <string>
#include <utility>
#include <variant>

#include "wisteriaflow/http/status.h"

namespace wisteriaflow::relay {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

// Opening a connection to an endpoint or a peer takes about 1 ms. One that has not accepted it
// within this time is considered unreachable.
constexpr milliseconds connect_timeout{250};
// A TCP stack that acknowledges nothing for this long has lost power or its network.
constexpr milliseconds unacknowledged_timeout{1'500};
constexpr milliseconds max_idle_time{4'000};
constexpr std::size_t max_idle_connections = 8;
// Peers that one exchange tries, until one passes it on.
constexpr unsigned max_peers_tried = 3;

// The peer has passed nothing on: it cannot be reached, or refused the call.
class relay_refused_error : public http::connect_error {
 public:
  using connect_error::connect_error;
};

} // namespace

endpoint_transport::endpoint_transport(asio::io_context& context, fleet_state& state,
                                       link_checker& checker)
    : state_(state), checker_(checker),
      endpoint_client_(context, {.idle_connections_per_address = max_idle_connections,
                                 .idle_timeout = max_idle_time,
                                 .connect_timeout = connect_timeout,
                                 .unacknowledged_timeout = unacknowledged_timeout,
                                 .retry_stale_get = false,
                                 .require_keep_alive_timeout = true}),
      peer_client_(context, {.idle_connections_per_address = max_idle_connections,
                             .connect_timeout = connect_timeout,
                             .unacknowledged_timeout = unacknowledged_timeout,
                             .retry_stale_get = false}),
      relays_({.zone = state.options.zone, .seed = state.seed()})
{
}

asio::awaitable<void> endpoint_transport::exchange(endpoint_request request,
                                                   http::socket_address address, own_link link,
                                                   http::stream_observer observer,
                                                   http::cancel_handle& handle,
                                                   std::optional<daemon_id>& relay)
{
  const bool is_lost = state_.links.is_lost(request.endpoint);
  if (is_lost) {
    endpoint_client_.close_idle_connections(address); // they may have died with the link
  }
  const bool is_outdated = state_.feed.is_outdated(std::chrono::steady_clock::now());
  if (is_outdated) {
    state_.counters.count("calls_with_outdated_view");
  }
  if (is_lost || link != own_link::preferred || is_outdated) {
    const auto result = co_await exchange_through_peers(request, observer, handle, relay);
    if (result.is_sent) {
      co_return;
    }
    const bool is_link_usable = link == own_link::avoided && !is_lost && !is_outdated;
    if (!result.refusal.empty() && !is_link_usable) {
      throw http::connect_error(result.refusal);
    }
    relay.reset();
  }
  if (link == own_link::barred) {
    throw http::connect_error("no peer may send a request to " + request.endpoint.value());
  }
  co_await exchange_directly(std::move(request), std::move(address), std::move(observer), handle);
}

std::vector<gateway::daemon_contact> endpoint_transport::senders_to(const endpoint_id& id,
                                                                    mono_time now) const
{
  auto out = state_.peers.live(now);
  if (const auto holders = state_.endpoints.place_holders(id)) {
    std::erase_if(out, [&holders](const gateway::daemon_contact& peer) {
      return std::find(holders->begin(), holders->end(), peer.id) == holders->end();
    });
  }
  return out;
}

asio::awaitable<endpoint_transport::peers_result> endpoint_transport::exchange_through_peers(
    const endpoint_request& request, const http::stream_observer& observer,
    http::cancel_handle& handle, std::optional<daemon_id>& relay)
{
  peers_result out;
  auto senders = senders_to(request.endpoint, std::chrono::steady_clock::now());
  for (unsigned tried = 0; tried < max_peers_tried; ++tried) {
    auto choice = relays_.choose(senders, std::chrono::steady_clock::now());
    if (const auto* none = std::get_if<gateway::no_relay_peer>(&choice)) {
      if (*none == gateway::no_relay_peer::no_room && out.refusal.empty()) {
        out.refusal = "no peer has room for a call";
      }
      break;
    }
    auto& peer = std::get<gateway::daemon_contact>(choice);
    relay = peer.id;
    std::erase_if(senders, [&peer](const auto& other) { return other.id == peer.id; });
    try {
      co_await exchange_through(std::move(peer), request, observer, handle);
      out.is_sent = true;
      break;
    } catch (const relay_refused_error& e) {
      out.refusal = e.what();
    }
  }
  co_return out;
}

asio::awaitable<void> endpoint_transport::exchange_directly(endpoint_request request,
                                                            http::socket_address address,
                                                            http::stream_observer observer,
                                                            http::cancel_handle& handle)
{
  const auto began_at = std::chrono::steady_clock::now();
  http::stream_observer own{.is_expected = observer.is_expected};
  own.on_head = [this, &observer](const http::response& head) {
    state_.links.on_received(std::chrono::steady_clock::now());
    observer.on_head(head);
  };
  own.on_bytes_async = [this, &observer](std::string_view bytes) {
    state_.links.on_received(std::chrono::steady_clock::now());
    return observer.on_bytes_async(bytes);
  };
  try {
    co_await endpoint_client_.stream(std::move(address), std::move(request.message),
                                     request.deadline, std::move(own), &handle);
  } catch (const http::connect_error& e) {
    if (began_at < request.deadline) { // otherwise no connection was tried
      checker_.on_connect_failure(request.endpoint, began_at);
    }
    throw;
  }
}

asio::awaitable<void> endpoint_transport::exchange_through(gateway::daemon_contact peer,
                                                           endpoint_request request,
                                                           http::stream_observer observer,
                                                           http::cancel_handle& handle)
{
  const auto endpoint = request.endpoint;
  const auto deadline = request.deadline;
  relayed_answer answer;
  http::stream_observer own;
  own.is_expected = [&observer](const http::response& head) {
    return relay_result_of(head) != relay_result::answered || observer.is_expected(head);
  };
  own.on_head = [&observer, &answer](const http::response& head) {
    answer = {.status = head.status, .result = relay_result_of(head)};
    if (answer.result == relay_result::answered) {
      observer.on_head(without_relay_result(head));
    }
  };
  own.on_bytes_async = [&observer, &answer](std::string_view bytes) -> asio::awaitable<void> {
    if (answer.result == relay_result::answered) {
      co_await observer.on_bytes_async(bytes);
    }
  };
  auto message = encode_relay_request(std::move(request), std::chrono::steady_clock::now());
  relays_.on_started(peer.id);
  auto end = gateway::relay_end::carried;
  std::string label = "failed";
  std::exception_ptr failure;
  try {
    co_await peer_client_.stream(peer.peer_address, std::move(message), deadline, std::move(own),
                                 &handle);
    label = answer.result ? std::string(to_string(*answer.result)) : "not_understood";
    // A peer without a free place at one endpoint may have room for other calls.
    if (is_refused(answer) && !state_.endpoints.place_holders(endpoint)) {
      end = gateway::relay_end::refused;
    }
  } catch (const http::connect_error& e) {
    if (std::chrono::steady_clock::now() < deadline) { // otherwise there was no time to connect
      end = gateway::relay_end::no_answer;
    }
    failure = std::make_exception_ptr(relay_refused_error(e.what()));
  } catch (const http::exchange_timeout_error& e) {
    failure = std::current_exception(); // the endpoint may be slow
  } catch (const http::broken_exchange_error& e) {
    if (answer.status == 0 && !handle.is_cancelled()) {
      end = gateway::relay_end::no_answer;
    }
    failure =
        std::make_exception_ptr(relay_lost_error("through " + peer.id.value() + ": " + e.what()));
  } catch (...) {
    failure = std::current_exception();
  }
  relays_.on_ended(peer.id, end, std::chrono::steady_clock::now());
  state_.counters.count("relayed_calls", {{"result", label}});
  if (failure) {
    std::rethrow_exception(failure);
  }
  check_result(answer, endpoint);
}

bool endpoint_transport::is_refused(const relayed_answer& answer)
{
  // A peer of an earlier version knows nothing at the target.
  return answer.result == relay_result::refused ||
         (!answer.result && answer.status == http::status::not_found);
}

void endpoint_transport::check_result(const relayed_answer& answer, const endpoint_id& endpoint)
{
  if (is_refused(answer)) {
    throw relay_refused_error("no peer passed on the call to " + endpoint.value());
  }
  if (!answer.result) { // the peer failed, and may have sent the request before
    throw relay_lost_error("the peer answered with status " + std::to_string(answer.status));
  }
  switch (*answer.result) {
  case relay_result::answered:
  case relay_result::refused:
    return;
  case relay_result::unreachable:
    throw endpoint_unreachable_error("the peer cannot connect to " + endpoint.value() + " either");
  case relay_result::interrupted:
    throw http::broken_exchange_error("the exchange between the peer and " + endpoint.value() +
                                      " broke off");
  case relay_result::abandoned:
    throw relay_lost_error("the peer's process ended before the answer of " + endpoint.value());
  case relay_result::timed_out:
    throw http::exchange_timeout_error("no answer to the peer from " + endpoint.value() +
                                       " in time");
  }
}

} // namespace wisteriaflow::relay
