// What a shard keeps in the platform's object store.
//
// Each shard has one tail object, changed only by an update conditional on its version: that
// update is the fence between owners. Older entries lie in immutable segment objects; only those
// that the tail lists count.

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

// Names one segment of a shard. The epoch in it keeps a former owner's segments apart from those
// of its successors, so a name is never used for two contents.
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
  wall_time max_created; // of the youngest key in it

  friend auto operator<=>(const segment_info&,
                          const segment_info&) = default; // NOLINT(modernize-use-nullptr)
};

// A segment's content, in order of key.
struct claim_segment {
  segment_id id;
  std::vector<claim_entry> entries;

  friend auto operator<=>(const claim_segment&,
                          const claim_segment&) = default; // NOLINT(modernize-use-nullptr)
};

// The tail's content.
struct shard_tail {
  // Raised by each takeover.
  std::uint64_t epoch = 0;
  daemon_id owner;
  // Different for each update: tells an owner that lost an answer whether its update landed.
  std::uint64_t write_nonce = 0;
  // No key created up to here is ever granted again, since its claim may have been forgotten.
  wall_time forgotten_until;
  // Number of the next segment of this epoch.
  std::uint32_t next_segment = 0;
  // From oldest to youngest; where two hold the same key, the younger counts.
  std::vector<segment_info> segments;
  // Not listed any more and still to be deleted.
  std::vector<segment_id> retired;
  // Younger than all segments.
  std::vector<claim_entry> entries;

  friend auto operator<=>(const shard_tail&,
                          const shard_tail&) = default; // NOLINT(modernize-use-nullptr)
};

// Name of a shard's tail object, as in `shard-007`.
[[nodiscard]] std::string tail_name(std::uint32_t shard);

// Name of a segment object, as in `shard-007-12-3`: shard, epoch, number.
[[nodiscard]] std::string segment_name(std::uint32_t shard, const segment_id& id);

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_SHARD_TAIL_H_
