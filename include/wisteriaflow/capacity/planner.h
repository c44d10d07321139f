// Decides which instances to launch, which to release and which models they load, so that every
// pool meets its latency targets at the lowest cost, also after the loss of any one zone.
//
//   planner p(options);
//   p.take_over(fencing_number, launches_of_the_former_holder);
//   for (const auto& a : p.plan(input, now)) { ... }
//   p.on_launch_answered(token, launch_started{id}, now);
//
// The planner does no I/O: the holder of the capacity lease supplies its input and carries out its
// actions. A launch must be in the store (`launches()`) before the call to the cloud API.

#ifndef WISTERIAFLOW_CAPACITY_PLANNER_H_
#define WISTERIAFLOW_CAPACITY_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "wisteriaflow/base/time.h"
#include "wisteriaflow/capacity/demand_window.h"
#include "wisteriaflow/capacity/inputs.h"
#include "wisteriaflow/capacity/instance_mix.h"
#include "wisteriaflow/capacity/launch_backoff.h"
#include "wisteriaflow/capacity/launch_records.h"
#include "wisteriaflow/capacity/load_queue.h"

namespace wisteriaflow::capacity {

namespace internal {
class pool_view;
} // namespace internal

struct planner_options {
  // Fraction of an instance class's declared rates up to which an instance meets its latency
  // targets.
  double target_utilisation = 0.8;
  // Capacity of one instance in a pool of plain services.
  double service_requests_per_second = 50;
  // Rates of instance classes for which no model version declares rates.
  objects::token_rates default_rates{.prefill_tokens_per_second = 8'000,
                                     .decode_tokens_per_second = 1'000};
  // From the cloud API's answer until an instance accepts orders, without the time to load models.
  std::chrono::milliseconds launch_time{60'000};
  // A cheaper instance replaces another only if the saving pays for its start within this time.
  std::chrono::milliseconds payback_horizon{600'000};
  // Length of the demand window: a decrease of demand releases instances after this time.
  std::chrono::milliseconds release_after{600'000};
  // An instance that does not serve this long after its launch is released.
  std::chrono::milliseconds launch_timeout{900'000};
  // A launch call without an answer is repeated after this time.
  std::chrono::milliseconds launch_retry_interval{5'000};
  launch_backoff_options backoff;
  load_queue_options loads;

  // Rules that benchmarks switch off one at a time.
  bool switch_hysteresis = true; // count the cost of starting a replacement
  bool zone_headroom = true;     // require capacity after the loss of any one zone
  bool back_off_refused = true;  // back off from refused offers
};

// Launches an instance. The same action, with the same token, may be returned more than once.
struct launch {
  std::string token;
  std::string pool;
  offer_key key;
  std::string cause;

  friend bool operator==(const launch&, const launch&) = default;
};

// Releases an instance.
struct release {
  instance_id id;
  std::string pool;
  std::string cause;

  friend bool operator==(const release&, const release&) = default;
};

// Tells an endpoint to load a model or an adapter.
struct order_load {
  instance_id endpoint;
  model_load load;
  std::uint64_t fencing_number = 0;
  std::string cause;

  friend bool operator==(const order_load&, const order_load&) = default;
};

using planner_action = std::variant<launch, release, order_load>;

// The cloud API's answer to a launch. After `launch_unanswered` the launch may or may not have
// taken place.
struct launch_started {
  instance_id id;
};
struct launch_refused {};
struct launch_unanswered {};
using launch_answer = std::variant<launch_started, launch_refused, launch_unanswered>;

// Why the planner keeps an instance or a pending launch.
struct instance_reason {
  std::string subject; // an instance's id, or a launch's token
  std::string pool;
  std::string state; // "serving", "starting", "leaving", "launching" or "surplus"
  std::string reason;

  friend bool operator==(const instance_reason&, const instance_reason&) = default;
};

// The state of a pool in the last plan. Capacities are fractions of the demand.
struct pool_report {
  std::string pool;
  pool_demand demand;                 // peak over the demand window
  double required = 0;                // capacity required, including headroom
  double serving = 0;                 // capacity of the serving instances
  double serving_after_zone_loss = 0; // the same without the zone that has most of it
  std::int64_t launching = 0;
  bool meets_requirements = false;       // whether the target mix does
  double price_per_hour = 0;             // of the target mix
  std::vector<offer_key> avoided_offers; // in backoff after a refusal or a reclaim

  friend bool operator==(const pool_report&, const pool_report&) = default;
};

// The planner of one daemon. Not thread-safe.
class planner {
 public:
  explicit planner(const planner_options& options);

  // Starts planning as the new holder of the lease, with the launches stored by the former one.
  void take_over(std::uint64_t fencing_number, std::vector<launch_record> launches);

  // Records reclaims while another daemon holds the lease, so that a new holder knows which offers
  // to avoid.
  void observe(const std::vector<pool_input>& pools, mono_time now);

  // Returns the actions to carry out now. Call every few seconds with current inputs.
  std::vector<planner_action> plan(const plan_input& input, clock_reading now);

  void on_launch_answered(const std::string& token, const launch_answer& answer, clock_reading now);
  // The cloud API did not accept the release; the next plan decides again.
  void on_release_failed(const instance_id& id) { released_.erase(id); }

  void on_load_answered(const instance_id& endpoint, const model_load& load, bool loaded);

  // Launches whose instances do not serve yet; the caller keeps them in the store.
  [[nodiscard]] const std::vector<launch_record>& launches() const { return launches_; }

  // Explanations of the last plan, per instance and per pool.
  [[nodiscard]] const std::vector<instance_reason>& reasons() const { return reasons_; }
  [[nodiscard]] const std::vector<pool_report>& reports() const { return reports_; }

 private:
  void reconcile_launches(const plan_input& input, mono_time now);
  void record_reclaims(const pool_input& in, mono_time now);
  void retry_unanswered_launches(clock_reading now);
  void plan_pool(const plan_input& input, const pool_input& in, clock_reading now);
  void launch_missing(const pool_input& in, const internal::pool_view& view, clock_reading now);
  void release_surplus(const pool_input& in, internal::pool_view& view, mono_time now);
  void release_timed_out_launches(const pool_input& in, clock_reading now);
  void order_loads(const pool_input& in, const internal::pool_view& view, mono_time now);
  void record_reasons(const pool_input& in, const internal::pool_view& view, mono_time now);
  [[nodiscard]] bool is_leaving(const pool_instance& instance) const;
  [[nodiscard]] bool is_starting(const pool_instance& instance) const;

  planner_options options_;
  launch_backoff backoff_;
  load_queue load_queue_;
  std::uint64_t fencing_number_ = 0;
  std::uint64_t launch_counter_ = 0;
  std::vector<launch_record> launches_;
  std::map<std::string, mono_time> launch_retry_at_;    // by token
  std::map<std::string, demand_window> demand_windows_; // by pool
  std::set<std::string> listed_tokens_;     // tokens of launches seen in the instance list
  std::set<instance_id> recorded_reclaims_; // reclaims passed to `backoff_`
  // Instances released by this planner, and until when a delayed instance list may still show them.
  std::map<instance_id, mono_time> released_;
  std::vector<planner_action> actions_;
  std::vector<instance_reason> reasons_;
  std::vector<pool_report> reports_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_PLANNER_H_
