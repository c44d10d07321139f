// Aggregates the usage of each workspace over the whole fleet, without a write to the store and
// with traffic that does not grow with the fleet.
//
// The aggregation has two levels. A workspace has a collector in each availability zone and an
// owner in the fleet, both chosen by rendezvous hashing among the live daemons; the owner is also
// the collector of its own zone. Daemons report to the collector of their zone, collectors report
// the sum of their zone to the owner, and each reply contains the last known sum of the fleet. A
// daemon therefore exchanges reports only with daemons of its own zone and with one daemon of each
// other zone. The period grows with the number of daemons in the zone, so that a collector receives
// at most `max_reports_per_second` reports for a workspace. A sum is two to three periods old. When
// a collector or owner ends, sums are incomplete or count a zone twice until the old reports
// expire.

#ifndef WISTERIAFLOW_MEMBERSHIP_USAGE_AGGREGATOR_H_
#define WISTERIAFLOW_MEMBERSHIP_USAGE_AGGREGATOR_H_

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

struct usage_aggregator_options {
  daemon_id self;
  // The zone of this daemon.
  availability_zone zone;
  // At most this many workspaces are reported, the largest first.
  std::size_t max_workspaces = 64;
  // Shortest time between two reports of one daemon.
  std::chrono::milliseconds min_period{1000};
  // Highest rate at which a collector receives reports for one workspace.
  double max_reports_per_second = 12;
  // A report or a sum is valid for this many periods.
  int validity_periods = 3;
};

// The reports to send to one collector or owner.
struct usage_reports {
  daemon_id to;
  std::vector<workspace_usage> usage;
};

class usage_aggregator {
 public:
  explicit usage_aggregator(usage_aggregator_options options);

  // Sets the usage that this daemon admits for a workspace. After a zero, the workspace is reported
  // once more and then removed.
  void set_local_usage(const workspace_id& workspace, double tokens_per_second,
                       double requests_per_second);

  // Returns the reports for each receiver if the period has passed. Reports for which this daemon
  // is the collector are stored here.
  std::vector<usage_reports> take_reports(std::span<const member* const> live_daemons,
                                          mono_time now);

  // As collector or owner: stores the reports and returns the fleet's sum of each workspace in
  // them, if it is known.
  std::vector<workspace_usage> receive_reports(std::span<const workspace_usage> reports,
                                               mono_time now);

  // As reporter: stores the sums from a reply.
  void receive_sums(std::span<const workspace_usage> sums, mono_time now);

  // Returns the last known usage of the fleet, at least this daemon's own usage; nothing once the
  // sum has expired.
  [[nodiscard]] std::optional<workspace_usage> fleet_usage(const workspace_id& workspace,
                                                           mono_time now) const;

  // When take_reports next returns reports.
  [[nodiscard]] mono_time report_due() const { return report_due_; }

 private:
  struct stored_usage {
    workspace_usage usage;
    mono_time valid_until;
  };

  void start_period(std::span<const member* const> zone_daemons, mono_time now);
  void report_local_usage(std::span<const member* const> zone_daemons, mono_time now,
                          std::map<daemon_id, usage_reports>& due);
  void report_zone_sums(std::span<const member* const> live_daemons, mono_time now,
                        std::map<daemon_id, usage_reports>& due);
  void store_report(const workspace_usage& usage, mono_time now);
  workspace_usage collected_sum(const workspace_id& workspace, mono_time now);

  usage_aggregator_options options_;
  std::map<workspace_id, workspace_usage> local_usage_;
  // The reports of other daemons, and the workspaces that this daemon owned at the last report.
  std::map<workspace_id, std::map<daemon_id, stored_usage>> collected_;
  std::set<workspace_id> owned_workspaces_;
  std::map<workspace_id, stored_usage> fleet_sums_;
  std::uint64_t sequence_ = 0;
  std::chrono::milliseconds period_;
  mono_time report_due_;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_USAGE_AGGREGATOR_H_
