// Fleet-wide usage of each workspace, without a store write and with flat traffic.
//
// Each workspace has one owner among the live daemons, by rendezvous hashing. Every daemon reports
// its own usage to the owner and gets the fleet's sum back. The period grows with the fleet, so
// that an owner receives at most `owner_reports_per_second` for a workspace whatever the fleet's
// size. An owner that dies is replaced at the next report; the old sum counts until its deadline.

#ifndef WISTERIAFLOW_MEMBERSHIP_USAGE_LEDGER_H_
#define WISTERIAFLOW_MEMBERSHIP_USAGE_LEDGER_H_

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/membership/messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace wisteriaflow::membership {

struct usage_ledger_options {
  daemon_id self;
  // At most this many workspaces are reported, the largest first.
  std::size_t max_workspaces = 64;
  std::chrono::milliseconds shortest_period{1000};
  double owner_reports_per_second = 100;
  // A report or a sum counts for this many periods.
  int periods_kept = 3;
};

// The reports due to one owner.
struct usage_reports {
  daemon_id owner;
  std::vector<workspace_usage> usage;
};

class usage_ledger {
 public:
  explicit usage_ledger(usage_ledger_options options);

  // Sets what this daemon admits for a workspace; zero takes it out after one more report.
  void set_own(const workspace_id& workspace, double tokens_per_second, double requests_per_second);

  // Reports for each owner if the period has passed. The own share of an owned workspace is kept
  // here.
  std::vector<usage_reports> take_reports(std::span<const member* const> live_daemons,
                                          mono_time now);

  // As owner: keeps the reports and returns the sum of each workspace in them.
  std::vector<workspace_usage> receive_reports(std::span<const workspace_usage> reports,
                                               mono_time now);

  // As reporter: keeps the sums that an owner returned.
  void receive_sums(std::span<const workspace_usage> sums, mono_time now);

  // The fleet's usage as last heard, never less than the own; nothing once it is stale.
  [[nodiscard]] std::optional<workspace_usage> fleet_usage(const workspace_id& workspace,
                                                           mono_time now) const;

  // When take_reports next has something to say.
  [[nodiscard]] mono_time report_due() const { return report_due_; }

 private:
  struct kept_usage {
    workspace_usage usage;
    mono_time good_until;
  };

  void keep_report(const workspace_usage& usage, mono_time now);
  workspace_usage sum_of(const workspace_id& workspace, mono_time now);

  usage_ledger_options options_;
  std::map<workspace_id, workspace_usage> own_;
  std::map<workspace_id, std::map<daemon_id, kept_usage>> owned_;
  std::map<workspace_id, kept_usage> sums_;
  std::uint64_t sequence_ = 0;
  std::chrono::milliseconds period_;
  mono_time report_due_;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_USAGE_LEDGER_H_
