// One daemon's part of each workspace's declared rate, so that the whole fleet keeps within it
// without asking anybody for a request.
//
// A daemon's part is `even_part` of an even division among all daemons known, and the rest in
// proportion to the demand that daemons tell each other. The parts add up to the declared rate when
// daemons agree; a daemon that hears nothing falls back to the even division. Silent daemons keep
// their part for a while, since they may only be cut off.
//
//   quota.set_workspaces(declared, now);
//   if (const auto retry_at = quota.admit(workspace, tokens, now)) { refuse(*retry_at); }

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

namespace wisteriaflow::gateway {

// Units a second that one daemon was lately asked for, by workspace.
using workspace_demand = std::map<workspace_id, double>;

struct workspace_quota_options {
  // Units by which the fleet may exceed its bound; half of it is spent on bursts at one daemon.
  double slack = 0;
  // Part of a rate that is divided evenly, whatever the demand. A fifth keeps a daemon that callers
  // move to from refusing them before its peers have heard of it.
  double even_part = 0.2;
  std::chrono::milliseconds smoothing{2'000};    // of the demand measured here
  std::chrono::milliseconds demand_valid{2'500}; // after a peer told it
};

// Not thread-safe.
class workspace_quota {
 public:
  explicit workspace_quota(workspace_quota_options options) : options_(options) {}

  void set_workspaces(const std::vector<workspace_definition>& declared, mono_time now);

  // Daemons that may be admitting, this one included; at least 1.
  void set_daemons(std::size_t n) { daemons_ = n; }

  // What a peer is asked for.
  void on_demand(const daemon_id& peer, workspace_demand demand, mono_time now);

  // What this daemon is asked for.
  [[nodiscard]] const workspace_demand& demand() const { return demand_; }

  // Measures the demand and divides the rates anew. Call a few times a second.
  void refresh(mono_time now);

  // Takes `amount` units, or says when there will be some again. A workspace without a limit, or
  // unknown, is always admitted.
  [[nodiscard]] std::optional<mono_time> admit(const workspace_id& workspace, double amount,
                                               mono_time now);

  // An admitted request has not run after all.
  void give_back(const workspace_id& workspace, double amount, mono_time now);

 private:
  struct account {
    double rate = 0; // of the fleet, units/s
    double burst = 0;
    admission::rate_limit own;
    double asked = 0; // since the last refresh, admitted or not
  };

  struct told_demand {
    workspace_demand demand;
    mono_time valid_until;
  };

  [[nodiscard]] double part_of(const workspace_id& workspace, mono_time now) const;

  workspace_quota_options options_;
  std::map<workspace_id, account> accounts_;
  std::map<daemon_id, told_demand> peers_;
  workspace_demand demand_;
  std::size_t daemons_ = 1;
  std::optional<mono_time> refreshed_at_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_WORKSPACE_QUOTA_H_
