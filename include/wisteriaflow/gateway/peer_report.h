// The state report that gateway daemons exchange a few times per second, and its encoding as JSON
// for HTTP between the peer ports of the daemons. Also the messages for quota requests and for
// endpoint records.

#ifndef WISTERIAFLOW_GATEWAY_PEER_REPORT_H_
#define WISTERIAFLOW_GATEWAY_PEER_REPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/crash_suspects.h"
#include "wisteriaflow/gateway/daemon_ages.h"
#include "wisteriaflow/gateway/endpoint_feed.h"
#include "wisteriaflow/gateway/endpoint_pool.h"
#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/stated_terms.h"
#include "wisteriaflow/gateway/store_revision.h"
#include "wisteriaflow/gateway/usage_counts.h"
#include "wisteriaflow/gateway/version_counts.h"
#include "wisteriaflow/gateway/workspace_quota.h"
#include "wisteriaflow/http/message.h"
#include "wisteriaflow/load/endpoint_outcomes.h"

namespace wisteriaflow::gateway {

// Thrown for a message of a peer that cannot be parsed.
class peer_report_error : public error {
 public:
  using error::error;
};

// What a daemon states about itself.
struct daemon_contact {
  daemon_id id;
  std::uint64_t incarnation = 0; // differs between processes
  http::socket_address peer_address;
  http::socket_address caller_address;
  availability_zone zone;
  bool ready = false;   // may be listed to callers
  bool leaving = false; // is draining and will stop
  bool acting = false;  // holds the fleet lease and performs the leader's duties
  bool cut_off = false; // has lost its links to all endpoints; see endpoint_links

  friend bool operator==(const daemon_contact&, const daemon_contact&) = default;
};

// The counts of windows that were reported, or are about to be.
using decided_usage_map = std::map<usage_window, window_counts>;

// Time since a daemon was last seen by the sender or by any daemon that reported to the sender.
struct peer_last_seen {
  daemon_id id;
  std::chrono::milliseconds age{0};

  friend bool operator==(const peer_last_seen&, const peer_last_seen&) = default;
};

// The last state of another daemon, passed on by the sender.
struct relayed_peer {
  daemon_contact contact;
  std::chrono::milliseconds age{0}; // since the daemon stated it
  endpoint_work_map work;
  prefill_demand prefill;

  friend bool operator==(const relayed_peer&, const relayed_peer&) = default;
};

// The state of the sender and what it knows of others.
struct peer_report {
  daemon_contact self;
  std::uint64_t configuration_version = 0; // in force at the sender; 0: none
  wall_time clock;                         // wall clock of the sender, not corrected
  // Daemons that the sender has observed and that may be admitting requests, itself included;
  // 0: it has not learned yet which daemons there are.
  std::size_t running_daemons = 0;
  std::vector<daemon_contact> known_daemons; // some of the live daemons that the sender knows
  std::vector<age_part> ages;            // of all daemons; peers of an earlier version omit them
  std::vector<peer_last_seen> last_seen; // of some daemons, for peers of an earlier version
  std::vector<relayed_peer>
      relayed;                // recent states of other daemons, and ones the receiver may lack
  endpoint_work_map work;     // of the sender
  prefill_demand prefill;     // of the sender
  load::outcome_map outcomes; // of the sender's calls; see load/endpoint_outcomes.h
  std::vector<load::relayed_outcomes> peer_outcomes; // of other daemons' calls
  // Number of values in the two fields above that could not be believed. Not encoded.
  std::size_t rejected_outcomes = 0;
  std::vector<endpoint_departure> departures;
  std::vector<peer_terms> terms; // terms that endpoints have stated
  std::vector<peer_rejection_limit> rejection_limits;
  endpoint_view endpoints; // how current the sender's view of the endpoints is
  std::vector<usage_row> usage;
  decided_usage_map decided_usage;  // counts that the sender, the leader, has begun to report
  std::uint64_t fencing_number = 0; // of the fleet's lease: the highest that the sender knows of
  // Rollout orders, complete up to the store revision `rollouts_revision`, and the outcomes of the
  // sender's calls on the two versions of each.
  rollout_registry::entries rollouts;
  store_revision rollouts_revision;
  std::vector<rollout_row> rollout_rows;
  crash_report crashes;           // crashes that the sender learned of recently
  std::uint64_t crash_digest = 0; // over all crashes that the sender knows; see crash_suspects
  // Time since the report was made. Sent in a header, not in the encoded report.
  std::chrono::milliseconds age{0};
  // Values that were out of bounds when the report was decoded; they are replaced by the bound.
  std::size_t clamped_values = 0;

  friend bool operator==(const peer_report&, const peer_report&) = default;
};

// Messages between a daemon and the owner of a workspace's rate; see workspace_quota.
// The answer of a daemon that does not consider itself the owner: whom to ask instead.
struct quota_redirect {
  daemon_id owner;
  http::socket_address address; // for peers

  friend bool operator==(const quota_redirect&, const quota_redirect&) = default;
};

[[nodiscard]] std::string encode_quota_request(const quota_request& request);
[[nodiscard]] std::string encode_quota_grant(const quota_grant& grant);
[[nodiscard]] std::string encode_quota_redirect(const quota_redirect& redirect);

// All throw peer_report_error.
[[nodiscard]] quota_request decode_quota_request(std::string_view text);
[[nodiscard]] quota_grant decode_quota_grant(std::string_view text);
[[nodiscard]] quota_redirect decode_quota_redirect(std::string_view text);

// Usage rows for a relay or the leader; see usage_courier.
[[nodiscard]] std::string encode_usage_rows(const std::vector<usage_row>& rows);
// Throws peer_report_error.
[[nodiscard]] std::vector<usage_row> decode_usage_rows(std::string_view text);

// Endpoint records for a peer; see endpoint_feed.
[[nodiscard]] std::string encode_endpoint_changes(const endpoint_changes& changes);
// Throws peer_report_error.
[[nodiscard]] endpoint_changes decode_endpoint_changes(std::string_view text);

// Returns the report with all ages and the clock advanced by `age`. A daemon encodes one report for
// all peers that ask within a short time, so the values that depend on time are older when the
// report is sent.
[[nodiscard]] peer_report aged_by(peer_report report, std::chrono::milliseconds age);

[[nodiscard]] std::string encode_peer_report(const peer_report& report);

// Throws peer_report_error.
[[nodiscard]] peer_report decode_peer_report(std::string_view text);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PEER_REPORT_H_
