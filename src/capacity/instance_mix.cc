#include "wisteriaflow/capacity/instance_mix.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>

namespace wisteriaflow::capacity {
namespace {

// Shortfalls and savings below this are rounding errors.
constexpr double epsilon = 1e-9;
// Weights of the requirements. Capacity takes precedence over the number of instances, and that
// over the share of reclaimable ones: a pool that cannot meet all of them should still serve.
constexpr double instance_count_weight = 1e-2;
constexpr double reclaimable_share_weight = 1e-3;
// Limits on the accepted moves and perturbations of a search, which bound the time of a plan.
constexpr int max_moves = 400;
constexpr int max_perturbations = 20;
// Up to the first number of columns the solution from every starting point is perturbed; above it
// and up to the second number, just the best one. In larger problems an instance is a small part of
// the capacity, and single moves come close enough to the optimum.
constexpr std::size_t max_columns_to_perturb_all = 12;
constexpr std::size_t max_columns_to_perturb_best = 40;

// The counts of a candidate solution, with the sums that the requirements depend on.
class mix_search {
 public:
  explicit mix_search(const mix_problem& problem)
      : problem_(problem), counts_(problem.columns.size(), 0)
  {
    std::map<availability_zone, std::size_t> zone_indices;
    for (const auto& column : problem.columns) {
      zone_of_.push_back(
          zone_indices.try_emplace(column.key.zone, zone_indices.size()).first->second);
    }
    zone_weights_.resize(zone_indices.size(), 0);
  }

  [[nodiscard]] const std::vector<std::int64_t>& counts() const { return counts_; }
  [[nodiscard]] double price() const { return price_; }
  [[nodiscard]] std::size_t zone_of(std::size_t column) const { return zone_of_[column]; }
  [[nodiscard]] std::size_t zones() const { return zone_weights_.size(); }

  [[nodiscard]] bool can_add(std::size_t column, std::int64_t n) const
  {
    const auto after = counts_[column] + n;
    return after >= 0 && after <= problem_.columns[column].limit &&
           instances_ + n <= std::max(problem_.max_instances, instances_);
  }

  void add(std::size_t column, std::int64_t n)
  {
    const auto& c = problem_.columns[column];
    const auto amount = static_cast<double>(n);
    counts_[column] += n;
    zone_weights_[zone_of_[column]] += c.weight * amount;
    total_ += c.weight * amount;
    price_ += c.price_per_hour * amount;
    instances_ += n;
    reclaimable_ += c.key.reclaimable ? n : 0;
  }

  [[nodiscard]] double shortfall() const
  {
    const double largest = *std::max_element(zone_weights_.begin(), zone_weights_.end());
    const double missing_capacity = std::max(0.0, problem_.required - total_);
    const double missing_after_zone_loss =
        std::max(0.0, problem_.required_after_zone_loss - (total_ - largest));
    const auto n = static_cast<double>(instances_);
    const double missing_instances = std::max(0.0, static_cast<double>(problem_.min_instances) - n);
    const double excess_reclaimable =
        std::max(0.0, static_cast<double>(reclaimable_) - problem_.max_reclaimable_share * n);
    const double sum = missing_capacity + missing_after_zone_loss +
                       instance_count_weight * missing_instances +
                       reclaimable_share_weight * excess_reclaimable;
    return sum < epsilon ? 0 : sum;
  }

  // Copies the state of another search on the same problem.
  void copy_state_from(const mix_search& other)
  {
    counts_ = other.counts_;
    zone_weights_ = other.zone_weights_;
    total_ = other.total_;
    price_ = other.price_;
    instances_ = other.instances_;
    reclaimable_ = other.reclaimable_;
  }

 private:
  const mix_problem& problem_;
  std::vector<std::int64_t> counts_;
  std::vector<std::size_t> zone_of_;
  std::vector<double> zone_weights_;
  double total_ = 0;
  double price_ = 0;
  std::int64_t instances_ = 0;
  std::int64_t reclaimable_ = 0;
};

// Restricts a search: the zones in which it may add instances, and a column that it may not change.
struct search_bounds {
  std::set<std::size_t> zones;
  std::optional<std::size_t> fixed_column;

  [[nodiscard]] bool may_add(const mix_search& search, std::size_t column) const
  {
    return column != fixed_column && zones.contains(search.zone_of(column)) &&
           search.can_add(column, 1);
  }
};

// Adds, one at a time, the instance that lowers the shortfall most for its price, until no instance
// lowers it.
void construct_greedily(const mix_problem& problem, const search_bounds& bounds, mix_search& search)
{
  for (;;) {
    const double before = search.shortfall();
    std::optional<std::size_t> best;
    double best_gain = 0;
    for (std::size_t i = 0; i < problem.columns.size() && before > 0; ++i) {
      if (!bounds.may_add(search, i)) {
        continue;
      }
      search.add(i, 1);
      const double gain =
          (before - search.shortfall()) / std::max(problem.columns[i].price_per_hour, epsilon);
      search.add(i, -1);
      if (gain > best_gain) {
        best_gain = gain;
        best = i;
      }
    }
    if (!best) {
      return;
    }
    search.add(*best, 1);
  }
}

// A change of the counts of one or two columns.
struct move {
  std::size_t from = 0;
  std::int64_t removed = 0;
  std::size_t to = 0;
  std::int64_t added = 0;
};

// Makes the move if it lowers the shortfall, or lowers the price without raising the shortfall.
// Returns whether it was made.
bool try_move(mix_search& search, const move& m)
{
  const double shortfall = search.shortfall();
  const double price = search.price();
  if (!search.can_add(m.from, -m.removed)) {
    return false;
  }
  search.add(m.from, -m.removed);
  if (search.can_add(m.to, m.added)) {
    search.add(m.to, m.added);
    const double after = search.shortfall();
    const bool better = after < shortfall - epsilon;
    const bool cheaper = after <= shortfall && search.price() < price - epsilon;
    if (better || cheaper) {
      return true;
    }
    search.add(m.to, -m.added);
  }
  search.add(m.from, m.removed);
  return false;
}

// How many instances a move removes and adds.
struct move_size {
  std::int64_t removed = 0;
  std::int64_t added = 0;
};
constexpr move_size move_sizes[] = {{1, 1}, {2, 1}, {1, 2}, {3, 2}};

bool improve_once(const mix_problem& problem, std::optional<std::size_t> fixed_column,
                  mix_search& search)
{
  const auto n = problem.columns.size();
  for (std::size_t from = 0; from < n; ++from) {
    if (search.counts()[from] == 0 || from == fixed_column) {
      continue;
    }
    if (try_move(search, {.from = from, .removed = 1, .to = from, .added = 0})) {
      return true;
    }
    for (std::size_t to = 0; to < n; ++to) {
      for (const auto& size : move_sizes) {
        const move m{.from = from, .removed = size.removed, .to = to, .added = size.added};
        if (to != from && to != fixed_column && try_move(search, m)) {
          return true;
        }
      }
    }
  }
  return false;
}

void run_local_search(const mix_problem& problem, std::optional<std::size_t> fixed_column,
                      mix_search& search)
{
  for (int i = 0; i < max_moves && improve_once(problem, fixed_column, search); ++i) {
  }
}

// Whether `a` has a lower shortfall than `b`, or no higher one and a lower price.
bool is_better(const mix_search& a, const mix_search& b)
{
  const double shortfall_a = a.shortfall();
  const double shortfall_b = b.shortfall();
  return shortfall_a < shortfall_b - epsilon ||
         (shortfall_a <= shortfall_b && a.price() < b.price() - epsilon);
}

// Leaves a local optimum. Since counts are whole numbers, single moves get stuck where several
// moves together would lower the price. Changes the count of one column by 1 or 2, solves the rest
// around it and keeps the first result that is better. Returns whether there was one.
bool perturb_once(const mix_problem& problem, const search_bounds& bounds, mix_search& search)
{
  for (std::size_t i = 0; i < problem.columns.size(); ++i) {
    for (const std::int64_t n : {1, -1, 2, -2}) {
      if (!search.can_add(i, n)) {
        continue;
      }
      mix_search other = search;
      other.add(i, n);
      construct_greedily(problem, {.zones = bounds.zones, .fixed_column = i}, other);
      run_local_search(problem, i, other);
      run_local_search(problem, std::nullopt, other);
      if (is_better(other, search)) {
        search.copy_state_from(other);
        return true;
      }
    }
  }
  return false;
}

void perturb(const mix_problem& problem, const search_bounds& bounds, mix_search& search)
{
  for (int i = 0; i < max_perturbations && perturb_once(problem, bounds, search); ++i) {
  }
}

// Zones by the price of their cheapest capacity, cheapest first.
std::vector<std::size_t> zones_by_price(const mix_problem& problem, const mix_search& search)
{
  std::vector<double> cheapest(search.zones(), std::numeric_limits<double>::max());
  for (std::size_t i = 0; i < problem.columns.size(); ++i) {
    const auto& c = problem.columns[i];
    auto& price = cheapest[search.zone_of(i)];
    if (c.limit > 0) {
      price = std::min(price, c.price_per_hour / std::max(c.weight, epsilon));
    }
  }
  std::vector<std::size_t> order(search.zones());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return cheapest[a] < cheapest[b]; });
  return order;
}

} // namespace

mix cheapest_mix(const mix_problem& problem)
{
  if (problem.columns.empty()) {
    return {.meets_requirements = problem.required <= 0 && problem.min_instances <= 0};
  }
  const auto columns = problem.columns.size();
  mix_search best_search(problem);
  const auto order = zones_by_price(problem, best_search);
  const search_bounds all_zones{.zones = {order.begin(), order.end()}};
  search_bounds bounds;
  // The optimum uses the cheapest zones, but how many of them depends on how far the prices differ,
  // so every number of zones is tried.
  for (const auto zone : order) {
    bounds.zones.insert(zone);
    mix_search search(problem);
    construct_greedily(problem, bounds, search);
    run_local_search(problem, std::nullopt, search);
    if (columns <= max_columns_to_perturb_all) {
      perturb(problem, all_zones, search);
    }
    if (is_better(search, best_search)) {
      best_search.copy_state_from(search);
    }
  }
  if (columns > max_columns_to_perturb_all && columns <= max_columns_to_perturb_best) {
    perturb(problem, all_zones, best_search);
  }
  return {.counts = best_search.counts(),
          .price_per_hour = best_search.price(),
          .meets_requirements = best_search.shortfall() == 0};
}

double shortfall_of(const mix_problem& problem, const std::vector<std::int64_t>& counts)
{
  if (problem.columns.empty()) {
    return std::max(0.0, problem.required);
  }
  mix_search search(problem);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    search.add(i, counts[i]);
  }
  return search.shortfall();
}

} // namespace wisteriaflow::capacity
