// Keeps each workspace within its declared rate over the whole fleet.
//
// Each workspace has an owner among the live daemons, chosen by rendezvous hashing. The owner's
// token bucket holds most of the rate. The other daemons request units from it, some more than they
// need at once, so that one request serves several calls. The rest of the rate is divided evenly
// into small local buckets of all daemons, for when the owner cannot be reached.
//
// While a workspace is over its rate, its more urgent calls are admitted before its less urgent
// ones: the buckets keep reserves for them (load/rank_reserve.h), sized from the measured demand.
// Granted units serve the rank that they were requested for and more urgent ones.
//
// Daemons that are partitioned from each other may each consider themselves the owner. An owner
// therefore grants only the fraction of the rate that belongs to its live daemons, out of all that
// may be running, and a new owner starts with little credit. For the same reason a daemon admits
// and grants nothing before it knows the fleet: it would take itself for the only daemon.
//
//   auto d = quota.admit(workspace, tokens, now);
//   if (d.outcome == quota_outcome::ask_owner) { ... ask d.owner, then quota.on_grant(...) ... }

#ifndef WISTERIAFLOW_GATEWAY_WORKSPACE_QUOTA_H_
#define WISTERIAFLOW_GATEWAY_WORKSPACE_QUOTA_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "wisteriaflow/admission/rate_limit.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/configuration.h"
#include "wisteriaflow/gateway/fleet_view.h"
#include "wisteriaflow/load/rank_reserve.h"

namespace wisteriaflow::gateway {

struct workspace_quota_options {
  daemon_id self;
  std::uint64_t seed = 0;
  // Units that the fleet may admit beyond rate x time + burst.
  double slack = 0;
  // Fraction of the rate that is divided among the local buckets of the daemons.
  double local_fraction = 0.2;
  // A daemon requests units for this much time ahead of need, and may keep granted units for
  // `grant_ttl`.
  std::chrono::milliseconds prefetch_time{250};
  std::chrono::milliseconds grant_ttl{1'000};
  std::chrono::milliseconds smoothing_time{2'000}; // of the measured demand
  // A daemon that has sent a request counts as live for this time, as one that has sent a report.
  std::chrono::milliseconds requester_live_time{1'600};
};

// Result of a request for units.
enum class quota_outcome { admitted, ask_owner, refused, fleet_unknown };

struct quota_decision {
  quota_outcome outcome = quota_outcome::admitted;
  daemon_id owner;             // the daemon to ask
  double units_to_request = 0; // units to request from the owner
  mono_time retry_at;          // if refused: when units will be available again

  friend bool operator==(const quota_decision&, const quota_decision&) = default;
};

// A request to the owner of a workspace's rate for units.
struct quota_request {
  workspace_id workspace;
  double min_units = 0;    // granted completely or not at all
  double wanted_units = 0; // including units for later requests
  daemon_id from;          // the requesting daemon; empty for daemons of an earlier version
  load::rank_class rank = load::rank_class::urgent; // of the call that needs the units

  friend bool operator==(const quota_request&, const quota_request&) = default;
};

// The answer of an owner.
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

  // Sets the daemons among which owners are chosen and the rate is divided.
  void set_fleet(fleet_view fleet, mono_time now);

  // Whether the fleet has been set; until then requests of limited workspaces cannot be admitted.
  [[nodiscard]] bool knows_fleet() const { return fleet_version_ > 0; }

  // Takes `units` from those that this daemon holds. A workspace that is unknown or has no limit is
  // always admitted.
  [[nodiscard]] quota_decision admit(const workspace_id& workspace, double units, mono_time now,
                                     load::rank_class rank = load::rank_class::urgent);

  // Completes a request after ask_owner. `grant` is the owner's answer, or nothing if it did not
  // answer.
  [[nodiscard]] quota_decision on_grant(const workspace_id& workspace, double units,
                                        const std::optional<quota_grant>& grant, mono_time now,
                                        load::rank_class rank = load::rank_class::urgent);

  // Answers a peer that considers this daemon the owner. Returns nothing if this daemon considers
  // another one the owner: both would grant the rate. Returns nothing either if it knows no limit
  // for the workspace: peers ask a daemon that has just started before it has a configuration, and
  // it must not grant units of a limit that it does not know. Nor does it grant anything before it
  // knows the fleet.
  //
  // The peer counts as live from then on: daemons that were all started at once know few others,
  // and an owner grants only the fraction of the rate that belongs to the live ones.
  [[nodiscard]] std::optional<quota_grant> grant(const quota_request& request, mono_time now);

  // The daemon that this one considers the owner, if that is another one. A daemon that has just
  // started may not know of the owner and ask another daemon, which tells it.
  [[nodiscard]] std::optional<daemon_id> other_owner(const workspace_id& workspace, mono_time now);

  // Returns the units of an admitted request that has not run.
  void refund(const workspace_id& workspace, double units, mono_time now,
              load::rank_class rank = load::rank_class::urgent);

  // Updates the measured demand. Call a few times per second.
  void update_demand(mono_time now);

 private:
  struct account {
    double rate = 0; // declared rate of the fleet, units/s
    double burst = 0;
    daemon_id owner; // in the fleet of `owner_version`
    std::uint64_t owner_version = 0;
    admission::rate_limit shared; // used while this daemon is the owner
    admission::rate_limit local;
    load::rank_demand shared_demand; // of the requests to this daemon as the owner
    load::rank_demand local_demand;  // of the requests to the local bucket
    load::by_rank<double> credit{};  // units granted and not used, by the rank requested for
    mono_time credit_until;
    load::by_rank<double> requested{}; // since the last update
    load::by_rank<double> demand{};
    // Daemons that requested units of this workspace and are not live in `fleet_`, with the time
    // until which each counts. They are live for this workspace alone: for another one they may
    // consider another daemon the owner.
    std::map<daemon_id, mono_time> requesters;
  };

  [[nodiscard]] account make_account(const workspace_definition& w, mono_time now) const;
  [[nodiscard]] daemon_id owner_of(const workspace_id& workspace) const;
  // The part of `rate` that this daemon grants as the owner of a workspace with that many
  // requesters.
  [[nodiscard]] double shared_rate(double rate, std::size_t requesters) const;
  [[nodiscard]] double local_rate(double rate) const;
  // Counts a daemon that has sent a request as live.
  void count_requester(account& it, const daemon_id& from, mono_time now) const;
  void forget_old_requesters(mono_time now);
  // The fraction of a rate that belongs to the live daemons, requesters included.
  [[nodiscard]] double live_fraction(std::size_t requesters) const;
  void apply_rates(mono_time now);
  void set_shared_rate(account& it, mono_time now) const;
  quota_grant grant_units(account& it, const quota_request& request, mono_time now);
  // Takes units from those granted earlier for `rank` or a less urgent one. Returns whether they
  // were enough.
  static bool take_credit(account& it, double units, load::rank_class rank);
  // Returns the owner in the present fleet. It is computed when it is needed: a daemon of a large
  // fleet sees calls of few workspaces, while the fleet changes often.
  const daemon_id& present_owner(account& it, const workspace_id& workspace, mono_time now);
  // Takes the units from the local bucket.
  quota_decision admit_locally(account& it, double units, mono_time now,
                               std::optional<mono_time> retry_at, load::rank_class rank);
  // Takes `units` from a bucket that holds `share` of the workspace's rate and at least `reserved`
  // units. Returns whether they may be used.
  bool take(admission::rate_limit& bucket, double share, double units, double reserved,
            mono_time now);

  workspace_quota_options options_;
  std::map<workspace_id, account> accounts_;
  fleet_view fleet_;
  std::uint64_t fleet_version_ = 0; // raised with each change; 0: unknown
  std::mt19937_64 random_;
  std::optional<mono_time> updated_at_;
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_WORKSPACE_QUOTA_H_
