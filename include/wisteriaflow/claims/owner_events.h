// What goes into a shard's owner and what comes out of it.
//
// The owner has at most one tail call, segment read or segment create open at a time; deletes run
// beside it. A shell carries out each store_call against the object API and hands back one
// store_answer with the same id, then or after a restart of the call's timeout:
//
//   read_tail       tail_value | unavailable
//   update_tail     written | conflict | lost | unavailable
//   read_segment    segment_value | missing | unavailable
//   create_segment  written | conflict | lost | unavailable
//   delete_segment  written | lost | unavailable

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

// Replaces the tail if its version is `expected_version`; 0 creates it if it is absent.
struct update_tail {
  std::uint64_t expected_version = 0;
  shard_tail tail;
  friend bool operator==(const update_tail&, const update_tail&) = default;
};

struct read_segment {
  segment_id id;
  friend bool operator==(const read_segment&, const read_segment&) = default;
};

// Creates a segment if its name is free.
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

// The tail as read; version 0 and no tail if it does not exist.
struct tail_value {
  std::uint64_t version = 0;
  std::optional<shard_tail> tail;
};

struct segment_value {
  claim_segment segment;
};

// The segment does not exist.
struct missing {};

// The write took effect; `version` is that of the object written.
struct written {
  std::uint64_t version = 0;
};

// The write did not take effect: another version, or the name is taken.
struct conflict {};

// The write may have taken effect, or may still do so.
struct lost {};

// A read failed, or a write certainly neither took effect nor will, as when no connection was made.
struct unavailable {};

using store_result =
    std::variant<tail_value, segment_value, missing, written, conflict, lost, unavailable>;

struct store_answer {
  std::uint64_t id = 0;
  store_result result;
};

// Whether this daemon should own the shard (see preferred_owner).
struct ownership_desired {
  bool desired = false;
};

// A claim has come in; the reply goes to `token`.
struct claim_asked {
  std::uint64_t token = 0;
  claim_request request;
};

// Time has passed: due at claim_shard_owner::wake_at().
struct tick {};

using owner_event = std::variant<ownership_desired, claim_asked, store_answer, tick>;

struct send_reply {
  std::uint64_t token = 0;
  claim_reply reply;
};

using owner_action = std::variant<store_call, send_reply>;

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_OWNER_EVENTS_H_
