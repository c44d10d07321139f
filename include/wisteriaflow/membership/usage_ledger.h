// Fleet-wide usage of each workspace, without a store write and with flat traffic.
//
// Two levels. In each availability zone a workspace has a collector, and in the fleet an owner,
// both by rendezvous hashing among the live daemons; the owner is its own zone's collector. Daemons
// report to their collector, collectors report their zone's sum to the owner, and each reply brings
// the fleet's sum as last heard. A daemon so hears of its zone's daemons and one daemon of each
// other zone only; the period grows with the zone, so that a collector receives at most
// `reports_per_second` for a workspace. A sum is two to three periods old. When a collector or
// owner dies, sums are partial or count a zone twice until the old reports' deadline.

#ifndef WISTERIAFLOW_MEMBERSHIP_USAGE_LEDGER_H_
#define WISTERIAFLOW_MEMBERSHIP_USAGE_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/member.h"
#include "wisteriaflow/membership/messages.h"

namespace wisteriaflow::membership {

struct usage_ledger_options {
  daemon_id self;
  // This daemon's.
  availability_zone zone;
  // At most this many workspaces are reported, the largest first.
  std::size_t max_workspaces = 64;
  std::chrono::milliseconds shortest_period{1000};
  double reports_per_second = 12;
  // A report or a sum counts for this many periods.
  int periods_kept = 3;
};

// The reports due to one collector or owner.
struct usage_reports {
  daemon_id to;
  std::vector<workspace_usage> usage;
};

class usage_ledger {
 public:
  explicit usage_ledger(usage_ledger_options options);

  // Sets what this daemon admits for a workspace; zero takes it out after one more report.
  void set_own(const workspace_id& workspace, double tokens_per_second, double requests_per_second);

  // Reports for each receiver if the period has passed. What this daemon collects is kept here.
  std::vector<usage_reports> take_reports(std::span<const member* const> live_daemons,
                                          mono_time now);

  // As collector or owner: keeps the reports and returns the fleet's sum of each workspace in them,
  // as far as it is known.
  std::vector<workspace_usage> receive_reports(std::span<const workspace_usage> reports,
                                               mono_time now);

  // As reporter: keeps the sums that came back.
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

  void start_period(std::span<const member* const> zone_daemons, mono_time now);
  void collect_own(std::span<const member* const> zone_daemons, mono_time now,
                   std::map<daemon_id, usage_reports>& due);
  void report_collected(std::span<const member* const> live_daemons, mono_time now,
                        std::map<daemon_id, usage_reports>& due);
  void keep_report(const workspace_usage& usage, mono_time now);
  workspace_usage collected_sum(const workspace_id& workspace, mono_time now);

  usage_ledger_options options_;
  std::map<workspace_id, workspace_usage> own_;
  // What others reported here, and whether this daemon was the workspace's owner when last asked.
  std::map<workspace_id, std::map<daemon_id, kept_usage>> collected_;
  std::set<workspace_id> owned_;
  std::map<workspace_id, kept_usage> sums_;
  std::uint64_t sequence_ = 0;
  std::chrono::milliseconds period_;
  mono_time report_due_;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_USAGE_LEDGER_H_
