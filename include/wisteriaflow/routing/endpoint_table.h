// What one daemon knows of the endpoints it may send to: their description, their lagging load
// reports, its own work since the report, and the rates it has measured.
//
// Endpoints are addressed by a slot, a small number that is stable while the endpoint is in the
// table and reused afterwards.
//
//   endpoint_table table({});
//   const auto slot = table.upsert({.id = endpoint_id("e1"), .address = "10.0.0.7:8000"});
//   auto work = table.on_sent(slot, 900, now);
//   table.on_first_token(work, later);
//   table.on_finished(work, 120, last);

#ifndef WISTERIAFLOW_ROUTING_ENDPOINT_TABLE_H_
#define WISTERIAFLOW_ROUTING_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "wisteriaflow/base/ids.h"
#include "wisteriaflow/base/time.h"
#include "wisteriaflow/routing/ewma.h"

namespace wisteriaflow::routing {

// Index of an endpoint in an `endpoint_table`.
using endpoint_slot = std::uint32_t;

// What the instance list and the declared objects say of an endpoint.
struct endpoint_description {
  endpoint_id id;
  std::string address; // host:port
  wisteriaflow::availability_zone availability_zone;
  std::string instance_class;
  std::map<std::string, std::string> labels;
  double price_per_hour = 0;
  bool reclaimable = false;

  friend bool operator==(const endpoint_description&, const endpoint_description&) = default;
};

// An engine's own report of its load, true at `measured_at` and received later.
struct load_report {
  int running = 0;
  int waiting = 0;
  int max_running = 1;
  // Prompt tokens that requests of other daemons wait to have computed; absent where only their
  // number is known.
  std::optional<double> others_waiting_tokens = std::nullopt;
  mono_time measured_at;

  friend bool operator==(const load_report&, const load_report&) = default;
};

// One attempt that this daemon has sent to an endpoint; the caller keeps it until the attempt ends.
struct sent_work {
  endpoint_slot slot = 0;
  std::uint64_t occupant = 0; // of the slot; see endpoint_table::holds
  int prefill_tokens = 0;     // tokens that the endpoint was expected to compute
  mono_time sent_at;
  std::optional<mono_time> first_token_at;
  bool found_idle = false; // a batch place was free and nothing known to wait when it was sent

  friend bool operator==(const sent_work&, const sent_work&) = default;
};

// Starting values and limits of an `endpoint_table`.
struct endpoint_table_options {
  double initial_prefill_rate = 8000; // tokens/s until measured
  double initial_decode_seconds = 4;  // time that a request holds a batch place until measured
  double initial_prefill_tokens = 500;
  double ewma_gain = 0.1;
  int initial_max_running = 16;                   // until the first report
  std::chrono::milliseconds connect_backoff{500}; // after the first failure, doubled after each
  std::chrono::milliseconds connect_backoff_limit{30'000}; // longest time an endpoint is left out
  std::size_t max_unreported_events = 256;                 // own events kept when no report comes
};

// How `endpoint_state::queue_seconds` reads a load report.
struct queue_model {
  bool own_work = true;        // corrects it by own work since
  double uncertainty = 2;      // requests by which the count may be off; 0 takes it as exact
  double fades_in_seconds = 0; // time constant with which the report counts less; 0: never
  mono_time now;
};

// The state kept of one endpoint. Read through `endpoint_table::at`.
struct endpoint_state {
  endpoint_description description;
  std::uint64_t occupant = 0; // number of this use of the slot
  load_report report;
  bool leaving = false;
  int connect_failures = 0;
  mono_time unreachable_until;     // left out before this
  std::vector<mono_time> sent;     // own events after `report.measured_at`
  std::vector<mono_time> started;  // first tokens
  std::vector<mono_time> finished; // ends of answers
  int own_waiting = 0;             // own attempts without a first token
  std::int64_t own_waiting_tokens = 0;
  ewma prefill_rate;   // tokens/s
  ewma decode_rate;    // tokens/s of one answer
  ewma decode_seconds; // from first token to the end of an answer
  ewma prefill_tokens; // of own attempts

  // Requests waiting and running now: the report corrected by own work since.
  [[nodiscard]] int waiting_now() const;
  [[nodiscard]] int running_now() const;
  // Time that a request sent now waits before its prefill starts, in seconds.
  [[nodiscard]] double queue_seconds(const queue_model& model) const;
  // Requests running and waiting over batch places: 1 when full, more with a queue.
  [[nodiscard]] double crowding(bool own_work = true) const;
};

// All endpoints that one daemon may send to.
class endpoint_table {
 public:
  explicit endpoint_table(endpoint_table_options options);

  // Adds an endpoint or replaces its description; what was learned of it is kept.
  endpoint_slot upsert(const endpoint_description& description);

  // Removes an endpoint, if present. Its slot may be given to another endpoint afterwards.
  void remove(const endpoint_id& id);

  [[nodiscard]] std::optional<endpoint_slot> find(const endpoint_id& id) const;

  // Throws `unknown_endpoint` if the slot is free.
  [[nodiscard]] const endpoint_state& at(endpoint_slot slot) const;

  // Slots in use, in ascending order.
  [[nodiscard]] const std::vector<endpoint_slot>& slots() const { return used_; }

  // Whether the endpoint that `work` was sent to is still in the table. Its slot may have been
  // given to another, or to the same one after a restart: what becomes of the work says nothing of
  // that.
  [[nodiscard]] bool holds(const sent_work& work) const;

  // A report older than the one held is ignored.
  void on_report(endpoint_slot slot, const load_report& report);

  // The endpoint was told to leave; it gets no new work. Not undone by `upsert`.
  void on_leaving(endpoint_slot slot);

  // An attempt whose prompt needs about `prefill_tokens` computed was sent at `now`.
  [[nodiscard]] sent_work on_sent(endpoint_slot slot, int prefill_tokens, mono_time now);

  // Its first token arrived. Does nothing the second time.
  void on_first_token(sent_work& work, mono_time now);

  // It ended, whole or not, after `output_tokens`.
  void on_finished(const sent_work& work, int output_tokens, mono_time now);

  // A connection failed: the endpoint is left out for a time that doubles with each failure.
  void on_connect_failure(endpoint_slot slot, mono_time now);
  void on_connected(endpoint_slot slot);

  // Share of batch places in use over those of `slots` that take new work; 1 if there are none.
  [[nodiscard]] double utilisation(std::span<const endpoint_slot> slots) const;
  // The same over all endpoints, for an overview: places of plain services would hide a full pool
  // of engines, so admission takes that of the request's own candidates.
  [[nodiscard]] double utilisation() const { return utilisation(used_); }

  // Memory held, in bytes, for the capacity page.
  [[nodiscard]] std::size_t memory_bytes() const;

 private:
  endpoint_state& state(endpoint_slot slot);
  // The endpoint of `work`, unless it has been removed since.
  endpoint_state* state_of(const sent_work& work);
  void keep_event(std::vector<mono_time>& events, mono_time at) const;

  endpoint_table_options options_;
  std::vector<std::optional<endpoint_state>> states_;
  std::vector<endpoint_slot> used_;
  std::unordered_map<endpoint_id, endpoint_slot> by_id_;
  std::uint64_t occupants_ = 0; // so far
};

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_ENDPOINT_TABLE_H_
