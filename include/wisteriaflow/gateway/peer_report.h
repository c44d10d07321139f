// What one gateway daemon tells its peers, a few times a second, and how it travels: as JSON over
// HTTP between the daemons' own ports.

#ifndef WISTERIAFLOW_GATEWAY_PEER_REPORT_H_
#define WISTERIAFLOW_GATEWAY_PEER_REPORT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriaflow/base/errors.h"
#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/crash_suspects.h"
#include "wisteriaflow/gateway/endpoint_feed.h"
#include "wisteriaflow/gateway/endpoint_pool.h"
#include "wisteriaflow/gateway/rollout.h"
#include "wisteriaflow/gateway/stated_terms.h"
#include "wisteriaflow/gateway/usage_counts.h"
#include "wisteriaflow/gateway/version_counts.h"
#include "wisteriaflow/gateway/workspace_quota.h"
#include "wisteriaflow/http/message.h"

namespace wisteriaflow::gateway {

// A message of a peer that cannot be read.
class peer_report_error : public error {
 public:
  using error::error;
};

// A daemon as it describes itself.
struct daemon_contact {
  daemon_id id;
  std::uint64_t incarnation = 0; // different in each process
  http::socket_address peer_address;
  http::socket_address caller_address;
  availability_zone zone;
  bool ready = false;   // may be given to callers
  bool leaving = false; // is about to end
  bool acting = false;  // holds the fleet's duties

  friend bool operator==(const daemon_contact&, const daemon_contact&) = default;
};

// How long ago a daemon was heard, by the sender or by those who told it.
struct peer_age {
  daemon_id id;
  std::chrono::milliseconds age{0};

  friend bool operator==(const peer_age&, const peer_age&) = default;
};

// What another daemon told of itself, passed on.
struct relayed_peer {
  daemon_contact contact;
  std::chrono::milliseconds age{0}; // since it told so
  endpoint_work_map work;
  prefill_demand prefill;

  friend bool operator==(const relayed_peer&, const relayed_peer&) = default;
};

struct peer_report {
  daemon_contact self;
  std::uint64_t configuration_version = 0; // in force at the sender; 0: none
  wall_time clock;                         // the sender's own, uncorrected
  std::vector<daemon_contact> known;       // some of the daemons that the sender hears
  std::vector<peer_age> heard;             // those that count as live, and more
  std::vector<relayed_peer> relayed;       // those of whom the sender has the latest news
  endpoint_work_map work;                  // the sender's own
  prefill_demand prefill;                  // the same
  std::vector<endpoint_departure> departures;
  std::vector<told_terms> terms; // that endpoints have stated
  endpoint_view endpoints;       // how current the sender's view of them is
  std::vector<usage_row> usage;
  // Operators' orders to move services to other versions, all up to a revision of the store, and
  // how the sender's calls fare on both versions.
  rollout_book::entries rollouts;
  std::uint64_t rollouts_known_up_to = 0;
  std::vector<rollout_row> rollout_rows;
  crash_news crashes;               // what the sender has heard of them lately
  std::uint64_t crash_digest = 0;   // of all that it knows; see crash_suspects
  std::chrono::milliseconds age{0}; // since it was made; travels beside the report

  friend bool operator==(const peer_report&, const peer_report&) = default;
};

// A question for units of a workspace's rate; see workspace_quota.
struct quota_question {
  workspace_id workspace;
  double units = 0; // at least
  double ask = 0;   // at best

  friend bool operator==(const quota_question&, const quota_question&) = default;
};

[[nodiscard]] std::string encode_quota_question(const quota_question& question);
[[nodiscard]] std::string encode_quota_grant(const quota_grant& grant);

// These throw peer_report_error.
[[nodiscard]] quota_question decode_quota_question(std::string_view text);
[[nodiscard]] quota_grant decode_quota_grant(std::string_view text);

// Endpoints' descriptions for a peer; see endpoint_feed.
[[nodiscard]] std::string encode_endpoint_changes(const endpoint_changes& changes);
// Throws peer_report_error.
[[nodiscard]] endpoint_changes decode_endpoint_changes(std::string_view text);

// The report as it stands `age` after it was made: a daemon encodes one for all who ask within a
// short time, so what it tells of time has moved on when it is sent.
[[nodiscard]] peer_report aged_by(peer_report report, std::chrono::milliseconds age);

[[nodiscard]] std::string encode_peer_report(const peer_report& report);

// Throws peer_report_error.
[[nodiscard]] peer_report decode_peer_report(std::string_view text);

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PEER_REPORT_H_
