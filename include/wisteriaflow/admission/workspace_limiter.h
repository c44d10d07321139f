// Per-workspace shares that hold over the whole fleet without a store write for each request.
//
// Each daemon admits from a local allowance. The allowances come from the declared shares and from
// the demand that daemons report to each other: a workspace's share is divided max-min fairly by
// demand, and what no daemon asks for is spread evenly so that an idle daemon can admit at once.
// A share that is not used is lent to workspaces that want more, until its owner's demand returns.
//
//   limiter.set_shares(shares, now);
//   limiter.on_demand(report_of_a_peer);         // gossip, about once a second
//   limiter.refresh(now);                        // about twice a second
//   const auto refused = limiter.admit(workspace, tokens, now);
//   if (!refused) { … limiter.finish(workspace, tokens, used, now); }

#ifndef WISTERIAFLOW_ADMISSION_WORKSPACE_LIMITER_H_
#define WISTERIAFLOW_ADMISSION_WORKSPACE_LIMITER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "wisteriaflow/admission/rate_limit.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::admission {

// What a share is measured in.
enum class share_unit : std::size_t { requests_per_second, tokens_per_second, tokens_in_flight };
inline constexpr std::size_t share_units = 3;

// One number for each unit.
struct share_amounts {
  std::array<double, share_units> values{};

  [[nodiscard]] double operator[](share_unit unit) const
  {
    return values[static_cast<std::size_t>(unit)];
  }
  [[nodiscard]] double& operator[](share_unit unit)
  {
    return values[static_cast<std::size_t>(unit)];
  }

  friend auto operator<=>(const share_amounts&, const share_amounts&) = default;
};

// Amounts for each workspace: declared shares, or measured demand.
using workspace_amounts = std::map<workspace_id, share_amounts>;

// What one daemon was lately asked for, admitted or not; gossiped to its peers.
struct demand_report {
  daemon_id daemon;
  workspace_amounts demand;
  mono_time good_until; // by the receiver's clock

  friend bool operator==(const demand_report&, const demand_report&) = default;
};

// Why a request is over its workspace's share, and when it would not be.
struct over_share {
  std::optional<share_unit> unit; // absent: the workspace is not declared
  mono_time retry_at;

  friend bool operator==(const over_share&, const over_share&) = default;
};

struct workspace_limiter_options {
  daemon_id self;
  std::chrono::milliseconds burst{1'000};     // of the two rates
  std::chrono::milliseconds smoothing{3'000}; // of the demand measured here
  std::chrono::milliseconds report_good_for{5'000};
  double lent_part = 0.9; // of an unused share
  // Share that no daemon asks for is promised to several daemons at once, since few need it at the
  // same time; as their demand is heard of, the promise shrinks. 1 promises none of it twice.
  double headroom_overcommit = 8;
  bool lend = true;
};

// Local allowances of one daemon. Not thread-safe; the core owns it.
class workspace_limiter {
 public:
  explicit workspace_limiter(workspace_limiter_options options);

  // The declared fleet-wide shares. A workspace that is not in it is refused.
  void set_shares(const workspace_amounts& shares, mono_time now);

  // Number of daemons in the fleet, this one included. Daemons that have not reported are taken
  // to use an even part, so that a new daemon does not begin with the whole share. Called before
  // `set_shares` the first time.
  void set_daemons(int daemons) { daemons_ = daemons; }

  void on_demand(const demand_report& report);
  void on_daemon_gone(const daemon_id& daemon) { peers_.erase(daemon); }

  // What to gossip: the demand measured here, good until `now` + `report_good_for`.
  [[nodiscard]] demand_report local_demand(mono_time now) const;

  // Measures the local demand and derives the allowances anew.
  void refresh(mono_time now);

  // Takes `tokens` (prompt and expected output) from the allowance, or says why not.
  [[nodiscard]] std::optional<over_share> admit(const workspace_id& workspace, double tokens,
                                                mono_time now);

  // An admitted request of `tokens` has ended and used `used` of them; the rest is given back.
  void finish(const workspace_id& workspace, double tokens, double used, mono_time now);

  // The allowance of this daemon; zeros for an unknown workspace.
  [[nodiscard]] share_amounts allowance(const workspace_id& workspace) const;

 private:
  struct account {
    share_amounts share;
    share_amounts demand;  // smoothed
    share_amounts offered; // since the last refresh
    share_amounts allowance;
    std::vector<share_amounts> heard; // demand at the peers
    rate_limit requests;
    rate_limit tokens;
    double tokens_in_flight = 0;
    double finished_tokens = 0; // since the last refresh
    double drain_rate = 0;      // tokens/s, measured
  };

  account make_account(const share_amounts& share) const;
  void measure(account& it, double elapsed) const;
  int fleet_size() const;
  // The share that nobody asks for is divided by this for each daemon.
  double headroom_parts() const;
  // Sorts the peers' reports by workspace.
  void gather();
  // Demand for one workspace and unit: this daemon first, then every other with demand.
  std::vector<double> demands(const account& it, share_unit unit) const;
  void derive(share_unit unit);
  void lend(share_unit unit, const std::vector<double>& wanted,
            const std::vector<double>& wanted_here, const std::vector<double>& unused);
  std::optional<over_share> over_tokens(account& it, double tokens, mono_time now) const;
  mono_time in_flight_retry_at(const account& it, double tokens, mono_time now) const;

  workspace_limiter_options options_;
  std::map<workspace_id, account> accounts_;
  std::map<daemon_id, demand_report> peers_;
  int daemons_ = 1;
  std::optional<mono_time> refreshed_at_;
};

[[nodiscard]] std::string_view to_string(share_unit unit);

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_WORKSPACE_LIMITER_H_
