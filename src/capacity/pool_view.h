// One pool in one planning round: its instances, those that the cheapest mix keeps, and the
// surplus.

#ifndef WISTERIAFLOW_SRC_CAPACITY_POOL_VIEW_H_
#define WISTERIAFLOW_SRC_CAPACITY_POOL_VIEW_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wisteriaflow/capacity/planner.h"

namespace wisteriaflow::capacity {

// Formats a number with two decimals, for the causes of actions.
[[nodiscard]] std::string to_text(double value);

namespace internal {

// Keeps references to the constructor's `options` and `in` and to the instances that are added, all
// of which must outlive it.
class pool_view {
 public:
  pool_view(const planner_options& options, const pool_input& in, const pool_demand& demand);

  // Adds an instance that is not leaving.
  void add_instance(const pool_instance& instance, bool starting);

  // Adds a launch that the instance list does not show yet.
  void add_launch(const launch_record& record);

  // Finds the cheapest mix, with new instances of those offers that `may_launch` allows.
  void solve(const std::vector<offer>& offers,
             const std::function<bool(const offer_key&)>& may_launch);

  [[nodiscard]] const mix_problem& problem() const { return problem_; }
  [[nodiscard]] const mix& target() const { return target_; }
  // Index of the first column of new instances; the columns before it are existing instances.
  [[nodiscard]] std::size_t first_new() const { return first_new_; }
  [[nodiscard]] const std::vector<offer_key>& offered() const { return offered_; }

  // Removes and returns the surplus instances that may be released now without the serving
  // instances missing a requirement by more.
  [[nodiscard]] std::vector<const pool_instance*> take_releasable();

  // All remaining instances, starting ones first.
  [[nodiscard]] std::vector<const pool_instance*> starting_first() const;

  [[nodiscard]] instance_reason reason_for(const pool_instance& instance) const;
  [[nodiscard]] pool_report report() const;

 private:
  // The instances and pending launches of one kind.
  struct instance_group {
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
  [[nodiscard]] bool accepts(const offer_key& key) const;
  [[nodiscard]] double start_cost_factor() const;
  [[nodiscard]] std::vector<std::int64_t> serving_counts() const;
  [[nodiscard]] std::int64_t kept_count(const offer_key& key) const;

  const planner_options& options_;
  const pool_input& in_;
  pool_demand demand_;
  std::map<offer_key, instance_group> groups_;
  std::vector<offer_key> offered_;
  mix_problem problem_;
  mix target_;
  std::size_t first_new_ = 0;
};

} // namespace internal
} // namespace wisteriaflow::capacity

#endif // WISTERIAFLOW_SRC_CAPACITY_POOL_VIEW_H_
