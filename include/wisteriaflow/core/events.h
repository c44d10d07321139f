// The events that the daemon's I/O components pass to daemon_core::handle().
//
// The result of an action that makes a call is an event that carries the number of the call.

#ifndef WISTERIAFLOW_CORE_EVENTS_H_
#define WISTERIAFLOW_CORE_EVENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/core/actions.h"
#include "wisteriaflow/core/peer_messages.h"
#include "wisteriaflow/core/store.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::core {

// Events of callers.

struct call_received {
  call_number call = 0;
  http::request message;
};

// The caller closed its connection before its response ended.
struct caller_closed {
  call_number call = 0;
};

// Events of endpoints.

struct exchange_head {
  exchange_number exchange = 0;
  http::response head;
};

struct exchange_bytes {
  exchange_number exchange = 0;
  std::string bytes;
};

struct exchange_ended {
  exchange_number exchange = 0;
};

// How an exchange failed. Only `not_sent` guarantees that the endpoint received no byte of the
// request.
enum class exchange_failure { not_sent, interrupted, timed_out };

struct exchange_failed {
  exchange_number exchange = 0;
  exchange_failure failure = exchange_failure::interrupted;
};

// The answer to poll_load. `reached` is false if the endpoint did not answer.
struct load_reported {
  std::string endpoint;
  bool reached = false;
  boost::json::value report;
};

// The answer to poll_cache_events: which prefixes an engine stored in its cache or evicted. Events
// arrive late, and some may be missing.
struct cache_events_reported {
  std::string endpoint;
  boost::json::value report;
};

// Events of the platform.

// The complete list of declared objects (the configuration) at a version of the store.
struct declarations_listed {
  std::uint64_t version = 0;
  std::vector<store_object> objects;
};

// One change of a declared object, from a watch of the store.
struct declaration_changed {
  bool deleted = false;
  store_object object;
};

// The platform's instance list.
struct instances_listed {
  boost::json::value document;
};

// Reclaim notices of the cloud API.
struct notices_received {
  boost::json::value document;
};

// The result of call_cloud. If `reached` is false, there was no response, and the call may still
// have taken effect.
struct cloud_answer {
  cloud_call_number call = 0;
  bool reached = false;
  http::response response;
};

// Events of peers.

// A peer's call, to be answered with reply_to_peer. `bytes` is the size of the message on the wire
// without framing.
struct peer_request_received {
  peer_reply_number reply = 0;
  peer_request message;
  std::size_t bytes = 0;
};

// The response to send_to_peer.
struct peer_response_received {
  peer_call_number call = 0;
  peer_response message;
  std::size_t bytes = 0;
};

// The peer did not answer a call. It may still have processed it.
struct peer_call_failed {
  peer_call_number call = 0;
};

// The daemon must drain: its instance will be released, or an operator stops the process.
struct drain_requested {};

// No event but the passage of time: runs the timers that are due.
struct ticked {};

using event = std::variant<call_received, caller_closed, exchange_head, exchange_bytes,
                           exchange_ended, exchange_failed, load_reported, cache_events_reported,
                           store_answer, declarations_listed, declaration_changed, instances_listed,
                           notices_received, cloud_answer, peer_request_received,
                           peer_response_received, peer_call_failed, drain_requested, ticked>;

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_EVENTS_H_
