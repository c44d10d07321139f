// The owner of one shard of claims: a state machine in one daemon.
//
// Claims are collected and written to the shard's tail object in batches, with one conditional
// update at a time. A claim is granted only once its entry is stored. A takeover reads the tail and
// the segments that it lists, and then raises the epoch by a conditional update. After that, no
// update of a former owner can succeed. A takeover therefore need not wait for a lease to expire,
// and a former owner that was paused cannot grant new claims. If an update got no answer, the owner
// reads the tail back and, if the update has not taken effect, sends it again. It gives the update
// up only when it can no longer take effect.
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
  // Must differ for every process, also for one that restarts under the same id.
  std::uint64_t seed = 0;
};

// The state of an owner, as other code sees it.
enum class ownership {
  not_owner,
  taking_over, // reading the tail and its segments, or writing the takeover
  owning,
  settling,  // an update got no answer; finding out whether it took effect
  releasing, // pending claims are completed; new ones are rejected
};

class claim_shard_owner {
 public:
  explicit claim_shard_owner(owner_options options);
  claim_shard_owner(const claim_shard_owner&) = delete;
  claim_shard_owner& operator=(const claim_shard_owner&) = delete;
  claim_shard_owner(claim_shard_owner&&) noexcept;
  claim_shard_owner& operator=(claim_shard_owner&&) noexcept;
  ~claim_shard_owner();

  // Handles one event and returns the actions to carry out, in order.
  [[nodiscard]] std::vector<owner_action> handle(const owner_event& event, clock_reading now);

  // When the next tick is due; nothing if only other events matter.
  [[nodiscard]] std::optional<mono_time> wake_at() const;

  [[nodiscard]] ownership state() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

} // namespace wisteriaflow::claims

#endif // WISTERIAFLOW_CLAIMS_CLAIM_SHARD_OWNER_H_
