// One daemon's view of all daemons and endpoints, joined from four sources: reclaim notices, the
// instance list (which lags), its own connections, and its peers' gossip.
//
// What is agreed (the members' records) is kept apart from what is one daemon's own opinion: that
// a daemon is suspected, or an endpoint unreachable. Opinions are never gossiped and recover by
// themselves. A silent daemon is declared gone only by a daemon that hears the majority of the
// others: one that was itself cut off or paused declares nobody gone.
//
//   membership_view view({.self = daemon_id{"d1"}, .incarnation = started_ms}, now);
//   view.announce_leaving({member_kind::endpoint, "e7"}, reclaim_at, now);
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
  // This process's start in milliseconds since the Unix epoch, so that it beats its predecessor's.
  std::uint64_t incarnation = 1;
  member_attributes self_attributes;
  // How often the own heartbeat counter is raised.
  std::chrono::milliseconds heartbeat_period{5000};
  // A daemon whose counter stands still this long is suspected, then gone.
  std::chrono::milliseconds suspected_after{30'000};
  std::chrono::milliseconds gone_after{60'000};
  // An endpoint that neither the list nor a connection has shown this long is gone.
  std::chrono::milliseconds missing_after{60'000};
  // A leaving member is gone this long after its reclaim time, or after it was heard of without.
  std::chrono::milliseconds leaving_grace{5000};
  std::chrono::milliseconds leaving_without_time{300'000};
  // How long a gone member is remembered; longer than any list lag.
  std::chrono::milliseconds tombstone_kept{600'000};
  // A list that has shown the same attributes this long is believed against gossip.
  std::chrono::milliseconds list_settles_after{60'000};
  // Failed connections in a row after which an endpoint is unreachable from here.
  int failures_until_unreachable = 3;
};

class membership_view {
 public:
  membership_view(view_options options, clock_reading now);

  // Joins a record heard from a peer. True if it taught the view anything but a heartbeat.
  bool apply(const member& heard, clock_reading now);

  // Joins a whole reading of the instance list. It adds members and may say that one leaves; it
  // never revives one. A failed reading must not be passed.
  void apply_list(std::span<const member> listed, clock_reading now);

  // A reclaim notice, or the own drain. A member not yet known is remembered as leaving.
  void announce_leaving(const member_key& key, std::optional<wall_time> reclaim_at,
                        clock_reading now);

  // A daemon's heartbeat in compact form: hash of its key and incarnation, and the counter.
  // True if it rose.
  bool apply_heartbeat(std::uint64_t hash, std::uint64_t counter, clock_reading now);

  // Outcomes of own connections, of requests or probes.
  void connect_failed(const member_key& key, clock_reading now);
  void connect_succeeded(const member_key& key, clock_reading now);

  // Raises the own heartbeat and moves members whose deadlines have passed. Call about every
  // second.
  void tick(clock_reading now);

  // The member, or null if unknown. Valid until the view is next changed.
  [[nodiscard]] const member* find(const member_key& key) const;
  [[nodiscard]] const member& self() const;

  // Daemons that are live and not suspected, this one among them, in order of id.
  [[nodiscard]] std::vector<const member*> live_daemons() const;

  // Daemons that are not gone, suspected and leaving ones too but not this one, in order of id.
  [[nodiscard]] std::vector<const member*> other_daemons() const;

  // Endpoints that may get new work and match, in order of id.
  [[nodiscard]] std::vector<const member*>
  live_endpoints(const std::function<bool(const member&)>& matches) const;

  // May get new work from this daemon: live and reachable.
  [[nodiscard]] bool is_routable(const endpoint_id& endpoint) const;
  [[nodiscard]] bool is_suspected(const daemon_id& daemon) const;
  [[nodiscard]] bool is_unreachable(const endpoint_id& endpoint) const;

  // Counts changes other than heartbeats; starts at the incarnation, so that it is higher in each
  // incarnation.
  [[nodiscard]] std::uint64_t version() const { return version_; }

  // Equal in two views that agree on every member that is not gone, but for collisions.
  [[nodiscard]] std::uint64_t hash() const;

  // The hash by parts: a member counts in the bucket `bucket_of` its key.
  using bucket_hashes = std::array<std::uint32_t, 512>;
  [[nodiscard]] const bucket_hashes& buckets() const { return buckets_; }
  [[nodiscard]] static std::size_t bucket_of(const member_key& key);

  // Keys of all members by the version of their last change.
  [[nodiscard]] const std::map<std::uint64_t, member_key>& changes() const { return changes_; }

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  // Hash under which a heartbeat of `m` travels.
  [[nodiscard]] static std::uint64_t heartbeat_hash_of(const member& m);

 private:
  // What this daemon alone knows of a member.
  struct entry {
    member record;
    std::uint64_t changed = 0;
    bool suspected = false;
    int failures = 0;
    // Daemons: when they fall silent. Endpoints: when their absence from the list counts.
    mono_time suspected_at;
    mono_time gone_at;
    // Leaving: when it is taken for gone if no reclaim time is known.
    mono_time left_at;
    // The list's own last word.
    bool listed = false;
    std::optional<std::uint64_t> list_attributes_hash;
    mono_time list_settles_at;
  };

  entry& entry_of(const member_key& key, clock_reading now);
  void count(const member& m, bool present);
  bool store(entry& e, const member& joined, clock_reading now);
  void refresh(entry& e, clock_reading now) const;
  void refute(const member& heard, clock_reading now);
  member listed_record(entry& e, const member& listed, clock_reading now) const;
  void mark_gone(entry& e, clock_reading now);
  void expire_daemon(entry& e, bool hears_majority, clock_reading now);
  void expire_leaving(entry& e, clock_reading now);
  void expire(entry& e, bool hears_majority, clock_reading now);
  void forget_old(clock_reading now);
  [[nodiscard]] bool is_forgettable(const entry& e, clock_reading now) const;
  [[nodiscard]] bool hears_majority(clock_reading now) const;
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
