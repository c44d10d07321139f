#include <algorithm>
#include <optional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "capacity/fixtures.h"
#include "wisteriaflow/capacity/instance_mix.h"

namespace wisteriaflow::capacity {
namespace {

mix_column column(const std::string& zone, bool reclaimable, double price, double weight)
{
  return {.key = key_of(zone, reclaimable), .price_per_hour = price, .weight = weight};
}

// The lowest price over all mixes with at most `max_count` instances of each column, by exhaustive
// search.
std::optional<double> optimal_price(const mix_problem& problem, std::int64_t max_count)
{
  std::vector<std::int64_t> counts(problem.columns.size(), 0);
  std::optional<double> best;
  for (;;) {
    std::int64_t n = 0;
    double price = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      n += counts[i];
      price += problem.columns[i].price_per_hour * static_cast<double>(counts[i]);
    }
    const bool fits = n <= problem.max_instances && shortfall_of(problem, counts) == 0;
    if (fits && (!best || price < *best)) {
      best = price;
    }
    std::size_t i = 0;
    while (i < counts.size() && counts[i] == max_count) {
      counts[i++] = 0;
    }
    if (i == counts.size()) {
      return best;
    }
    ++counts[i];
  }
}

TEST(MixTest, MeetsTheDemandWithoutAnyOneZone)
{
  const mix_problem problem{
      .columns = {column("a", true, 1, 0.5), column("b", true, 1, 0.5), column("c", true, 1, 0.5)},
      .required = 1};
  const auto m = cheapest_mix(problem);
  EXPECT_EQ(m.counts, (std::vector<std::int64_t>{1, 1, 1})) << m.price_per_hour;
}

TEST(MixTest, ReportsThatOneZoneIsNotEnough)
{
  const auto m = cheapest_mix({.columns = {column("a", true, 1, 0.5)}, .required = 1});
  EXPECT_FALSE(m.meets_requirements);
}

TEST(MixTest, LimitsTheReclaimableShare)
{
  const mix_problem problem{.columns = {column("a", true, 0.3, 0.1), column("a", false, 1, 0.1),
                                        column("b", true, 0.3, 0.1), column("b", false, 1, 0.1)},
                            .max_reclaimable_share = 0.5};
  const auto m = cheapest_mix(problem);
  EXPECT_EQ(m.counts[0] + m.counts[2], m.counts[1] + m.counts[3]) << m.price_per_hour;
}

TEST(MixTest, UsesNoMoreThanAColumnsLimit)
{
  auto cheap = column("a", true, 0.1, 0.5);
  cheap.limit = 1;
  const auto m =
      cheapest_mix({.columns = {cheap, column("b", true, 1, 0.5)}, .required_after_zone_loss = 0});
  EXPECT_EQ(m.counts, (std::vector<std::int64_t>{1, 1}));
}

TEST(MixTest, ExceedsTheReclaimableShareIfThereIsNoOnDemandOffer)
{
  const auto m = cheapest_mix({.columns = {column("a", true, 0.3, 0.5)},
                               .required_after_zone_loss = 0,
                               .max_reclaimable_share = 0.5});
  EXPECT_EQ(m.counts, (std::vector<std::int64_t>{2}));
}

// For arbitrary prices and weights, `meets_requirements` is correct and the price is near the
// optimum.
RC_GTEST_PROP(MixPropertyTest, ComesNearTheBestPrice, ())
{
  mix_problem problem;
  for (const auto* zone : {"a", "b", "c"}) {
    const double weight = 0.25 * *rc::gen::inRange(1, 4);
    const double price = 0.1 * *rc::gen::inRange(2, 12);
    problem.columns.push_back(column(zone, true, price, weight));
    problem.columns.push_back(column(zone, false, price * *rc::gen::inRange(1, 5), weight));
  }
  problem.required = 1 + 0.1 * *rc::gen::inRange(0, 4);
  problem.max_reclaimable_share = 0.25 * *rc::gen::inRange(0, 5);
  const auto found = cheapest_mix(problem);
  const auto best = optimal_price(problem, 3);
  RC_ASSERT(found.meets_requirements == (shortfall_of(problem, found.counts) == 0));
  if (best) {
    // The search is a heuristic. Its hardest case are instances that serve up to three quarters of
    // the demand each.
    constexpr double allowed_excess = 1.2;
    RC_ASSERT(found.meets_requirements);
    RC_ASSERT(found.price_per_hour <= *best * allowed_excess + 1e-9);
  }
}

} // namespace
} // namespace wisteriaflow::capacity
