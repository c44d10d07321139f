#include "wisteriaflow/capacity/mix.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>

namespace wisteriaflow::capacity {
namespace {

// Below this a shortfall or a saving is rounding.
constexpr double epsilon = 1e-9;
// Capacity comes before the number of instances, and that before the share of reclaimable ones: a
// pool that cannot have both should rather serve.
constexpr double count_weight = 1e-2;
constexpr double share_weight = 1e-3;
// Moves of the local search that are accepted at most, so that a plan's time is bounded.
constexpr int move_limit = 400;
constexpr int kick_limit = 20;
// Up to so many columns every start is kicked; up to so many more the best one. On larger problems
// an instance is a small part, and single moves come near enough.
constexpr std::size_t all_kicked_columns = 12;
constexpr std::size_t best_kicked_columns = 40;

// Counts under construction, with the sums that the requirements look at.
class mix_search {
 public:
  explicit mix_search(const mix_problem& problem)
      : problem_(problem), counts_(problem.columns.size(), 0)
  {
    std::map<availability_zone, std::size_t> numbers;
    for (const auto& column : problem.columns) {
      zone_of_.push_back(numbers.try_emplace(column.key.zone, numbers.size()).first->second);
    }
    zone_weights_.resize(numbers.size(), 0);
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
    const double all = std::max(0.0, problem_.required - total_);
    const double rest = std::max(0.0, problem_.required_after_zone_loss - (total_ - largest));
    const auto n = static_cast<double>(instances_);
    const double missing = std::max(0.0, static_cast<double>(problem_.min_instances) - n);
    const double excess =
        std::max(0.0, static_cast<double>(reclaimable_) - problem_.max_reclaimable_share * n);
    const double sum = all + rest + count_weight * missing + share_weight * excess;
    return sum < epsilon ? 0 : sum;
  }

  // Takes the counts of a search on the same problem.
  void take_from(const mix_search& other)
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

// Where a search may act: zones to add in, and a column to leave as it is.
struct search_room {
  std::set<std::size_t> zones;
  std::optional<std::size_t> fixed;

  [[nodiscard]] bool may_add(const mix_search& search, std::size_t column) const
  {
    return column != fixed && zones.contains(search.zone_of(column)) && search.can_add(column, 1);
  }
};

// Adds what lowers the shortfall most for its price, until nothing does.
void construct(const mix_problem& problem, const search_room& room, mix_search& search)
{
  for (;;) {
    const double before = search.shortfall();
    std::optional<std::size_t> best;
    double best_gain = 0;
    for (std::size_t i = 0; i < problem.columns.size() && before > 0; ++i) {
      if (!room.may_add(search, i)) {
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

// A change of one or two columns.
struct move {
  std::size_t from = 0;
  std::int64_t removed = 0;
  std::size_t to = 0;
  std::int64_t added = 0;
};

// Makes the move if it lowers the shortfall, or the price at no higher shortfall.
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

// How many instances a move takes out and puts in.
struct move_size {
  std::int64_t removed = 0;
  std::int64_t added = 0;
};
constexpr move_size move_sizes[] = {{1, 1}, {2, 1}, {1, 2}, {3, 2}};

bool improve_once(const mix_problem& problem, std::optional<std::size_t> fixed, mix_search& search)
{
  const auto n = problem.columns.size();
  for (std::size_t from = 0; from < n; ++from) {
    if (search.counts()[from] == 0 || from == fixed) {
      continue;
    }
    if (try_move(search, {.from = from, .removed = 1, .to = from, .added = 0})) {
      return true;
    }
    for (std::size_t to = 0; to < n; ++to) {
      for (const auto& size : move_sizes) {
        const move m{.from = from, .removed = size.removed, .to = to, .added = size.added};
        if (to != from && to != fixed && try_move(search, m)) {
          return true;
        }
      }
    }
  }
  return false;
}

void descend(const mix_problem& problem, std::optional<std::size_t> fixed, mix_search& search)
{
  for (int i = 0; i < move_limit && improve_once(problem, fixed, search); ++i) {
  }
}

// A mix is better that misses less, or misses no more and is cheaper.
bool is_better(const mix_search& a, const mix_search& b)
{
  const double missed_by_a = a.shortfall();
  const double missed_by_b = b.shortfall();
  return missed_by_a < missed_by_b - epsilon ||
         (missed_by_a <= missed_by_b && a.price() < b.price() - epsilon);
}

// Instances come whole, so that single moves get stuck where several together would pay: takes one
// more or less of a column for granted and sees whether the rest fits around it more cheaply.
bool kick_once(const mix_problem& problem, const search_room& room, mix_search& search)
{
  for (std::size_t i = 0; i < problem.columns.size(); ++i) {
    for (const std::int64_t n : {1, -1, 2, -2}) {
      if (!search.can_add(i, n)) {
        continue;
      }
      mix_search other = search;
      other.add(i, n);
      construct(problem, {.zones = room.zones, .fixed = i}, other);
      descend(problem, i, other);
      descend(problem, std::nullopt, other);
      if (is_better(other, search)) {
        search.take_from(other);
        return true;
      }
    }
  }
  return false;
}

void kick(const mix_problem& problem, const search_room& room, mix_search& search)
{
  for (int i = 0; i < kick_limit && kick_once(problem, room, search); ++i) {
  }
}

// Zones by the price of their cheapest work, cheapest first.
std::vector<std::size_t> zones_by_price(const mix_problem& problem, const mix_search& search)
{
  std::vector<double> least(search.zones(), std::numeric_limits<double>::max());
  for (std::size_t i = 0; i < problem.columns.size(); ++i) {
    const auto& c = problem.columns[i];
    auto& price = least[search.zone_of(i)];
    if (c.limit > 0) {
      price = std::min(price, c.price_per_hour / std::max(c.weight, epsilon));
    }
  }
  std::vector<std::size_t> order(search.zones());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return least[a] < least[b]; });
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
  const search_room every_zone{.zones = {order.begin(), order.end()}};
  search_room room;
  // The optimum uses the cheapest zones, but how many depends on the prices' spread: each number
  // is tried.
  for (const auto zone : order) {
    room.zones.insert(zone);
    mix_search search(problem);
    construct(problem, room, search);
    descend(problem, std::nullopt, search);
    if (columns <= all_kicked_columns) {
      kick(problem, every_zone, search);
    }
    if (is_better(search, best_search)) {
      best_search.take_from(search);
    }
  }
  if (columns > all_kicked_columns && columns <= best_kicked_columns) {
    kick(problem, every_zone, best_search);
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
