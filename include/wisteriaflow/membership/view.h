// One daemon's view of all daemons and endpoints, merged from four sources: reclaim notices, the
// instance list (which lags), the daemon's own connections, and gossip from its peers.
//
// The members' records are shared by all daemons. They are kept apart from what a single daemon has
// observed: that a daemon is suspected, or an endpoint unreachable. Such observations are never
// gossiped and are withdrawn when contact resumes. A silent daemon is declared gone only by a
// daemon that recently had contact with a majority of the daemons: one that was itself cut off or
// paused declares no member gone.
//
//   membership_view view({.self = daemon_id{"d1"}, .incarnation = started_ms}, now);
//   view.mark_leaving({member_kind::endpoint, "e7"}, reclaim_at, now);
//   view.is_routable(endpoint_id{"e7"});  // false

#ifndef WISTERIAFLOW_MEMBERSHIP_VIEW_H_
#define WISTERIAFLOW_MEMBERSHIP_VIEW_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/membership/member.h"

namespace wisteriaflow::membership {

struct view_options {
  daemon_id self;
  // The start time of this process in milliseconds since the Unix epoch, so that it is higher than
  // that of the previous process.
  std::uint64_t incarnation = 1;
  member_attributes self_attributes;
  // How often this daemon raises its own heartbeat counter.
  std::chrono::milliseconds heartbeat_period{5000};
  // A daemon whose counter has not changed for this long is suspected, then gone.
  std::chrono::milliseconds suspected_after{30'000};
  std::chrono::milliseconds gone_after{60'000};
  // An endpoint that neither the instance list nor a connection has shown for this long is gone.
  std::chrono::milliseconds unlisted_gone_after{60'000};
  // A leaving member is gone this long after its reclaim time, or, if that is not known, this long
  // after it was first reported as leaving.
  std::chrono::milliseconds leaving_grace{5000};
  std::chrono::milliseconds max_leaving_time{300'000};
  // How long a gone member is remembered; must be longer than the lag of any instance list.
  std::chrono::milliseconds tombstone_retention{600'000};
  // Attributes that the instance list has shown unchanged for this long override gossiped ones.
  std::chrono::milliseconds list_trusted_after{60'000};
  // Number of consecutive failed connections after which an endpoint is unreachable from this
  // daemon.
  int failures_until_unreachable = 3;
};

class membership_view {
 public:
  membership_view(view_options options, clock_reading now);

  // Merges a record received from a peer. Returns true if anything except the heartbeat changed.
  bool apply(const member& received, clock_reading now);

  // Merges a complete reading of the instance list. It adds members and may report that one is
  // leaving; it never revives a member. Don't pass a failed or incomplete reading.
  void apply_list(std::span<const member> listed, clock_reading now);

  // Records a reclaim notice, or the drain of this daemon. A member that is not known yet is stored
  // as leaving.
  void mark_leaving(const member_key& key, std::optional<wall_time> reclaim_at, clock_reading now);

  // Applies a daemon's heartbeat in compact form: the hash of its id and incarnation, and the
  // counter. Returns true if the counter increased.
  bool apply_heartbeat(std::uint64_t hash, std::uint64_t counter, clock_reading now);

  // Outcomes of this daemon's own connections, for requests or probes.
  void connect_failed(const member_key& key, clock_reading now);
  void connect_succeeded(const member_key& key, clock_reading now);

  // Raises this daemon's heartbeat and changes the state of members whose deadlines have passed.
  // Call it about once a second.
  void tick(clock_reading now);

  // Returns the member, or null if it is not known. Valid until the view next changes.
  [[nodiscard]] const member* find(const member_key& key) const;
  [[nodiscard]] const member& self() const;

  // Returns the daemons that are live and not suspected, including this one, in order of id.
  [[nodiscard]] std::vector<const member*> live_daemons() const;

  // Returns the daemons that are not gone, including suspected and leaving ones but not this one,
  // in order of id.
  [[nodiscard]] std::vector<const member*> other_daemons() const;

  // Returns the endpoints that may get new work and that match, in order of id.
  [[nodiscard]] std::vector<const member*>
  live_endpoints(const std::function<bool(const member&)>& matches) const;

  // Whether this daemon may send new work to the endpoint: it is live and reachable.
  [[nodiscard]] bool is_routable(const endpoint_id& endpoint) const;
  [[nodiscard]] bool is_suspected(const daemon_id& daemon) const;
  [[nodiscard]] bool is_unreachable(const endpoint_id& endpoint) const;

  // Counts changes other than heartbeats. It starts at the incarnation, so that it is higher in
  // each incarnation.
  [[nodiscard]] std::uint64_t version() const { return version_; }

  // Equal, except for hash collisions, for two views that agree on every member that is not gone.
  [[nodiscard]] std::uint64_t hash() const;

  // The view's hash by buckets: a member is counted in the bucket `bucket_of` its key.
  using bucket_hashes = std::array<std::uint32_t, 512>;
  [[nodiscard]] const bucket_hashes& buckets() const { return buckets_; }
  [[nodiscard]] static std::size_t bucket_of(const member_key& key);

  // The keys of all members by the version of their last change.
  [[nodiscard]] const std::map<std::uint64_t, member_key>& changes() const { return changes_; }

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  // The hash that identifies `m` in a compact heartbeat.
  [[nodiscard]] static std::uint64_t heartbeat_hash_of(const member& m);

 private:
  // A member's record and what only this daemon knows of the member.
  struct entry {
    member record;
    std::uint64_t changed_version = 0;
    bool suspected = false;
    int connect_failures = 0;
    // For daemons: when they count as silent. For endpoints: when their absence from the list
    // counts.
    mono_time suspected_at;
    mono_time gone_at;
    // When a leaving member without a reclaim time is declared gone.
    mono_time leaving_expires_at;
    // Whether the last instance list contained the member, and the attributes that it showed.
    bool listed = false;
    std::optional<std::uint64_t> list_attributes_hash;
    mono_time list_trusted_at;
  };

  entry& find_or_add(const member_key& key, clock_reading now);
  void update_hash(const member& m, bool present);
  bool store(entry& e, const member& joined, clock_reading now);
  void reset_deadlines(entry& e, clock_reading now) const;
  void refute(const member& received, clock_reading now);
  member listed_record(entry& e, const member& listed, clock_reading now) const;
  void mark_gone(entry& e, clock_reading now);
  void expire_daemon(entry& e, bool has_quorum, clock_reading now);
  void expire_leaving(entry& e, clock_reading now);
  void expire(entry& e, bool has_quorum, clock_reading now);
  void remove_old_tombstones(clock_reading now);
  [[nodiscard]] bool is_expired_tombstone(const entry& e, clock_reading now) const;
  [[nodiscard]] bool has_quorum(clock_reading now) const;
  [[nodiscard]] bool is_self(const member_key& key) const;

  view_options options_;
  member_key self_key_;
  std::map<member_key, entry> entries_;
  std::map<std::uint64_t, member_key> changes_;
  std::unordered_map<std::uint64_t, member_key> heartbeat_keys_;
  std::uint64_t version_;
  bucket_hashes buckets_{};
  mono_time heartbeat_due_;
};

} // namespace wisteriaflow::membership

#endif // WISTERIAFLOW_MEMBERSHIP_VIEW_H_
