// The documents that a shard stores in the platform's object store, similar to a log with an active
// tail.
//
// Each shard has one tail object, changed only by an update that is conditional on its version.
// That update is the fence between owners. Older entries are in immutable segment objects; only
// those that the tail lists are valid.

#ifndef WISTERIAFLOW_CLAIMS_SHARD_TAIL_H_
#define WISTERIAFLOW_CLAIMS_SHARD_TAIL_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/claims/claim.h"

namespace wisteriaflow::claims {

// Identifies one segment of a shard. The epoch in it separates a former owner's segments from those
// of its successors, so that no name is ever used for two different contents.
struct segment_id {
  std::uint64_t epoch = 0;
  std::uint32_t number = 0;

  friend auto operator<=>(const segment_id&,
                          const segment_id&) = default; // NOLINT(modernize-use-nullptr)
};

// A segment as the tail lists it.
struct segment_info {
  segment_id id;
  std::uint32_t entries = 0;
  wall_time max_created; // creation time of the youngest key in it

  friend auto operator<=>(const segment_info&,
                          const segment_info&) = default; // NOLINT(modernize-use-nullptr)
};

// The content of a segment, in order of key.
struct claim_segment {
  segment_id id;
  std::vector<claim_entry> entries;

  friend auto operator<=>(const claim_segment&,
                          const claim_segment&) = default; // NOLINT(modernize-use-nullptr)
};

// The content of the tail.
struct shard_tail {
  // Raised by each takeover.
  std::uint64_t epoch = 0;
  daemon_id owner;
  // Different for each update: an owner whose update got no answer detects by it whether the update
  // took effect.
  std::uint64_t write_nonce = 0;
  // No key created up to this time is ever granted again, since its claim may have been forgotten.
  wall_time forgotten_until;
  // Number of the next segment of this epoch.
  std::uint32_t next_segment = 0;
  // From oldest to youngest. If two contain the same key, the younger one is valid.
  std::vector<segment_info> segments;
  // Segments that are no longer listed and still have to be deleted.
  std::vector<segment_id> retired;
  // Entries that are younger than all segments.
  std::vector<claim_entry> entries;

  friend auto operator<=>(const shard_tail&,
                          const shard_tail&) = default; // NOLINT(modernize-use-nullptr)
};

// Returns the name of a shard's tail object, for example `shard-007`.
[[nodiscard]] std::string tail_name(std::uint32_t shard);

// Returns the name of a segment object, for example `shard-007-12-3`: shard, epoch, number.
[[nodiscard]] std::string segment_name(std::uint32_t shard, const segment_id& id);

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_SHARD_TAIL_H_
