// The events that a shard's owner handles and the actions that it returns.
//
// The owner has at most one tail call, segment read or segment create open at a time; deletes run
// in parallel. The caller carries out each store_call against the object API and passes back one
// store_answer with the same id, if need be after it has restarted the call's timeout. These are
// the possible results:
//
//   read_tail       tail_value | unavailable
//   update_tail     written | conflict | unanswered | unavailable
//   read_segment    segment_value | missing | unavailable
//   create_segment  written | conflict | unanswered | unavailable
//   delete_segment  written | unanswered | unavailable

#ifndef WISTERIAFLOW_CLAIMS_OWNER_EVENTS_H_
#define WISTERIAFLOW_CLAIMS_OWNER_EVENTS_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "wisteriaflow/claims/claim.h"
#include "wisteriaflow/claims/shard_tail.h"

namespace wisteriaflow::claims {

struct read_tail {
  friend bool operator==(const read_tail&, const read_tail&) = default;
};

// Replaces the tail if its version is `expected_version`; 0 creates it if it does not exist.
struct update_tail {
  std::uint64_t expected_version = 0;
  shard_tail tail;
  friend bool operator==(const update_tail&, const update_tail&) = default;
};

struct read_segment {
  segment_id id;
  friend bool operator==(const read_segment&, const read_segment&) = default;
};

// Creates a segment if no object with its name exists.
struct create_segment {
  claim_segment segment;
  friend bool operator==(const create_segment&, const create_segment&) = default;
};

struct delete_segment {
  segment_id id;
  friend bool operator==(const delete_segment&, const delete_segment&) = default;
};

using store_operation =
    std::variant<read_tail, update_tail, read_segment, create_segment, delete_segment>;

// A call to the object API, for the shard's tail or one of its segments.
struct store_call {
  std::uint64_t id = 0;
  std::uint32_t shard = 0;
  store_operation operation;
};

// The tail that was read; version 0 and no tail if it does not exist.
struct tail_value {
  std::uint64_t version = 0;
  std::optional<shard_tail> tail;
};

// The segment that was read.
struct segment_value {
  claim_segment segment;
};

// The segment does not exist.
struct missing {};

// The write took effect; `version` is the version of the written object.
struct written {
  std::uint64_t version = 0;
};

// The write did not take effect: the version differs, or the name is taken.
struct conflict {};

// A write without an answer: it may have taken effect, or may still do so.
struct unanswered {};

// A read failed, or a write certainly has not taken effect and never will, for example because no
// connection was made.
struct unavailable {};

using store_result =
    std::variant<tail_value, segment_value, missing, written, conflict, unanswered, unavailable>;

struct store_answer {
  std::uint64_t id = 0;
  store_result result;
};

// Whether this daemon should own the shard (see preferred_owner).
struct ownership_desired {
  bool desired = false;
};

// A claim was received; the reply goes to `token`.
struct claim_received {
  std::uint64_t token = 0;
  claim_request request;
};

// Time has passed; due at claim_shard_owner::wake_at().
struct tick {};

using owner_event = std::variant<ownership_desired, claim_received, store_answer, tick>;

// Send `reply` to the sender of the claim that was received with `token`.
struct send_reply {
  std::uint64_t token = 0;
  claim_reply reply;
};

using owner_action = std::variant<store_call, send_reply>;

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_OWNER_EVENTS_H_
