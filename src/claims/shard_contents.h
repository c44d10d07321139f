// Everything that an owner has in memory of its shard: the last stored tail and the segments that
// it lists. Composes the tail of the next update; changes only when `commit` reports that the
// update has taken effect.

#ifndef WISTERIAFLOW_CLAIMS_SHARD_CONTENTS_H_
#define WISTERIAFLOW_CLAIMS_SHARD_CONTENTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "wisteriaflow/claims/claim.h"
#include "wisteriaflow/claims/shard_tail.h"

namespace wisteriaflow::claims::internal {

class shard_contents {
 public:
  explicit shard_contents(claim_settings settings) : settings_(settings) {}

  // Starts from a tail that was just read. Listed segments that are loaded already stay, since a
  // segment never changes.
  void reset(std::uint64_t version, shard_tail tail);

  // Returns the first listed segment that is neither loaded nor lost.
  [[nodiscard]] std::optional<segment_id> next_to_load() const;
  void load_segment(claim_segment segment);
  // Continues without a segment that has been lost: its keys count as forgotten.
  void mark_segment_lost(const segment_id& id);

  // Version of the stored tail; 0 if there is none yet.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const shard_tail& tail() const { return tail_; }
  [[nodiscard]] const claim_entry* find(const hash128& key) const;

  // Whether the tail's entries should be moved to a new segment (a roll) before the next update.
  [[nodiscard]] bool needs_roll() const;
  // Returns the segment to create before the next update. It is the same for each call until the
  // update has taken effect, so that its name is never used for two different contents.
  [[nodiscard]] const claim_segment& segment_to_create();
  void segment_created() { roll_created_ = true; }

  // Returns the tail that makes `self` the owner.
  [[nodiscard]] shard_tail takeover_tail(const daemon_id& self, std::uint64_t write_nonce) const;
  // Returns the tail with `batch` added, a created segment listed and segments that are too old at
  // `now` dropped.
  [[nodiscard]] shard_tail next_tail(std::span<const claim_entry> batch, std::uint64_t write_nonce,
                                     wall_time now) const;
  // `tail` has become the shard's tail in the store.
  void commit(std::uint64_t version, shard_tail tail);

  // Returns segments that may be deleted now and whose deletion has not been started.
  [[nodiscard]] std::vector<segment_id> take_deletable();
  void mark_deleted(const segment_id& id) { deleted_.insert(id); }
  void mark_delete_failed(const segment_id& id) { deleting_.erase(id); }

 private:
  [[nodiscard]] bool is_small(const segment_info& segment) const;
  [[nodiscard]] bool needs_merge() const;
  [[nodiscard]] claim_segment compose_segment() const;
  void drop_unlisted();
  void list_created_segment(shard_tail& next) const;
  void expire_segments(shard_tail& next, wall_time now) const;

  claim_settings settings_;
  std::uint64_t version_ = 0;
  shard_tail tail_;
  std::map<segment_id, std::vector<claim_entry>> segments_;
  std::set<segment_id> lost_segments_;
  // The segment of a roll: being created, or created and not yet listed.
  std::optional<claim_segment> roll_segment_;
  bool roll_merges_ = false;
  bool roll_created_ = false;
  std::set<segment_id> deleting_;
  std::set<segment_id> deleted_;
};

} // namespace wisteriaflow::claims::internal

#endif // WISTERIAFLOW_CLAIMS_SHARD_CONTENTS_H_
