// Claims make a non-idempotent request run at most once: before it runs the request, a daemon (the
// executor) claims the request's key from the owner of the key's shard. The structs mirror
// ClaimRequest and ClaimReply of the peer protocol.

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

// Settings of the package. Durations occur in settings only; stored documents contain points in
// time.
struct claim_settings {
  // Number of shards of the key space. Must be the same in the whole fleet and must not change once
  // claims exist.
  std::uint32_t shards = 16;
  // How long after its creation a key is answered from the stored claims.
  std::chrono::milliseconds retention = std::chrono::minutes{10};
  // How much longer a claim is kept, so that owners whose clocks differ seldom give different
  // answers. Safety does not depend on it: the tail stores up to which creation time claims have
  // been forgotten.
  std::chrono::milliseconds skew_margin = std::chrono::seconds{30};
  // Minimum time from the start of one tail update to the start of the next.
  std::chrono::milliseconds flush_interval{100};
  // The tail's entries are moved to a segment when there are this many of them.
  std::size_t max_tail_entries = 32;
  // Creating a segment also merges the small segments when there are this many of them.
  std::size_t merge_segments = 32;
  // Maximum number of pending claims at an owner; further ones are refused at once.
  std::size_t max_pending = 256;
  // How long claims are refused at once after a store failure, and the delay before a retry.
  std::chrono::milliseconds store_backoff{200};
  // Delay before a lost shard is taken over again.
  std::chrono::milliseconds takeover_delay{300};
  // First delay before a claim is sent again. It doubles with each retry, with jitter.
  std::chrono::milliseconds initial_retry_delay{20};
  // Maximum delay between two retries.
  std::chrono::milliseconds max_retry_delay{500};
};

// A stored claim.
struct claim_entry {
  hash128 key;
  std::uint64_t body_hash = 0;
  wall_time created; // when the key was created
  daemon_id executor;
  std::uint64_t nonce = 0;

  friend auto operator<=>(const claim_entry&,
                          const claim_entry&) = default; // NOLINT(modernize-use-nullptr)
};

// Requests that `executor`, and no other daemon, may run the request with this key.
struct claim_request {
  std::uint32_t shard = 0;
  hash128 key;
  std::uint64_t body_hash = 0;
  wall_time created;
  daemon_id executor;
  // The executor's number for this claim, not 0. Sending the claim again with the same number is
  // idempotent.
  std::uint64_t nonce = 0;
  // If not 0, takes the key over from the claim with this number, whose executor has reported that
  // it did not run the request and never will.
  std::uint64_t replaces_nonce = 0;
  workspace_id workspace;

  friend auto operator<=>(const claim_request&,
                          const claim_request&) = default; // NOLINT(modernize-use-nullptr)
};

enum class claim_result {
  granted,       // the entry is durable: the executor may run the request
  duplicate,     // another claim holds the key, see executor and nonce
  body_mismatch, // the key was used with another body
  too_old,       // the claim of the key may have been forgotten, so its outcome is unknown
  not_owner,     // send it to `owner`, or if that is empty, to the current owner of the shard
  unavailable,   // not granted, and never for this nonce, though its entry may still be stored
};

struct claim_reply {
  claim_result result = claim_result::unavailable;
  daemon_id executor;
  std::uint64_t nonce = 0;
  daemon_id owner;
  // With `unavailable`: the owner has loaded the whole shard, and no claim that may have run holds
  // the key. An owner that has been taken over without noticing may be wrong about this.
  bool key_free = false;

  friend auto operator<=>(const claim_reply&,
                          const claim_reply&) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_CLAIM_H_
