// What the core tells the shells to do.
//
// Each shell takes one variant; the daemon carries it over that shell's ring.

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

// Number of a caller's call within this process.
using call_number = std::uint64_t;

// Number of an exchange with an endpoint within this process.
using exchange_number = std::uint64_t;

// Towards callers.

// Sends a whole response and ends the call.
struct respond {
  call_number call = 0;
  http::response whole;
};

// Starts a streamed response.
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

// Accepts no new connections; open calls go on.
struct stop_accepting {};

using caller_action =
    std::variant<respond, begin_response, write_response, end_response, stop_accepting>;

// Towards endpoints.

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

// Asks an endpoint for its load.
struct poll_load {
  std::string endpoint;
  http::socket_address to;
  mono_time deadline;
};

// Asks an engine for its cache events after a sequence number.
struct poll_cache_events {
  std::string endpoint;
  http::socket_address to;
  std::uint64_t after = 0;
  mono_time deadline;
};

// Closes idle connections, as when an endpoint leaves.
struct forget_address {
  http::socket_address address;
};

using endpoint_action =
    std::variant<start_exchange, cancel_exchange, poll_load, poll_cache_events, forget_address>;

// Towards the platform.

struct call_store {
  store_call_number call = 0;
  store_operation operation;
  mono_time deadline;
};

// Number that ties a cloud API's answer to its call.
using cloud_call_number = std::uint64_t;

// Calls the cloud API.
struct call_cloud {
  cloud_call_number call = 0;
  http::request message;
  mono_time deadline;
};

using platform_action = std::variant<call_store, call_cloud>;

// Towards other daemons.

struct send_to_peer {
  peer_call_number call = 0;
  http::socket_address to;
  peer_request message;
  mono_time deadline;
};

struct reply_to_peer {
  peer_reply_number reply = 0;
  peer_response message;
};

using peer_action = std::variant<send_to_peer, reply_to_peer>;

// Logs.

enum class severity { debug, info, warn, error };

struct log_event {
  severity level = severity::info;
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

// The daemon has nothing left to do and may end.
struct stop_process {};

using process_action = std::variant<log_event, stop_process>;

using action =
    std::variant<caller_action, endpoint_action, platform_action, peer_action, process_action>;

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_ACTIONS_H_
