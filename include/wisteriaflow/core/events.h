// What the shells tell the core.

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

// From callers.

struct call_received {
  call_number call = 0;
  http::request message;
};

// The caller closed its connection before its response ended.
struct caller_closed {
  call_number call = 0;
};

// From endpoints.

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

// How an exchange failed. Only `not_sent` is sure that the endpoint has seen no byte of it.
enum class exchange_failure { not_sent, broken, timed_out };

struct exchange_failed {
  exchange_number exchange = 0;
  exchange_failure failure = exchange_failure::broken;
};

// An endpoint's own report of its load; `reached` false if it did not answer.
struct load_reported {
  std::string endpoint;
  bool reached = false;
  boost::json::value report;
};

// What entered and left an engine's cache: late, and perhaps with gaps.
struct cache_events_reported {
  std::string endpoint;
  boost::json::value report;
};

// From the platform.

struct declarations_listed {
  std::uint64_t version = 0;
  std::vector<store_object> objects;
};

struct declaration_changed {
  bool deleted = false;
  store_object object;
};

struct instances_listed {
  boost::json::value document;
};

struct notices_received {
  boost::json::value document;
};

// The cloud API's answer; after `reached` false the call may have taken effect.
struct cloud_answer {
  cloud_call_number call = 0;
  bool reached = false;
  http::response whole;
};

// From peers.

// `bytes` is the message's size on the wire, without framing.
struct peer_asked {
  peer_reply_number reply = 0;
  peer_request message;
  std::size_t bytes = 0;
};

struct peer_answered {
  peer_call_number call = 0;
  peer_response message;
  std::size_t bytes = 0;
};

// The peer did not answer; what was asked may have been done.
struct peer_failed {
  peer_call_number call = 0;
};

// The instance is to be given back, or an operator stops the process.
struct drain_requested {};

// Time passed.
struct ticked {};

using event =
    std::variant<call_received, caller_closed, exchange_head, exchange_bytes, exchange_ended,
                 exchange_failed, load_reported, cache_events_reported, store_answer,
                 declarations_listed, declaration_changed, instances_listed, notices_received,
                 cloud_answer, peer_asked, peer_answered, peer_failed, drain_requested, ticked>;

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_EVENTS_H_
