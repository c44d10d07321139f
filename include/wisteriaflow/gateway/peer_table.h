// The other gateway daemons and when each was last seen.
//
// A daemon is live while any daemon receives its reports. Daemons relay how long ago each daemon
// was seen and what it stated about itself, so that in a large fleet not every daemon needs
// frequent reports from all others. The most recent statement of a daemon counts, whether it came
// directly or was relayed. Of a daemon that is only listed as known by a peer, nothing but its
// address is used.

#ifndef WISTERIAFLOW_GATEWAY_PEER_TABLE_H_
#define WISTERIAFLOW_GATEWAY_PEER_TABLE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/gateway/daemon_ages.h"
#include "wisteriaflow/gateway/peer_report.h"

namespace wisteriaflow::gateway {

struct peer_table_options {
  daemon_id self;
  http::socket_address self_address; // for peers
  // Four missed reports. With fewer, a peer behind a lossy link would be considered dead.
  std::chrono::milliseconds live_timeout{1'600};
  // Ages pass through more daemons in a larger fleet: every doubling beyond this size takes one
  // more round of reports.
  std::size_t live_timeout_fleet = 128;
  std::chrono::milliseconds live_timeout_per_doubling{400};
  // A silent peer may only be partitioned and still admit requests. It counts as running for this
  // time, which is longer than most network partitions.
  std::chrono::milliseconds running_timeout{20'000};
  // A peer that was silent for this long is no longer contacted.
  std::chrono::milliseconds contact_timeout{60'000};
};

// Not thread-safe.
class peer_table {
 public:
  explicit peer_table(peer_table_options options);
  ~peer_table() = default;
  peer_table(const peer_table&) = delete;
  peer_table& operator=(const peer_table&) = delete;

  // Adds an address known in advance. It is contacted until the id of the daemon there is known.
  void add_address(const http::socket_address& address);

  // Adds the addresses of the daemons that have registered in the store. They may be running: each
  // counts as such for a while even if it has not reported here yet.
  void add_registered(const std::vector<http::socket_address>& registered, mono_time now);

  // Records a report received directly from its daemon.
  void on_report(const peer_report& report, mono_time now);

  // Records a relayed statement that the daemon made about itself at `as_of`. Returns true if it is
  // newer than what was known.
  bool on_relayed(const daemon_contact& contact, mono_time as_of);

  // A statement of a daemon about itself and when it was made.
  struct dated_contact {
    daemon_contact contact;
    mono_time as_of;
  };
  // Returns up to `max_count` live daemons with the most recent statements.
  [[nodiscard]] std::vector<dated_contact> most_recent(std::size_t max_count, mono_time now) const;

  // Whether any daemon has seen the peer recently. A draining daemon is live until it is silent.
  [[nodiscard]] bool is_live(const daemon_id& peer, mono_time now) const;

  // Number of daemons, live or not, that have been seen or relayed.
  [[nodiscard]] std::size_t known_count() const { return peers_.size(); }

  // Returns the ages of all daemons, for a report.
  [[nodiscard]] std::vector<age_part> ages(mono_time now) const;

  // Returns up to `max_count` daemons of the parts in which a peer knew other daemons than this one
  // a moment ago; different ones with each call.
  [[nodiscard]] std::vector<dated_contact> contacts_to_repair(std::size_t max_count, mono_time now);

  // Time after which a daemon that nobody has seen is silent; see peer_table_options.
  [[nodiscard]] std::chrono::milliseconds live_timeout() const { return live_timeout_; }

  // Returns up to `max_count` daemons, the most recently seen first.
  [[nodiscard]] std::vector<peer_last_seen> most_recently_seen(std::size_t max_count,
                                                               mono_time now) const;

  // Whether every live daemon has reported directly since `t`.
  [[nodiscard]] bool all_reported_since(mono_time t, mono_time now) const;

  // The live daemon that holds the fleet's lease by the most recent statement; nothing if none says
  // so.
  [[nodiscard]] std::optional<daemon_id> leader(mono_time now) const;

  // Statements of the live daemons.
  [[nodiscard]] std::vector<daemon_contact> live(mono_time now) const;

  // Address at which daemons reach the peer; nothing if the peer is unknown.
  [[nodiscard]] std::optional<http::socket_address> address_of(const daemon_id& peer) const;

  // Number of daemons that may be admitting requests, this one included. Until this daemon has
  // learned of the whole fleet, the number that its peers have observed counts.
  [[nodiscard]] std::size_t running_count(mono_time now) const;

  // Those of them whose ids are known, without this one.
  [[nodiscard]] std::vector<daemon_id> running(mono_time now) const;

  // The same number from this daemon's own observation alone, for reports: if daemons repeated what
  // they were told, the number would never fall.
  [[nodiscard]] std::size_t observed_running_count(mono_time now) const;

  // Addresses to send reports to.
  [[nodiscard]] std::vector<http::socket_address> addresses_to_contact(mono_time now) const;

 private:
  struct entry {
    daemon_contact contact;
    mono_time as_of;        // when the daemon made the statement, received directly or relayed
    mono_time reported_at;  // last direct report
    mono_time last_seen_at; // last time that any daemon saw it
  };

  // Whether the address is this daemon's own or that of a known peer.
  [[nodiscard]] bool is_identified(const http::socket_address& address) const;
  entry& entry_of(const daemon_id& id);
  // The live timeout for the number of known daemons.
  [[nodiscard]] std::chrono::milliseconds timeout_for_size() const;
  void merge_ages(const peer_report& report, mono_time now);
  // Whether the daemon may still admit requests.
  [[nodiscard]] bool may_be_running(const entry& it, mono_time now) const;
  [[nodiscard]] bool is_live(const entry& it, mono_time now) const
  {
    return now < it.last_seen_at + live_timeout_;
  }

  peer_table_options options_;
  std::chrono::milliseconds live_timeout_;
  std::map<daemon_id, entry> peers_;
  daemon_roster<entry> roster_;                       // of all entries, and this daemon
  std::array<mono_time, age_parts> repaired_until_{}; // parts in which a peer knows other daemons
  std::size_t next_repaired_ = 0;
  std::map<http::socket_address, mono_time> unidentified_; // until when each counts as running
  std::size_t peers_running_count_ = 0;              // the highest number that a peer observed
  std::optional<mono_time> peers_count_valid_until_; // a while after the first report
};

} // namespace wisteriaflow::gateway

#endif // WISTERIAFLOW_GATEWAY_PEER_TABLE_H_
