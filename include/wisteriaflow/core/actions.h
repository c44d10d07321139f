// The actions that daemon_core::handle() returns.
//
// The core performs no I/O. It returns actions, and the I/O components of the daemon perform them.
// There is one component each for callers, endpoints, the platform and peers. Each performs the
// actions of one variant below and gets them through a ring buffer. The daemon itself performs
// process actions.

#ifndef WISTERIAFLOW_CORE_ACTIONS_H_
#define WISTERIAFLOW_CORE_ACTIONS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/core/peer_messages.h"
#include "wisteriaflow/core/store.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::core {

// Identifies an HTTP call from a caller. Unique within this process.
using call_number = std::uint64_t;

// Identifies one request to an endpoint and its response. Unique within this process.
using exchange_number = std::uint64_t;

// Actions towards callers, performed by the HTTP server.

// Sends a complete response and ends the call.
struct respond {
  call_number call = 0;
  http::response response;
};

// Sends the head of a streamed response. write_response and end_response complete it.
struct begin_response {
  call_number call = 0;
  http::response head;
};

struct write_response {
  call_number call = 0;
  std::string bytes;
};

struct end_response {
  call_number call = 0;
};

// Stops accepting connections. Open calls continue.
struct stop_accepting {};

using caller_action =
    std::variant<respond, begin_response, write_response, end_response, stop_accepting>;

// Actions towards endpoints.

// Sends `message` to an endpoint. With `streamed`, body bytes are reported as they arrive.
struct start_exchange {
  exchange_number exchange = 0;
  http::socket_address to;
  http::request message;
  mono_time deadline;
  bool streamed = false;
};

struct cancel_exchange {
  exchange_number exchange = 0;
};

// Requests an endpoint's load report.
struct poll_load {
  std::string endpoint;
  http::socket_address to;
  mono_time deadline;
};

// Requests an engine's cache events that follow the sequence number `after`.
struct poll_cache_events {
  std::string endpoint;
  http::socket_address to;
  std::uint64_t after = 0;
  mono_time deadline;
};

// Closes the idle connections to an address, for example of an endpoint that has left.
struct close_idle_connections {
  http::socket_address address;
};

using endpoint_action = std::variant<start_exchange, cancel_exchange, poll_load, poll_cache_events,
                                     close_idle_connections>;

// Actions towards the platform: calls of the object API and the cloud API.

// Calls the object API. The result comes as a store_answer.
struct call_store {
  store_call_number call = 0;
  store_operation operation;
  mono_time deadline;
};

// Matches a cloud_answer with its call_cloud.
using cloud_call_number = std::uint64_t;

// Calls the cloud API. The result comes as a cloud_answer.
struct call_cloud {
  cloud_call_number call = 0;
  http::request message;
  mono_time deadline;
};

using platform_action = std::variant<call_store, call_cloud>;

// Actions towards other daemons.

// Calls a peer. The result comes as peer_response_received or peer_call_failed.
struct send_to_peer {
  peer_call_number call = 0;
  http::socket_address to;
  peer_request message;
  mono_time deadline;
};

// Answers a peer's call, which came as peer_request_received.
struct reply_to_peer {
  peer_reply_number reply = 0;
  peer_response message;
};

using peer_action = std::variant<send_to_peer, reply_to_peer>;

// Actions that concern the process.

enum class severity { debug, info, warn, error };

// Writes one log line with its fields as key-value pairs.
struct log_event {
  severity level = severity::info;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Ends the process. The daemon has drained.
struct stop_process {};

using process_action = std::variant<log_event, stop_process>;

using action =
    std::variant<caller_action, endpoint_action, platform_action, peer_action, process_action>;

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_ACTIONS_H_
