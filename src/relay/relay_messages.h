// Messages by which a daemon sends a call to an endpoint through a peer.
//
// The request is the endpoint's own, at the target `relay_target`, with header fields that name the
// endpoint and the original target. The answer is the endpoint's, or the peer's own if there is
// none; a field of it states which.

#ifndef WISTERIAFLOW_SRC_RELAY_RELAY_MESSAGES_H_
#define WISTERIAFLOW_SRC_RELAY_RELAY_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::relay {

inline constexpr std::string_view relay_target = "/relay";

// A request to be sent to an endpoint.
struct endpoint_request {
  endpoint_id endpoint;
  std::string version;    // of its software, as the sender knows it; empty: not stated
  std::string request_id; // for the log
  mono_time deadline;
  http::request message;

  friend bool operator==(const endpoint_request&, const endpoint_request&) = default;
};

// What became of a request at a peer.
enum class relay_result {
  answered,    // the endpoint's answer follows
  refused,     // not sent: the peer has no room, or does not know the endpoint as one in use, or
               // knows it at another version
  unreachable, // not sent: the peer cannot connect to the endpoint either
  interrupted, // may have run: the endpoint ended the exchange before its answer
  timed_out,   // may have run: no answer before the deadline
  abandoned,   // may have run: the peer's process ends before the endpoint's answer
};

[[nodiscard]] std::string_view to_string(relay_result result);

// The deadline travels as the time left.
[[nodiscard]] http::request encode_relay_request(endpoint_request request, mono_time now);
// Returns nullopt if `message` is no such request.
[[nodiscard]] std::optional<endpoint_request> decode_relay_request(http::request message,
                                                                   mono_time now);

// Makes the head of an endpoint's answer, or an answer of the peer itself, state `result`.
[[nodiscard]] http::response with_relay_result(http::response head, relay_result result);
// Returns nullopt if the head does not state a result: the sender is no relay.
[[nodiscard]] std::optional<relay_result> relay_result_of(const http::response& head);
// Returns the endpoint's own head.
[[nodiscard]] http::response without_relay_result(http::response head);

} // namespace wisteriaflow::relay

#endif // WISTERIAFLOW_SRC_RELAY_RELAY_MESSAGES_H_
