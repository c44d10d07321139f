// The owner of one shard of claims, at one daemon.
//
// Claims are gathered and written to the shard's tail in one conditional update at a time. A claim
// is granted only once its entry is durable. A takeover reads the tail and the segments it lists
// and then raises the epoch by a conditional update, after which no update of a former owner can
// land; so no lease has to be waited out, and a former owner that was paused cannot grant anything
// new. An update whose answer was lost is settled by reading the tail back and, if it has not
// landed, sending it again: it is given up only when it can no longer land.
//
//   claim_shard_owner owner({.shard = 3, .self = me, .settings = {}, .seed = random});
//   for (const auto& action : owner.handle(ownership_desired{true}, now)) { … }

#ifndef WISTERIAFLOW_CLAIMS_CLAIM_SHARD_OWNER_H_
#define WISTERIAFLOW_CLAIMS_CLAIM_SHARD_OWNER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/claims/owner_events.h"

namespace wisteriaflow::claims {

struct owner_options {
  std::uint32_t shard = 0;
  daemon_id self;
  claim_settings settings;
  // Different for every process, also for one that restarts under the same id.
  std::uint64_t seed = 0;
};

// Where an owner stands in its life.
enum class ownership {
  not_owner,
  taking_over, // reading the tail and its segments, or writing the takeover
  owning,
  settling,  // the answer to an update was lost
  releasing, // claims that have come in are finished; new ones are turned away
};

class claim_shard_owner {
 public:
  explicit claim_shard_owner(owner_options options);
  claim_shard_owner(const claim_shard_owner&) = delete;
  claim_shard_owner& operator=(const claim_shard_owner&) = delete;
  claim_shard_owner(claim_shard_owner&&) noexcept;
  claim_shard_owner& operator=(claim_shard_owner&&) noexcept;
  ~claim_shard_owner();

  // Takes one event and returns what is to be done, in order.
  [[nodiscard]] std::vector<owner_action> handle(const owner_event& event, clock_reading now);

  // When the next tick is due; nothing if only other events matter.
  [[nodiscard]] std::optional<mono_time> wake_at() const;

  [[nodiscard]] ownership standing() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_CLAIM_SHARD_OWNER_H_
