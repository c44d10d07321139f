// The endpoints that one daemon may send to, with the state that routing decisions need: their
// description, their delayed load reports, the daemon's own requests since the last report, and the
// rates measured from these requests.
//
// Endpoints are addressed by a slot, a small number that is stable while the endpoint is in the
// table and is reused afterwards.
//
//   endpoint_table table({});
//   const auto slot = table.upsert({.id = endpoint_id("e1"), .address = "10.0.0.7:8000"});
//   auto attempt = table.on_sent(slot, 900, now);
//   table.on_first_token(attempt, later);
//   table.on_finished(attempt, 120, last);

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
#include "wisteriaflow/load/ranked_queue.h"
#include "wisteriaflow/load/reported_work.h"
#include "wisteriaflow/routing/ewma.h"

namespace wisteriaflow::routing {

// Index of an endpoint in an `endpoint_table`.
using endpoint_slot = std::uint32_t;

// Properties of an endpoint, from the instance list and the declared objects.
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

// The load that an engine reported: its state at `measured_at`, received some time later.
struct load_report {
  int running = 0;
  int waiting = 0;
  int max_running = 1; // batch places: requests that the engine runs at the same time
  // Prompt tokens in the waiting requests of other daemons; absent if only the number of requests
  // is known.
  std::optional<double> others_waiting_tokens = std::nullopt;
  // Work of other daemons that is expected now; absent if the ranks of their requests are not
  // known.
  std::optional<load::reported_work> others_by_rank = std::nullopt;
  std::uint64_t others_resident_tokens = 0; // KV memory used by requests of other daemons
  mono_time measured_at;

  friend bool operator==(const load_report&, const load_report&) = default;
};

// Properties of an attempt that matter for the placement of later ones.
struct attempt_traits {
  load::rank_class rank = load::rank_class::urgent;
  bool is_long = false;              // its prefill delays other requests noticeably
  std::uint64_t resident_tokens = 0; // that it adds to the engine's KV memory until it ends

  friend bool operator==(const attempt_traits&, const attempt_traits&) = default;
};

// Handle of an attempt that this daemon has sent to an endpoint. The caller keeps it until the
// attempt ends.
struct sent_attempt {
  endpoint_slot slot = 0;
  std::uint64_t slot_generation = 0; // see endpoint_table::is_current
  int prefill_tokens = 0;            // prompt tokens that the endpoint was expected to compute
  mono_time sent_at;
  std::optional<mono_time> first_token_at;
  // When it was sent, the endpoint had a free batch place and no known waiting requests.
  bool sent_when_idle = false;
  attempt_traits traits;

  friend bool operator==(const sent_attempt&, const sent_attempt&) = default;
};

// Starting values and limits of an `endpoint_table`.
struct endpoint_table_options {
  double initial_prefill_rate = 8000;  // tokens/s, until measured
  double initial_decode_seconds = 4;   // time that a request occupies a batch place, until measured
  double initial_prefill_tokens = 500; // per request, until measured
  double ewma_gain = 0.1;
  // Whether prefill rates are set by `set_prefill_rate` instead of being measured here.
  bool external_prefill_rates = false;
  int initial_max_running = 16;                            // until the first report
  std::chrono::milliseconds connect_backoff{500};          // after the first failure, then doubled
  std::chrono::milliseconds connect_backoff_limit{30'000}; // longest exclusion of an endpoint
  std::size_t max_unreported_events = 256; // own events kept while no report arrives
};

// How `endpoint_state::queue_seconds` interprets a load report.
struct queue_model {
  bool local_corrections = true; // corrects the report by own requests since
  double uncertainty = 2;        // error of the reported count in requests; 0: exact
  double decay_seconds = 0;      // time constant of the report's decay; 0: no decay
  // Rank of the request, and the endpoint's `occupancy_by_rank`, if it admits requests by rank;
  // null: first come, first served.
  load::rank_class rank = load::rank_class::urgent;
  const load::engine_occupancy* occupancy = nullptr;
  mono_time now;
};

// The state of one endpoint, as returned by `endpoint_table::at`.
struct endpoint_state {
  endpoint_description description;
  std::uint64_t slot_generation = 0; // different for each use of the slot
  load_report report;
  bool leaving = false;
  int connect_failures = 0;
  mono_time unreachable_until;     // not a candidate before this time
  std::vector<mono_time> sent;     // times of own events after `report.measured_at`
  std::vector<mono_time> started;  // first tokens
  std::vector<mono_time> finished; // ends of attempts
  int own_waiting = 0;             // own attempts without a first token
  int own_running = 0;             // own attempts with a first token
  std::int64_t own_waiting_tokens = 0;
  load::ranked_waiting own_waiting_by_rank{};
  std::uint64_t own_resident_tokens = 0; // KV memory used by own attempts
  std::int64_t own_long_tokens = 0; // of own attempts without a first token whose prompt is long
  ewma prefill_rate;                // tokens/s
  ewma decode_rate;                 // tokens/s of one response
  ewma decode_seconds;              // from the first token to the end of a response
  ewma prefill_tokens;              // per own attempt

  // Estimated requests waiting and running now: the report corrected by own requests since.
  [[nodiscard]] int waiting_now() const;
  [[nodiscard]] int running_now() const;
  // Predicted time in seconds that a request sent now waits before its prefill starts.
  [[nodiscard]] double queue_seconds(const queue_model& model) const;
  // Running and waiting requests by rank; absent if the ranks of other daemons' requests are not
  // known.
  [[nodiscard]] std::optional<load::engine_occupancy> occupancy_by_rank() const;
  // Running and waiting requests divided by batch places: 1 when full, more with a queue.
  [[nodiscard]] double batch_load(bool local_corrections = true) const;

 private:
  [[nodiscard]] double ranked_queue_seconds(const queue_model& model) const;
};

// All endpoints that one daemon may send to.
class endpoint_table {
 public:
  explicit endpoint_table(endpoint_table_options options);

  // Adds an endpoint, or replaces the description of a known one and keeps its measured state.
  endpoint_slot upsert(const endpoint_description& description);

  // Removes an endpoint if present. Its slot may be reused for another endpoint.
  void remove(const endpoint_id& id);

  [[nodiscard]] std::optional<endpoint_slot> find(const endpoint_id& id) const;

  // Throws `unknown_endpoint` if the slot is free.
  [[nodiscard]] const endpoint_state& at(endpoint_slot slot) const;

  // Slots in use, in ascending order.
  [[nodiscard]] const std::vector<endpoint_slot>& slots() const { return used_; }

  // Whether the endpoint that `attempt` was sent to is still in the table. If its slot has been
  // reused, by another endpoint or by the same one after a restart, the outcome of the attempt says
  // nothing about the endpoint that is in the slot now.
  [[nodiscard]] bool is_current(const sent_attempt& attempt) const;

  // Stores a load report. A report older than the stored one is ignored.
  void on_report(endpoint_slot slot, const load_report& report);

  // Marks an endpoint as leaving: it gets no new requests. `upsert` does not undo this.
  void on_leaving(endpoint_slot slot);

  // Sets the rate in tokens/s at which the endpoint is expected to compute prompts. Used with
  // `external_prefill_rates`.
  void set_prefill_rate(endpoint_slot slot, double rate);

  // Records an attempt that was sent at `now` and for which the endpoint has to compute about
  // `prefill_tokens` prompt tokens.
  [[nodiscard]] sent_attempt on_sent(endpoint_slot slot, int prefill_tokens, mono_time now,
                                     const attempt_traits& traits = {});

  // Records the arrival of the first token. Further calls for the same attempt have no effect.
  void on_first_token(sent_attempt& attempt, mono_time now);

  // Records the end of an attempt, complete or not, after `output_tokens`.
  void on_finished(const sent_attempt& attempt, int output_tokens, mono_time now);

  // Records a failed connection: the endpoint is not a candidate for a time that doubles with each
  // consecutive failure.
  void on_connect_failure(endpoint_slot slot, mono_time now);
  // Records a successful connection, which resets the backoff.
  void on_connected(endpoint_slot slot);

  // Fraction of batch places in use over those endpoints of `slots` that are not leaving; 1 if
  // there are none.
  [[nodiscard]] double utilisation(std::span<const endpoint_slot> slots) const;
  // The same over all endpoints, for an overview. Admission uses the utilisation of a request's own
  // candidates instead, because the places of plain services would hide a full pool of engines.
  [[nodiscard]] double utilisation() const { return utilisation(used_); }

  // Memory used, in bytes, for the capacity page.
  [[nodiscard]] std::size_t memory_bytes() const;

 private:
  endpoint_state& state(endpoint_slot slot);
  // The endpoint of `attempt`; null if it has been removed since.
  endpoint_state* state_of(const sent_attempt& attempt);
  // An attempt no longer waits: its answer has begun, or it ended without one.
  static void end_wait(endpoint_state& endpoint, const sent_attempt& attempt);
  void append_event(std::vector<mono_time>& events, mono_time at) const;

  endpoint_table_options options_;
  std::vector<std::optional<endpoint_state>> states_;
  std::vector<endpoint_slot> used_;
  std::unordered_map<endpoint_id, endpoint_slot> by_id_;
  std::uint64_t last_slot_generation_ = 0; // of the endpoint added last
};

} // namespace wisteriaflow::routing

#endif // WISTERIAFLOW_ROUTING_ENDPOINT_TABLE_H_
