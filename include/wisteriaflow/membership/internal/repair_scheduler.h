// Decides when a daemon requests repair from a peer whose view differs from its own.
//
// Most differences disappear without repair: a change is still being disseminated, or each daemon
// detects at its own next tick that a deadline has passed. Repair is therefore requested only if
// the local view has not changed for a while and a second exchange with the same peer still shows a
// difference.

#ifndef WISTERIAFLOW_MEMBERSHIP_INTERNAL_REPAIR_SCHEDULER_H_
#define WISTERIAFLOW_MEMBERSHIP_INTERNAL_REPAIR_SCHEDULER_H_

#include <chrono>
#include <optional>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::membership::internal {

class repair_scheduler {
 public:
  repair_scheduler(std::chrono::milliseconds delay, mono_time now);

  // Call when the local view has changed.
  void note_change(mono_time now);

  // Call when the local view agrees with that of `peer`.
  void note_agreement(const daemon_id& peer);

  // Call when the local view differs from that of `peer`. Returns true if repair should be
  // requested from it now.
  bool note_difference(const daemon_id& peer, mono_time now);

  // Returns the peer to exchange with a second time, if that is due. Each peer is returned once.
  std::optional<daemon_id> take_recheck(mono_time now);

 private:
  struct recheck {
    daemon_id peer;
    mono_time due;
    mono_time expires_at;
    bool taken = false;
  };

  std::chrono::milliseconds delay_;
  // Whether the local view has agreed with a peer's view, or repair has been requested.
  bool has_synced_ = false;
  // Changes of the view put repair off until `unchanged_until_`, but never past `deferred_until_`.
  mono_time unchanged_until_;
  mono_time deferred_until_;
  std::optional<recheck> recheck_;
};

} // namespace wisteriaflow::membership::internal

#endif // WISTERIAFLOW_MEMBERSHIP_INTERNAL_REPAIR_SCHEDULER_H_
