// Holds one control duty under a lease in the object API, or waits for it.
//
// - Each holder raises the lease's fencing number.
// - A lease is free when its object has not changed for its whole time, by the observer's own
//   monotonic clock; wall clocks of different machines are never compared. The holder counts from
//   before it sent the write, so it stops no later than anyone else may begin.
// - The holder's right ends by its own clock: ask `may_order` right before each order.
// - Endpoints that ignore fencing numbers are spared until the former holder's last orders can no
//   longer arrive.
// - A write whose answer was lost is settled by reading back its nonce.
// - The object also carries the duty's notes, such as launches on their way: writing them is the
//   same conditional update, so that a former holder cannot write any.
//
// Pure: events and the current time go in, calls to the store come out.
//
//   lease_holder holder({.name = "capacity", .self = id});
//   auto calls = holder.handle(lease_wanted{true}, now);
//   if (holder.may_order(endpoint_checks_fencing, now.mono)) { ... holder.fencing_number() ... }

#ifndef WISTERIAFLOW_CAPACITY_LEASE_HOLDER_H_
#define WISTERIAFLOW_CAPACITY_LEASE_HOLDER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/json/value.hpp>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"

namespace wisteriaflow::capacity {

inline constexpr std::string_view leases_plural = "leases";

struct lease_options {
  std::string name;
  daemon_id self;
  std::chrono::milliseconds duration{10'000};
  std::chrono::milliseconds renew_period{3'000};
  std::chrono::milliseconds read_period{2'000};   // while another daemon holds it
  std::chrono::milliseconds order_timeout{5'000}; // an order arrives within this time or not at all
  std::chrono::milliseconds skew_margin{1'000};   // by which clocks drift apart in `duration`
  std::chrono::milliseconds retry_period{500};    // after a failed call
  std::uint64_t seed = 0;                         // of nonces
};

// The lease as it stands in the store.
struct lease_record {
  daemon_id holder; // empty: given back
  std::uint64_t fencing_number = 0;
  std::uint64_t nonce = 0; // of the last write
  std::chrono::milliseconds duration{};
  boost::json::value notes;

  friend bool operator==(const lease_record&, const lease_record&) = default;
};

// The record as an object of the store, and back. The decoder throws capacity_error.
[[nodiscard]] boost::json::value encode_lease(const std::string& name, const lease_record& record,
                                              std::uint64_t version);
[[nodiscard]] lease_record decode_lease(const boost::json::value& document);

// Events.

// Whether this daemon wants the duty.
struct lease_wanted {
  bool wanted = false;
};

// The answer to a read: what the store holds, and its version.
struct lease_found {
  std::uint64_t call = 0;
  lease_record record;
  std::uint64_t version = 0;
};
struct lease_missing {
  std::uint64_t call = 0;
};

// The answer to a write.
struct lease_written {
  std::uint64_t call = 0;
  std::uint64_t version = 0;
};
struct lease_conflict {
  std::uint64_t call = 0;
};

// No answer: a write may or may not have taken effect.
struct lease_call_lost {
  std::uint64_t call = 0;
};

// The duty's notes have changed and are to be written, without waiting for the next renewal.
struct notes_changed {
  boost::json::value notes;
};

// Time passed.
struct lease_tick {};

using lease_event = std::variant<lease_wanted, lease_found, lease_missing, lease_written,
                                 lease_conflict, lease_call_lost, notes_changed, lease_tick>;

// Actions.

struct read_lease {
  std::uint64_t call = 0;
};

// Replaces the object if its version is `version`; creates it if that is 0.
struct write_lease {
  std::uint64_t call = 0;
  lease_record record;
  std::uint64_t version = 0;
};

using lease_action = std::variant<read_lease, write_lease>;

// Not thread-safe: one thread owns it.
class lease_holder {
 public:
  explicit lease_holder(lease_options options);
  ~lease_holder();
  lease_holder(const lease_holder&) = delete;
  lease_holder& operator=(const lease_holder&) = delete;

  std::vector<lease_action> handle(const lease_event& event, clock_reading now);

  // When the next lease_tick is due.
  [[nodiscard]] std::optional<mono_time> wake_at() const;

  // Whether this daemon holds the lease at `now`.
  [[nodiscard]] bool holds(mono_time now) const;

  // Whether an order may be given at `now` to an endpoint that checks fencing numbers, or one that
  // does not.
  [[nodiscard]] bool may_order(bool checks_fencing, mono_time now) const;

  // When the right to give orders ends, unless the lease is renewed.
  [[nodiscard]] mono_time deadline() const;

  // The number under which this daemon holds the lease.
  [[nodiscard]] std::uint64_t fencing_number() const;

  // The notes of the lease: upon taking it over, the former holder's.
  [[nodiscard]] const boost::json::value& notes() const;

  // Whether the last notes given by notes_changed are in the store.
  [[nodiscard]] bool notes_written() const;

  // Whether nothing is held and no write of this daemon is open.
  [[nodiscard]] bool is_idle() const;

  // Who held the lease when it was last seen; empty if nobody.
  [[nodiscard]] const daemon_id& last_seen_holder() const;

 private:
  class machine;
  std::unique_ptr<machine> machine_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_LEASE_HOLDER_H_
