// One pool in one plan: what it has, what the cheapest mix keeps of that, and what is surplus.

#ifndef WISTERIAFLOW_SRC_CAPACITY_POOL_VIEW_H_
#define WISTERIAFLOW_SRC_CAPACITY_POOL_VIEW_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wisteriaflow/capacity/planner.h"

namespace wisteriaflow::capacity {

// A number with two digits after the point, for causes.
[[nodiscard]] std::string to_text(double value);

namespace internal {

// Refers to its arguments: they must outlive it.
class pool_view {
 public:
  pool_view(const planner_options& options, const pool_input& in, const pool_demand& demand);

  // Adds an instance that is not leaving.
  void add_instance(const pool_instance& instance, bool starting);

  // Adds a launch that the instance list does not show yet.
  void add_launch(const launch_record& record);

  // Finds the cheapest mix, with new instances only of what `may_launch` allows.
  void solve(const std::vector<offer>& offers,
             const std::function<bool(const offer_key&)>& may_launch);

  [[nodiscard]] const mix_problem& problem() const { return problem_; }
  [[nodiscard]] const mix& target() const { return target_; }
  // The first column of new instances; those before are of instances that exist.
  [[nodiscard]] std::size_t first_new() const { return first_new_; }
  [[nodiscard]] const std::vector<offer_key>& offered() const { return offered_; }

  // What may be released now: surplus that no requirement needs among what serves.
  [[nodiscard]] std::vector<const pool_instance*> take_releasable();

  // All instances, starting ones first.
  [[nodiscard]] std::vector<const pool_instance*> starting_first() const;

  [[nodiscard]] instance_reason reason_for(const pool_instance& instance) const;
  [[nodiscard]] pool_report report() const;

 private:
  struct held {
    std::vector<const pool_instance*> starting;
    std::vector<const pool_instance*> serving;
    std::int64_t launching = 0;
    double price_per_hour = 0;

    [[nodiscard]] std::int64_t size() const
    {
      return launching + static_cast<std::int64_t>(starting.size() + serving.size());
    }
  };

  [[nodiscard]] double weight_of(const std::string& instance_class) const;
  [[nodiscard]] bool takes(const offer_key& key) const;
  [[nodiscard]] double start_cost_factor() const;
  [[nodiscard]] std::vector<std::int64_t> serving_counts() const;
  [[nodiscard]] std::int64_t kept(const offer_key& key) const;

  const planner_options& options_;
  const pool_input& in_;
  pool_demand demand_;
  std::map<offer_key, held> held_;
  std::vector<offer_key> offered_;
  mix_problem problem_;
  mix target_;
  std::size_t first_new_ = 0;
};

} // namespace internal
} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_SRC_CAPACITY_POOL_VIEW_H_
