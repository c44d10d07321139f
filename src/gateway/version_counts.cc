#include "wisteriaflow/gateway/version_counts.h"

#include <algorithm>

namespace wisteriaflow::gateway {

outcome_counts& outcome_counts::operator+=(const outcome_counts& other)
{
  calls += other.calls;
  failed += other.failed;
  slow += other.slow;
  return *this;
}

outcome_counts counts_since(const outcome_counts& a, const outcome_counts& b)
{
  const auto less = [](std::uint64_t x, std::uint64_t y) { return x - std::min(x, y); };
  return {.calls = less(a.calls, b.calls),
          .failed = less(a.failed, b.failed),
          .slow = less(a.slow, b.slow)};
}

void rollout_rows::merge(const rollout_row& row)
{
  auto& known = rows_[row.order][row.source];
  if (row.sequence >= known.sequence) {
    known = row;
  }
}

void rollout_rows::retain(const std::vector<std::uint64_t>& orders)
{
  std::erase_if(rows_, [&](const auto& it) {
    return std::find(orders.begin(), orders.end(), it.first) == orders.end();
  });
}

outcomes_by_route rollout_rows::total(std::uint64_t order) const
{
  outcomes_by_route out;
  const auto rows = rows_.find(order);
  if (rows == rows_.end()) {
    return out;
  }
  for (const auto& [source, row] : rows->second) {
    for (const auto& [route, counts] : row.outcomes) {
      auto& sum = out[route];
      sum.baseline += counts.baseline;
      for (const auto& [endpoint, n] : counts.target) {
        sum.target[endpoint] += n;
      }
    }
  }
  return out;
}

const rollout_row* rollout_rows::find(std::uint64_t order, const daemon_id& daemon) const
{
  const auto rows = rows_.find(order);
  if (rows == rows_.end()) {
    return nullptr;
  }
  const rollout_row* latest = nullptr;
  for (const auto& [source, row] : rows->second) {
    const bool newer = latest == nullptr || source.incarnation > latest->source.incarnation;
    if (source.daemon == daemon && newer) {
      latest = &row;
    }
  }
  return latest;
}

} // namespace wisteriaflow::gateway
