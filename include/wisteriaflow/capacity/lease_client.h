// Acquires, renews and releases a lease on a control duty, which is a task that one daemon performs
// for the whole fleet, such as capacity planning. The lease is an object in the object API; the
// daemon that holds it performs the duty.
//
// - Each new holder increments the lease's fencing number.
// - A lease may be claimed when its object has not changed for the whole lease duration, measured
//   on the observer's own monotonic clock; wall clocks of different instances are never compared.
//   The holder measures the duration from before it sent the write, so its lease ends no later
//   than another daemon may claim it.
// - The lease expires on the holder's own clock: call `may_issue_order` right before each order
//   (a command that the duty sends to an endpoint).
// - After the store has been restored from a copy, the lease is acquired anew, under a number that
// no
//   holder is known to have used.
// - Endpoints that ignore fencing numbers get no orders from a new holder until the last orders of
//   the former holder can no longer arrive.
// - After a write without an answer, the client reads the lease and compares the nonce to find out
//   whether the write took effect.
// - The object also carries the duty's notes (application data such as pending launches). They are
//   written by the same conditional update, so that a former holder cannot overwrite them.
//
// A pure state machine: events and the current time are its input, calls to the store its output.
//
//   lease_client lease({.name = "capacity", .self = id});
//   auto calls = lease.handle(lease_wanted{true}, now);
//   if (lease.may_issue_order(checks_fencing, now.mono)) { ... lease.fencing_number() ... }

#ifndef WISTERIAFLOW_CAPACITY_LEASE_CLIENT_H_
#define WISTERIAFLOW_CAPACITY_LEASE_CLIENT_H_

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

// Resource name of leases in the object API.
inline constexpr std::string_view leases_plural = "leases";

// Settings of one lease.
struct lease_options {
  std::string name;
  daemon_id self;
  std::chrono::milliseconds duration{10'000};
  std::chrono::milliseconds renew_period{3'000};
  std::chrono::milliseconds read_period{2'000};   // while another daemon holds the lease
  std::chrono::milliseconds order_timeout{5'000}; // longest time until an order arrives
  std::chrono::milliseconds skew_margin{1'000};   // bound on clock drift in `duration`
  std::chrono::milliseconds retry_period{500};    // after a call without an answer
  std::uint64_t seed = 0;                         // of the nonces
};

// The lease as stored.
struct lease_record {
  daemon_id holder; // empty: released
  std::uint64_t fencing_number = 0;
  std::uint64_t nonce = 0; // identifies the last write
  std::chrono::milliseconds duration{};
  boost::json::value notes; // application data of the duty

  friend bool operator==(const lease_record&, const lease_record&) = default;
};

// Encodes the record as an object of the object API, and decodes it. A `version` of 0 is omitted.
// The decoder throws `capacity_error`.
[[nodiscard]] boost::json::value encode_lease(const std::string& name, const lease_record& record,
                                              std::uint64_t version);
[[nodiscard]] lease_record decode_lease(const boost::json::value& document);

// Events.

// Whether this daemon should acquire and keep the lease, or release it.
struct lease_wanted {
  bool wanted = false;
};

// Answer to a read: the stored lease and its version.
struct lease_found {
  std::uint64_t call = 0;
  lease_record record;
  std::uint64_t version = 0;
};
// Answer to a read: the lease object does not exist.
struct lease_missing {
  std::uint64_t call = 0;
  std::uint64_t last_fencing_number = 0; // highest number known to have been used; 0: none
};

// Answer to a write: it took effect and the object now has this version.
struct lease_written {
  std::uint64_t call = 0;
  std::uint64_t version = 0;
};
// Answer to a write: the stored version differed, nothing was written.
struct lease_conflict {
  std::uint64_t call = 0;
};

// A call got no answer; a write may or may not have taken effect.
struct lease_call_unanswered {
  std::uint64_t call = 0;
};

// The store has been restored from a copy, so that what it shows of the lease may be outdated. The
// lease is lost, and no daemon that knows of the restore claims it before the holder's time is
// over.
struct store_restored {};

// The duty's notes have changed; they are written without waiting for the next renewal.
struct notes_changed {
  boost::json::value notes;
};

// Time has passed; due at `wake_at`.
struct lease_tick {};

using lease_event =
    std::variant<lease_wanted, lease_found, lease_missing, lease_written, lease_conflict,
                 lease_call_unanswered, store_restored, notes_changed, lease_tick>;

// Actions.

// Reads the lease object.
struct read_lease {
  std::uint64_t call = 0;
};

// Replaces the object if its stored version equals `version`; a `version` of 0 creates the object.
struct write_lease {
  std::uint64_t call = 0;
  lease_record record;
  std::uint64_t version = 0;
};

using lease_action = std::variant<read_lease, write_lease>;

// The state machine of one lease at one daemon. Not thread-safe.
class lease_client {
 public:
  explicit lease_client(lease_options options);
  ~lease_client();
  lease_client(const lease_client&) = delete;
  lease_client& operator=(const lease_client&) = delete;

  // Processes an event and returns the store calls to make. The answer to a call is delivered as an
  // event with the same `call` number.
  std::vector<lease_action> handle(const lease_event& event, clock_reading now);

  // When the next `lease_tick` is due; absent if none is needed.
  [[nodiscard]] std::optional<mono_time> wake_at() const;

  // Whether this daemon holds the lease at `now`.
  [[nodiscard]] bool holds(mono_time now) const;

  // Whether an order may be sent at `now` to an endpoint that checks fencing numbers
  // (`checks_fencing`) or to one that ignores them.
  [[nodiscard]] bool may_issue_order(bool checks_fencing, mono_time now) const;

  // When the lease expires for its holder unless it is renewed.
  [[nodiscard]] mono_time deadline() const;

  // The fencing number under which this daemon holds the lease.
  [[nodiscard]] std::uint64_t fencing_number() const;

  // The notes of the lease; after it was acquired, those of the former holder.
  [[nodiscard]] const boost::json::value& notes() const;

  // Whether the notes of the last `notes_changed` are stored.
  [[nodiscard]] bool notes_written() const;

  // Whether this daemon neither holds the lease nor has a pending write.
  [[nodiscard]] bool is_idle() const;

  // The holder when the lease was last read or written; empty if there was none.
  [[nodiscard]] const daemon_id& last_seen_holder() const;

 private:
  class machine;
  std::unique_ptr<machine> machine_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_LEASE_CLIENT_H_
