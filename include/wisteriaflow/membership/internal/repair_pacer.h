// When a daemon asks a peer whose view differs for repair.
//
// Most differences heal by themselves: a change is still spreading, or each daemon finds at its own
// next tick that a deadline has passed. So a difference counts only once the own view has been
// quiet for a while, and once a second exchange with the same peer still shows it.

#ifndef WISTERIAFLOW_MEMBERSHIP_INTERNAL_REPAIR_PACER_H_
#define WISTERIAFLOW_MEMBERSHIP_INTERNAL_REPAIR_PACER_H_

#include <chrono>
#include <optional>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::membership::internal {

class repair_pacer {
 public:
  repair_pacer(std::chrono::milliseconds delay, mono_time now);

  // The own view changed.
  void note_change(mono_time now);

  // The own view agrees with that of `peer`.
  void note_agreement(const daemon_id& peer);

  // The own view differs from that of `peer`. True if it is to be asked for repair now.
  bool note_difference(const daemon_id& peer, mono_time now);

  // The peer to exchange with again, if that is due; each is returned once.
  std::optional<daemon_id> take_recheck(mono_time now);

 private:
  struct recheck {
    daemon_id peer;
    mono_time due;
    mono_time lapses_at;
    bool taken = false;
  };

  std::chrono::milliseconds delay_;
  // Whether this view has agreed with a peer's, or has asked for repair.
  bool settled_ = false;
  // Repair is put off until the first, but not past the second.
  mono_time quiet_at_;
  mono_time due_;
  std::optional<recheck> recheck_;
};

} // namespace wisteriaflow::membership::internal

#endif // WISTERIAFLOW_MEMBERSHIP_INTERNAL_REPAIR_PACER_H_
