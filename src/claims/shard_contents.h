// All that an owner remembers of its shard: the tail as last landed and the segments it lists.
// Composes the tail of the next update; changes only when told that it has landed.

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

  // Starts from a tail just read; listed segments that are known already stay, since a segment
  // never changes.
  void reset(std::uint64_t version, shard_tail tail);

  // The first listed segment that is neither loaded nor given up.
  [[nodiscard]] std::optional<segment_id> next_to_load() const;
  void load(claim_segment segment);
  // Goes on without a segment that has been lost: its keys count as forgotten.
  void give_up(const segment_id& id);

  // Version of the landed tail; 0 if there is none yet.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const shard_tail& tail() const { return tail_; }
  [[nodiscard]] const claim_entry* find(const hash128& key) const;

  [[nodiscard]] bool needs_roll() const;
  // The segment to be created before the next update. The same for each call until it has landed,
  // so that its name is never used for two contents.
  [[nodiscard]] const claim_segment& segment_to_create();
  void segment_created() { created_ = true; }

  // The tail that makes `self` the owner.
  [[nodiscard]] shard_tail takeover(const daemon_id& self, std::uint64_t write_nonce) const;
  // The tail with `batch` added, a created segment listed and what is too old at `now` dropped.
  [[nodiscard]] shard_tail with(std::span<const claim_entry> batch, std::uint64_t write_nonce,
                                wall_time now) const;
  // `tail` has become the shard's tail.
  void landed(std::uint64_t version, shard_tail tail);

  // Segments that may be deleted now and have not been asked for.
  [[nodiscard]] std::vector<segment_id> take_deletable();
  void deleted(const segment_id& id) { deleted_.insert(id); }
  void delete_failed(const segment_id& id) { deleting_.erase(id); }

 private:
  [[nodiscard]] bool is_small(const segment_info& segment) const;
  [[nodiscard]] bool needs_merge() const;
  [[nodiscard]] claim_segment compose_segment() const;
  void drop_unlisted();
  void list_created(shard_tail& next) const;
  void forget(shard_tail& next, wall_time now) const;

  claim_settings settings_;
  std::uint64_t version_ = 0;
  shard_tail tail_;
  std::map<segment_id, std::vector<claim_entry>> segments_;
  std::set<segment_id> given_up_;
  std::optional<claim_segment> roll_; // a segment being created, or created and not yet listed
  bool roll_merges_ = false;
  bool created_ = false;
  std::set<segment_id> deleting_;
  std::set<segment_id> deleted_;
};

} // namespace wisteriaflow::claims::internal

#endif // WISTERIAFLOW_CLAIMS_SHARD_CONTENTS_H_
