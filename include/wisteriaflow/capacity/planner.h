// Decides which instances to start, to release and to give models, so that every pool meets its
// latency targets at the lowest cost, also after the loss of any one zone.
//
//   planner p(options);
//   p.take_over(fencing_number, launches_of_the_former_holder);
//   for (const auto& a : p.plan(input, now)) { ... }
//   p.on_launch_answered(token, launch_started{id}, now);
//
// Pure: the holder of the capacity lease feeds it and carries its actions out. A launch action must
// be in the store (`launches()`) before the cloud API is asked.

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
#include "wisteriaflow/capacity/launch_backoff.h"
#include "wisteriaflow/capacity/launch_ledger.h"
#include "wisteriaflow/capacity/load_queue.h"
#include "wisteriaflow/capacity/mix.h"

namespace wisteriaflow::capacity {

namespace internal {
class pool_view;
} // namespace internal

struct planner_options {
  // Part of a class's declared rates up to which an instance meets its latency targets.
  double utilisation_at_target = 0.8;
  // Of one instance of a pool of plain services.
  double service_requests_per_second = 50;
  // Of classes that no model version gives rates for.
  objects::token_rates default_rates{.prefill_tokens_per_second = 8'000,
                                     .decode_tokens_per_second = 1'000};
  // From the cloud API's answer until an instance takes orders; the load's time comes on top.
  std::chrono::milliseconds launch_time{60'000};
  // A cheaper instance is started only if it pays for its own start within this time.
  std::chrono::milliseconds payback_horizon{600'000};
  // Demand that has fallen releases instances after this time.
  std::chrono::milliseconds release_after{600'000};
  // An instance that does not serve this long after its launch is released.
  std::chrono::milliseconds launch_timeout{900'000};
  // A launch without an answer is asked again after this time.
  std::chrono::milliseconds launch_retry{5'000};
  launch_backoff_options backoff;
  load_queue_options loads;

  // Rules that the bench switches off one at a time.
  bool switch_hysteresis = true;
  bool zone_headroom = true;
  bool back_off_refused = true;
};

// Starts an instance. The same token may be asked for more than once.
struct launch {
  std::string token;
  std::string pool;
  offer_key key;
  std::string cause;

  friend bool operator==(const launch&, const launch&) = default;
};

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

// How the cloud API answered a launch. After `launch_unanswered` it may or may not have taken
// place.
struct launch_started {
  instance_id id;
};
struct launch_refused {};
struct launch_unanswered {};
using launch_answer = std::variant<launch_started, launch_refused, launch_unanswered>;

// Why an instance, or a launch on its way, is there.
struct instance_reason {
  std::string subject; // an instance's id, or a launch's token
  std::string pool;
  std::string state; // "serving", "starting", "leaving", "launching" or "surplus"
  std::string reason;

  friend bool operator==(const instance_reason&, const instance_reason&) = default;
};

// What the last plan saw of a pool.
struct pool_report {
  std::string pool;
  pool_demand demand;                 // the highest of the recent time
  double required = 0;                // parts of the demand
  double serving = 0;                 // parts of the demand carried by what serves
  double serving_after_zone_loss = 0; // at the worst zone
  std::int64_t launching = 0;
  bool meets_requirements = false;       // the mix that is being built does
  double price_per_hour = 0;             // of that mix
  std::vector<offer_key> avoided_offers; // refused or struck by a reclaim

  friend bool operator==(const pool_report&, const pool_report&) = default;
};

class planner {
 public:
  explicit planner(const planner_options& options);

  // Begins as the lease's new holder.
  void take_over(std::uint64_t fencing_number, std::vector<launch_record> launches);

  // Learns of reclaims while another daemon plans, so that a new holder knows where they struck.
  void observe(const std::vector<pool_input>& pools, mono_time now);

  // What is to be done now. Call every few seconds, with fresh inputs.
  std::vector<planner_action> plan(const plan_input& input, clock_reading now);

  void on_launch_answered(const std::string& token, const launch_answer& answer, clock_reading now);
  // The cloud API did not take the release: the next plan decides anew.
  void on_release_failed(const instance_id& id) { released_.erase(id); }

  void on_load_answered(const instance_id& endpoint, const model_load& load, bool loaded);

  // Launches that do not serve yet, to be kept in the store.
  [[nodiscard]] const std::vector<launch_record>& launches() const { return launches_; }

  // What the last plan decided.
  [[nodiscard]] const std::vector<instance_reason>& reasons() const { return reasons_; }
  [[nodiscard]] const std::vector<pool_report>& reports() const { return reports_; }

 private:
  void settle_listed(const plan_input& input, mono_time now);
  void note_reclaims(const pool_input& in, mono_time now);
  void ask_again(clock_reading now);
  void plan_pool(const plan_input& input, const pool_input& in, clock_reading now);
  void launch_new(const pool_input& in, const internal::pool_view& view, clock_reading now);
  void release_surplus(const pool_input& in, internal::pool_view& view, mono_time now);
  void give_up_late(const pool_input& in, clock_reading now);
  void order_loads(const pool_input& in, const internal::pool_view& view, mono_time now);
  void explain(const pool_input& in, const internal::pool_view& view, mono_time now);
  [[nodiscard]] bool is_leaving(const pool_instance& instance) const;
  [[nodiscard]] bool is_starting(const pool_instance& instance) const;

  planner_options options_;
  launch_backoff backoff_;
  load_queue loads_;
  std::uint64_t fencing_number_ = 0;
  std::uint64_t counter_ = 0;
  std::vector<launch_record> launches_;
  std::map<std::string, mono_time> ask_again_at_; // by token
  std::map<std::string, demand_window> windows_;  // by pool
  std::set<std::string> seen_;                    // tokens of launches that were listed
  std::set<instance_id> reclaimed_;               // whose reclaim has been noted
  // Released by this duty, and until when a lagging list may still show them.
  std::map<instance_id, mono_time> released_;
  std::vector<planner_action> actions_;
  std::vector<instance_reason> reasons_;
  std::vector<pool_report> reports_;
};

} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_CAPACITY_PLANNER_H_
