// Enforces fleet-wide rate limits per workspace ("shares") without a store write per request.
//
// Each daemon admits requests from a local allowance, which it computes from the declared shares
// and from the demand that the daemons report to each other. The share of a workspace is divided
// among the daemons by max-min fairness over their demand. The part without demand is divided
// evenly, so that an idle daemon can admit at once. An unused share is lent to workspaces with
// excess demand until the demand of its owner returns.
//
//   limiter.set_shares(shares, now);
//   limiter.on_demand_report(report_of_a_peer);  // from gossip, about once a second
//   limiter.refresh(now);                        // about twice a second
//   const auto over = limiter.admit(workspace, tokens, now);
//   if (!over) { ... limiter.finish(workspace, tokens, used, now); }

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

// The quantities that a share limits.
enum class share_unit : std::size_t { requests_per_second, tokens_per_second, tokens_in_flight };
inline constexpr std::size_t share_units = 3;

// One amount per `share_unit`.
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

// Amounts per workspace: declared shares, or measured demand.
using workspace_amounts = std::map<workspace_id, share_amounts>;

// The recent demand at one daemon, including refused requests; sent to its peers by gossip.
struct demand_report {
  daemon_id daemon;
  workspace_amounts demand;
  mono_time valid_until; // on the receiver's clock

  friend bool operator==(const demand_report&, const demand_report&) = default;
};

// The request exceeds its workspace's share, which is expected to admit it at `retry_at`.
struct over_share {
  std::optional<share_unit> unit; // the limit exceeded; absent if the workspace is not declared
  mono_time retry_at;

  friend bool operator==(const over_share&, const over_share&) = default;
};

struct workspace_limiter_options {
  daemon_id self;
  std::chrono::milliseconds burst{1'000};                // burst length of the two rate limits
  std::chrono::milliseconds demand_time_constant{3'000}; // of the smoothed local demand
  std::chrono::milliseconds report_validity{5'000};
  double lend_fraction = 0.9; // part of an unused share that may be lent
  // Factor by which the share without demand is overcommitted: several daemons may use the same
  // part of it, since few need it at the same time. As their demand is reported, the overcommitted
  // part shrinks. 1 means no overcommitment.
  double headroom_overcommit = 8;
  bool lend = true; // whether unused shares are lent to other workspaces
};

// The local allowances of one daemon. Not thread-safe; owned by the daemon's core.
class workspace_limiter {
 public:
  explicit workspace_limiter(workspace_limiter_options options);

  // Sets the declared fleet-wide shares. Requests of workspaces not in `shares` are refused.
  void set_shares(const workspace_amounts& shares, mono_time now);

  // Sets the number of daemons in the fleet, including this one. Daemons that have not reported
  // are assumed to use an even part, so that a new daemon does not start with the whole share.
  // Must be called before the first `set_shares`.
  void set_daemon_count(int daemons) { daemon_count_ = daemons; }

  // Stores a peer's report, replacing its previous one.
  void on_demand_report(const demand_report& report);
  void on_daemon_gone(const daemon_id& daemon) { peers_.erase(daemon); }

  // The report to send to the peers: the demand at this daemon, valid until `now` +
  // `report_validity`.
  [[nodiscard]] demand_report local_demand(mono_time now) const;

  // Updates the local demand, drops expired peer reports and recomputes the allowances.
  void refresh(mono_time now);

  // Admits a request of `tokens` (prompt plus expected output) and charges it to the allowance.
  // Returns nothing on success, otherwise the limit that the request exceeds.
  [[nodiscard]] std::optional<over_share> admit(const workspace_id& workspace, double tokens,
                                                mono_time now);

  // Records that an admitted request of `tokens` has ended after using `used` tokens. The
  // difference is returned to the allowance, or charged to it if more were used.
  void finish(const workspace_id& workspace, double tokens, double used, mono_time now);

  // The allowance of a workspace at this daemon; zeros for an unknown workspace.
  [[nodiscard]] share_amounts allowance(const workspace_id& workspace) const;

 private:
  // State of one workspace.
  struct account {
    share_amounts share;
    share_amounts demand;  // at this daemon, smoothed
    share_amounts offered; // requested since the last refresh, admitted or not
    share_amounts allowance;
    std::vector<share_amounts> peer_demand; // one entry per report
    rate_limit requests;
    rate_limit tokens;
    double tokens_in_flight = 0;
    double finished_tokens = 0; // since the last refresh
    double drain_rate = 0;      // smoothed, tokens/s
  };

  account make_account(const share_amounts& share) const;
  void update_demand(account& it, double elapsed) const;
  int fleet_size() const;
  // Each daemon's allowance includes the share without demand divided by this number.
  double headroom_divisor() const;
  // Groups the peers' reported demand by workspace.
  void collect_peer_demand();
  // Demand per daemon for one workspace and unit: this daemon first, then the peers that reported
  // demand, then an assumed even part for each daemon that has not reported.
  std::vector<double> demands(const account& it, share_unit unit) const;
  void update_allowances(share_unit unit);
  void lend(share_unit unit, const std::vector<double>& excess_demand,
            const std::vector<double>& local_fractions, const std::vector<double>& unused);
  std::optional<over_share> check_tokens(account& it, double tokens, mono_time now) const;
  mono_time in_flight_retry_at(const account& it, double tokens, mono_time now) const;

  workspace_limiter_options options_;
  std::map<workspace_id, account> accounts_;
  std::map<daemon_id, demand_report> peers_;
  int daemon_count_ = 1;
  std::optional<mono_time> refreshed_at_;
};

[[nodiscard]] std::string_view to_string(share_unit unit);

} // namespace wisteriaflow::admission

#endif // WISTERIAFLOW_ADMISSION_WORKSPACE_LIMITER_H_
