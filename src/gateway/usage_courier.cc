#include "wisteriaflow/gateway/usage_courier.h"

#include <algorithm>
#include <random>

namespace wisteriaflow::gateway {
namespace {

// Ended windows whose rows are still sent: the leader reports a window up to two windows later.
constexpr usage_window delivered_windows = 2;
// A relay that receives more rows than this is sent nonsense.
constexpr std::size_t max_collected_rows = 4'096;

} // namespace

usage_courier::usage_courier(usage_courier_options options) : options_(std::move(options))
{
  std::mt19937_64 random(options_.seed);
  std::uniform_int_distribution<std::chrono::milliseconds::rep> any(0, options_.max_delay.count());
  delay_ = std::chrono::milliseconds(any(random));
}

void usage_courier::collect(const usage_row& row)
{
  const row_key key{row.window, row.source};
  if (!collected_.contains(key) && collected_.size() >= max_collected_rows) {
    return;
  }
  auto& it = collected_[key];
  if (it.counts != row.counts) {
    it = {.counts = row.counts};
  }
}

void usage_courier::on_received(const std::vector<usage_row>& rows)
{
  std::for_each(rows.begin(), rows.end(), [this](const auto& row) { collect(row); });
}

void usage_courier::add_own(const usage_counts& counts, const usage_route& route,
                            usage_window window, std::vector<usage_delivery>& out)
{
  const auto own = counts.own_row(window);
  if (!own) {
    return; // nothing was counted
  }
  for (const auto& relay : route.relays) {
    if (relay == options_.self) {
      collect(*own);
      continue;
    }
    const auto delivered = own_delivered_.find({window, relay});
    if (delivered == own_delivered_.end() || delivered->second != own->counts) {
      out.push_back({.to = relay, .rows = {*own}});
    }
  }
}

std::vector<usage_delivery> usage_courier::due(const usage_counts& counts, const usage_route& route,
                                               wall_time now)
{
  std::vector<usage_delivery> out;
  if (route.relays.empty()) {
    return out;
  }
  const auto current = counts.window_at(now);
  forget_before(current - delivered_windows);
  for (auto window = current - delivered_windows; window < current; ++window) {
    if (now >= counts.end_of(window) + delay_) {
      add_own(counts, route, window, out);
    }
  }
  if (!route.leader || *route.leader == options_.self) {
    return out;
  }
  usage_delivery passed_on{.to = *route.leader, .to_leader = true};
  for (const auto& [key, row] : collected_) {
    if (row.delivered_to != route.leader) {
      passed_on.rows.push_back({.source = key.second, .window = key.first, .counts = row.counts});
    }
  }
  if (!passed_on.rows.empty()) {
    out.push_back(std::move(passed_on));
  }
  return out;
}

void usage_courier::on_delivered(const usage_delivery& delivered)
{
  for (const auto& row : delivered.rows) {
    if (!delivered.to_leader) {
      own_delivered_[{row.window, delivered.to}] = row.counts;
      continue;
    }
    const auto it = collected_.find({row.window, row.source});
    // The row may have changed while it was on its way.
    if (it != collected_.end() && it->second.counts == row.counts) {
      it->second.delivered_to = delivered.to;
    }
  }
}

void usage_courier::forget_before(usage_window window)
{
  std::erase_if(collected_, [window](const auto& it) { return it.first.first < window; });
  std::erase_if(own_delivered_, [window](const auto& it) { return it.first.first < window; });
}

} // namespace wisteriaflow::gateway
