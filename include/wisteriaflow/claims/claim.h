// Claims: what an executor asks of a shard's owner before it runs a non-idempotent request, and
// the answer. The structs mirror ClaimRequest and ClaimReply of the peer protocol.

#ifndef WISTERIAFLOW_CLAIMS_CLAIM_H_
#define WISTERIAFLOW_CLAIMS_CLAIM_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "wisteriaflow/base/hash.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::claims {

// Settings of the package. Durations are settings only; what is stored are points in time.
struct claim_settings {
  // Shards of the key space; the same in the whole fleet, and fixed once claims exist.
  std::uint32_t shards = 16;
  // How long after its creation a key is answered from what is remembered.
  std::chrono::milliseconds retention = std::chrono::minutes{10};
  // How much longer it is kept, so that owners with differing clocks seldom disagree. Safety does
  // not rest on it: the tail keeps what has been forgotten.
  std::chrono::milliseconds skew_margin = std::chrono::seconds{30};
  // Least time from the start of one tail update to the start of the next.
  std::chrono::milliseconds flush_interval{100};
  // The tail is rolled into a segment when it holds this many entries.
  std::size_t max_tail_entries = 32;
  // A roll merges the small segments when there are this many of them.
  std::size_t merge_segments = 32;
  // Claims that may wait at an owner; one more is refused at once.
  std::size_t max_pending = 256;
  // How long claims are refused at once after a store failure, and the pause before a retry.
  std::chrono::milliseconds store_retry{200};
  // Pause before a lost shard is taken over again.
  std::chrono::milliseconds takeover_pause{300};
  // First pause before an asker asks again; doubles, with jitter.
  std::chrono::milliseconds ask_retry{20};
  // The longest pause between two asks.
  std::chrono::milliseconds max_ask_retry{500};
};

// A remembered claim.
struct claim_entry {
  hash128 key;
  std::uint64_t body_hash = 0;
  wall_time created; // of the key
  daemon_id executor;
  std::uint64_t nonce = 0;

  friend auto operator<=>(const claim_entry&,
                          const claim_entry&) = default; // NOLINT(modernize-use-nullptr)
};

// Asks that `executor`, and nobody else, may run the request with this key.
struct claim_request {
  std::uint32_t shard = 0;
  hash128 key;
  std::uint64_t body_hash = 0;
  wall_time created;
  daemon_id executor;
  // The executor's number for this claim, not 0. Asking again with the same number is idempotent.
  std::uint64_t nonce = 0;
  // Not 0: takes the key over from the claim with this number, whose executor has said that it
  // did not run the request and never will.
  std::uint64_t replaces_nonce = 0;
  workspace_id workspace;

  friend auto operator<=>(const claim_request&,
                          const claim_request&) = default; // NOLINT(modernize-use-nullptr)
};

enum class claim_result {
  granted,       // the entry is durable: the executor may run the request
  duplicate,     // another claim holds the key: see executor and nonce
  body_mismatch, // the key was used with another body
  too_old,       // the key may have been forgotten: its outcome is unknown
  not_owner,     // ask `owner`, or whoever owns the shard by now if that is empty
  unavailable,   // not granted, and never for this nonce, though its entry may still be kept
};

struct claim_reply {
  claim_result result = claim_result::unavailable;
  daemon_id executor;
  std::uint64_t nonce = 0;
  daemon_id owner;
  // With `unavailable`: the owner remembers all of the shard, and no claim that may have run holds
  // the key. An owner that has been taken over without knowing it may be wrong in this.
  bool key_free = false;

  friend auto operator<=>(const claim_reply&,
                          const claim_reply&) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_CLAIM_H_
