// Keeps each workspace within its declared rate over the whole fleet.
//
// Each workspace has an owner among the live daemons, by rendezvous hashing. The owner's bucket
// holds most of the rate; the others ask it for units, some more than they need at once, so that
// one question serves several requests. The rest of the rate is divided evenly into small buckets
// of each daemon's own, for when the owner cannot be asked.
//
// Daemons that cannot hear each other may each believe to be the owner. So an owner only gives away
// the part of the rate that belongs to the daemons it hears, out of all that may be running; and a
// new owner begins with little credit.
//
//   auto d = quota.admit(workspace, tokens, now);
//   if (d.outcome == admission::ask_owner) { ... ask d.owner, then quota.on_grant(...) ... }

#ifndef WISTERIAFLOW_GATEWAY_WORKSPACE_QUOTA_H_
#define WISTERIAFLOW_GATEWAY_WORKSPACE_QUOTA_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "wisteriaflow/admission/rate_limit.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/configuration.h"
#include "wisteriaflow/gateway/fleet_view.h"

namespace wisteriaflow::gateway {

struct workspace_quota_options {
  daemon_id self;
  // What the fleet may let through beyond rate x time + burst, in units.
  double slack = 0;
  // Part of the rate that is divided among the daemons' own buckets.
  double own_part = 0.2;
  // Time for which a daemon asks for units ahead of need, and for which it may keep them.
  std::chrono::milliseconds ahead{250};
  std::chrono::milliseconds grant_valid{1'000};
  std::chrono::milliseconds smoothing{2'000}; // of the demand measured here
};

// What becomes of a request for units.
enum class quota_outcome { admitted, ask_owner, refused };

struct quota_decision {
  quota_outcome outcome = quota_outcome::admitted;
  daemon_id owner;    // to be asked
  double ask = 0;     // units to ask for
  mono_time retry_at; // of a refusal: when there will be units again

  friend bool operator==(const quota_decision&, const quota_decision&) = default;
};

// An owner's answer.
struct quota_grant {
  double units = 0; // 0: refused
  std::chrono::milliseconds retry_after{0};

  friend bool operator==(const quota_grant&, const quota_grant&) = default;
};

// Not thread-safe.
class workspace_quota {
 public:
  explicit workspace_quota(workspace_quota_options options);

  void set_workspaces(const std::vector<workspace_definition>& declared, mono_time now);

  // The daemons of the fleet.
  void set_fleet(fleet_view fleet, mono_time now);

  // Takes `units` from what this daemon holds. A workspace without a limit, or unknown, is always
  // admitted.
  [[nodiscard]] quota_decision admit(const workspace_id& workspace, double units, mono_time now);

  // After ask_owner: `grant` is the owner's answer, or nothing if it gave none.
  [[nodiscard]] quota_decision on_grant(const workspace_id& workspace, double units,
                                        const std::optional<quota_grant>& grant, mono_time now);

  // Answers a peer that takes this daemon for the owner. It asks for `units` at least and `ask` at
  // best. Nothing if no limit is known here: a daemon that has just started has peers that ask
  // before it has a configuration, and what it does not know it cannot give away.
  [[nodiscard]] std::optional<quota_grant> grant(const workspace_id& workspace, double units,
                                                 double ask, mono_time now);

  // An admitted request has not run after all.
  void give_back(const workspace_id& workspace, double units, mono_time now);

  // Measures the demand. Call a few times a second.
  void refresh(mono_time now);

 private:
  struct account {
    double rate = 0; // declared, of the fleet, units/s
    double burst = 0;
    daemon_id owner;
    admission::rate_limit shared; // while this daemon is the owner
    admission::rate_limit own;
    double credit = 0; // granted and not used
    mono_time credit_until;
    double asked = 0; // since the last refresh
    double demand = 0;
  };

  [[nodiscard]] account make_account(const workspace_definition& w, mono_time now) const;
  [[nodiscard]] daemon_id owner_of(const workspace_id& workspace) const;
  [[nodiscard]] double shared_rate(double rate) const;
  [[nodiscard]] double own_rate(double rate) const;
  void divide(account& it, const workspace_id& workspace, mono_time now);
  // From this daemon's own bucket.
  quota_decision admit_own(account& it, double units, mono_time now,
                           std::optional<mono_time> retry_at) const;

  workspace_quota_options options_;
  std::map<workspace_id, account> accounts_;
  fleet_view fleet_;
  std::optional<mono_time> refreshed_at_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_WORKSPACE_QUOTA_H_
