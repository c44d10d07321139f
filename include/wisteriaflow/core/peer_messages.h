// The messages between daemons as plain structs. The peer package converts them to protocol buffers
// and sends them with gRPC.

#ifndef WISTERIAFLOW_CORE_PEER_MESSAGES_H_
#define WISTERIAFLOW_CORE_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/claims/claim.h"
#include "wisteriaflow/http/message.h"
#include "wisteriaflow/membership/messages.h"
#include "wisteriaflow/objects/configuration_store.h"
#include "wisteriaflow/requests/request_actions.h"

namespace wisteriaflow::core {

// Identifies a call from this daemon to a peer. Unique within this process.
using peer_call_number = std::uint64_t;

// Identifies a call from a peer that waits for this daemon's reply.
using peer_reply_number = std::uint64_t;

// Asks the executor of a claim for the state of the request that it claimed with `nonce`. With
// nonce 0, asks a replica of the answer directory which daemon runs the request of `key`.
struct request_query {
  hash128 key;
  std::uint64_t nonce = 0;

  friend bool operator==(const request_query&, const request_query&) = default;
};

enum class request_state {
  in_flight,
  answered,
  not_run, // never sent to an endpoint, and never will be under this nonce
  outcome_unknown,
};

struct request_status {
  request_state state = request_state::outcome_unknown;
  std::string caller_address; // of the daemon from which callers can fetch the answer

  friend bool operator==(const request_status&, const request_status&) = default;
};

// A request that a peer must finish, or a finished answer that a peer must keep. Sent by a draining
// daemon.
struct handed_over_request {
  daemon_id from;
  std::string request_id;
  workspace_id workspace;
  std::string key; // under which callers fetch the answer
  hash128 body_hash;
  http::request message; // as the caller sent it
  wall_time deadline;
  requests::handed_over_state state;
  bool finished = false; // the answer is complete; the peer only keeps it
  http::response answer;
  std::string finish_reason;
  wall_time keep_until;

  friend bool operator==(const handed_over_request&, const handed_over_request&) = default;
};

// Entry of the answer directory: the daemon at `caller_address` runs the request with this key or
// keeps its answer.
struct place_note {
  hash128 key;
  std::string caller_address;
  wall_time keep_until;

  friend bool operator==(const place_note&, const place_note&) = default;
};

struct place_note_reply {
  friend bool operator==(const place_note_reply&, const place_note_reply&) = default;
};

struct hand_over_reply {
  bool accepted = false;
  std::string caller_address;

  friend bool operator==(const hand_over_reply&, const hand_over_reply&) = default;
};

// Asks for the configuration if the peer has a higher revision than `known_revision`.
struct configuration_query {
  std::uint64_t known_revision = 0;

  friend bool operator==(const configuration_query&, const configuration_query&) = default;
};

// Each type of peer_request has its response type at the same index of peer_response.
using peer_request = std::variant<membership::gossip_message, claims::claim_request, request_query,
                                  handed_over_request, configuration_query, place_note>;
using peer_response =
    std::variant<membership::gossip_message, claims::claim_reply, request_status, hand_over_reply,
                 objects::configuration_snapshot, place_note_reply>;

} // namespace wisteriaflow::core

#endif // WISTERIAFLOW_CORE_PEER_MESSAGES_H_
